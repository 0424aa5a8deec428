#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "queue_rules.hpp"

namespace zinniadoor::serving::detail {

/// Queued requests of one urgency class: deficit round robin between organisations, and one queue
/// per model within an organisation, so that a model without capacity blocks only itself.
class ClassQueue
{
public:
    void push(const RequestFacts &request, absl::Time now);
    std::optional<RequestFacts> pop(const CanStart &canStart, BlockedModels &blocked);
    bool remove(const base::RequestId &id);
    std::vector<ExpiredRequest> expire(const QueueOptions &options, absl::Duration drainTime,
                                       absl::Time now);
    void setWeight(const base::OrganisationId &organisation, double weight);

    bool contains(const base::RequestId &id) const { return positions_.contains(id); }
    bool hasQueued(const base::ModelId &model) const;
    std::size_t size() const { return positions_.size(); }
    std::size_t sizeOf(const base::OrganisationId &organisation) const;
    std::uint64_t tokens() const { return tokens_; }

    /// Tokens dispatched before a request of `cost` tokens that `organisation` enqueues now.
    double tokensAhead(const base::OrganisationId &organisation, std::uint64_t cost) const;

    /// Share of the drain rate that `organisation` gets among the backlogged organisations.
    double shareOf(const base::OrganisationId &organisation) const;

private:
    using ModelQueue = std::list<QueuedRequest>;

    struct OrganisationQueue
    {
        std::map<base::ModelId, ModelQueue> queues; ///< Never holds an empty queue.
        std::size_t count = 0;
        std::uint64_t tokens = 0;
        double deficit = 0; ///< Tokens it may dispatch before the next round.
    };

    struct Candidate
    {
        base::OrganisationId organisation;
        base::ModelId model;
        std::uint64_t cost = 0;
        double roundsNeeded = 0; ///< Until the deficit covers the cost.
    };

    std::optional<Candidate> nextStartable(const base::OrganisationId &organisation,
                                           const CanStart &canStart, BlockedModels &blocked) const;
    RequestFacts dequeue(const Candidate &candidate);
    QueuedRequest erase(const base::OrganisationId &organisation, const base::ModelId &model,
                        ModelQueue::iterator position);
    double weightOf(const base::OrganisationId &organisation) const;

    /// Backlogged ones.
    absl::flat_hash_map<base::OrganisationId, OrganisationQueue> organisations_;
    absl::flat_hash_map<base::OrganisationId, double> weights_;
    absl::flat_hash_map<base::ModelId, std::size_t> queuedByModel_;
    absl::flat_hash_map<base::RequestId, ModelQueue::iterator> positions_;
    std::list<base::OrganisationId> ring_; ///< Round-robin order of the backlogged organisations.
    std::uint64_t tokens_ = 0;
};

} // namespace zinniadoor::serving::detail
