#pragma once

#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/gateway/configuration.hpp"

namespace zinniadoor::gateway {

/// Region of each data centre.
using RegionTable = absl::flat_hash_map<base::DataCentreId, std::string>;

/// Regions to whose endpoints a request may be sent: those that its route and its organisation both
/// allow. A data centre without a known region is in none of them.
class AllowedRegions
{
public:
    AllowedRegions() = default; ///< All regions.

    /// `organisation` may be null; `table` outlives this object.
    AllowedRegions(const Route &route, const Organisation *organisation, const RegionTable &table);

    bool allows(const base::DataCentreId &dataCentre) const;

private:
    std::vector<std::vector<std::string>> lists_; ///< All apply.
    const RegionTable *table_ = nullptr;
};

} // namespace zinniadoor::gateway
