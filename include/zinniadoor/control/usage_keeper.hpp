#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/control/frame_age_tracker.hpp"
#include "zinniadoor/control/lease_controller.hpp"
#include "zinniadoor/control/records.hpp"
#include "zinniadoor/control/state.hpp"
#include "zinniadoor/ports/platform.hpp"

namespace zinniadoor::control {

constexpr std::size_t MaxUsageBatchItems = 1000;
constexpr std::size_t MaxHeldCopies = 200'000;

/// Numbers what this process counts and hands it to the log in batches.
class UsageCounter
{
public:
    explicit UsageCounter(Process self);

    /// Counts an answered request; the item is to be copied to a peer before its answer ends.
    UsageItem countUsage(const base::OrganisationId &organisation, std::uint64_t promptTokens,
                         std::uint64_t outputTokens);

    /// The next items to append, at most MaxUsageBatchItems.
    std::optional<UsageCounted> nextBatch();

    /// Puts a batch back that the frame writer had no room for.
    void putBack(const UsageCounted &batch);

    std::size_t waiting() const { return items_.size(); }

private:
    Process self_;
    std::uint64_t lastSequence_ = 0;
    std::deque<UsageItem> items_;
};

/// Holds copies of what peers counted and appends them where the peer was lost first.
class UsageCopies
{
public:
    /// Overloaded when too many are held.
    base::Status hold(const UsageCounted &copy);

    /// Drops the copies of what is counted in the log.
    void prune(const State &state);

    /// Copies to append: their process is gone, or silent for `silence`. Each is given once;
    /// items that the log has anyhow count once.
    std::vector<UsageCounted> takeOrphans(const State &state, const FrameAgeTracker &watch,
                                          absl::Duration silence, absl::Time now);

    std::size_t held() const { return held_; }

private:
    std::map<Process, std::map<std::uint64_t, UsageItem>> copies_;
    std::size_t held_ = 0;
};

struct ReportTimes
{
    absl::Duration closingDelay = absl::Seconds(2); ///< After a window's end, for late records.
    absl::Duration sending = absl::Seconds(2); ///< Longest that a report's call takes.
    absl::Duration retryDelay = absl::Milliseconds(500);
};

/// What to do next for a shard's usage reports.
struct ReportStep
{
    std::optional<Record> record; ///< To append.
    std::optional<ports::UsageReport> report; ///< To send; tell `onReported`.
};

/// Closes a shard's windows and reports them for the process that holds its lease.
class ReportKeeper
{
public:
    ReportKeeper(std::uint32_t shard, ReportTimes times);

    /// One step; at most one report is on its way.
    ReportStep next(const State &state, const LeaseController &lease, absl::Time now,
                    absl::Time wallTime);

    /// What billing answered. Anything but success and Conflict leads to the same report again.
    void onReported(const ports::UsageReport &report, const base::Status &status, absl::Time now);

    /// Reports that billing refused because it had other figures; never to be above 0.
    std::uint64_t conflicts() const { return conflicts_; }

private:
    std::optional<Record> closeWindow(const State &state, const LeaseController &lease,
                                      absl::Time wallTime);
    ReportStep reportWindow(const UsageShard &shard, const LeaseController &lease, absl::Time now);

    std::uint32_t shard_;
    ReportTimes times_;
    std::int64_t closing_ = -1; ///< The window whose closing was given out, in `recordEpoch_`.
    std::int64_t reporting_ = -1;
    std::int64_t reportedRecord_ = -1; ///< The window whose WindowReported was given out.
    base::Offset recordEpoch_ = 0;
    std::set<base::OrganisationId> taken_; ///< Reports of `reporting_` that billing has.
    bool onItsWay_ = false;
    absl::Time retryAt_ = absl::InfinitePast();
    std::uint64_t conflicts_ = 0;
};

} // namespace zinniadoor::control
