#pragma once

#include <optional>
#include <vector>

#include "zinniadoor/gateway/serving_context.hpp"

namespace zinniadoor::gateway {

/// Where a request goes next.
struct EndpointChoice
{
    std::optional<base::EndpointId> reader; ///< Reads the prompt first.
    base::EndpointId endpoint; ///< Runs the request.
    std::optional<base::EndpointId> source; ///< Holds the prompt's beginning, to be copied.
    std::uint64_t tokensToRead = 0;
    absl::Duration firstByte; ///< Expected time to the answer's first byte.
};

struct ChoiceFacts
{
    std::string service;
    std::string request; ///< Its id.
    const std::vector<serving::KeyedSegment> *parts = nullptr;
    std::uint32_t promptTokens = 0;
    bool carriesPrompt = false;
    std::size_t rank = 0; ///< Of the route's urgency.
    bool readInPlace = false; ///< The prompt must not be read apart.
    const std::vector<base::EndpointId> *avoid = nullptr; ///< Tried before.
};

/// Chooses by expected time to the first byte among usable endpoints; nothing if there are none.
std::optional<EndpointChoice> chooseEndpoint(const ServingContext &context,
                                             const ChoiceFacts &facts, absl::Time now);

} // namespace zinniadoor::gateway
