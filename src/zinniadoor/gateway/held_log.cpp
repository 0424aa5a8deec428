#include "zinniadoor/gateway/held_log.hpp"

#include <string>

#include "zinniadoor/base/events.hpp"

namespace zinniadoor::gateway {

void HeldLog::logIfChanged(absl::Time now)
{
    const bool outdated = isOutdated(now);
    if (outdated == wasOutdated_)
        return;
    wasOutdated_ = outdated;
    const absl::Duration since = age(now);
    base::logEvent(base::EventId::LogOutdated,
                   { { "log", nameOf(log_) },
                     { "outdated", outdated ? "yes" : "no" },
                     { "offset", std::to_string(follower_->position().offset) },
                     { "age_ms",
                       since == absl::InfiniteDuration()
                           ? ""
                           : std::to_string(absl::ToInt64Milliseconds(since)) } });
}

} // namespace zinniadoor::gateway
