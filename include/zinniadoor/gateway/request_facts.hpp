#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/serving/prompt_segment.hpp"

namespace zinniadoor::gateway {

/// What the gateway needs from a caller's request.
struct RequestFacts
{
    std::string id; ///< Of this HTTP request; a retry by the caller has another id.
    std::string host;
    std::string path; ///< Including the query.
    std::string key; ///< API key; empty if none was sent.
    std::optional<absl::Duration> timeout; ///< How long the caller waits for the answer.
    std::optional<std::uint64_t> lastEventId; ///< Last event that the caller received.

    /// Id of the request that brought the first event of a stream that the caller takes up again;
    /// empty if not given.
    std::string resumes;
    std::string model;
    bool hasTokenCounts = false;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    std::vector<serving::PromptSegment>
        promptParts; ///< In order; the last one is specific to this request.
};

} // namespace zinniadoor::gateway
