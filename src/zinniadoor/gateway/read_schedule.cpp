#include "zinniadoor/gateway/read_schedule.hpp"

#include <algorithm>

#include "turn_order.hpp"

namespace zinniadoor::gateway {

namespace {

/// The relay timeout is extended by up to this fraction. At 0.4 of the notice, an instance that
/// hears nobody reads after 0.64 of the notice at the latest, with time for a repetition.
constexpr double TimeoutSpread = 0.6;

/// The delay after failed reads doubles, up to a fraction of the relay timeout.
constexpr int MaxDoublings = 6;
constexpr double RetryShare = 0.5;

/// The same for followers that miss no known record: the delay grows fourfold, since instances that
/// come earlier in the order of takeovers try for them.
constexpr double FollowerRetryShare = 0.75;

/// Added to a follower's delay, as a fraction of the relay timeout, for the instance that takes
/// over last: 0.64 + 0.05 + 0.2 of the notice leave time for the first repetition.
constexpr double RetrySpread = 0.5;

/// Failed reads that took longer, as a fraction of the relay timeout, are repeated without a
/// spread.
constexpr double LongReadShare = 0.1;

} // namespace

const char *nameOf(ReadCause cause)
{
    switch (cause) {
    case ReadCause::Start:
        return "start";
    case ReadCause::Poll:
        return "poll";
    case ReadCause::Gap:
        return "gap";
    case ReadCause::Silence:
        return "silence";
    case ReadCause::CatchUp:
        return "catch_up";
    }
    return "unknown";
}

const char *nameOf(ReaderChange change)
{
    switch (change) {
    case ReaderChange::None:
        return "none";
    case ReaderChange::Start:
        return "start";
    case ReaderChange::Silence:
        return "silence";
    case ReaderChange::OtherReader:
        return "other_reader";
    case ReaderChange::ReadFailed:
        return "read_failed";
    }
    return "unknown";
}

ReadSchedule::ReadSchedule(const ReadScheduleOptions &options)
    : options_(options)
    , order_(detail::orderOf(options.ownRank))
    , relayTimeout_(options.relayTimeout * (1 + TimeoutSpread * order_))
{ }

void ReadSchedule::noteNewest(absl::Time requestedAt)
{
    noteAnswer();
    if (polls() || lastShown_ != absl::InfinitePast())
        return;
    startedAt_ = requestedAt;
    if (options_.startTimeout <= absl::ZeroDuration())
        role_ = Role::Candidate;
}

bool ReadSchedule::notePart(std::uint64_t rank, absl::Time shownAt, absl::Time now)
{
    // The sender will receive parts of this instance and stop reading. An instance whose reads fail
    // relays nothing, so it takes those of any sender.
    if (polls() && !hasFailed_ && rank >= options_.ownRank)
        return false;
    // A part that was delayed on its way does not show what the log holds now.
    if (shownAt <= lastShown_ || now - shownAt >= relayTimeout_)
        return false;
    lastShown_ = shownAt;
    startedAt_ = absl::InfinitePast();
    if (role_ == Role::Reader)
        change_ = hasFailed_ ? ReaderChange::ReadFailed : ReaderChange::OtherReader;
    role_ = Role::Follower;
    hasFailed_ = false;
    return true;
}

void ReadSchedule::noteRead(absl::Time now)
{
    hasFailed_ = false;
    if (role_ == Role::Reader || now - lastShown_ < relayTimeout_)
        return;
    change_ = lastShown_ == absl::InfinitePast() ? ReaderChange::Start : ReaderChange::Silence;
    role_ = Role::Reader;
}

absl::Duration ReadSchedule::noteFailure(bool isUrgent, absl::Duration took)
{
    const bool serves = polls();
    const bool isQuick = serves || isUrgent;
    const int doublings = isQuick ? retries_ : 2 * retries_;
    const absl::Duration maxDelay = std::max(
        options_.retryDelay, options_.relayTimeout * (isQuick ? RetryShare : FollowerRetryShare));
    const absl::Duration delay = std::min(options_.retryDelay * (1 << doublings), maxDelay);
    retries_ = std::min(retries_ + 1, MaxDoublings);
    if (serves)
        hasFailed_ = true;
    // After a read that was not answered, the rest of the notice does not allow for the spread.
    const bool hasTime = took < options_.relayTimeout * LongReadShare;
    return isQuick || !hasTime ? delay : delay + options_.relayTimeout * (RetrySpread * order_);
}

ReadSchedule::Next ReadSchedule::next(absl::Time now) const
{
    if (polls())
        return { ReadCause::Poll, options_.readInterval };
    absl::Time due = lastShown_ + relayTimeout_;
    if (startedAt_ != absl::InfinitePast())
        due = startedAt_ + options_.startTimeout * (1 + TimeoutSpread * order_);
    return { ReadCause::Silence, std::max(due - now, absl::ZeroDuration()) };
}

ReaderChange ReadSchedule::takeChange()
{
    const ReaderChange change = change_;
    change_ = ReaderChange::None;
    return change;
}

} // namespace zinniadoor::gateway
