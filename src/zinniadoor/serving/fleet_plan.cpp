#include "zinniadoor/serving/fleet_plan.hpp"

#include <algorithm>
#include <cmath>

namespace zinniadoor::serving {

namespace {

std::uint32_t shareOf(std::uint32_t maximum, double share)
{
    return static_cast<std::uint32_t>(std::lround(maximum * share));
}

FleetCounts planDataCentre(const FleetState &state, const FleetLimits &limits,
                           const FleetPolicy &policy)
{
    const FleetCounts &serving = state.serving;
    FleetCounts plan;
    const std::uint32_t reclaimableGoal = shareOf(limits.maximum, policy.reclaimableShare);
    std::uint32_t regularGoal = shareOf(limits.maximum, policy.regularShare);
    if (state.reclaimableUnavailable) {
        const std::uint32_t missing
            = reclaimableGoal - std::min(reclaimableGoal, serving.reclaimable);
        regularGoal += shareOf(missing, policy.replacementShare);
    }
    // Not std::clamp, which is undefined for a minimum above the maximum.
    regularGoal = std::min(std::max(regularGoal, limits.minimum), limits.maximum);
    // What a reclaimable endpoint already does, a regular one need not do any more.
    const std::uint32_t replaceable
        = serving.regular - std::min(serving.regular, serving.reclaimable);
    plan.regular = std::max(regularGoal, std::min(serving.regular, replaceable));
    const std::uint32_t room = limits.maximum - std::min(limits.maximum, plan.regular);
    const std::uint32_t roomNow
        = limits.maximum - std::min(limits.maximum, std::max(plan.regular, serving.regular));
    plan.reclaimable = std::min({ reclaimableGoal, room, roomNow });
    // Never releases reclaimable endpoints only because regular ones are still running.
    plan.reclaimable
        = std::max(plan.reclaimable, std::min({ serving.reclaimable, room, reclaimableGoal }));
    return plan;
}

} // namespace

std::map<std::string, FleetCounts> planFleet(const std::map<std::string, FleetState> &states,
                                             const FleetLimits &limits, const FleetPolicy &policy)
{
    std::map<std::string, FleetCounts> plan;
    for (const auto &[dataCentre, state] : states)
        plan[dataCentre] = planDataCentre(state, limits, policy);
    return plan;
}

} // namespace zinniadoor::serving
