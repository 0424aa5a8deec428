#pragma once

#include <memory>
#include <utility>

#include "absl/time/time.h"

#include "zinniadoor/gateway/log_follower.hpp"
#include "zinniadoor/gateway/log_snapshot.hpp"
#include "zinniadoor/gateway/snapshot_service.hpp"

namespace zinniadoor::gateway {

/// A log that this instance follows and hands on to others.
class HeldLog : public SnapshotSource
{
public:
    /// `handler` outlives this object; `notice`: within which records must be in force.
    HeldLog(LogName log, FollowerHandler &handler, absl::Duration notice)
        : log_(log)
        , notice_(notice)
        , keeper_(handler)
    { }

    /// Of the follower.
    FollowerHandler &handler() { return keeper_; }

    /// Must be called before all functions below.
    void setFollower(std::unique_ptr<LogFollower> follower) { follower_ = std::move(follower); }
    LogFollower &follower() { return *follower_; }
    const LogFollower &follower() const { return *follower_; }

    /// Time since all records of the log were last known to have been applied.
    absl::Duration age(absl::Time now) const { return now - follower_->completeAsOf(); }

    /// Whether there may be records, in force by now, that this instance lacks.
    bool isOutdated(absl::Time now) const { return age(now) > notice_; }

    /// Logs when the log has become outdated, and when it no longer is.
    void logIfChanged(absl::Time now);

    SnapshotState state(LogPosition atLeast) const override { return follower_->state(atLeast); }
    LogPosition position() const override { return follower_->position(); }
    std::shared_ptr<const std::string> encoded() override { return keeper_.encoded(); }

private:
    LogName log_;
    absl::Duration notice_;
    SnapshotKeeper keeper_;
    std::unique_ptr<LogFollower> follower_;
    bool wasOutdated_ = false;
};

} // namespace zinniadoor::gateway
