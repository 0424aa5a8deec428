#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"

namespace zinniadoor::gateway {

/// Number of a usage window: windows follow each other from the start of 1970.
using WindowNumber = std::uint64_t;

/// Requests that began to run, by organisation.
using UsageCounts = std::map<std::string, std::uint64_t>;

/// Counts requests by the window in which they began to run. For one thread.
class UsageBook
{
public:
    explicit UsageBook(absl::Duration window);

    WindowNumber windowAt(absl::Time trueTime) const;
    absl::Time endOf(WindowNumber window) const;

    /// Windows before this one are complete: requests that began in them have been counted.
    WindowNumber completeBefore(absl::Time trueTime) const;

    void count(const base::OrganisationId &organisation, absl::Time trueTime);

    /// Counts of a window; empty if nothing began in it.
    UsageCounts countsOf(WindowNumber window) const;

    void forgetBefore(WindowNumber window);

private:
    absl::Duration window_;
    std::map<WindowNumber, UsageCounts> counts_;
};

} // namespace zinniadoor::gateway
