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
    if (pendingBytes_ + bytes > options_.maxPendingBytes)
        return base::Reason { base::ReasonCode::Overloaded, "too many records wait for the log" };
    pendingBytes_ += bytes;
    pending_.push_back({ std::move(record), bytes });
    return base::Done {};
}

std::optional<OutgoingFrame> FrameWriter::next(const FrameHeader &header, std::size_t liveInstances,
                                               absl::Time now)
{
    const double instances = static_cast<double>(std::max<std::size_t>(liveInstances, 1));
    const absl::Duration interval = absl::Seconds(instances / options_.appendsPerSecond);
    if (now < lastSentAt_ + interval)
        return std::nullopt;
    if (stage_ == Stage::Retry && now >= retryAt_) {
        stage_ = Stage::Appending;
        lastSentAt_ = now;
        return current_;
    }
    if (stage_ != Stage::Idle)
        return std::nullopt;
    if (pending_.empty() && now < lastSentAt_ + options_.heartbeat)
        return std::nullopt;
    return buildFrame(header, now);
}

OutgoingFrame FrameWriter::buildFrame(const FrameHeader &header, absl::Time now)
{
    Frame frame;
    frame.writer = options_.self.instance;
    frame.incarnation = options_.self.incarnation;
    frame.sequence = current_.sequence + 1;
    frame.snapshotOffset = header.snapshotOffset;
    frame.bundleVersion = header.bundleVersion;
    std::size_t bytes = 0;
    while (!pending_.empty()) {
        const std::size_t recordBytes = pending_.front().bytes;
        if (!frame.records.empty() && bytes + recordBytes > options_.maxFrameBytes)
            break;
        bytes += recordBytes;
        frame.records.push_back(std::move(pending_.front().record));
        pending_.pop_front();
    }
    pendingBytes_ -= bytes;
    current_ = { frame.sequence, encodeFrame(frame) };
    stage_ = Stage::Appending;
    lastSentAt_ = now;
    // A lease is renewed from the first attempt, since it cannot be determined which of several
    // attempts wrote the frame.
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
        stage_ = Stage::OutcomeUnknown;
        outcomeUnknownAt_ = now;
        return;
    }
    stage_ = Stage::Retry;
    retryAt_ = now + options_.retryDelay;
}

void FrameWriter::onRead(std::uint64_t sequence, base::Offset offset)
{
    const auto sent = firstSentAt_.find(sequence);
    if (sent == firstSentAt_.end())
        return;
    lastConfirmed_ = { offset, sent->second };
    firstSentAt_.erase(firstSentAt_.begin(), std::next(sent));
    if (sequence == current_.sequence)
        stage_ = Stage::Idle;
}

void FrameWriter::onReadToEnd(absl::Time readSentAt, absl::Time now)
{
    // An append with unknown outcome may still take effect after this read. Appending the frame
    // again is safe nevertheless: it keeps its sequence number, and the state accepts each number
    // once. Reading first only avoids needless appends.
    if (stage_ != Stage::OutcomeUnknown || readSentAt < outcomeUnknownAt_)
        return;
    stage_ = Stage::Retry;
    retryAt_ = now + options_.retryDelay;
}

} // namespace zinniadoor::control
