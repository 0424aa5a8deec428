#include "zinniadoor/ctl/log_client.hpp"

#include <sodium.h>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace zinniadoor::ctl {

namespace {

constexpr std::size_t PageRecords = 500;
constexpr base::Offset BeyondTheEnd = 1ULL << 62;
constexpr absl::Duration PollWait = absl::Milliseconds(500);
constexpr absl::Duration FailurePause = absl::Milliseconds(200);

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

AppendResult LogClient::append(const control::Record &record, absl::Duration patience)
{
    const control::Frame frame = newFrame(record);
    // Where the log ends before the append: the place to look for the frame from.
    const base::Outcome<ports::LogPage> before
        = log_->readAfter(BeyondTheEnd, 1, absl::ZeroDuration());
    if (!before)
        return { AppendEffect::NotInLog, 0, before.lastReason() };
    const base::Outcome<base::Offset> offset = log_->append(control::encodeFrame(frame));
    if (offset)
        return { AppendEffect::InLog, *offset, {} };
    if (offset.lastReason().code != base::ReasonCode::OutcomeUnknown)
        return { AppendEffect::NotInLog, 0, offset.lastReason() };
    return lookFor(frame, before->lastOffset, patience);
}

AppendResult LogClient::lookFor(const control::Frame &frame, base::Offset after,
                                absl::Duration patience)
{
    const absl::Time giveUpAt = absl::Now() + patience;
    base::Reason reason { base::ReasonCode::OutcomeUnknown, "the log's answer was lost" };
    while (absl::Now() < giveUpAt) {
        const base::Outcome<ports::LogPage> page = log_->readAfter(after, PageRecords, PollWait);
        if (!page) {
            reason = page.lastReason();
            absl::SleepFor(FailurePause);
            continue;
        }
        for (const ports::LogEntry &entry : page->entries) {
            after = entry.offset;
            const base::Outcome<control::Frame> read = control::decodeFrame(entry.data);
            if (read && read->writer == frame.writer)
                return { AppendEffect::InLog, entry.offset, {} };
        }
    }
    // An append still on its way could land later, so absence now proves nothing.
    return { AppendEffect::Unknown, 0, reason };
}

} // namespace zinniadoor::ctl
