#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "queue_rules.hpp"

namespace zinniadoor::serving::detail {

/// Waiting requests of one urgency: deficit round robin between organisations, and within an
/// organisation a line per model, so that a model without room holds up only itself.
class ClassQueue
{
public:
    void push(const RequestFacts &request, absl::Time now);
    std::optional<RequestFacts> pop(const CanStart &canStart, BlockedModels &blocked);
    bool remove(const base::RequestId &id);
    std::vector<ExpiredRequest> expire(const QueueOptions &options, absl::Duration drainTime,
                                       absl::Time now);
    void setWeight(const base::OrganisationId &organisation, double weight);

    bool contains(const base::RequestId &id) const { return places_.contains(id); }
    bool waitsFor(const base::ModelId &model) const;
    std::size_t size() const { return places_.size(); }
    std::size_t sizeOf(const base::OrganisationId &organisation) const;
    std::uint64_t tokens() const { return tokens_; }

    /// Tokens that would leave before a request of `cost` tokens pushed now by `organisation`.
    double tokensAhead(const base::OrganisationId &organisation, std::uint64_t cost) const;

    /// Share of the drain rate that `organisation` has among those waiting.
    double shareOf(const base::OrganisationId &organisation) const;

private:
    using Line = std::list<Waiting>;

    struct OrganisationLines
    {
        std::map<base::ModelId, Line> lines; ///< None of them empty.
        std::size_t count = 0;
        std::uint64_t tokens = 0;
        double deficit = 0; ///< Tokens it may start before the next round.
    };

    struct Candidate
    {
        base::OrganisationId organisation;
        base::ModelId model;
        std::uint64_t cost = 0;
        double roundsMissing = 0;
    };

    std::optional<Candidate> startableOf(const base::OrganisationId &organisation,
                                         const CanStart &canStart, BlockedModels &blocked) const;
    RequestFacts take(const Candidate &candidate);
    Waiting erase(const base::OrganisationId &organisation, const base::ModelId &model,
                  Line::iterator place);
    double weightOf(const base::OrganisationId &organisation) const;

    absl::flat_hash_map<base::OrganisationId, OrganisationLines> organisations_; ///< Waiting ones.
    absl::flat_hash_map<base::OrganisationId, double> weights_;
    absl::flat_hash_map<base::ModelId, std::size_t> waitingByModel_;
    absl::flat_hash_map<base::RequestId, Line::iterator> places_;
    std::list<base::OrganisationId> ring_; ///< Waiting organisations, next in turn first.
    std::uint64_t tokens_ = 0;
};

} // namespace zinniadoor::serving::detail
