#include <algorithm>
#include <cmath>
#include <random>

#include "route_rules.hpp"
#include "stable_digest.hpp"
#include "urgent_reserve.hpp"

namespace zinniadoor::serving {

namespace {

using detail::Candidates;

/// Pace of an engine at work that its role is not meant for, relative to a mixed engine's.
constexpr double WrongRolePace = 0.25;

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
        auto free = freeFor(query, table, suitable, now);
        if (free.empty())
            return detail::noneFits(suitable, now);
        free = matchingRole(free, query.phase);
        free = byReclaimability(free, query, table);
        const Scored best = bestOf(drawn(free, query, now, seed), query, table, now);
        return detail::chosen(*best.view, best.timeToFirstToken);
    }

private:
    // Urgent requests take any endpoint once those without deferable work are full.
    Candidates freeFor(const RouteQuery &query, const EndpointTable &table,
                       const Candidates &suitable, absl::Time now) const
    {
        if (isOverShare(suitable, table, now))
            return {};
        // Without a prefill it holds up nobody.
        if (prefillTokens(query.request) == 0)
            return detail::withRoom(suitable, query, options_, now);
        const bool isUrgent = query.request.urgency == Urgency::Urgent;
        const Candidates preferred = isUrgent
            ? detail::freeOfDeferable(suitable, options_.urgentReserveFill)
            : detail::openToDeferable(suitable, options_.urgentReserveFill);
        auto free = detail::withRoom(subsetOf(preferred), query, options_, now);
        if (free.empty())
            free = detail::withRoom(preferred, query, options_, now);
        if (free.empty() && isUrgent)
            free = detail::withRoom(suitable, query, options_, now);
        return free;
    }

    // An instance sees a slot that it freed itself before the others do, so one with much work
    // in flight would keep all slots of a full fleet to itself.
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

    // Rendezvous hashing: each instance looks at its own part of a large fleet, and the part
    // changes little when endpoints come and go.
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

    // Engines of the role made for the phase go first; the others help when those are full.
    static Candidates matchingRole(const Candidates &free, Phase phase)
    {
        Candidates matching;
        for (const EndpointView *view : free) {
            if (paceFactor(view->role, phase) >= 1)
                matching.push_back(view);
        }
        return matching.empty() ? free : matching;
    }

    static double paceFactor(control::Role role, Phase phase)
    {
        const bool isMixed = role == control::Role::Mixed;
        const bool isMade = (phase == Phase::Prefill && role == control::Role::Prefill)
            || (phase == Phase::Decode && role == control::Role::Decode);
        return isMixed || isMade ? 1 : WrongRolePace;
    }

    Candidates byReclaimability(const Candidates &free, const RouteQuery &query,
                                const EndpointTable &table) const
    {
        Candidates reclaimable;
        Candidates steady;
        for (const EndpointView *view : free)
            (view->endpoint.reclaimable ? reclaimable : steady).push_back(view);
        if (reclaimable.empty() || steady.empty())
            return free;
        if (!query.isRecoverable)
            return steady;
        if (query.request.urgency == Urgency::Deferable)
            return reclaimable;
        return isUrgentShareUsed(table) ? steady : free;
    }

    // A zone's loss brings its urgent work back at once to what remains, so only a part of the
    // urgent work may stand on endpoints that can go together.
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

    // Two random ones: all instances see the same lagging reports, and the best of all would
    // draw all of them at once.
    Candidates drawn(const Candidates &all, const RouteQuery &query, absl::Time now,
                     std::uint64_t seed) const
    {
        std::mt19937_64 random(seed);
        const Candidates free = withoutSomeReturning(all, random);
        Candidates drawn;
        drawn.push_back(free[random() % free.size()]);
        if (free.size() > 1) {
            std::size_t second = random() % (free.size() - 1);
            if (free[second] == drawn.front())
                second = free.size() - 1;
            drawn.push_back(free[second]);
        }
        if (const EndpointView *holder = prefixHolder(free, query.request, now))
            drawn.push_back(holder);
        return drawn;
    }

    // An endpoint that returns after an ejection takes part in a share of the draws.
    static Candidates withoutSomeReturning(const Candidates &free, std::mt19937_64 &random)
    {
        std::uniform_real_distribution<double> lot(0, 1);
        Candidates taken;
        for (const EndpointView *view : free) {
            if (view->weight >= 1 || lot(random) < view->weight)
                taken.push_back(view);
        }
        return taken.empty() ? free : taken;
    }

    const EndpointView *prefixHolder(const Candidates &free, const RequestFacts &request,
                                     absl::Time now) const
    {
        if (request.prefixes.empty())
            return nullptr;
        double load = 0;
        for (const EndpointView *view : free)
            load += view->requests(now);
        const double limit = options_.affinitySlack * load / static_cast<double>(free.size()) + 1;
        const EndpointView *holder = nullptr;
        double most = 0;
        for (const EndpointView *view : free) {
            const double cached = view->prefixes.expectedTokens(request.prefixes);
            if (cached <= most || view->requests(now) > limit)
                continue;
            most = cached;
            holder = view;
        }
        return holder;
    }

    Scored bestOf(const Candidates &drawn, const RouteQuery &query, const EndpointTable &table,
                  absl::Time now) const
    {
        Scored best;
        for (const EndpointView *view : drawn) {
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

    // Prefill of what is ahead and of what is not cached, the wait for a slot, and the slower
    // decoding of a fuller batch.
    absl::Duration estimate(const EndpointView &view, const RouteQuery &query,
                            const EndpointTable &table, absl::Time now) const
    {
        const control::Model &model = table.model(query.request.model);
        const double pace = paceFactor(view.role, query.phase);
        const double requests = view.requests(now);
        const double slots = std::max<double>(view.endpoint.slots, 1);
        absl::Duration sum;
        if (view.endpoint.dataCentre != options_.dataCentre)
            sum += options_.distancePenalty;
        if (query.phase != Phase::Decode) {
            const double cached = view.prefixes.expectedTokens(query.request.prefixes);
            const double own = std::max(prefillTokens(query.request) - cached, 1.0);
            const double tokens = view.prefillTokens(now) + own;
            sum += absl::Seconds(tokens / (model.prefillTokensPerSecond * pace));
        }
        const double waiting = std::max(requests + 1 - slots, 0.0);
        sum += view.meanServiceTime * (waiting / slots);
        sum += absl::Seconds(requests / (model.decodeTokensPerSecond * pace));
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
