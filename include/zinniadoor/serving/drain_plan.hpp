#pragma once

#include <cstdint>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"

namespace zinniadoor::serving {

/// How a stream is handled when its endpoint is drained.
enum class DrainAction : std::uint8_t {
    Finish, ///< Left to complete on the endpoint.
    MoveKv, ///< KV cache is transferred to another engine, which resumes the stream.
    Resume, ///< Resumed on another engine from the prompt and the tokens so far.
};

const char *nameOf(DrainAction action);

struct DrainStream
{
    base::RequestId request;
    std::uint32_t contextTokens = 0; ///< Prompt and output tokens so far.
    std::uint32_t tokensLeft = 0; ///< Expected remaining output, at most the permitted output.
    bool isResumable = true; ///< False for calls of plain services.
};

struct DrainOptions
{
    double streamTokensPerSecond = 50; ///< Decode rate of one stream.
    double kvTokensPerSecond = 100000; ///< Export rate, shared by all streams.
    absl::Duration kvSetup = absl::Milliseconds(50); ///< Fixed cost of each export.

    /// Safety margin before the endpoint terminates.
    absl::Duration margin = absl::Milliseconds(500);
};

struct DrainStep
{
    base::RequestId request;
    DrainAction action = DrainAction::Finish;
    absl::Time startAt; ///< Start of the move; the current time for streams that finish.
};

/// Plans one step for each stream on an endpoint that receives no new work and terminates at
/// `leavesAt` (infinite for a planned drain). Streams that end in time finish. Of the others, the
/// longest contexts are transferred first, as they cost most to recompute, as long as exports fit
/// into the notice period; the remaining streams are resumed elsewhere immediately. Calls that
/// cannot be resumed are left to finish.
std::vector<DrainStep> planDrain(const std::vector<DrainStream> &streams, absl::Time leavesAt,
                                 const DrainOptions &options, absl::Time now);

} // namespace zinniadoor::serving
