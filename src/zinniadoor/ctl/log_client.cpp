#include "zinniadoor/ctl/log_client.hpp"

#include <sodium.h>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace zinniadoor::ctl {

namespace {

constexpr std::size_t PageRecords = 500;
constexpr base::Offset PastLogEnd = 1ULL << 62; ///< A read from here returns only the log's bounds.
constexpr absl::Duration PollWait = absl::Milliseconds(500);
constexpr absl::Duration RetryDelay = absl::Milliseconds(200);

control::Frame newFrame(const control::Record &record)
{
    std::uint64_t token = 0;
    randombytes_buf(&token, sizeof(token));
    control::Frame frame;
    frame.writer = base::InstanceId(absl::StrCat("tool/", absl::Hex(token, absl::kZeroPad16)));
    frame.incarnation = 1;
    frame.sequence = 1;
    frame.records.push_back(record);
    return frame;
}

} // namespace

LogClient::LogClient(std::unique_ptr<ports::Log> log)
    : log_(std::move(log))
{ }

AppendResult LogClient::append(const control::Record &record, absl::Duration timeout)
{
    const control::Frame frame = newFrame(record);
    // The end of the log before the append, from which to search for the frame.
    const base::Outcome<ports::LogPage> before
        = log_->readAfter(PastLogEnd, 1, absl::ZeroDuration());
    if (!before)
        return { AppendStatus::NotAppended, 0, before.lastReason() };
    const base::Outcome<base::Offset> offset = log_->append(control::encodeFrame(frame));
    if (offset)
        return { AppendStatus::Appended, *offset, {} };
    if (offset.lastReason().code != base::ReasonCode::OutcomeUnknown)
        return { AppendStatus::NotAppended, 0, offset.lastReason() };
    return findFrame(frame, before->lastOffset, timeout);
}

AppendResult LogClient::findFrame(const control::Frame &frame, base::Offset after,
                                  absl::Duration timeout)
{
    const absl::Time deadline = absl::Now() + timeout;
    base::Reason reason { base::ReasonCode::OutcomeUnknown, "the log service's response was lost" };
    while (absl::Now() < deadline) {
        const base::Outcome<ports::LogPage> page = log_->readAfter(after, PageRecords, PollWait);
        if (!page) {
            reason = page.lastReason();
            absl::SleepFor(RetryDelay);
            continue;
        }
        for (const ports::LogEntry &entry : page->entries) {
            after = entry.offset;
            const base::Outcome<control::Frame> decoded = control::decodeFrame(entry.data);
            if (decoded && decoded->writer == frame.writer)
                return { AppendStatus::Appended, entry.offset, {} };
        }
    }
    // The append may still be in flight, so that the frame's absence proves nothing.
    return { AppendStatus::Unknown, 0, reason };
}

} // namespace zinniadoor::ctl
