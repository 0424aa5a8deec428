#include "zinniadoor/ctl/log_replay.hpp"

#include "absl/time/clock.h"

#include "zinniadoor/ctl/interrupt.hpp"

namespace zinniadoor::ctl {

namespace {

constexpr absl::Duration PageWait = absl::Milliseconds(500);

/// The tool looks at the state only.
class NoObserver : public control::ReplayObserver
{
public:
    void onApplied(const control::Frame &, base::Offset, const control::ApplyResult &) override { }
    void onSnapshotLoaded(const control::State &) override { }
};

base::Reason tooLong()
{
    if (isInterrupted())
        return { base::ReasonCode::Timeout, "interrupted" };
    return { base::ReasonCode::Timeout, "reading the log took too long" };
}

} // namespace

base::Status LogReplay::readMore(absl::Duration wait)
{
    NoObserver observer;
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

base::Status LogReplay::catchUp(absl::Duration patience)
{
    const absl::Time giveUpAt = absl::Now() + patience;
    while (!replayer_.atEnd()) {
        if (absl::Now() >= giveUpAt || isInterrupted())
            return tooLong();
        base::Status read = readMore(absl::ZeroDuration());
        if (!read)
            return read;
    }
    if (replayer_.historyLost())
        return base::Reason { base::ReasonCode::Gone,
                              "the log's beginning is gone and no snapshot is left" };
    return base::Done {};
}

base::Outcome<Verdict> LogReplay::verdictOn(base::Offset offset, absl::Duration patience)
{
    const absl::Time giveUpAt = absl::Now() + patience;
    while (state().appliedThrough() < offset) {
        if (absl::Now() >= giveUpAt || isInterrupted())
            return tooLong();
        const base::Status read = readMore(PageWait);
        if (!read)
            return read.lastReason();
    }
    for (const control::Rejection &rejection : state().configuration().rejections()) {
        if (rejection.offset == offset)
            return Verdict { false, rejection.reason };
    }
    return Verdict { true, "" };
}

} // namespace zinniadoor::ctl
