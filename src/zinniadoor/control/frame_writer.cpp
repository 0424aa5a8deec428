#include "zinniadoor/control/frame_writer.hpp"

#include <algorithm>

#include "zinniadoor/base/codec.hpp"

namespace zinniadoor::control {

FrameWriter::FrameWriter(FrameWriterOptions options)
    : options_(std::move(options))
{ }

base::Status FrameWriter::add(Record record)
{
    const std::size_t bytes = base::encode(record).size();
    if (waitingBytes_ + bytes > options_.maxPendingBytes)
        return base::Reason { base::ReasonCode::Overloaded, "too many records wait for the log" };
    waitingBytes_ += bytes;
    waiting_.push_back({ std::move(record), bytes });
    return base::Done {};
}

std::optional<OutgoingFrame> FrameWriter::next(const FrameHeader &header, std::size_t liveInstances,
                                               absl::Time now)
{
    const double instances = static_cast<double>(std::max<std::size_t>(liveInstances, 1));
    const absl::Duration pace = absl::Seconds(instances / options_.appendsPerSecond);
    if (now < lastSentAt_ + pace)
        return std::nullopt;
    if (stage_ == Stage::Absent && now >= retryAt_) {
        stage_ = Stage::Appending;
        lastSentAt_ = now;
        return current_;
    }
    if (stage_ != Stage::Idle)
        return std::nullopt;
    if (waiting_.empty() && now < lastSentAt_ + options_.heartbeat)
        return std::nullopt;
    return cutFrame(header, now);
}

OutgoingFrame FrameWriter::cutFrame(const FrameHeader &header, absl::Time now)
{
    Frame frame;
    frame.writer = options_.self.instance;
    frame.incarnation = options_.self.incarnation;
    frame.sequence = current_.sequence + 1;
    frame.snapshotOffset = header.snapshotOffset;
    frame.bundleVersion = header.bundleVersion;
    std::size_t bytes = 0;
    while (!waiting_.empty()) {
        const std::size_t more = waiting_.front().bytes;
        if (!frame.records.empty() && bytes + more > options_.maxFrameBytes)
            break;
        bytes += more;
        frame.records.push_back(std::move(waiting_.front().record));
        waiting_.pop_front();
    }
    waitingBytes_ -= bytes;
    current_ = { frame.sequence, encodeFrame(frame) };
    stage_ = Stage::Appending;
    lastSentAt_ = now;
    // A lease counts from the first sending: which of several copies landed cannot be told.
    firstSentAt_[frame.sequence] = now;
    return current_;
}

void FrameWriter::onAppended(std::uint64_t sequence, const base::Outcome<base::Offset> &outcome,
                             absl::Time now)
{
    if (sequence != current_.sequence || stage_ != Stage::Appending)
        return;
    if (outcome) {
        stage_ = Stage::Idle;
        return;
    }
    if (outcome.lastReason().code == base::ReasonCode::OutcomeUnknown) {
        stage_ = Stage::AnswerLost;
        answerLostAt_ = now;
        return;
    }
    stage_ = Stage::Absent;
    retryAt_ = now + options_.retryDelay;
}

void FrameWriter::onRead(std::uint64_t sequence, base::Offset offset)
{
    const auto sent = firstSentAt_.find(sequence);
    if (sent == firstSentAt_.end())
        return;
    lastSeen_ = { offset, sent->second };
    firstSentAt_.erase(firstSentAt_.begin(), std::next(sent));
    if (sequence == current_.sequence)
        stage_ = Stage::Idle;
}

void FrameWriter::onReadToEnd(absl::Time readSentAt, absl::Time now)
{
    // An append whose answer was lost may still land after this read. Appending the frame again
    // is safe all the same, since it keeps its name and the state counts a name once; reading
    // first only spares appends.
    if (stage_ != Stage::AnswerLost || readSentAt < answerLostAt_)
        return;
    stage_ = Stage::Absent;
    retryAt_ = now + options_.retryDelay;
}

} // namespace zinniadoor::control
