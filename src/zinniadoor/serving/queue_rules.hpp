#pragma once

#include <optional>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include "zinniadoor/serving/admission_queue.hpp"

namespace zinniadoor::serving::detail {

struct Waiting
{
    RequestFacts request;
    absl::Time since;
};

/// Refusal for a full queue. `untilRoom`: estimated time until there is room.
Refusal fullQueue(const char *text, absl::Duration untilRoom);

/// Refuses a request that would start after `wait` and so miss its deadline.
std::optional<Refusal> checkDeadline(const RequestFacts &request, const QueueOptions &options,
                                     absl::Duration wait, absl::Time now);

/// Why a waiting request must be given up now; nothing while it may go on waiting.
std::optional<Refusal> checkWaiting(const Waiting &waiting, const QueueOptions &options,
                                    absl::Duration drainTime, absl::Time now);

/// Remembers, within one pop, which models had no room, so that the predicate is not asked
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
