#pragma once

#include <cstdint>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"

namespace zinniadoor::serving {

/// What becomes of a stream on an endpoint that goes away.
enum class DrainAction : std::uint8_t {
    Finish, ///< Runs to its end where it is.
    MoveKv, ///< Its KV cache is exported and imported elsewhere, then it is resumed there.
    Resume, ///< Resumed elsewhere from its prompt and the tokens so far.
};

const char *nameOf(DrainAction action);

struct DrainStream
{
    base::RequestId request;
    std::uint32_t contextTokens = 0; ///< Prompt and output so far.
    std::uint32_t tokensLeft = 0; ///< Expected, at most the allowed output.
    bool isResumable = true; ///< False for calls of plain services.
};

struct DrainOptions
{
    double streamTokensPerSecond = 50; ///< Pace of one stream.
    double kvTokensPerSecond = 100000; ///< Context exported, all streams together.
    absl::Duration kvSetup = absl::Milliseconds(50); ///< Of each export.
    absl::Duration margin = absl::Milliseconds(500); ///< Before the endpoint goes.
};

struct DrainStep
{
    base::RequestId request;
    DrainAction action = DrainAction::Finish;
    absl::Time startAt; ///< When to begin the move; now for streams that finish.
};

/// One step for each stream on an endpoint that gets no new work and goes at `leavesAt`
/// (infinite for a planned drain). What ends in time finishes; of the rest, the longest
/// contexts move first by KV, as they cost most to compute again, while exports fit into the
/// notice; the others are resumed elsewhere at once. Calls that cannot be resumed are left to
/// finish.
std::vector<DrainStep> planDrain(const std::vector<DrainStream> &streams, absl::Time leavesAt,
                                 const DrainOptions &options, absl::Time now);

} // namespace zinniadoor::serving
