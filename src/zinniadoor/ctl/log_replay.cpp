#include "zinniadoor/ctl/log_replay.hpp"

#include "absl/time/clock.h"

#include "zinniadoor/ctl/interrupt.hpp"

namespace zinniadoor::ctl {

namespace {

constexpr absl::Duration PageWait = absl::Milliseconds(500);

/// Ignores replay events; the tool needs only the final state.
class NullObserver : public control::ReplayObserver
{
public:
    void onApplied(const control::Frame &, base::Offset, const control::ApplyResult &) override { }
    void onSnapshotLoaded(const control::State &) override { }
};

base::Reason timeoutReason()
{
    if (isInterrupted())
        return { base::ReasonCode::Timeout, "interrupted" };
    return { base::ReasonCode::Timeout, "timed out reading the log" };
}

} // namespace

base::Status LogReplay::readPage(absl::Duration wait)
{
    NullObserver observer;
    const control::ReplayRead next = replayer_.nextRead();
    const base::Outcome<ports::LogPage> page
        = log_.readAfter(next.after, next.limit, next.mayWait ? wait : absl::ZeroDuration());
    if (page) {
        replayer_.onPage(control::preparePage(*page), observer);
        return base::Done {};
    }
    if (page.lastReason().code != base::ReasonCode::Gone)
        return page.lastReason();
    replayer_.onLogTruncated();
    return base::Done {};
}

base::Status LogReplay::catchUp(absl::Duration timeout)
{
    const absl::Time deadline = absl::Now() + timeout;
    while (!replayer_.atEnd()) {
        if (absl::Now() >= deadline || isInterrupted())
            return timeoutReason();
        base::Status read = readPage(absl::ZeroDuration());
        if (!read)
            return read;
    }
    if (replayer_.historyLost())
        return base::Reason { base::ReasonCode::Gone,
                              "the start of the log was truncated and no snapshot is available" };
    return base::Done {};
}

base::Outcome<RecordOutcome> LogReplay::waitForOutcome(base::Offset offset, absl::Duration timeout)
{
    const absl::Time deadline = absl::Now() + timeout;
    while (state().appliedThrough() < offset) {
        if (absl::Now() >= deadline || isInterrupted())
            return timeoutReason();
        const base::Status read = readPage(PageWait);
        if (!read)
            return read.lastReason();
    }
    for (const control::Rejection &rejection : state().configuration().rejections()) {
        if (rejection.offset == offset)
            return RecordOutcome { false, rejection.reason };
    }
    return RecordOutcome { true, "" };
}

} // namespace zinniadoor::ctl
