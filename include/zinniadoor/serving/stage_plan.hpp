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
    double minDecodeShare = 0.25; ///< Of all engines; the others are prefill engines.
    double maxDecodeShare = 0.65;

    /// In place of `minDecodeShare` for services with cold endpoints: a decode engine whose usual
    /// rate is low tolerates it for the seconds until instances learn that it is cold.
    double minDecodeShareIfCold = 0.4;

    /// Target number of decode slots per engine of the service.
    double decodeSlotsPerEngine = 8;
    std::uint32_t minDecodeEnginesPerDataCentre = 2; ///< As far as there are engines.
};

struct StageChange
{
    base::EndpointId engine;
    bool isPrefillEngine = false; ///< Requested stage.
};

/// Splits the engines of each data centre between decode and prefill, with enough decode slots for
/// loads of short answers on engines with few slots. The split depends on the engines alone and
/// does not follow load fluctuations, as a stage change takes an engine out of service for seconds
/// and discards its prefix affinity. Engines already on the right stage are not changed; of the
/// others, regular engines become decode engines first, as they live longer.
std::vector<StageChange> planStages(const std::vector<StagedEngine> &engines,
                                    const StagePolicy &policy);

} // namespace zinniadoor::serving
