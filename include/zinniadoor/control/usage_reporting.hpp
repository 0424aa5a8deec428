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
constexpr std::size_t MaxUsageCopies = 200'000;

/// Numbers the usage items of this process and batches them for the log.
class UsageCounter
{
public:
    explicit UsageCounter(Process self);

    /// Counts a served request. The item has to be copied to a peer before the response ends.
    UsageItem countUsage(const base::OrganisationId &organisation, std::uint64_t promptTokens,
                         std::uint64_t outputTokens);

    /// The next items to append, at most MaxUsageBatchItems.
    std::optional<UsageCounted> nextBatch();

    /// Requeues a batch that the frame writer had no room for.
    void requeue(const UsageCounted &batch);

    std::size_t waiting() const { return items_.size(); }

private:
    Process self_;
    std::uint64_t lastSequence_ = 0;
    std::deque<UsageItem> items_;
};

/// Copies of peers' usage items, appended to the log if the peer is lost before it does so.
class UsageCopies
{
public:
    /// Fails with Overloaded above MaxUsageCopies items.
    base::Status hold(const UsageCounted &copy);

    /// Removes the copies of items that are counted in the log.
    void prune(const State &state);

    /// Returns the copies to append: those of processes that have ended or have written no frame
    /// for `silence`. Each is returned once; the log counts an item only once in any case.
    std::vector<UsageCounted> takeOrphans(const State &state, const FrameAgeTracker &watch,
                                          absl::Duration silence, absl::Time now);

    std::size_t held() const { return held_; }

private:
    std::map<Process, std::map<std::uint64_t, UsageItem>> copies_;
    std::size_t held_ = 0;
};

struct UsageReportTimes
{
    absl::Duration closingDelay
        = absl::Seconds(2); ///< Delay after a window's end, for late records.
    absl::Duration sendTimeout = absl::Seconds(2); ///< Maximum duration of a call to billing.
    absl::Duration retryDelay = absl::Milliseconds(500);
};

/// The next action for a shard's usage reports.
struct UsageReportStep
{
    std::optional<Record> record; ///< To append.
    std::optional<ports::UsageReport> report; ///< To send; pass the result to `onReported`.
};

/// Closes a shard's usage windows and reports them, for the holder of the shard's lease. Performs
/// no I/O.
class UsageReportController
{
public:
    UsageReportController(std::uint32_t shard, UsageReportTimes times);

    /// Returns the next step; at most one report is in flight.
    UsageReportStep next(const State &state, const LeaseController &lease, absl::Time now,
                         absl::Time wallTime);

    /// Handles billing's response. The report is repeated unless the status is success or Conflict.
    void onReported(const ports::UsageReport &report, const base::Status &status, absl::Time now);

    /// Reports rejected because billing already had different figures; above 0 indicates a fault.
    std::uint64_t conflicts() const { return conflicts_; }

private:
    std::optional<Record> closeWindow(const State &state, const LeaseController &lease,
                                      absl::Time wallTime);
    UsageReportStep reportWindow(const UsageShard &shard, const LeaseController &lease,
                                 absl::Time now);

    std::uint32_t shard_;
    UsageReportTimes times_;
    std::int64_t closing_ = -1; ///< Window whose WindowClosed was returned in `recordEpoch_`.
    std::int64_t reporting_ = -1;
    std::int64_t reportedRecord_ = -1; ///< Window whose WindowReported was returned.
    base::Offset recordEpoch_ = 0;
    std::set<base::OrganisationId> accepted_; ///< Organisations of `reporting_` already reported.
    bool inFlight_ = false;
    absl::Time retryAt_ = absl::InfinitePast();
    std::uint64_t conflicts_ = 0;
};

} // namespace zinniadoor::control
