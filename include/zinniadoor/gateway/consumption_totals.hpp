#pragma once

#include <map>
#include <string>

#include "zinniadoor/gateway/process_name.hpp"
#include "zinniadoor/gateway/quota.hpp"

namespace zinniadoor::gateway {

/// Sums the quota consumption of several sources from their cumulative counts. The first full
/// counts of a source are its baseline and not added, so that the totals of a leader grow only by
/// new consumption and never jump when sources come and go. Not thread-safe.
class ConsumptionTotals
{
public:
    /// Sources that started after `start` have a baseline of zero.
    explicit ConsumptionTotals(const ProcessStart &start);

    /// Counts reported by a source. The caller must have dropped reordered reports.
    void note(const ProcessName &source, const ConsumedCounts &counts, CountsScope scope,
              absl::Time now);

    /// Sum of all sources, each since its baseline.
    const ConsumedCounts &total() const { return total_; }

    /// Contribution of one source to the total; 0 if there is none.
    double contribution(const std::string &instance, const std::string &organisation) const;

private:
    struct Source
    {
        std::uint64_t incarnation = 0;
        bool isCounted = false; ///< Has reported its full counts.
        ConsumedCounts lastCounts;
        ConsumedCounts contributed;
    };

    ProcessStart start_;
    std::map<std::string, Source> sources_; ///< By instance.
    ConsumedCounts total_;
};

} // namespace zinniadoor::gateway
