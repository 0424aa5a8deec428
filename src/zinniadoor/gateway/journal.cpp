#include "zinniadoor/gateway/journal.hpp"

namespace zinniadoor::gateway {

void UsageLedger::apply(const JournalRecord &record)
{
    if (record.kind == JournalRecordKind::Usage)
        counts_[record.window].try_emplace(record.process, record.counts);
}

bool UsageLedger::has(WindowNumber window, const ProcessName &process) const
{
    const auto found = counts_.find(window);
    return found != counts_.end() && found->second.count(process) > 0;
}

UsageCounts UsageLedger::sum(WindowNumber window,
                             const std::map<ProcessName, UsageCounts> &reported) const
{
    std::map<ProcessName, UsageCounts> all = reported;
    const auto found = counts_.find(window);
    if (found != counts_.end()) {
        for (const auto &[process, counts] : found->second)
            all[process] = counts;
    }
    UsageCounts sum;
    for (const auto &[process, counts] : all) {
        for (const auto &[organisation, requests] : counts)
            sum[organisation] += requests;
    }
    return sum;
}

void UsageLedger::discardBefore(WindowNumber window)
{
    counts_.erase(counts_.begin(), counts_.lower_bound(window));
}

} // namespace zinniadoor::gateway
