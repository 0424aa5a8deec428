#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/serving/engine_view.hpp"

namespace zinniadoor::serving {

/// What placing a model call depends on.
struct PlacementRequest
{
    std::string service;
    std::vector<KeyedSegment> segments; ///< In order; the last is the request's own.
    std::uint32_t promptTokens = 0;
    base::DataCentreId dataCentre; ///< Of this instance.
    std::size_t rank = 0; ///< Of its urgency: engines serve lower ranks first.
};

/// Speeds of a service's engines, as measured so far.
struct EngineTimings
{
    double prefillTokensPerMs = 120; ///< Of an engine that reads for others.
    double localPrefillSpeedRatio = 0.5; ///< Of that speed, on an engine that also writes answers.
    absl::Duration remotePrefillOverhead
        = absl::Milliseconds(12); ///< Of a prompt that is read apart.
    absl::Duration handoffTime
        = absl::Milliseconds(15); ///< From that to the first token elsewhere.
    absl::Duration localPrefillOverhead = absl::Milliseconds(15); ///< To the first token, in place.
    absl::Duration decodeTime
        = absl::Milliseconds(200); ///< Of one answer; a slot is taken as long.
};

/// Where a model call goes.
struct EnginePlan
{
    std::optional<base::EndpointId> prefillEngine; ///< Reads the prompt; nothing: read in place.
    base::EndpointId decodeEngine;
    std::optional<base::EndpointId>
        kvSource; ///< The engine that reads copies the beginning from it.
    std::uint64_t uncachedTokens = 0; ///< At the engine that reads.
    absl::Duration timeToFirstToken; ///< Expected time to it.
};

/// Places a model call, for the load of long prompts that share their beginnings, from all
/// instances at once: an engine that holds the beginning is preferred, then the engine that all
/// instances agree on by hashing it, unless waiting there costs more than reading it elsewhere.
/// `usable` leaves engines out. Nothing if there is no engine.
std::optional<EnginePlan> placePrompt(const PlacementRequest &facts, const EngineView &view,
                                      const EngineTimings &speeds, absl::Time now,
                                      const std::function<bool(const EngineInfo &)> &usable);

} // namespace zinniadoor::serving
