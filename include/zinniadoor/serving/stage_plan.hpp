#pragma once

#include <cstdint>
#include <vector>

#include "zinniadoor/base/ids.hpp"

namespace zinniadoor::serving {

struct StagedEngine
{
    base::EndpointId id;
    base::DataCentreId dataCentre;
    bool reclaimable = false;
    bool isPrefillEngine = false;
    std::uint32_t slots = 1;
};

struct StagePolicy
{
    double minDecodeShare = 0.25; ///< Share of all engines; the others read prompts.
    double maxDecodeShare = 0.65;

    /// Slots that the writing engines should have, for each engine of the service.
    double decodeSlotsPerEngine = 8;
    std::uint32_t minDecodeEnginesPerDataCentre = 2; ///< At least, as far as there are engines.
};

struct StageChange
{
    base::EndpointId engine;
    bool isPrefillEngine = false; ///< What it is to do.
};

/// Divides the engines of each data centre between writing answers and reading prompts, so that the
/// writers have enough slots for the load of short answers on engines with few slots. It depends on
/// the engines alone: a change takes an engine out for seconds and its memory out of the common
/// order, so that the division does not follow swings of the load. What does its part is left
/// alone; among the others regular engines write first, as they stay for longer.
std::vector<StageChange> planStages(const std::vector<StagedEngine> &engines,
                                    const StagePolicy &policy);

} // namespace zinniadoor::serving
