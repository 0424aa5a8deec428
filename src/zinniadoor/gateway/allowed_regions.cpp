#include "zinniadoor/gateway/allowed_regions.hpp"

#include <algorithm>

namespace zinniadoor::gateway {

AllowedRegions::AllowedRegions(const Route &route, const Organisation *organisation,
                               const RegionTable &table)
    : table_(&table)
{
    if (!route.allowedRegions.empty())
        lists_.push_back(route.allowedRegions);
    if (organisation && !organisation->allowedRegions.empty())
        lists_.push_back(organisation->allowedRegions);
}

bool AllowedRegions::allows(const base::DataCentreId &dataCentre) const
{
    if (lists_.empty())
        return true;
    const auto region = table_->find(dataCentre);
    return region != table_->end()
        && std::all_of(lists_.begin(), lists_.end(), [&](const auto &list) {
               return std::find(list.begin(), list.end(), region->second) != list.end();
           });
}

} // namespace zinniadoor::gateway
