#include "virtual_run.hpp"

#include <algorithm>
#include <memory>
#include <utility>

#include "virtual_instance.hpp"
#include "zinniadoor/serving/role_plan.hpp"

namespace zinniadoor::bench {

namespace {

constexpr absl::Duration TickTime = absl::Milliseconds(100);
constexpr absl::Duration PlanTime = absl::Seconds(1);

/// Time for running requests to complete after the last arrival.
constexpr absl::Duration DrainTime = absl::Minutes(2);

std::unique_ptr<serving::RolePlanner> makePlanner(const Scenario &scenario, const Variant &variant)
{
    serving::RolePlanOptions options;
    options.changeTime = scenario.profile.roleChange;
    if (variant.roles == "threshold_smoothed")
        options.thresholdSmoothing = options.smoothing;
    if (variant.roles == "threshold" || variant.roles == "threshold_smoothed")
        return serving::thresholdRolePlanner(options);
    if (variant.roles == "forecast")
        return serving::forecastRolePlanner(options);
    return serving::staticRolePlanner();
}

class VirtualRun
{
public:
    VirtualRun(const Scenario &scenario, const Variant &variant)
        : scenario_(scenario)
        , variant_(variant)
        , fleet_(scenario, variant, loop_)
        , planner_(makePlanner(scenario, variant))
        , start_(loop_.now())
    {
        result_.variant = variant.name;
        for (std::uint32_t i = 0; i < scenario.instances; ++i) {
            instances_.push_back(
                std::make_unique<VirtualInstance>(scenario, variant, i, fleet_, loop_, result_));
        }
    }

    RunResult run()
    {
        scheduleArrivals();
        scheduleFaults();
        for (std::size_t i = 0; i < instances_.size(); ++i) {
            const double phase = static_cast<double>(i) / static_cast<double>(instances_.size());
            loop_.scheduleAfter(TickTime * phase, [this, i] { tick(i); });
            loop_.scheduleAfter(scenario_.gossipEvery * phase, [this, i] { gossip(i); });
        }
        loop_.scheduleAfter(PlanTime, [this] { plan(); });
        loop_.scheduleAfter(TickTime, [this] { sample(); });
        loop_.runUntil(start_ + scenario_.length + DrainTime);
        for (const FleetEngine &engine : fleet_.all())
            result_.spend += engine.endpoint.pricePerHour * absl::ToDoubleHours(scenario_.length);
        return std::move(result_);
    }

private:
    bool isOver() const { return loop_.now() >= start_ + scenario_.length + DrainTime; }

    void scheduleArrivals()
    {
        arrivals_ = generateArrivals(scenario_);
        const auto &excluded = variant_.excludedClasses;
        const auto isExcluded = [&](const Arrival &arrival) {
            const std::string &name = scenario_.classes[arrival.requestClass].name;
            return std::find(excluded.begin(), excluded.end(), name) != excluded.end();
        };
        arrivals_.erase(std::remove_if(arrivals_.begin(), arrivals_.end(), isExcluded),
                        arrivals_.end());
        for (std::size_t i = 0; i < arrivals_.size(); ++i) {
            RequestRecord record;
            record.requestClass = arrivals_[i].requestClass;
            record.at = arrivals_[i].at;
            result_.records.push_back(record);
            loop_.scheduleAt(start_ + arrivals_[i].at, [this, i] { arrive(i); });
        }
    }

    void arrive(std::size_t index)
    {
        const Arrival &arrival = arrivals_[index];
        prefillTokensRequested_ += arrival.promptTokens;
        decodeTokensRequested_ += arrival.outputTokens;
        instances_[arrival.instance]->submit(arrival, index);
    }

    void tick(std::size_t index)
    {
        instances_[index]->tick();
        if (!isOver())
            loop_.scheduleAfter(TickTime, [this, index] { tick(index); });
    }

    void gossip(std::size_t index)
    {
        if (!variant_.gossip)
            return;
        VirtualInstance &from = *instances_[index];
        const auto loads = from.table().ownLoads();
        for (const auto &to : instances_) {
            if (to.get() != &from)
                to->table().setPeerLoads(from.id(), loads, loop_.now());
        }
        if (!isOver())
            loop_.scheduleAfter(scenario_.gossipEvery, [this, index] { gossip(index); });
    }

