#include "zinniadoor/gateway/fleet_duty.hpp"

#include <map>
#include <optional>
#include <set>

#include <boost/asio/steady_timer.hpp>

#include "absl/strings/str_cat.h"

#include "zinniadoor/base/events.hpp"

namespace zinniadoor::gateway {

namespace {

using base::EventId;
using base::logEvent;

constexpr absl::Duration TickInterval = absl::Milliseconds(400);

/// Minimum time between orders for the same endpoints after a rejected or failed one.
constexpr absl::Duration OrderRetryInterval = absl::Milliseconds(1500);

/// Added to the start time of an endpoint before an order without effect is repeated.
constexpr absl::Duration OrderGracePeriod = absl::Seconds(2);

class PlatformFleetDuty : public FleetDuty, public std::enable_shared_from_this<PlatformFleetDuty>
{
public:
    PlatformFleetDuty(boost::asio::io_context &context, const FleetDutyParts &parts,
                      const serving::FleetPolicy &policy)
        : timer_(context)
        , parts_(parts)
        , policy_(policy)
    { }

    void start() override { tick(); }
    void close()
    {
        closed_ = true;
        timer_.cancel();
    }

private:
    /// The last order for one kind of endpoint in one data centre.
    struct LastOrder
    {
        std::uint32_t count = 0;
        absl::Time at = absl::InfinitePast();
        bool accepted = false;
    };

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
        if (!parts_.lease.lease().mayAct(now)) {
            lastOrders_.clear();
            unavailable_.clear();
            return;
        }
        // Endpoints that are missing in the list may run all the same.
        if (busy_ || !parts_.serving.configuration || parts_.serving.isDirectoryOutdated())
            return;
        for (const Service &service : parts_.serving.configuration->parts().services) {
            if (service.scaling && orderFor(service, now))
                return; // One order at a time.
        }
    }

    std::map<std::string, serving::FleetState> statesOf(const Service &service) const
    {
        std::map<std::string, serving::FleetState> states;
        for (const auto &[dataCentre, price] : service.scaling->pricePerSecond)
            states[dataCentre].reclaimableUnavailable
                = unavailable_.count(locationKey(service.name, dataCentre)) > 0;
        for (const EndpointRecord *endpoint : parts_.serving.directory.all()) {
            if (endpoint->service != service.name || endpoint->leaving)
                continue;
            serving::FleetCounts &here = states[endpoint->dataCentre.str()].serving;
            ++(endpoint->reclaimable ? here.reclaimable : here.regular);
        }
        return states;
    }

    /// Sends at most one order that is due; returns whether there was one.
    bool orderFor(const Service &service, absl::Time now)
    {
        const auto states = statesOf(service);
        const auto plan = serving::planFleet(
            states, { service.scaling->minPerDataCentre, service.scaling->maxPerDataCentre },
            policy_);
        for (const auto &[dataCentre, goal] : plan) {
            const serving::FleetCounts &here = states.at(dataCentre).serving;
            for (const bool reclaimable : { true, false }) {
                FleetOrder order;
                order.service = service.name;
                order.dataCentre = dataCentre;
                order.reclaimable = reclaimable;
                order.count = reclaimable ? goal.reclaimable : goal.regular;
                const std::uint32_t count = reclaimable ? here.reclaimable : here.regular;
                if (isDue(order, count, service.scaling->startTime, now)) {
                    send(order, now);
                    return true;
                }
            }
        }
        return false;
    }

    static std::string locationKey(const std::string &service, const std::string &dataCentre)
    {
        return absl::StrCat(service, "/", dataCentre);
    }

    static std::string orderKey(const FleetOrder &order)
    {
        return absl::StrCat(locationKey(order.service, order.dataCentre), "/", order.reclaimable);
    }

    bool isDue(const FleetOrder &order, std::uint32_t serving, absl::Duration startTime,
               absl::Time now) const
    {
        const auto found = lastOrders_.find(orderKey(order));
        if (order.count == serving)
            return false;
        if (found == lastOrders_.end())
            return true;
        const LastOrder &last = found->second;
        if (last.count == order.count) {
            const absl::Duration retryInterval
                = last.accepted ? startTime + OrderGracePeriod : OrderRetryInterval;
            return now - last.at >= retryInterval;
        }
        return last.accepted || now - last.at >= OrderRetryInterval;
    }

    void send(const FleetOrder &order, absl::Time now)
    {
        const DutyPermitPtr permit = parts_.lease.permit();
        if (!permit)
            return;
        const std::uint64_t number = permit->fencingNumber();
        busy_ = true;
        lastOrders_[orderKey(order)] = { order.count, now, false };
        auto self = shared_from_this();
        parts_.platform.orderFleet(order, permit,
                                   [self, order, number](const base::Outcome<DutyAnswer> &answer) {
                                       self->busy_ = false;
                                       if (!self->closed_)
                                           self->onAnswer(order, number, answer);
                                   });
    }

    void onAnswer(const FleetOrder &order, std::uint64_t number,
                  const base::Outcome<DutyAnswer> &answer)
    {
        const bool accepted = answer && *answer == DutyAnswer::Accepted;
        if (accepted)
            lastOrders_[orderKey(order)].accepted = true;
        // A rejection means that no capacity is available, or that another instance holds the
        // lease; the lease log shows the latter.
        if (order.reclaimable && accepted)
            unavailable_.erase(locationKey(order.service, order.dataCentre));
        else if (order.reclaimable && answer)
            unavailable_.insert(locationKey(order.service, order.dataCentre));
        logEvent(accepted ? EventId::FleetOrdered : EventId::FleetOrderFailed,
                 { { "service", order.service },
                   { "data_centre", order.dataCentre },
                   { "reclaimable", order.reclaimable ? "yes" : "no" },
                   { "count", std::to_string(order.count) },
                   { "fencing_number", std::to_string(number) },
                   { "reason",
                     accepted     ? ""
                         : answer ? "refused"
                                  : answer.lastReason().text } });
    }

    boost::asio::steady_timer timer_;
    FleetDutyParts parts_;
    serving::FleetPolicy policy_;
    std::map<std::string, LastOrder> lastOrders_;
    std::set<std::string> unavailable_; ///< Locations without reclaimable capacity.
    bool busy_ = false;
    bool closed_ = false;
};

class OwnedFleetDuty : public FleetDuty
{
public:
    explicit OwnedFleetDuty(std::shared_ptr<PlatformFleetDuty> duty)
        : duty_(std::move(duty))
    { }
    ~OwnedFleetDuty() override { duty_->close(); }
    void start() override { duty_->start(); }

private:
    std::shared_ptr<PlatformFleetDuty> duty_;
};

} // namespace

std::unique_ptr<FleetDuty> makeFleetDuty(boost::asio::io_context &context,
                                         const FleetDutyParts &parts,
                                         const serving::FleetPolicy &policy)
{
    return std::make_unique<OwnedFleetDuty>(
        std::make_shared<PlatformFleetDuty>(context, parts, policy));
}

} // namespace zinniadoor::gateway
