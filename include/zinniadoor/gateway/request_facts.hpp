#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/serving/prompt_segment.hpp"

namespace zinniadoor::gateway {

/// What a caller's request says of itself.
struct RequestFacts
{
    std::string id; ///< Of this sending; another one has another id.
    std::string host;
    std::string path; ///< With the query.
    std::string key; ///< Empty if none was sent.
    std::optional<absl::Duration> patience; ///< How long the caller waits.
    std::optional<std::uint64_t> lastEvent; ///< Last event that the caller already has.
    std::string model;
    bool hasTokenCounts = false;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    std::vector<serving::PromptSegment> promptParts; ///< In order; the last is the request's own.
};

} // namespace zinniadoor::gateway