    void sample()
    {
        double highest = 0;
        double sum = 0;
        double count = 0;
        for (const FleetEngine &engine : fleet_.all()) {
            if (engine.engine->isTerminated())
                continue;
            const auto inFlight = static_cast<double>(engine.engine->inFlight());
            highest = std::max(highest, inFlight);
            sum += inFlight;
            ++count;
        }
        const absl::Duration at = loop_.now() - start_;
        if (at >= scenario_.warmUp && at < scenario_.length && sum >= count)
            result_.peakToMean.push_back(highest / (sum / count));
        if (!isOver())
            loop_.scheduleAfter(TickTime, [this] { sample(); });
    }

    void plan()
    {
        serving::RoleInputs inputs;
        for (const FleetEngine &engine : fleet_.all()) {
            serving::PlannedEngine planned;
            planned.id = engine.endpoint.id;
            planned.dataCentre = engine.endpoint.dataCentre;
            planned.role = engine.engine->role();
            planned.requests = static_cast<std::uint32_t>(engine.engine->inFlight());
            planned.isLive = !engine.isLeaving;
            planned.isChanging = engine.isChangingRole;
            inputs.engines.push_back(planned);
        }
        inputs.prefillDemand
            = std::exchange(prefillTokensRequested_, 0) / absl::ToDoubleSeconds(PlanTime);
        inputs.decodeDemand
            = std::exchange(decodeTokensRequested_, 0) / absl::ToDoubleSeconds(PlanTime);
        inputs.enginePrefillRate = scenario_.profile.prefillTokensPerSecond;
        inputs.engineDecodeRate = scenario_.profile.tokensPerSecond * scenario_.profile.slots;
        for (const serving::RoleOrder &order : planner_->plan(inputs, loop_.now()))
            changeRole(order);
        if (loop_.now() < start_ + scenario_.length)
            loop_.scheduleAfter(PlanTime, [this] { plan(); });
    }

    void changeRole(const serving::RoleOrder &order)
    {
        ++result_.roleChanges;
        FleetEngine &engine = fleet_.find(order.endpoint);
        engine.isChangingRole = true;
        for (const auto &instance : instances_)
            instance->table().setState(order.endpoint, serving::EndpointState::Draining);
        engine.engine->changeRole(order.role, [this, order] {
            fleet_.find(order.endpoint).isChangingRole = false;
            for (const auto &instance : instances_) {
                instance->table().setRole(order.endpoint, order.role, loop_.now());
                instance->table().setState(order.endpoint, serving::EndpointState::Live);
            }
        });
    }

    void scheduleFaults()
    {
        for (const Fault &fault : scenario_.faults) {
            const absl::Time at = start_ + fault.at;
            if (fault.kind == FaultKind::Fail) {
                loop_.scheduleAt(at, [this, fault] { fleet_.setFailing(fault.share, true); });
                loop_.scheduleAt(at + fault.length,
                                 [this, fault] { fleet_.setFailing(fault.share, false); });
                continue;
            }
            loop_.scheduleAt(at, [this, fault] { announceReclaim(fault); });
            loop_.scheduleAt(at + fault.length, [this, fault] { reclaimZone(fault); });
        }
    }

    static bool isAffected(const FleetEngine &engine, const Fault &fault)
    {
        return engine.endpoint.reclaimable && engine.endpoint.dataCentre.str() == fault.dataCentre;
    }

    void announceReclaim(const Fault &fault)
    {
        for (FleetEngine &engine : fleet_.all()) {
            if (!isAffected(engine, fault))
                continue;
            engine.isLeaving = true;
            for (const auto &instance : instances_)
                instance->onLeaving(engine.endpoint.id, loop_.now() + fault.length);
        }
    }

    void reclaimZone(const Fault &fault)
    {
        for (FleetEngine &engine : fleet_.all()) {
            if (!isAffected(engine, fault))
                continue;
            for (const auto &instance : instances_)
                instance->table().setState(engine.endpoint.id, serving::EndpointState::Gone);
            engine.engine->terminate();
        }
    }

    const Scenario &scenario_;
    const Variant &variant_;
    EventLoop loop_;
    RunResult result_;
    VirtualFleet fleet_;
    std::vector<std::unique_ptr<VirtualInstance>> instances_;
    std::unique_ptr<serving::RolePlanner> planner_;
    absl::Time start_;
    std::vector<Arrival> arrivals_;
    double prefillTokensRequested_ = 0; ///< Prompt tokens of arrivals since the last plan.
    double decodeTokensRequested_ = 0; ///< Output tokens, likewise.
};

} // namespace

RunResult runVirtual(const Scenario &scenario, const Variant &variant)
{
    return VirtualRun(scenario, variant).run();
}

} // namespace zinniadoor::bench
