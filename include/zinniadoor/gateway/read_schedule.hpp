#pragma once

#include <cstdint>

#include "absl/time/time.h"

namespace zinniadoor::gateway {

/// Why a log is read.
enum class ReadCause : std::uint8_t {
    Start, ///< The newest records: at the start, or after records were trimmed or undone.
    Poll, ///< This instance is the reader.
    Gap, ///< A part showed records that this instance does not have.
    Silence, ///< No parts for the relay timeout.
    CatchUp, ///< A decision needs all records of its time.
};

const char *nameOf(ReadCause cause);

/// Why the reader of a log changed.
enum class ReaderChange : std::uint8_t {
    None,
    Start, ///< No reader was heard after the start.
    Silence, ///< No reader was heard for the relay timeout.
    OtherReader, ///< Another reader of smaller rank was heard.
    ReadFailed, ///< Another reader was heard after this one's read had failed.
};

const char *nameOf(ReaderChange change);

struct ReadScheduleOptions
{
    std::uint64_t ownRank = 0; ///< Of two readers, the one with the larger rank stops.
    absl::Duration readInterval; ///< While this instance is the reader.
    absl::Duration retryDelay; ///< After a failed read; doubles while reads keep failing.
    absl::Duration relayTimeout; ///< Without relayed parts, after which this instance reads.

    /// Time after the newest records were read at the start in which a reader is expected; extended
    /// as the relay timeout is. Zero: this instance is a reader from the start.
    absl::Duration startTimeout;
};

/// Decides when an instance reads a log and whether it is the log's reader. Addresses the calls to
/// a store that rejects some of the instances: one that can read serves the others, whatever its
/// rank, and after a reader's failure few instances read before the first of them is heard.
class ReadSchedule
{
public:
    explicit ReadSchedule(const ReadScheduleOptions &options);

    /// The newest records were read; `requestedAt` is when the read began.
    void noteNewest(absl::Time requestedAt);

    /// A part from an instance with this rank showed the end of the log as of `shownAt`. Returns
    /// whether this instance need not read because of it.
    bool notePart(std::uint64_t rank, absl::Time shownAt, absl::Time now);

    /// A read of the log's tail succeeded, other than after a gap.
    void noteRead(absl::Time now);

    /// A read failed after `took`. `isUrgent`: records are known to be missing. Returns the time
    /// until it is repeated, unless parts arrive.
    absl::Duration noteFailure(bool isUrgent, absl::Duration took = absl::ZeroDuration());

    /// A read succeeded in calling the store.
    void noteAnswer() { retries_ = 0; }

    struct Next
    {
        ReadCause cause = ReadCause::Poll;
        absl::Duration delay;
    };

    /// The next read if no part arrives before it.
    Next next(absl::Time now) const;

    bool isReader() const { return role_ == Role::Reader; }

    /// The latest time as of which a part showed the end of the log.
    absl::Time lastShown() const { return lastShown_; }

    /// Cause of the change of reader since the last call, if there was one.
    ReaderChange takeChange();

private:
    enum class Role : std::uint8_t {
        Follower,
        Candidate, ///< Polls, but has relayed nothing yet.
        Reader,
    };

    bool polls() const { return role_ != Role::Follower; }

    ReadScheduleOptions options_;
    double order_; ///< From 0 to 1: who takes over first.
    absl::Duration relayTimeout_; ///< Extended by this instance's order.
    absl::Time lastShown_ = absl::InfinitePast();
    absl::Time startedAt_ = absl::InfinitePast(); ///< While no reader was heard since the start.
    Role role_ = Role::Follower;
    ReaderChange change_ = ReaderChange::None;
    bool hasFailed_ = false; ///< The last read of this reader failed.
    int retries_ = 0; ///< Consecutive failed reads, up to a limit.
};

} // namespace zinniadoor::gateway
