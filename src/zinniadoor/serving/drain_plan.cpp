#include "zinniadoor/serving/drain_plan.hpp"

#include <algorithm>
#include <array>
#include <tuple>

namespace zinniadoor::serving {

namespace {

constexpr std::array<const char *, 3> ActionNames { "finish", "move_kv", "resume" };

bool endsInTime(const DrainStream &stream, absl::Time limit, const DrainOptions &options,
                absl::Time now)
{
    return now + absl::Seconds(stream.tokensLeft / options.streamTokensPerSecond) <= limit;
}

} // namespace

const char *nameOf(DrainAction action)
{
    return ActionNames.at(static_cast<std::size_t>(action));
}

std::vector<DrainStep> planDrain(const std::vector<DrainStream> &streams, absl::Time leavesAt,
                                 const DrainOptions &options, absl::Time now)
{
    const absl::Time limit = leavesAt - options.margin;
    std::vector<DrainStep> steps;
    std::vector<DrainStream> moving;
    for (const DrainStream &stream : streams) {
        if (!stream.isResumable || endsInTime(stream, limit, options, now))
            steps.push_back({ stream.request, DrainAction::Finish, now });
        else
            moving.push_back(stream);
    }
    std::sort(moving.begin(), moving.end(), [](const DrainStream &a, const DrainStream &b) {
        return std::tie(b.contextTokens, a.request) < std::tie(a.contextTokens, b.request);
    });
    absl::Time free = now;
    for (const DrainStream &stream : moving) {
        const auto transfer
            = options.kvSetup + absl::Seconds(stream.contextTokens / options.kvTokensPerSecond);
        if (free + transfer > limit) {
            steps.push_back({ stream.request, DrainAction::Resume, now });
            continue;
        }
        steps.push_back({ stream.request, DrainAction::MoveKv, free });
        free += transfer;
    }
    return steps;
}

} // namespace zinniadoor::serving
