#include "zinniadoor/gateway/inbound_memory.hpp"

#include <map>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "zinniadoor/base/events.hpp"

namespace zinniadoor::gateway {

namespace {

/// Interval between checks of the progress of bodies while others wait.
constexpr std::chrono::milliseconds CheckInterval(100);

/// Time between two events of one reason; each states the number of refusals since the last one.
constexpr absl::Duration EventInterval = absl::Seconds(1);

const char *nameOf(net::InboundRefusal refusal)
{
    switch (refusal) {
    case net::InboundRefusal::Memory:
        return "memory";
    case net::InboundRefusal::NoRoom:
        return "no_room";
    case net::InboundRefusal::IdleConnection:
        return "idle_connection";
    case net::InboundRefusal::Connection:
        return "connection";
    }
    return "unknown";
}

class InboundMemory : public net::InboundBytes
{
public:
    InboundMemory(boost::asio::io_context &context, const base::Clock &clock,
                  GatewayMetrics &metrics, const serving::ByteBudgetOptions &options)
        : timer_(context)
        , clock_(clock)
        , metrics_(metrics)
        , budget_(options)
    { }

    Id add(net::InboundActions actions) override
    {
        const Id id = budget_.add(clock_.now());
        actions_[id] = std::move(actions);
        return id;
    }

    bool reserve(Id id, std::size_t bytes) override
    {
        const bool granted = budget_.reserve(id, bytes, clock_.now());
        if (!granted)
            scheduleCheck(CheckInterval);
        return granted;
    }

    void noteComplete(Id id) override { budget_.noteComplete(id); }

    void remove(Id id) override
    {
        budget_.remove(id);
        actions_.erase(id);
        if (budget_.waiting() > 0) // Not at once: the caller is within its own change of state.
            scheduleCheck(std::chrono::milliseconds::zero());
    }

    void noteRefusal(net::InboundRefusal refusal) override
    {
        const char *reason = nameOf(refusal);
        metrics_.countInboundRefusal(reason);
        Refusals &refusals = refusals_[refusal];
        ++refusals.count;
        const absl::Time now = clock_.now();
        if (now - refusals.loggedAt < EventInterval)
            return;
        base::logEvent(base::EventId::CallerBytesRefused,
                       { { "reason", reason },
                         { "count", std::to_string(std::exchange(refusals.count, 0)) },
                         { "bytes", std::to_string(budget_.bytes()) },
                         { "total", std::to_string(budget_.options().total) },
                         { "waiting", std::to_string(budget_.waiting()) } });
        refusals.loggedAt = now;
    }

private:
    struct Refusals
    {
        std::size_t count = 0; ///< Since the last event.
        absl::Time loggedAt = absl::InfinitePast();
    };

    void scheduleCheck(std::chrono::milliseconds delay)
    {
        const auto time = std::chrono::steady_clock::now() + delay;
        if (isScheduled_ && timer_.expiry() <= time)
            return;
        isScheduled_ = true;
        timer_.expires_at(time);
        timer_.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            isScheduled_ = false;
            check();
        });
    }

    void check()
    {
        const absl::Time now = clock_.now();
        grantRoom(now);
        if (budget_.waiting() == 0)
            return;
        for (const auto &[id, actions] : actions_)
            budget_.noteReceived(id, actions.received(), now);
        while (const auto victim = budget_.victim(now)) {
            const auto refuse = actions_.at(*victim).refuse; // Removes it.
            refuse();
            budget_.remove(*victim); // Also where its connection has ended otherwise.
            actions_.erase(*victim);
            grantRoom(now);
        }
        if (budget_.waiting() > 0)
            scheduleCheck(CheckInterval);
    }

    void grantRoom(absl::Time now)
    {
        while (const auto id = budget_.nextGranted(now)) {
            const auto resume = actions_.at(*id).resume;
            resume();
        }
    }

    boost::asio::steady_timer timer_;
    const base::Clock &clock_;
    GatewayMetrics &metrics_;
    serving::ByteBudget budget_;
    std::map<Id, net::InboundActions> actions_;
    std::map<net::InboundRefusal, Refusals> refusals_;
    bool isScheduled_ = false;
};

} // namespace

std::unique_ptr<net::InboundBytes> makeInboundMemory(boost::asio::io_context &context,
                                                     const base::Clock &clock,
                                                     GatewayMetrics &metrics,
                                                     const serving::ByteBudgetOptions &options)
{
    return std::make_unique<InboundMemory>(context, clock, metrics, options);
}

} // namespace zinniadoor::gateway
