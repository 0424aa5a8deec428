#pragma once

#include <optional>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include "zinniadoor/serving/admission_queue.hpp"

namespace zinniadoor::serving::detail {

struct QueuedRequest
{
    RequestFacts request;
    absl::Time since;
};

/// Refusal by a full queue. `untilRoom` is the estimated time until it has room.
Refusal queueFull(const char *text, absl::Duration untilRoom);

/// Refuses a request that would miss its deadline if dispatched after `wait`.
std::optional<Refusal> checkDeadline(const RequestFacts &request, const QueueOptions &options,
                                     absl::Duration wait, absl::Time now);

/// Refusal for a queued request that has to be dropped now; empty while it may stay queued.
std::optional<Refusal> checkQueued(const QueuedRequest &queued, const QueueOptions &options,
                                   absl::Duration drainTime, absl::Time now);

/// Caches, within one pop, the models without capacity, so that the predicate is not evaluated
/// again for requests at least as large.
class BlockedModels
{
public:
    bool contains(const RequestFacts &request) const;
    void add(const RequestFacts &request);

private:
    absl::flat_hash_map<base::ModelId, std::uint64_t> smallestCost_;
};

} // namespace zinniadoor::serving::detail
