#include "role_rules.hpp"

#include <algorithm>
#include <tuple>

namespace zinniadoor::serving::detail {

RoleCounts countRoles(const std::vector<PlannedEngine> &engines)
{
    RoleCounts counts;
    for (const PlannedEngine &engine : engines) {
        if (!engine.isLive || engine.isChanging)
            continue;
        counts.prefill += engine.role == control::Role::Prefill ? 1 : 0;
        counts.decode += engine.role == control::Role::Decode ? 1 : 0;
    }
    return counts;
}

std::vector<RoleOrder> RoleChanges::choose(const RoleInputs &inputs, control::Role from,
                                           control::Role to, int maxOrders, absl::Time now)
{
    std::map<base::DataCentreId, std::uint32_t> changing;
    std::vector<const PlannedEngine *> eligible;
    for (const PlannedEngine &engine : inputs.engines) {
        changing[engine.dataCentre] += engine.isChanging ? 1 : 0;
        if (!engine.isLive || engine.isChanging)
            continue;
        const auto changed = changedAt_.find(engine.id);
        const bool mayChange
            = changed == changedAt_.end() || now - changed->second >= options_.dwell;
        if (engine.role == from && mayChange)
            eligible.push_back(&engine);
    }
    std::sort(eligible.begin(), eligible.end(), [](const PlannedEngine *a, const PlannedEngine *b) {
        return std::tie(a->requests, a->id) < std::tie(b->requests, b->id);
    });
    std::vector<RoleOrder> orders;
    for (const PlannedEngine *engine : eligible) {
        if (static_cast<int>(orders.size()) >= maxOrders)
            break;
        if (changing[engine->dataCentre] >= options_.maxChangingPerDataCentre)
            continue;
        ++changing[engine->dataCentre];
        changedAt_[engine->id] = now;
        orders.push_back({ engine->id, engine->dataCentre, to });
    }
    return orders;
}

} // namespace zinniadoor::serving::detail
