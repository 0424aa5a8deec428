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

/// Data centres in which a model call may be executed, relative to that of the instance. The KV
/// cache of a shared prefix may be copied from any.
enum class PlacementScope : std::uint8_t { Anywhere, Home, Elsewhere };

/// Properties of a model call that determine its placement.
struct PlacementRequest
{
    std::string service;
    std::vector<KeyedSegment> segments; ///< In order; the last is private to the request.
    std::uint32_t promptTokens = 0;
    base::DataCentreId dataCentre; ///< Of this instance.
    std::size_t rank = 0; ///< Priority rank; engines serve lower ranks first.
    PlacementScope scope = PlacementScope::Anywhere;
};

/// Running estimates of the speed of a service's engines.
struct EngineTimings
{
    double prefillTokensPerMs = 120; ///< On a prefill engine.
    double localPrefillSpeedRatio = 0.5; ///< Of a decode engine, relative to a prefill engine.

    /// Fixed cost of a remote prefill.
    absl::Duration remotePrefillOverhead = absl::Milliseconds(12);
    absl::Duration handoffTime = absl::Milliseconds(15); ///< From remote prefill to first token.

    /// Fixed cost of a local prefill.
    absl::Duration localPrefillOverhead = absl::Milliseconds(15);

    /// Of one answer; the time that it occupies a slot.
    absl::Duration decodeTime = absl::Milliseconds(200);
};

/// Engines chosen for a model call.
struct EnginePlan
{
    std::optional<base::EndpointId> prefillEngine; ///< Empty: local prefill on the decode engine.
    base::EndpointId decodeEngine;

    /// Engine to fetch the KV cache of the shared prefix from.
    std::optional<base::EndpointId> kvSource;
    std::uint64_t uncachedTokens = 0; ///< To be computed by the engine that runs prefill.
    absl::Duration timeToFirstToken; ///< Estimated.
};

/// Places a model call with prefix affinity, for loads of long prompts with shared prefixes that
/// arrive at all instances concurrently. Prefers an engine that has the prefix cached, then the
/// affinity engine on which all instances agree by rendezvous hashing, unless queueing there costs
/// more than prefill elsewhere. Only engines that satisfy `usable` are considered. Returns nothing
/// if there is no decode engine.
std::optional<EnginePlan> placePrompt(const PlacementRequest &facts, const EngineView &view,
                                      const EngineTimings &timings, absl::Time now,
                                      const std::function<bool(const EngineInfo &)> &usable);

} // namespace zinniadoor::serving
