#include "zinniadoor/gateway/part_report_queue.hpp"

namespace zinniadoor::gateway {

PartReportQueue::PartReportQueue()
    : crashes_([](const serving::PartCrash &a, const serving::PartCrash &b) {
        return a.part == b.part && a.endpoint == b.endpoint;
    })
    , successes_([](const serving::PartSuccess &a, const serving::PartSuccess &b) {
        return a.part == b.part;
    })
{ }

void PartReportQueue::push(const serving::PartReports &reports, absl::Time now)
{
    crashes_.push(reports.crashes, now);
    successes_.push(reports.successes, now);
}

void PartReportQueue::pushAgain(const serving::PartReports &reports, absl::Time now)
{
    crashes_.pushAgain(reports.crashes, now);
    successes_.pushAgain(reports.successes, now);
}

void PartReportQueue::pushOnce(const serving::PartReports &reports, absl::Time now)
{
    crashes_.push(reports.crashes, 1, now);
    successes_.push(reports.successes, 1, now);
}

serving::PartReports PartReportQueue::take(absl::Time now)
{
    return { crashes_.take(MaxCrashesPerMessage, now),
             successes_.take(MaxSuccessesPerMessage, now) };
}

} // namespace zinniadoor::gateway
