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
    double appendsPerSecond = 200; ///< Of all instances together.
    absl::Duration heartbeat = absl::Seconds(1); ///< Longest time between two frames.
    absl::Duration retryDelay = absl::Milliseconds(200); ///< After a failed append.
    std::size_t maxFrameBytes = 1'000'000;
    std::size_t maxPendingBytes = 64'000'000;
};

/// A frame to append now.
struct OutgoingFrame
{
    std::uint64_t sequence = 0;
    std::string bytes;
};

/// What a frame tells of its writer.
struct FrameHeader
{
    base::Offset snapshotOffset = 0;
    std::uint64_t bundleVersion = 0;
};

/// The last own frame that was read in the log.
struct ConfirmedFrame
{
    base::Offset offset = 0; ///< 0 for none.
    absl::Time sentAt = absl::InfinitePast(); ///< When it was sent for the first time.
};

/// Gathers records into frames and has one frame at a time on its way to the log.
class FrameWriter
{
public:
    explicit FrameWriter(FrameWriterOptions options);

    /// Overloaded while too much is waiting.
    base::Status add(Record record);

    /// A frame to append now, if there is one: the next one, or the last one again.
    std::optional<OutgoingFrame> next(const FrameHeader &header, std::size_t liveInstances,
                                      absl::Time now);

    /// What an append gave, at `now`.
    void onAppended(std::uint64_t sequence, const base::Outcome<base::Offset> &outcome,
                    absl::Time now);

    /// A frame of this process was read in the log.
    void onRead(std::uint64_t sequence, base::Offset offset);

    /// The log was read to its end by a read that was sent at `readSentAt`.
    void onReadToEnd(absl::Time readSentAt, absl::Time now);

    const ConfirmedFrame &lastConfirmed() const { return lastSeen_; }

    /// Whether nothing waits and nothing is on its way.
    bool isIdle() const { return waiting_.empty() && stage_ == Stage::Idle; }

private:
    enum class Stage {
        Idle,
        Appending, ///< An append has no answer yet.
        AnswerLost, ///< Reading the log will tell.
        Absent, ///< To be appended again.
    };

    struct Waiting
    {
        Record record;
        std::size_t bytes = 0;
    };

    OutgoingFrame cutFrame(const FrameHeader &header, absl::Time now);

    FrameWriterOptions options_;
    std::deque<Waiting> waiting_;
    std::size_t waitingBytes_ = 0;
    Stage stage_ = Stage::Idle;
    OutgoingFrame current_;
    absl::Time lastSentAt_ = absl::InfinitePast();
    absl::Time answerLostAt_ = absl::InfinitePast();
    absl::Time retryAt_ = absl::InfinitePast();
    std::map<std::uint64_t, absl::Time> firstSentAt_; ///< Of frames not read yet.
    ConfirmedFrame lastSeen_;
};

} // namespace zinniadoor::control
