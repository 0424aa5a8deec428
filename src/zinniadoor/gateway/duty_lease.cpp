#include "zinniadoor/gateway/duty_lease.hpp"

#include <algorithm>

namespace zinniadoor::gateway {

namespace {

constexpr int EraShift = 32; ///< Of the era in a fencing number.

} // namespace

std::uint64_t fencingNumberAt(LogPosition position)
{
    return position.era << EraShift | position.offset;
}

DutyLease::DutyLease(ProcessName self, const LeaseOptions &options)
    : self_(std::move(self))
    , options_(options)
{ }

void DutyLease::apply(const LeaseRecord &record, LogPosition position, absl::Time now)
{
    if (position.era != end_.era)
        return;
    end_ = std::max(end_, position + 1);
    const bool isClaim = record.kind == LeaseRecordKind::Claim;
    const std::uint64_t number = isClaim ? fencingNumberAt(position) : record.fencingNumber;
    if (record.kind == LeaseRecordKind::Renewal)
        reportedBefore_ = std::max(reportedBefore_, record.window);
    // A record of an earlier era has survived the restoration or was appended late. It shows
    // neither who may still act nor which figures were reported: later records may be lost.
    if (record.fencingNumber >> EraShift != position.era)
        return;
    if (record.kind == LeaseRecordKind::UsageFigures)
        figures_.try_emplace(record.window, record.counts);
    if (number < fencingNumber_)
        return; // From a holder that has been replaced.
    if (isClaim && !(record.holder == self_))
        uncertainBefore_ = commitFrom_ = record.window;
    continues_ = continues_ && record.holder == self_;
    restoredAt_ = absl::InfinitePast(); // From here on, the log shows all holders.
    fencingNumber_ = number;
    lastInstance_ = record.holder.instance;
    const bool ofThisInstance = record.holder.instance == self_.instance;
    const bool ofEarlierProcess = record.holder.incarnation < self_.incarnation && start_;
    if (ofThisInstance && record.kind != LeaseRecordKind::Release)
        ownActsEnd_ = std::max(ownActsEnd_, ofEarlierProcess ? *start_ : now + options_.lease);
    else
        ownActsEnd_ = std::min(ownActsEnd_, now);
    if (record.kind == LeaseRecordKind::Release) {
        holder_.reset();
        actUntil_ = absl::InfinitePast();
        return;
    }
    holder_ = record.holder;
    holderSeenAt_ = now;
    const auto sent = sent_.find(record.nonce);
    const bool isOwn = record.holder == self_ && sent != sent_.end();
    if (!isOwn) {
        if (!(record.holder == self_))
            actUntil_ = absl::InfinitePast();
        return;
    }
    // Counted from the time of sending: instances that read the record later wait for a full lease.
    if (superseded_ != fencingNumber_)
        actUntil_ = std::max(actUntil_, sent->second + options_.lease - options_.margin);
    sent_.erase(sent_.begin(), std::next(sent));
}

void DutyLease::noteRead(LogPosition end, absl::Time)
{
    if (end.era != end_.era)
        return;
    end_ = std::max(end_, end);
    caughtUp_ = true;
}

void DutyLease::noteTrimmed(LogPosition first)
{
    if (first.era == end_.era)
        end_ = std::max(end_, first);
}

// The holder's last renewals may be lost, so that the log does not show who may still act. Others
// wait for a full lease, counted from a time when the store no longer accepted renewals of the
// earlier era. The holder itself need not wait as long as its lease cannot have expired for others.
void DutyLease::noteRestored(StoreEra era, WindowNumber uncommitted, absl::Time now)
{
    if (era <= end_.era)
        return;
    const bool mayHaveExpired = now > actUntil_ + 2 * options_.margin;
    continues_ = (continues_ || holder_ == self_) && !mayHaveExpired;
    if (!continues_) {
        figures_.clear();
        commitFrom_ = uncommitted;
        lastInstance_.clear();
        ownActsEnd_ = std::max(ownActsEnd_, start_.value_or(absl::InfinitePast()));
    }
    sawRestoration_ = sawRestoration_ || caughtUp_ || end_ != LogPosition {};
    end_ = { era, 0 };
    restoredAt_ = now;
    uncertainBefore_ = uncommitted;
    caughtUp_ = false;
    holder_.reset();
    sent_.clear();
}

void DutyLease::noteUncommitted(WindowNumber uncommitted)
{
    if (restoredAt_ == absl::InfinitePast())
        return;
    uncertainBefore_ = std::max(uncertainBefore_, uncommitted);
    if (!continues_)
        commitFrom_ = std::max(commitFrom_, uncommitted);
}

void DutyLease::noteSent(std::uint64_t nonce, absl::Time sent)
{
    sent_[nonce] = sent;
}

bool DutyLease::mayClaim(absl::Time now) const
{
    if (!caughtUp_ || stopping_)
        return false;
    // A log without a record is that of a new deployment, unless it is known to have been restored.
    // A copy from before the deployment's first claim would look the same to a new process.
    if (!holder_ && !sawRestoration_ && end_.offset == 0)
        return true;
    // Receivers that do not compare fencing numbers must not see two holders alternate within one
    // lease duration.
    if (lastInstance_ != self_.instance && now <= ownActsEnd_ + options_.lease)
        return false;
    if (!holder_)
        return continues_ || now > restoredAt_ + options_.lease + options_.margin;
    if (*holder_ == self_)
        return superseded_ == fencingNumber_ && now > holderSeenAt_ + options_.lease;
    return now > holderSeenAt_ + options_.lease + options_.margin;
}

const UsageCounts *DutyLease::figuresOf(WindowNumber window) const
{
    const auto found = figures_.find(window);
    return found == figures_.end() ? nullptr : &found->second;
}

std::optional<WindowNumber> DutyLease::firstFigures() const
{
    if (figures_.empty())
        return std::nullopt;
    return figures_.begin()->first;
}

void DutyLease::discardFiguresBefore(WindowNumber window)
{
    figures_.erase(figures_.begin(), figures_.lower_bound(window));
}

} // namespace zinniadoor::gateway
