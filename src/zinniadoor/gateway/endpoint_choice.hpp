#pragma once

#include <optional>
#include <vector>

#include "zinniadoor/gateway/serving_context.hpp"

namespace zinniadoor::gateway {

/// Endpoints chosen for the next attempt of a request.
struct EndpointChoice
{
    std::optional<base::EndpointId> prefillEngine; ///< For a remote prefill before the run.
    base::EndpointId endpoint; ///< Executes the request.
    std::optional<base::EndpointId>
        prefixSource; ///< Caches the shared prefix, which is copied from it.
    std::uint64_t tokensToPrefill = 0;
    absl::Duration firstByte; ///< Expected time to first byte; of a plain answer, to its end.
    bool hasQueue = false; ///< Other requests are ahead of this one.
    double queueFactor = 1; ///< Of a plain endpoint; see `serving::PlainPick`.
};

struct ChoiceFacts
{
    std::string service;
    std::string route; ///< Name.
    std::string request; ///< Request id.
    const std::vector<serving::KeyedSegment> *parts = nullptr;
    std::uint32_t promptTokens = 0;
    bool carriesPrompt = false;
    std::size_t rank = 0; ///< Priority of the route.
    absl::Duration objective; ///< Of the route.
    std::size_t bodyBytes = 0;
    bool localPrefill = false; ///< Rules out a remote prefill.
    const std::vector<base::EndpointId> *tried = nullptr; ///< Endpoints of earlier attempts.
    const AllowedRegions *regions = nullptr; ///< Also of the sources of copies.
    const std::string *version = nullptr; ///< Of the software; null: any.
    const base::EndpointId *excluded = nullptr; ///< Never chosen, even if there is no other.
};

/// Chooses the endpoint with the lowest expected time to first byte; nothing if none is callable.
std::optional<EndpointChoice> chooseEndpoint(ServingContext &context, const ChoiceFacts &facts,
                                             absl::Time now);

} // namespace zinniadoor::gateway
