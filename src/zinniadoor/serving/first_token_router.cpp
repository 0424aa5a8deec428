#include <algorithm>
#include <cmath>
#include <random>

#include "route_rules.hpp"
#include "stable_digest.hpp"
#include "urgent_reserve.hpp"

namespace zinniadoor::serving {

namespace {

using detail::Candidates;

/// Speed of an engine in a phase that its role is not meant for, relative to a mixed engine.
constexpr double OffRoleSpeedFactor = 0.25;

struct Scored
{
    const EndpointView *view = nullptr;
    absl::Duration timeToFirstToken;
};

class FirstTokenRouter : public Router
{
public:
    explicit FirstTokenRouter(const RouterOptions &options)
        : options_(options)
    { }

    RouteChoice choose(const RouteQuery &query, const EndpointTable &table, absl::Time now,
                       std::uint64_t seed) override
    {
        const auto suitable = detail::suitable(query, table);
        auto available = candidatesFor(query, table, suitable, now);
        if (available.empty())
            return detail::noEndpointAvailable(suitable, now);
        available = matchingRole(available, query.phase);
        available = preferByReclaimability(available, query, table);
        const Scored best
            = bestOf(sampleCandidates(available, query, now, seed), query, table, now);
        return detail::selected(*best.view, best.timeToFirstToken);
    }

private:
    // Urgent requests may use any endpoint once those without deferable work are full.
    Candidates candidatesFor(const RouteQuery &query, const EndpointTable &table,
                             const Candidates &suitable, absl::Time now) const
    {
        if (isOverShare(suitable, table, now))
            return {};
        // A request without prefill delays no other.
        if (prefillTokens(query.request) == 0)
            return detail::withRoom(suitable, query, options_, now);
        const bool isUrgent = query.request.urgency == Urgency::Urgent;
        const Candidates preferred = isUrgent
            ? detail::freeOfDeferable(suitable, options_.urgentReserveFill)
            : detail::openToDeferable(suitable, options_.urgentReserveFill);
        auto available = detail::withRoom(subsetOf(preferred), query, options_, now);
        if (available.empty())
            available = detail::withRoom(preferred, query, options_, now);
        if (available.empty() && isUrgent)
            available = detail::withRoom(suitable, query, options_, now);
        return available;
    }

    // An instance sees the slots that it frees before its peers do, so an instance with much work
    // in flight would otherwise monopolise the slots of a full fleet.
    bool isOverShare(const Candidates &suitable, const EndpointTable &table, absl::Time now) const
    {
        double slots = 0;
        double requests = 0;
        double own = 0;
        for (const EndpointView *view : suitable) {
            slots += view->endpoint.slots;
            requests += view->requests(now);
            own += static_cast<double>(view->own.requests);
        }
        const double share = slots / static_cast<double>(table.instanceCount());
        return requests >= options_.fullFleetShare * slots
            && own >= share * options_.maxShareFactor;
    }

    // Rendezvous hashing: each instance considers its own subset of a large fleet, and the subset
    // changes little when endpoints are added or removed.
    Candidates subsetOf(const Candidates &all) const
    {
        if (all.size() <= options_.subsetSize)
            return all;
        std::vector<std::pair<std::uint64_t, const EndpointView *>> ranked;
        ranked.reserve(all.size());
        const auto own = detail::extendDigest(detail::EmptyDigest, options_.instance.str());
        for (const EndpointView *view : all) {
            const auto rank = detail::extendDigest(own, view->endpoint.id.str());
            ranked.emplace_back(rank, view);
        }
        const auto middle = ranked.begin() + static_cast<std::ptrdiff_t>(options_.subsetSize);
        std::nth_element(ranked.begin(), middle, ranked.end());
        Candidates subset;
        for (auto entry = ranked.begin(); entry != middle; ++entry)
            subset.push_back(entry->second);
        return subset;
    }

    // Prefers engines whose role matches the phase; the others are used when those are full.
    static Candidates matchingRole(const Candidates &available, Phase phase)
    {
        Candidates matching;
        for (const EndpointView *view : available) {
            if (speedFactor(view->role, phase) >= 1)
                matching.push_back(view);
        }
        return matching.empty() ? available : matching;
    }

    static double speedFactor(control::Role role, Phase phase)
    {
        const bool isMixed = role == control::Role::Mixed;
        const bool isMatch = (phase == Phase::Prefill && role == control::Role::Prefill)
            || (phase == Phase::Decode && role == control::Role::Decode);
        return isMixed || isMatch ? 1 : OffRoleSpeedFactor;
    }

    Candidates preferByReclaimability(const Candidates &available, const RouteQuery &query,
                                      const EndpointTable &table) const
    {
        Candidates reclaimable;
        Candidates regular;
        for (const EndpointView *view : available)
            (view->endpoint.reclaimable ? reclaimable : regular).push_back(view);
        if (reclaimable.empty() || regular.empty())
            return available;
        if (!query.isRecoverable)
            return regular;
        if (query.request.urgency == Urgency::Deferable)
            return reclaimable;
        return isUrgentShareUsed(table) ? regular : available;
    }

