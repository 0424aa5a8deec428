#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

#include "absl/time/time.h"

namespace zinniadoor::bench {

/// Discrete-event loop with a virtual clock.
class EventLoop
{
public:
    using Action = std::function<void()>;

    absl::Time now() const { return now_; }

    /// Schedules an action; one for a past time runs at the current time.
    void scheduleAt(absl::Time time, Action action)
    {
        events_.push({ std::max(time, now_), next_++, std::move(action) });
    }
    void scheduleAfter(absl::Duration delay, Action action)
    {
        scheduleAt(now_ + delay, std::move(action));
    }

    /// Runs all events due up to `end` and sets the clock to it.
    void runUntil(absl::Time end)
    {
        while (!events_.empty() && events_.top().time <= end) {
            Event event = events_.top();
            events_.pop();
            now_ = event.time;
            event.action();
        }
        now_ = std::max(now_, end);
    }

private:
    struct Event
    {
        absl::Time time;
        std::uint64_t number
            = 0; ///< Events due at the same time run in the order in which they were scheduled.
        Action action;
        bool operator<(const Event &other) const
        {
            return std::tie(other.time, other.number) < std::tie(time, number);
        }
    };
    absl::Time now_ = absl::FromUnixSeconds(1000000);
    std::uint64_t next_ = 0;
    std::priority_queue<Event> events_;
};

} // namespace zinniadoor::bench
