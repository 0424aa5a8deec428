#include "zinniadoor/serving/stage_plan.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <tuple>

namespace zinniadoor::serving {

namespace {

/// Sorts engines by preference for decode: current decode engines, then regular before reclaimable.
void sortByDecodePreference(std::vector<const StagedEngine *> &engines)
{
    std::sort(engines.begin(), engines.end(), [](const auto *a, const auto *b) {
        return std::tie(a->isPrefillEngine, a->reclaimable, a->id)
            < std::tie(b->isPrefillEngine, b->reclaimable, b->id);
    });
}

std::size_t decodeEngineGoal(const std::vector<const StagedEngine *> &engines,
                             const StagePolicy &policy)
{
    const auto count = static_cast<double>(engines.size());
    const double slots = std::accumulate(
        engines.begin(), engines.end(), 0.0,
        [](double sum, const StagedEngine *engine) { return sum + engine->slots; });
    const double share = std::clamp(policy.decodeSlotsPerEngine * count / std::max(slots, 1.0),
                                    policy.minDecodeShare, policy.maxDecodeShare);
    const auto decodeEngines = static_cast<std::size_t>(std::ceil(share * count));
    return std::min(engines.size(),
                    std::max<std::size_t>(decodeEngines, policy.minDecodeEnginesPerDataCentre));
}

} // namespace

std::vector<StageChange> planStages(const std::vector<StagedEngine> &engines,
                                    const StagePolicy &policy)
{
    std::map<base::DataCentreId, std::vector<const StagedEngine *>> byDataCentre;
    for (const StagedEngine &engine : engines)
        byDataCentre[engine.dataCentre].push_back(&engine);
    std::vector<StageChange> changes;
    for (auto &[dataCentre, local] : byDataCentre) {
        sortByDecodePreference(local);
        const std::size_t goal = decodeEngineGoal(local, policy);
        for (std::size_t i = 0; i < local.size(); ++i) {
            const bool isPrefill = i >= goal;
            if (local[i]->isPrefillEngine != isPrefill)
                changes.push_back({ local[i]->id, isPrefill });
        }
    }
    // Decode engines first, as every remote prefill needs one.
    std::stable_sort(changes.begin(), changes.end(), [](const auto &a, const auto &b) {
        return a.isPrefillEngine < b.isPrefillEngine;
    });
    return changes;
}

} // namespace zinniadoor::serving