    // When the reclaimable endpoints of a data centre are lost, their urgent work moves to the
    // remaining ones at once, so only a share of it may run on reclaimable endpoints.
    bool isUrgentShareUsed(const EndpointTable &table) const
    {
        double urgent = 1;
        double onReclaimable = 1;
        for (const auto &[id, view] : table.all()) {
            const auto work = static_cast<double>(view.own.urgent + view.peers.urgent);
            urgent += work;
            onReclaimable += view.endpoint.reclaimable ? work : 0;
        }
        return onReclaimable > options_.maxUrgentShareOnReclaimable * urgent;
    }

    // Power of two choices: all instances see the same stale reports, and would all choose the
    // apparently best endpoint at the same time.
    Candidates sampleCandidates(const Candidates &all, const RouteQuery &query, absl::Time now,
                                std::uint64_t seed) const
    {
        std::mt19937_64 random(seed);
        const Candidates available = sampleByWeight(all, random);
        Candidates sampled;
        sampled.push_back(available[random() % available.size()]);
        if (available.size() > 1) {
            std::size_t second = random() % (available.size() - 1);
            if (available[second] == sampled.front())
                second = available.size() - 1;
            sampled.push_back(available[second]);
        }
        if (const EndpointView *holder = prefixHolder(available, query.request, now))
            sampled.push_back(holder);
        return sampled;
    }

    // Includes an endpoint in ramp-up after an ejection with the probability of its weight.
    static Candidates sampleByWeight(const Candidates &available, std::mt19937_64 &random)
    {
        std::uniform_real_distribution<double> uniform(0, 1);
        Candidates included;
        for (const EndpointView *view : available) {
            if (view->weight >= 1 || uniform(random) < view->weight)
                included.push_back(view);
        }
        return included.empty() ? available : included;
    }

    const EndpointView *prefixHolder(const Candidates &available, const RequestFacts &request,
                                     absl::Time now) const
    {
        if (request.prefixes.empty())
            return nullptr;
        double load = 0;
        for (const EndpointView *view : available)
            load += view->requests(now);
        const double limit
            = options_.affinitySlack * load / static_cast<double>(available.size()) + 1;
        const EndpointView *holder = nullptr;
        double most = 0;
        for (const EndpointView *view : available) {
            const double cached = view->prefixes.expectedTokens(request.prefixes);
            if (cached <= most || view->requests(now) > limit)
                continue;
            most = cached;
            holder = view;
        }
        return holder;
    }

    Scored bestOf(const Candidates &sampled, const RouteQuery &query, const EndpointTable &table,
                  absl::Time now) const
    {
        Scored best;
        for (const EndpointView *view : sampled) {
            const Scored scored { view, estimate(*view, query, table, now) };
            if (best.view == nullptr || isBetter(scored, best))
                best = scored;
        }
        return best;
    }

    bool isBetter(const Scored &a, const Scored &b) const
    {
        const absl::Duration larger = std::max(a.timeToFirstToken, b.timeToFirstToken);
        const absl::Duration tie
            = std::max(larger * options_.priceTieTolerance, options_.priceTieFloor);
        const bool isTie = absl::AbsDuration(a.timeToFirstToken - b.timeToFirstToken) <= tie;
        const double priceA = a.view->endpoint.pricePerHour;
        const double priceB = b.view->endpoint.pricePerHour;
        if (isTie && priceA != priceB)
            return priceA < priceB;
        return a.timeToFirstToken < b.timeToFirstToken;
    }

    // Estimated time to first token: prefill of the queued and the uncached tokens, the wait for a
    // slot, and the slower decode of a larger batch.
    absl::Duration estimate(const EndpointView &view, const RouteQuery &query,
                            const EndpointTable &table, absl::Time now) const
    {
        const control::Model &model = table.model(query.request.model);
        const double speed = speedFactor(view.role, query.phase);
        const double requests = view.requests(now);
        const double slots = std::max<double>(view.endpoint.slots, 1);
        absl::Duration sum;
        if (view.endpoint.dataCentre != options_.dataCentre)
            sum += options_.distancePenalty;
        if (query.phase != Phase::Decode) {
            const double cached = view.prefixes.expectedTokens(query.request.prefixes);
            const double own = std::max(prefillTokens(query.request) - cached, 1.0);
            const double tokens = view.prefillTokens(now) + own;
            sum += absl::Seconds(tokens / (model.prefillTokensPerSecond * speed));
        }
        const double waiting = std::max(requests + 1 - slots, 0.0);
        sum += view.meanServiceTime * (waiting / slots);
        sum += absl::Seconds(requests / (model.decodeTokensPerSecond * speed));
        return sum;
    }

    RouterOptions options_;
};

} // namespace

std::unique_ptr<Router> firstTokenRouter(const RouterOptions &options)
{
    return std::make_unique<FirstTokenRouter>(options);
}

} // namespace zinniadoor::serving
