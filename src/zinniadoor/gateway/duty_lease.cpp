#include "zinniadoor/gateway/duty_lease.hpp"

#include <algorithm>

namespace zinniadoor::gateway {

DutyLease::DutyLease(ProcessName self, const LeaseOptions &options)
    : self_(std::move(self))
    , options_(options)
{ }

void DutyLease::apply(const LeaseRecord &record, LogOffset offset, absl::Time now)
{
    end_ = std::max(end_, offset + 1);
    const std::uint64_t number
        = record.kind == LeaseRecordKind::Claim ? offset : record.fencingNumber;
    if (record.kind == LeaseRecordKind::UsageFigures)
        figures_.try_emplace(record.window, record.counts);
    if (record.kind == LeaseRecordKind::Renewal)
        reportedBefore_ = std::max(reportedBefore_, record.window);
    if (number < fencingNumber_)
        return; // From a holder that has been replaced.
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

void DutyLease::noteRead(LogOffset end, absl::Time)
{
    end_ = std::max(end_, end);
    caughtUp_ = true;
}

void DutyLease::noteTrimmed(LogOffset first)
{
    end_ = std::max(end_, first);
}

void DutyLease::noteSent(std::uint64_t nonce, absl::Time sent)
{
    sent_[nonce] = sent;
}

bool DutyLease::mayClaim(absl::Time now) const
{
    if (!caughtUp_ || stopping_)
        return false;
    // Receivers that do not compare fencing numbers must not see two holders alternate within one
    // lease duration.
    if (lastInstance_ != self_.instance && now <= ownActsEnd_ + options_.lease)
        return false;
    if (!holder_)
        return true;
    if (*holder_ == self_)
        return superseded_ == fencingNumber_ && now > holderSeenAt_ + options_.lease;
    return now > holderSeenAt_ + options_.lease + options_.margin;
}

const UsageCounts *DutyLease::figuresOf(WindowNumber window) const
{
    const auto found = figures_.find(window);
    return found == figures_.end() ? nullptr : &found->second;
}

void DutyLease::discardFiguresBefore(WindowNumber window)
{
    figures_.erase(figures_.begin(), figures_.lower_bound(window));
}

} // namespace zinniadoor::gateway
