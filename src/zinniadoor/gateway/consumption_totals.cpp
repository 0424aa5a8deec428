#include "zinniadoor/gateway/consumption_totals.hpp"

#include <utility>

namespace zinniadoor::gateway {

ConsumptionTotals::ConsumptionTotals(const ProcessStart &start)
    : start_(start)
{ }

void ConsumptionTotals::note(const ProcessName &source, const ConsumedCounts &counts,
                             CountsScope scope, absl::Time now)
{
    Source &tracked = sources_[source.instance];
    if (source.incarnation < tracked.incarnation)
        return;
    if (source.incarnation > tracked.incarnation)
        tracked.lastCounts.clear();
    tracked.incarnation = source.incarnation;
    if (!tracked.isCounted && scope != CountsScope::All)
        return;
    // The first counts of a process that was running before are a baseline; a new one starts at 0.
    const bool isBaseline
        = !std::exchange(tracked.isCounted, true) && !start_.precedes(source.incarnation, now);
    for (const auto &[organisation, count] : counts) {
        double &before = tracked.lastCounts[organisation];
        const double more = isBaseline ? 0 : count - before;
        before = count;
        tracked.contributed[organisation] += more;
        total_[organisation] += more;
    }
}

double ConsumptionTotals::contribution(const std::string &instance,
                                       const std::string &organisation) const
{
    const auto source = sources_.find(instance);
    if (source == sources_.end())
        return 0;
    const auto found = source->second.contributed.find(organisation);
    return found == source->second.contributed.end() ? 0 : found->second;
}

} // namespace zinniadoor::gateway
