#pragma once

#include <map>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "zinniadoor/serving/role_plan.hpp"

namespace zinniadoor::serving::detail {

/// How many engines stand in each role, changing ones not included.
struct RoleCounts
{
    int prefill = 0;
    int decode = 0;
};

RoleCounts countRoles(const std::vector<PlannedEngine> &engines);

/// Remembers when engines were last told to change.
class RoleChanges
{
public:
    explicit RoleChanges(const RolePlanOptions &options)
        : options_(options)
    { }

    /// Orders that move up to `wanted` engines from one role to another: idle ones first, none
    /// before its dwell is over, and only a few in a data centre at once.
    std::vector<RoleOrder> choose(const RoleInputs &inputs, control::Role from, control::Role to,
                                  int wanted, absl::Time now);

private:
    RolePlanOptions options_;
    absl::flat_hash_map<base::EndpointId, absl::Time> changedAt_;
};

} // namespace zinniadoor::serving::detail
