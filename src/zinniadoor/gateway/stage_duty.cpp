#include "zinniadoor/gateway/stage_duty.hpp"

#include <algorithm>
#include <map>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "endpoint_status.hpp"
#include "zinniadoor/base/events.hpp"
#include "zinniadoor/net/fetch.hpp"

namespace zinniadoor::gateway {

namespace {

using base::EventId;
using base::logEvent;

constexpr absl::Duration TickInterval = absl::Milliseconds(50);
constexpr absl::Duration OrderTimeout = absl::Milliseconds(700);

/// An unanswered order may still be executed up to 12 s later.
constexpr absl::Duration UnansweredOrderPause = absl::Seconds(14);

/// Added to the time of a change: the new stage is advertised with the next heartbeat.
constexpr absl::Duration DirectoryLag = absl::Seconds(2);

/// Used if the configuration has no stage change time.
constexpr absl::Duration DefaultChangeTime = absl::Seconds(3);

/// Limit of engines that change their stage at the same time, as a share of all engines.
constexpr double MaxChangingShare = 0.35;

class OrderingStageDuty : public StageDuty, public std::enable_shared_from_this<OrderingStageDuty>
{
public:
    OrderingStageDuty(boost::asio::io_context &context, const StageDutyParts &parts,
                      const std::string &holder, const serving::StagePolicy &policy)
        : io_(context)
        , timer_(context)
        , parts_(parts)
        , holder_(holder)
        , policy_(policy)
    { }

    void start() override { tick(); }
    void close()
    {
        closed_ = true;
        timer_.cancel();
    }

private:
    void tick()
    {
        auto self = shared_from_this();
        timer_.expires_after(absl::ToChronoMilliseconds(TickInterval));
        timer_.async_wait([self](boost::system::error_code error) {
            if (error || self->closed_)
                return;
            self->step();
            self->tick();
        });
    }

    void step()
    {
        const absl::Time now = parts_.serving.clock.now();
        if (busy_ || !parts_.lease.lease().mayAct(now) || parts_.serving.isDirectoryOutdated())
            return;
        std::map<std::string, std::vector<serving::StagedEngine>> byService;
        std::size_t engines = 0;
        std::size_t changing = 0;
        for (const EndpointRecord *endpoint : parts_.serving.directory.all()) {
            if (endpoint->stage == Stage::Plain
                || !parts_.serving.directory.acceptsWork(endpoint->id))
                continue;
            ++engines;
            changing += now < nextOrderAt(endpoint->id) ? 1 : 0;
            byService[endpoint->service].push_back(
                { endpoint->id, endpoint->dataCentre, endpoint->reclaimable,
                  endpoint->stage == Stage::Prefill, endpoint->slots });
        }
        if (static_cast<double>(changing) >= MaxChangingShare * static_cast<double>(engines))
            return;
        for (auto &[service, list] : byService) {
            for (const serving::StageChange &change :
                 serving::planStages(list, policyOf(service))) {
                if (now < nextOrderAt(change.engine)
                    || !parts_.serving.directory.mayCall(change.engine, now))
                    continue;
                send(change, now);
                return; // One order at a time.
            }
        }
    }

    serving::StagePolicy policyOf(const std::string &name) const
    {
        const ConfigurationPtr &configuration = parts_.serving.configuration;
        const Service *service = configuration ? configuration->findService(name) : nullptr;
        serving::StagePolicy policy = policy_;
        if (service && service->cold.perSecond > 0)
            policy.minDecodeShare = std::min(policy.minDecodeShareIfCold, policy.maxDecodeShare);
        return policy;
    }

    absl::Time nextOrderAt(const base::EndpointId &engine) const
    {
        const auto found = nextOrderAt_.find(engine);
        return found == nextOrderAt_.end() ? absl::InfinitePast() : found->second;
    }

