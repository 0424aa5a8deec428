#pragma once

#include <map>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "zinniadoor/serving/role_plan.hpp"

namespace zinniadoor::serving::detail {

/// Number of live engines per role, without those that are changing.
struct RoleCounts
{
    int prefill = 0;
    int decode = 0;
};

RoleCounts countRoles(const std::vector<PlannedEngine> &engines);

/// Selects engines for role changes and tracks when each was last changed.
class RoleChanges
{
public:
    explicit RoleChanges(const RolePlanOptions &options)
        : options_(options)
    { }

    /// Returns orders that move up to `maxOrders` engines from one role to another: least loaded
    /// first, none within its dwell time, and a bounded number per data centre at once.
    std::vector<RoleOrder> choose(const RoleInputs &inputs, control::Role from, control::Role to,
                                  int maxOrders, absl::Time now);

private:
    RolePlanOptions options_;
    absl::flat_hash_map<base::EndpointId, absl::Time> changedAt_;
};

} // namespace zinniadoor::serving::detail
