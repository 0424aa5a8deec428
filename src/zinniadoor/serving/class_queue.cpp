#include "class_queue.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace zinniadoor::serving::detail {

namespace {

/// Tokens that an organisation of weight 1 may start per round.
constexpr double QuantumTokens = 1024;
constexpr double MinWeight = 0.001;

} // namespace

void ClassQueue::push(const RequestFacts &request, absl::Time now)
{
    const bool isNew = !organisations_.contains(request.organisation);
    OrganisationLines &organisation = organisations_[request.organisation];
    if (isNew)
        ring_.push_back(request.organisation);
    Line &line = organisation.lines[request.model];
    const auto place = request.hasStarted ? line.begin() : line.end();
    places_[request.id] = line.insert(place, Waiting { request, now });
    ++waitingByModel_[request.model];
    ++organisation.count;
    organisation.tokens += tokenCost(request);
    tokens_ += tokenCost(request);
}

std::optional<ClassQueue::Candidate>
ClassQueue::startableOf(const base::OrganisationId &organisation, const CanStart &canStart,
                        BlockedModels &blocked) const
{
    const OrganisationLines &lines = organisations_.at(organisation);
    const Waiting *oldest = nullptr;
    for (const auto &[model, line] : lines.lines) {
        const Waiting &head = line.front();
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
    const double missing = static_cast<double>(candidate.cost) - lines.deficit;
    candidate.roundsMissing = missing / (QuantumTokens * weightOf(organisation));
    return candidate;
}

std::optional<RequestFacts> ClassQueue::pop(const CanStart &canStart, BlockedModels &blocked)
{
    std::vector<Candidate> candidates;
    for (const base::OrganisationId &organisation : ring_) {
        auto candidate = startableOf(organisation, canStart, blocked);
        if (!candidate)
            continue;
        if (candidate->roundsMissing <= 0)
            return take(*candidate);
        candidates.push_back(std::move(*candidate));
    }
    if (candidates.empty())
        return std::nullopt;
    // Nobody in turn has tokens left: as many whole rounds pass as the nearest one needs.
    // Those that cannot start now gain nothing, else they would save up a burst.
    double rounds = std::numeric_limits<double>::infinity();
    for (const Candidate &candidate : candidates)
        rounds = std::min(rounds, std::ceil(candidate.roundsMissing));
    const Candidate *next = nullptr;
    for (const Candidate &candidate : candidates) {
        OrganisationLines &lines = organisations_.at(candidate.organisation);
        lines.deficit += rounds * QuantumTokens * weightOf(candidate.organisation);
        if (next == nullptr && candidate.roundsMissing <= rounds)
            next = &candidate;
    }
    return take(*next);
}

RequestFacts ClassQueue::take(const Candidate &candidate)
{
    OrganisationLines &lines = organisations_.at(candidate.organisation);
    lines.deficit = std::max(0.0, lines.deficit - static_cast<double>(candidate.cost));
    const auto turn = std::find(ring_.begin(), ring_.end(), candidate.organisation);
    ring_.splice(ring_.end(), ring_, turn);
    Line &line = lines.lines.at(candidate.model);
    return erase(candidate.organisation, candidate.model, line.begin()).request;
}

Waiting ClassQueue::erase(const base::OrganisationId &organisation, const base::ModelId &model,
                          Line::iterator place)
{
    OrganisationLines &lines = organisations_.at(organisation);
    Line &line = lines.lines.at(model);
    Waiting waiting = std::move(*place);
    line.erase(place);
    places_.erase(waiting.request.id);
    tokens_ -= tokenCost(waiting.request);
    lines.tokens -= tokenCost(waiting.request);
    --lines.count;
    if (--waitingByModel_.at(model) == 0)
        waitingByModel_.erase(model);
    if (line.empty())
        lines.lines.erase(model);
    // An organisation that waits for nothing starts afresh: deficits are not saved up.
    if (lines.count == 0) {
        ring_.remove(organisation);
        organisations_.erase(organisation);
    }
    return waiting;
}

bool ClassQueue::remove(const base::RequestId &id)
{
    const auto found = places_.find(id);
    if (found == places_.end())
        return false;
    const Line::iterator place = found->second;
    const base::OrganisationId organisation = place->request.organisation;
    const base::ModelId model = place->request.model;
    erase(organisation, model, place);
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
        for (const auto &[model, line] : organisations_.at(organisation).lines) {
            for (const Waiting &waiting : line) {
                if (auto refusal = checkWaiting(waiting, options, drainTime, now))
                    due.push_back({ waiting.request.id, std::move(*refusal) });
            }
        }
    }
    std::vector<ExpiredRequest> expired;
    for (Due &entry : due) {
        const Line::iterator place = places_.at(entry.id);
        const base::OrganisationId organisation = place->request.organisation;
        const base::ModelId model = place->request.model;
        expired.push_back({ erase(organisation, model, place).request, std::move(entry.refusal) });
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

bool ClassQueue::waitsFor(const base::ModelId &model) const
{
    return waitingByModel_.contains(model);
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
    for (const auto &[other, lines] : organisations_) {
        if (other == organisation)
            continue;
        // While this organisation's tokens drain, another drains in proportion to its weight.
        const double alongside = (ownTokens + double(cost)) * weightOf(other) / weight;
        ahead += std::min(double(lines.tokens), alongside);
    }
    return ahead;
}

double ClassQueue::shareOf(const base::OrganisationId &organisation) const
{
    double total = weightOf(organisation);
    for (const auto &[other, lines] : organisations_) {
        if (other != organisation)
            total += weightOf(other);
    }
    return weightOf(organisation) / total;
}

} // namespace zinniadoor::serving::detail
