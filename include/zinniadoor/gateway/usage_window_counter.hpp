#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"

namespace zinniadoor::gateway {

/// Number of a usage window, counted from the Unix epoch.
using WindowNumber = std::uint64_t;

/// Number of started requests by organisation.
using UsageCounts = std::map<std::string, std::uint64_t>;

/// Counts requests by the window in which they started. Not thread-safe.
class UsageWindowCounter
{
public:
    explicit UsageWindowCounter(absl::Duration window);

    WindowNumber windowAt(absl::Time clusterTime) const;
    absl::Time endOf(WindowNumber window) const;

    /// Windows before this one are complete: no more requests will be counted in them.
    WindowNumber completeBefore(absl::Time clusterTime) const;

    void count(const base::OrganisationId &organisation, absl::Time clusterTime);

    /// Empty if no request started in the window.
    UsageCounts countsOf(WindowNumber window) const;

    void discardBefore(WindowNumber window);

private:
    absl::Duration window_;
    std::map<WindowNumber, UsageCounts> counts_;
};

} // namespace zinniadoor::gateway
