#include "queue_rules.hpp"

#include <algorithm>

namespace zinniadoor::serving::detail {

namespace {

constexpr absl::Duration MinRetryAfter = absl::Milliseconds(100);
constexpr absl::Duration MaxRetryAfter = absl::Seconds(60);

absl::Duration boundedRetryAfter(absl::Duration wanted)
{
    return std::clamp(wanted, MinRetryAfter, MaxRetryAfter);
}

} // namespace

Refusal queueFull(const char *text, absl::Duration untilRoom)
{
    return Refusal { { base::ReasonCode::Overloaded, text }, boundedRetryAfter(untilRoom) };
}

std::optional<Refusal> checkDeadline(const RequestFacts &request, const QueueOptions &options,
                                     absl::Duration wait, absl::Time now)
{
    const absl::Duration slack = request.deadline - now - request.serviceTime - options.startMargin;
    if (slack < absl::ZeroDuration()) {
        return Refusal { { base::ReasonCode::Timeout, "the deadline is too near to be met" },
                         MinRetryAfter };
    }
    if (wait <= slack)
        return std::nullopt;
    // The same request can be admitted once the queue has drained by what exceeds the slack.
    return Refusal { { base::ReasonCode::Overloaded, "the queue is too long for the deadline" },
                     boundedRetryAfter(wait - slack) };
}

std::optional<Refusal> checkQueued(const QueuedRequest &queued, const QueueOptions &options,
                                   absl::Duration drainTime, absl::Time now)
{
    if (now + queued.request.serviceTime + options.startMargin > queued.request.deadline) {
        return Refusal { { base::ReasonCode::Timeout, "the deadline passed in the queue" },
                         boundedRetryAfter(drainTime) };
    }
    const absl::Duration limit = queued.request.urgency == Urgency::Urgent
        ? options.maxUrgentWait
        : options.maxDeferableWait;
    if (now - queued.since <= limit)
        return std::nullopt;
    return Refusal { { base::ReasonCode::Timeout, "no endpoint had room in time" },
                     boundedRetryAfter(drainTime) };
}

bool BlockedModels::contains(const RequestFacts &request) const
{
    const auto found = smallestCost_.find(request.model);
    return found != smallestCost_.end() && tokenCost(request) >= found->second;
}

void BlockedModels::add(const RequestFacts &request)
{
    const auto [entry, isNew] = smallestCost_.try_emplace(request.model, tokenCost(request));
    if (!isNew)
        entry->second = std::min(entry->second, tokenCost(request));
}

} // namespace zinniadoor::serving::detail
