#include "zinniadoor/gateway/crash_report_queue.hpp"

namespace zinniadoor::gateway {

namespace {

bool isSameKey(const serving::SuspectEvent &a, const serving::SuspectEvent &b)
{
    return a.key == b.key;
}

} // namespace

CrashReportQueue::CrashReportQueue()
    : crashes_([](const serving::SuspectCrash &a, const serving::SuspectCrash &b) {
        return a.key == b.key && a.endpoint == b.endpoint;
    })
    , successes_(isSameKey)
    , trials_(isSameKey)
{ }

void CrashReportQueue::push(const serving::CrashReports &reports, absl::Time now)
{
    crashes_.push(reports.crashes, now);
    successes_.push(reports.successes, now);
    trials_.push(reports.trials, now);
}

void CrashReportQueue::pushAgain(const serving::CrashReports &reports, absl::Time now)
{
    crashes_.pushAgain(reports.crashes, now);
    successes_.pushAgain(reports.successes, now);
    trials_.pushAgain(reports.trials, now);
}

void CrashReportQueue::pushOnce(const serving::CrashReports &reports, absl::Time now)
{
    crashes_.push(reports.crashes, 1, now);
    successes_.push(reports.successes, 1, now);
    trials_.push(reports.trials, 1, now);
}

serving::CrashReports CrashReportQueue::take(absl::Time now)
{
    return { crashes_.take(MaxCrashesPerMessage, now), successes_.take(MaxSuccessesPerMessage, now),
             trials_.take(MaxTrialsPerMessage, now) };
}

} // namespace zinniadoor::gateway
