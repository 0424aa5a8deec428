#include "zinniadoor/control/usage_reporting.hpp"

#include <algorithm>

namespace zinniadoor::control {

UsageCounter::UsageCounter(Process self)
    : self_(std::move(self))
{ }

UsageItem UsageCounter::countUsage(const base::OrganisationId &organisation,
                                   std::uint64_t promptTokens, std::uint64_t outputTokens)
{
    UsageItem item { ++lastSequence_, organisation, promptTokens, outputTokens };
    items_.push_back(item);
    return item;
}

std::optional<UsageCounted> UsageCounter::nextBatch()
{
    if (items_.empty())
        return std::nullopt;
    const std::size_t count = std::min(items_.size(), MaxUsageBatchItems);
    const auto end = items_.begin() + static_cast<std::ptrdiff_t>(count);
    UsageCounted batch { self_.instance, self_.incarnation, { items_.begin(), end } };
    items_.erase(items_.begin(), end);
    return batch;
}

void UsageCounter::requeue(const UsageCounted &batch)
{
    items_.insert(items_.begin(), batch.items.begin(), batch.items.end());
}

base::Status UsageCopies::hold(const UsageCounted &copy)
{
    if (held_ + copy.items.size() > MaxUsageCopies)
        return base::Reason { base::ReasonCode::Overloaded, "too many usage copies" };
    auto &items = copies_[{ copy.instance, copy.incarnation }];
    for (const UsageItem &item : copy.items) {
        if (items.emplace(item.sequence, item).second)
            ++held_;
    }
    return base::Done {};
}

void UsageCopies::prune(const State &state)
{
    for (auto row = copies_.begin(); row != copies_.end();) {
        auto &items = row->second;
        for (auto item = items.begin(); item != items.end();) {
            if (state.usage().isCounted(row->first, item->first)) {
                item = items.erase(item);
                --held_;
            } else {
                ++item;
            }
        }
        row = items.empty() ? copies_.erase(row) : std::next(row);
    }
}

std::vector<UsageCounted> UsageCopies::takeOrphans(const State &state, const FrameAgeTracker &watch,
                                                   absl::Duration silence, absl::Time now)
{
    std::vector<UsageCounted> orphans;
    for (auto row = copies_.begin(); row != copies_.end();) {
        const Process &owner = row->first;
        const bool lost
            = state.instances().hasEnded(owner) || watch.timeSinceLastFrame(owner, now) > silence;
        if (!lost) {
            ++row;
            continue;
        }
        UsageCounted batch { owner.instance, owner.incarnation, {} };
        for (auto &[sequence, item] : row->second) {
            batch.items.push_back(std::move(item));
            if (batch.items.size() < MaxUsageBatchItems)
                continue;
            orphans.push_back(batch);
            batch.items.clear();
        }
        if (!batch.items.empty())
            orphans.push_back(std::move(batch));
        held_ -= row->second.size();
        row = copies_.erase(row);
    }
    return orphans;
}

UsageReportController::UsageReportController(std::uint32_t shard, UsageReportTimes times)
    : shard_(shard)
    , times_(times)
{ }

UsageReportStep UsageReportController::next(const State &state, const LeaseController &lease,
                                            absl::Time now, absl::Time wallTime)
{
    if (!lease.mayAct(now))
        return {};
    if (recordEpoch_ != lease.epoch()) {
        recordEpoch_ = lease.epoch();
        closing_ = -1;
        reportedRecord_ = -1;
    }
    if (std::optional<Record> record = closeWindow(state, lease, wallTime))
        return { std::move(record), std::nullopt };
    return reportWindow(state.usage().shard(shard_), lease, now);
}

std::optional<Record> UsageReportController::closeWindow(const State &state,
                                                         const LeaseController &lease,
                                                         absl::Time wallTime)
{
    const auto &bundle = state.configuration().bundle();
    if (!bundle)
        return std::nullopt;
    const std::int64_t length = bundle->usageWindowSeconds;
    const std::int64_t ended = absl::ToUnixSeconds(wallTime - times_.closingDelay) / length;
    const std::int64_t window = (ended - 1) * length;
    if (window <= state.usage().shard(shard_).lastClosed || window <= closing_)
        return std::nullopt;
    closing_ = window;
    return WindowClosed { window, shard_, lease.epoch() };
}

UsageReportStep UsageReportController::reportWindow(const UsageShard &shard,
                                                    const LeaseController &lease, absl::Time now)
{
    if (shard.closed.empty() || inFlight_)
        return {};
    const ClosedWindow &oldest = shard.closed.front();
    if (reporting_ != oldest.window) {
        reporting_ = oldest.window;
        accepted_.clear();
    }
    for (const auto &[organisation, usage] : oldest.usage) {
        if (accepted_.count(organisation) != 0)
            continue;
        if (now < retryAt_ || !lease.mayAct(now + times_.sendTimeout))
            return {};
        inFlight_ = true;
        return { std::nullopt,
                 ports::UsageReport { organisation, oldest.window, usage.requests,
                                      usage.promptTokens, usage.outputTokens, lease.epoch() } };
    }
    if (reportedRecord_ == oldest.window)
        return {};
    reportedRecord_ = oldest.window;
    return { WindowReported { oldest.window, shard_, lease.epoch() }, std::nullopt };
}

void UsageReportController::onReported(const ports::UsageReport &report, const base::Status &status,
                                       absl::Time now)
{
    inFlight_ = false;
    const bool rejected = !status && status.lastReason().code == base::ReasonCode::Conflict;
    if (!status && !rejected) {
        retryAt_ = now + times_.retryDelay;
        return;
    }
    // Billing rejects conflicting figures permanently. Continuing keeps the other reports flowing.
    if (rejected)
        ++conflicts_;
    if (report.window == reporting_)
        accepted_.insert(report.organisation);
}

} // namespace zinniadoor::control
