#pragma once

#include "zinniadoor/gateway/report_queue.hpp"
#include "zinniadoor/serving/part_crash_list.hpp"

namespace zinniadoor::gateway {

/// Reports about parts that wait to be included in messages to peers. Not thread-safe.
class PartReportQueue
{
public:
    /// Maximum numbers in one message, which keep it below a usual network MTU.
    static constexpr std::size_t MaxCrashesPerMessage = 8;
    static constexpr std::size_t MaxSuccessesPerMessage = 16;

    PartReportQueue();
    void push(const serving::PartReports &reports, absl::Time now);

    /// Also sends those again that were sent a short time ago.
    void pushAgain(const serving::PartReports &reports, absl::Time now);

    /// Each report is included in one message only.
    void pushOnce(const serving::PartReports &reports, absl::Time now);

    /// Reports for the next message.
    serving::PartReports take(absl::Time now);

private:
    ReportQueue<serving::PartCrash> crashes_;
    ReportQueue<serving::PartSuccess> successes_;
};

} // namespace zinniadoor::gateway
