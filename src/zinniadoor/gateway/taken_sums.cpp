#include "zinniadoor/gateway/taken_sums.hpp"

#include <utility>

namespace zinniadoor::gateway {

TakenSums::TakenSums(const ProcessStart &start)
    : start_(start)
{ }

void TakenSums::note(const ProcessName &source, const TakenCounts &counts, CountsTold told,
                     absl::Time now)
{
    Source &known = sources_[source.instance];
    if (source.incarnation < known.incarnation)
        return;
    if (source.incarnation > known.incarnation)
        known.told.clear();
    known.incarnation = source.incarnation;
    if (!known.isCounted && told != CountsTold::All)
        return;
    // A process that was running before counts from what it says first; a new one from zero.
    const bool isBaseline
        = !std::exchange(known.isCounted, true) && !start_.covers(source.incarnation, now);
    for (const auto &[organisation, count] : counts) {
        double &before = known.told[organisation];
        const double more = isBaseline ? 0 : count - before;
        before = count;
        known.contributed[organisation] += more;
        total_[organisation] += more;
    }
}

double TakenSums::contribution(const std::string &instance, const std::string &organisation) const
{
    const auto source = sources_.find(instance);
    if (source == sources_.end())
        return 0;
    const auto found = source->second.contributed.find(organisation);
    return found == source->second.contributed.end() ? 0 : found->second;
}

} // namespace zinniadoor::gateway
