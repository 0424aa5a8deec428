#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/control/instance_table.hpp"
#include "zinniadoor/control/records.hpp"

namespace zinniadoor::control {

struct FrameWriterOptions
{
    Process self;
    double appendsPerSecond = 200; ///< Rate limit, summed over all instances.
    absl::Duration heartbeat = absl::Seconds(1); ///< Maximum time between two frames.
    absl::Duration retryDelay = absl::Milliseconds(200); ///< Delay after a failed append.
    std::size_t maxFrameBytes = 1'000'000;
    std::size_t maxPendingBytes = 64'000'000;
};

/// An encoded frame to append to the log.
struct OutgoingFrame
{
    std::uint64_t sequence = 0;
    std::string bytes;
};

/// The writer's status that each frame carries.
struct FrameHeader
{
    base::Offset snapshotOffset = 0;
    std::uint64_t bundleVersion = 0;
};

/// The newest frame of this process that has been read back from the log.
struct ConfirmedFrame
{
    base::Offset offset = 0; ///< 0 if none.
    absl::Time sentAt = absl::InfinitePast(); ///< Time of the first attempt to append it.
};

/// Batches records into frames and appends them to the log, with at most one append in flight.
class FrameWriter
{
public:
    explicit FrameWriter(FrameWriterOptions options);

    /// Queues a record. Fails with Overloaded if the pending records exceed `maxPendingBytes`.
    base::Status add(Record record);

    /// Returns the frame to append now, if any: a new one, or the current one for a retry.
    /// The append rate is divided evenly among `liveInstances`.
    std::optional<OutgoingFrame> next(const FrameHeader &header, std::size_t liveInstances,
                                      absl::Time now);

    /// Reports the outcome of an append.
    void onAppended(std::uint64_t sequence, const base::Outcome<base::Offset> &outcome,
                    absl::Time now);

    /// Reports that a frame of this process was read back from the log.
    void onRead(std::uint64_t sequence, base::Offset offset);

    /// Reports that a read sent at `readSentAt` reached the end of the log.
    void onReadToEnd(absl::Time readSentAt, absl::Time now);

    const ConfirmedFrame &lastConfirmed() const { return lastConfirmed_; }

    /// Whether no record is pending and no append is in flight.
    bool isIdle() const { return pending_.empty() && stage_ == Stage::Idle; }

private:
    enum class Stage {
        Idle,
        Appending, ///< An append is in flight.
        OutcomeUnknown, ///< To be resolved by reading the log.
        Retry, ///< Not in the log; to be appended again.
    };

    struct PendingRecord
    {
        Record record;
        std::size_t bytes = 0;
    };

    OutgoingFrame buildFrame(const FrameHeader &header, absl::Time now);

    FrameWriterOptions options_;
    std::deque<PendingRecord> pending_;
    std::size_t pendingBytes_ = 0;
    Stage stage_ = Stage::Idle;
    OutgoingFrame current_;
    absl::Time lastSentAt_ = absl::InfinitePast();
    absl::Time outcomeUnknownAt_ = absl::InfinitePast();
    absl::Time retryAt_ = absl::InfinitePast();
    std::map<std::uint64_t, absl::Time> firstSentAt_; ///< By sequence; frames not yet read back.
    ConfirmedFrame lastConfirmed_;
};

} // namespace zinniadoor::control