    void send(const serving::StageChange &change, absl::Time now)
    {
        const EndpointRecord *endpoint = parts_.serving.directory.find(change.engine);
        const DutyPermitPtr permit = parts_.lease.permit();
        if (!endpoint || !permit)
            return;
        const Stage stage = change.isPrefillEngine ? Stage::Prefill : Stage::Decode;
        const std::uint64_t number = permit->fencingNumber();
        busy_ = true;
        nextOrderAt_[change.engine] = now + UnansweredOrderPause;
        net::Request request
            = parts_.serving.endpointDialect.changeStage(*endpoint, stage, holder_, number);
        net::FetchOptions options;
        options.maxBodyBytes = net::MaxEndpointReplyBytes;
        options.timeout = std::min(OrderTimeout, permit->timeLeft());
        // Answers have no id: on a reused connection a repeated one could be taken for this
        // order's.
        options.newConnection = true;
        options.mayWrite = [permit] { return permit->isValid(); };
        options.matchesCall
            = [&dialect = parts_.serving.endpointDialect](const net::ResponseHead &head) {
                  return dialect.answersOwnRequest(head);
              };
        auto self = shared_from_this();
        net::fetch(io_, parts_.serving.client, { endpoint->address, endpoint->id.str() },
                   std::move(request), std::move(options),
                   [self, id = change.engine, stage,
                    number](const base::Outcome<net::FullResponse> &answer) {
                       self->busy_ = false;
                       if (!self->closed_)
                           self->onAnswer(id, stage, number, answer);
                   });
    }

    absl::Duration changeTime(const base::EndpointId &engine) const
    {
        const EndpointRecord *endpoint = parts_.serving.directory.find(engine);
        const ConfigurationPtr &configuration = parts_.serving.configuration;
        const Service *service
            = endpoint && configuration ? configuration->findService(endpoint->service) : nullptr;
        return service && service->engine ? service->engine->stageChangeTime : DefaultChangeTime;
    }

    void onAnswer(const base::EndpointId &engine, Stage stage, std::uint64_t number,
                  const base::Outcome<net::FullResponse> &answer)
    {
        const unsigned status = answer ? answer->head.result_int() : 0;
        const bool accepted = status / 100 == 2;
        if (answer)
            noteEndpointStatus(parts_.serving, engine,
                               parts_.serving.endpointDialect.decode(answer->head));
        if (answer)
            nextOrderAt_[engine] = parts_.serving.clock.now() + changeTime(engine) + DirectoryLag;
        if (accepted)
            parts_.serving.updates.announcePause(engine, changeTime(engine) + DirectoryLag);
        logEvent(accepted ? EventId::StageOrdered : EventId::StageOrderFailed,
                 { { "endpoint", engine.str() },
                   { "stage", nameOf(stage) },
                   { "fencing_number", std::to_string(number) },
                   { "status", std::to_string(status) },
                   { "reason", answer ? "" : answer.lastReason().text } });
    }

    boost::asio::io_context &io_;
    boost::asio::steady_timer timer_;
    StageDutyParts parts_;
    std::string holder_;
    serving::StagePolicy policy_;
    std::map<base::EndpointId, absl::Time> nextOrderAt_;
    bool busy_ = false;
    bool closed_ = false;
};

class OwnedStageDuty : public StageDuty
{
public:
    explicit OwnedStageDuty(std::shared_ptr<OrderingStageDuty> duty)
        : duty_(std::move(duty))
    { }
    ~OwnedStageDuty() override { duty_->close(); }
    void start() override { duty_->start(); }

private:
    std::shared_ptr<OrderingStageDuty> duty_;
};

} // namespace

std::unique_ptr<StageDuty> makeStageDuty(boost::asio::io_context &context,
                                         const StageDutyParts &parts, const std::string &holder,
                                         const serving::StagePolicy &policy)
{
    return std::make_unique<OwnedStageDuty>(
        std::make_shared<OrderingStageDuty>(context, parts, holder, policy));
}

} // namespace zinniadoor::gateway
