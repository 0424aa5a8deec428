#pragma once

#include "zinniadoor/gateway/report_queue.hpp"
#include "zinniadoor/serving/crash_evidence.hpp"

namespace zinniadoor::gateway {

/// Reports that wait to be included in messages to peers. Not thread-safe.
class CrashReportQueue
{
public:
    /// Maximum numbers in one message, which keep it below a usual network MTU.
    static constexpr std::size_t MaxCrashesPerMessage = 8;
    static constexpr std::size_t MaxSuccessesPerMessage = 16;
    static constexpr std::size_t MaxTrialsPerMessage = 8;

    CrashReportQueue();
    void push(const serving::CrashReports &reports, absl::Time now);

    /// Also sends those again that were sent a short time ago.
    void pushAgain(const serving::CrashReports &reports, absl::Time now);

    /// Each report is included in one message only.
    void pushOnce(const serving::CrashReports &reports, absl::Time now);

    /// Reports for the next message.
    serving::CrashReports take(absl::Time now);

private:
    ReportQueue<serving::SuspectCrash> crashes_;
    ReportQueue<serving::SuspectAnswer> successes_;
    ReportQueue<serving::SuspectTrial> trials_;
};

} // namespace zinniadoor::gateway
