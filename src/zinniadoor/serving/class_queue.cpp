#include "class_queue.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace zinniadoor::serving::detail {

namespace {

/// Tokens per round for an organisation of weight 1.
constexpr double QuantumTokens = 1024;
constexpr double MinWeight = 0.001;

} // namespace

void ClassQueue::push(const RequestFacts &request, absl::Time now)
{
    const bool isNew = !organisations_.contains(request.organisation);
    OrganisationQueue &organisation = organisations_[request.organisation];
    if (isNew)
        ring_.push_back(request.organisation);
    ModelQueue &queue = organisation.queues[request.model];
    const auto position = request.hasStarted ? queue.begin() : queue.end();
    positions_[request.id] = queue.insert(position, QueuedRequest { request, now });
    ++queuedByModel_[request.model];
    ++organisation.count;
    organisation.tokens += tokenCost(request);
    tokens_ += tokenCost(request);
}

std::optional<ClassQueue::Candidate>
ClassQueue::nextStartable(const base::OrganisationId &organisation, const CanStart &canStart,
                          BlockedModels &blocked) const
{
    const OrganisationQueue &own = organisations_.at(organisation);
    const QueuedRequest *oldest = nullptr;
    for (const auto &[model, queue] : own.queues) {
        const QueuedRequest &head = queue.front();
        if (oldest != nullptr && oldest->since <= head.since)
            continue;
        if (blocked.contains(head.request))
            continue;
        if (canStart(head.request))
            oldest = &head;
        else
            blocked.add(head.request);
    }
    if (oldest == nullptr)
        return std::nullopt;
    Candidate candidate;
    candidate.organisation = organisation;
    candidate.model = oldest->request.model;
    candidate.cost = tokenCost(oldest->request);
    const double missing = static_cast<double>(candidate.cost) - own.deficit;
    candidate.roundsNeeded = missing / (QuantumTokens * weightOf(organisation));
    return candidate;
}

std::optional<RequestFacts> ClassQueue::pop(const CanStart &canStart, BlockedModels &blocked)
{
    std::vector<Candidate> candidates;
    for (const base::OrganisationId &organisation : ring_) {
        auto candidate = nextStartable(organisation, canStart, blocked);
        if (!candidate)
            continue;
        if (candidate->roundsNeeded <= 0)
            return dequeue(*candidate);
        candidates.push_back(std::move(*candidate));
    }
    if (candidates.empty())
        return std::nullopt;
    // No startable organisation has enough deficit: advance by the smallest number of whole rounds
    // that lets one start. Organisations that cannot start now gain nothing, otherwise they would
    // accumulate a burst.
    double rounds = std::numeric_limits<double>::infinity();
    for (const Candidate &candidate : candidates)
        rounds = std::min(rounds, std::ceil(candidate.roundsNeeded));
    const Candidate *next = nullptr;
    for (const Candidate &candidate : candidates) {
        OrganisationQueue &own = organisations_.at(candidate.organisation);
        own.deficit += rounds * QuantumTokens * weightOf(candidate.organisation);
        if (next == nullptr && candidate.roundsNeeded <= rounds)
            next = &candidate;
    }
    return dequeue(*next);
}

RequestFacts ClassQueue::dequeue(const Candidate &candidate)
{
    OrganisationQueue &own = organisations_.at(candidate.organisation);
    own.deficit = std::max(0.0, own.deficit - static_cast<double>(candidate.cost));
    const auto turn = std::find(ring_.begin(), ring_.end(), candidate.organisation);
    ring_.splice(ring_.end(), ring_, turn);
    ModelQueue &queue = own.queues.at(candidate.model);
    return erase(candidate.organisation, candidate.model, queue.begin()).request;
}

QueuedRequest ClassQueue::erase(const base::OrganisationId &organisation,
                                const base::ModelId &model, ModelQueue::iterator position)
{
    OrganisationQueue &own = organisations_.at(organisation);
    ModelQueue &queue = own.queues.at(model);
    QueuedRequest entry = std::move(*position);
    queue.erase(position);
    positions_.erase(entry.request.id);
    tokens_ -= tokenCost(entry.request);
    own.tokens -= tokenCost(entry.request);
    --own.count;
    if (--queuedByModel_.at(model) == 0)
        queuedByModel_.erase(model);
    if (queue.empty())
        own.queues.erase(model);
    // The deficit of an organisation without queued requests is discarded, not accumulated.
    if (own.count == 0) {
        ring_.remove(organisation);
        organisations_.erase(organisation);
    }
    return entry;
}

bool ClassQueue::remove(const base::RequestId &id)
{
    const auto found = positions_.find(id);
    if (found == positions_.end())
        return false;
    const ModelQueue::iterator position = found->second;
    const base::OrganisationId organisation = position->request.organisation;
    const base::ModelId model = position->request.model;
    erase(organisation, model, position);
    return true;
}

std::vector<ExpiredRequest> ClassQueue::expire(const QueueOptions &options,
                                               absl::Duration drainTime, absl::Time now)
{
    struct Due
    {
        base::RequestId id;
        Refusal refusal;
    };
    std::vector<Due> due;
    for (const base::OrganisationId &organisation : ring_) {
        for (const auto &[model, queue] : organisations_.at(organisation).queues) {
            for (const QueuedRequest &queued : queue) {
                if (auto refusal = checkQueued(queued, options, drainTime, now))
                    due.push_back({ queued.request.id, std::move(*refusal) });
            }
        }
    }
    std::vector<ExpiredRequest> expired;
    for (Due &entry : due) {
        const ModelQueue::iterator position = positions_.at(entry.id);
        const base::OrganisationId organisation = position->request.organisation;
        const base::ModelId model = position->request.model;
        expired.push_back(
            { erase(organisation, model, position).request, std::move(entry.refusal) });
    }
    return expired;
}

void ClassQueue::setWeight(const base::OrganisationId &organisation, double weight)
{
    weights_[organisation] = std::max(weight, MinWeight);
}

double ClassQueue::weightOf(const base::OrganisationId &organisation) const
{
    const auto found = weights_.find(organisation);
    return found == weights_.end() ? 1.0 : found->second;
}

bool ClassQueue::hasQueued(const base::ModelId &model) const
{
    return queuedByModel_.contains(model);
}

std::size_t ClassQueue::sizeOf(const base::OrganisationId &organisation) const
{
    const auto found = organisations_.find(organisation);
    return found == organisations_.end() ? 0 : found->second.count;
}

double ClassQueue::tokensAhead(const base::OrganisationId &organisation, std::uint64_t cost) const
{
    const auto own = organisations_.find(organisation);
    const double ownTokens = own == organisations_.end() ? 0.0 : double(own->second.tokens);
    const double weight = weightOf(organisation);
    double ahead = ownTokens;
    for (const auto &[other, queue] : organisations_) {
        if (other == organisation)
            continue;
        // While this organisation's tokens drain, others drain in proportion to their weights.
        const double alongside = (ownTokens + double(cost)) * weightOf(other) / weight;
        ahead += std::min(double(queue.tokens), alongside);
    }
    return ahead;
}

double ClassQueue::shareOf(const base::OrganisationId &organisation) const
{
    double total = weightOf(organisation);
    for (const auto &[other, queue] : organisations_) {
        if (other != organisation)
            total += weightOf(other);
    }
    return weightOf(organisation) / total;
}

} // namespace zinniadoor::serving::detail
