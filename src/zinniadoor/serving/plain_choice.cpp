#include "zinniadoor/serving/plain_choice.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"

#include "stable_digest.hpp"

namespace zinniadoor::serving {

namespace {

/// Largest age of an open call that counts, in usual answer times: single requests may take long.
constexpr int MaxOpenAge = 8;

/// Share of the requests that go to an endpoint without a recent answer if it is drawn first.
constexpr double TrialShare = 0.25;

/// Least weight of measurements that are recent enough to go by.
constexpr double RecentWeight = 0.3;

/// Expected value of `max(0, x)` for a normally distributed `x`.
double expectedExcess(double mean, double deviation)
{
    constexpr double Sqrt2 = 1.4142135623730951;
    constexpr double InverseSqrt2Pi = 0.3989422804014327;
    if (deviation <= 0)
        return std::max(0.0, mean);
    const double z = mean / deviation;
    return deviation * InverseSqrt2Pi * std::exp(-z * z / 2) + mean * 0.5 * std::erfc(-z / Sqrt2);
}

/// Answer time relative to that of an idle endpoint. `own` requests are known; the number of the
/// peers' is old, and taken as Poisson distributed, so that an endpoint costs more before its slots
/// are all taken.
double queueFactorOf(double own, double peers, std::uint32_t slots)
{
    const double ahead = own + peers + 1 - slots;
    return 1 + expectedExcess(ahead, std::sqrt(peers)) / slots;
}

/// Deterministic pseudo-random number from 0 to 1.
double uniform(std::uint64_t digest)
{
    constexpr double Range = 18446744073709551616.0;
    return static_cast<double>(detail::mixBits(digest)) / Range;
}

} // namespace

PlainChoice::PlainChoice(const PlainChoiceOptions &options)
    : options_(options)
{ }

std::optional<PlainPick> PlainChoice::choose(const std::vector<PlainCandidate> &candidates,
                                             const std::string &request, absl::Duration usual,
                                             absl::Time now) const
{
    struct Drawn
    {
        bool wasTried = false;
        bool isLastResort = false;
        std::uint64_t digest = 0;
        std::size_t index = 0;
    };
    std::vector<Drawn> drawn;
    double peerRequests = 0;
    double slots = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const PlainCandidate &candidate = candidates[i];
        drawn.push_back({ candidate.wasTried, candidate.isLastResort,
                          detail::mixedDigest(absl::StrCat(request, "#", candidate.id.str())), i });
        peerRequests += candidate.peerRequests;
        slots += std::max<std::uint32_t>(candidate.slots, 1);
    }
    std::sort(drawn.begin(), drawn.end(), [](const Drawn &a, const Drawn &b) {
        return std::tie(a.wasTried, a.isLastResort, a.digest)
            < std::tie(b.wasTried, b.isLastResort, b.digest);
    });
    if (drawn.size() > 2)
        drawn.resize(2);
    if (!drawn.empty() && isDueForTrial(candidates[drawn.front().index], now)
        && uniform(drawn.front().digest) < TrialShare)
        drawn.resize(1);
    const double usualMs = absl::ToDoubleMilliseconds(usualOrInitial(usual));
    std::optional<PlainPick> best;
    double bestCost = 0;
    for (const Drawn &entry : drawn) {
        const PlainCandidate &candidate = candidates[entry.index];
        if (best
            && (entry.wasTried != drawn.front().wasTried
                || entry.isLastResort != drawn.front().isLastResort))
            break;
        const std::uint32_t own = std::max<std::uint32_t>(candidate.slots, 1);
        const absl::Duration alone = answerTime(candidate.id, usual, now);
        // Reported requests end at the endpoint's speed and are replaced by its share of the
        // average load.
        const double average = peerRequests * own / slots;
        const double reportedFactor
            = queueFactorOf(candidate.ownRequests, candidate.peerRequests, own);
        const double left = std::exp(
            -absl::FDivDuration(candidate.peerAge + options_.reportDelay, alone * reportedFactor));
        const double peers = average + (candidate.peerRequests - average) * left;
        PlainPick pick;
        pick.index = entry.index;
        pick.queueFactor = queueFactorOf(candidate.ownRequests, peers, own);
        pick.expected = alone * pick.queueFactor;
        double cost = absl::ToDoubleMilliseconds(pick.expected)
            + options_.jitter * usualMs * uniform(entry.digest);
        if (candidate.isElsewhere)
            cost += options_.otherDataCentreCost * usualMs;
        if (!best || cost < bestCost) {
            best = pick;
            bestCost = cost;
        }
    }
    return best;
}

absl::Duration PlainChoice::answerTime(const base::EndpointId &endpoint, absl::Duration usual,
                                       absl::Time now) const
{
    absl::Duration time = usualOrInitial(usual);
    const auto found = speeds_.find(endpoint);
    if (found != speeds_.end()) {
        const double decay = decayOf(now - found->second.updatedAt);
        const double weight = found->second.weight * decay;
        const double sum = found->second.weightedMs * decay
            + options_.usualWeight * absl::ToDoubleMilliseconds(time);
        time = absl::Milliseconds(sum / (weight + options_.usualWeight));
    }
    const absl::Duration longest = MaxOpenAge * usualOrInitial(usual);
    for (const auto &[call, open] : open_) {
        if (open.endpoint == endpoint)
            time = std::max(time, std::min(longest, (now - open.startedAt) / open.queueFactor));
    }
    return time;
}

// Without a trial, an endpoint of which nothing recent is known stays behind those that answer
// faster than usual.
bool PlainChoice::isDueForTrial(const PlainCandidate &candidate, absl::Time now) const
{
    const bool hasRoom = candidate.ownRequests + candidate.peerRequests < candidate.slots;
    if (candidate.isLastResort || candidate.wasTried || !hasRoom)
        return false;
    for (const auto &[call, open] : open_) {
        if (open.endpoint == candidate.id)
            return false;
    }
    const auto found = speeds_.find(candidate.id);
    return found == speeds_.end()
        || found->second.weight * decayOf(now - found->second.updatedAt) < RecentWeight;
}

std::uint64_t PlainChoice::noteStart(const base::EndpointId &endpoint, double queueFactor,
                                     absl::Time now)
{
    open_[++lastCall_] = { endpoint, now, std::max(1.0, queueFactor) };
    return lastCall_;
}

void PlainChoice::noteAnswer(std::uint64_t call, absl::Time now)
{
    if (const auto open = takeOpenCall(call))
        addSample(*open, now);
}

void PlainChoice::noteAbandoned(std::uint64_t call, absl::Time now)
{
    const auto open = takeOpenCall(call);
    if (!open)
        return;
    const absl::Duration time = (now - open->startedAt) / open->queueFactor;
    if (time > answerTime(open->endpoint, absl::ZeroDuration(), now))
        addSample(*open, now);
}

void PlainChoice::setEndpoints(const std::vector<base::EndpointId> &endpoints)
{
    const absl::flat_hash_set<base::EndpointId> kept(endpoints.begin(), endpoints.end());
    absl::erase_if(speeds_, [&kept](const auto &entry) { return !kept.contains(entry.first); });
}

absl::Duration PlainChoice::usualOrInitial(absl::Duration usual) const
{
    return usual > absl::ZeroDuration() ? usual : options_.initialAnswerTime;
}

double PlainChoice::decayOf(absl::Duration age) const
{
    return std::exp(-absl::FDivDuration(std::max(age, absl::ZeroDuration()), options_.decay));
}

std::optional<PlainChoice::OpenCall> PlainChoice::takeOpenCall(std::uint64_t call)
{
    const auto found = open_.find(call);
    if (found == open_.end())
        return std::nullopt;
    const OpenCall open = found->second;
    open_.erase(found);
    return open;
}

void PlainChoice::addSample(const OpenCall &call, absl::Time now)
{
    Speed &speed = speeds_[call.endpoint];
    const double decay = speed.weight > 0 ? decayOf(now - speed.updatedAt) : 0;
    speed.weight = speed.weight * decay + 1;
    speed.weightedMs = speed.weightedMs * decay
        + absl::ToDoubleMilliseconds(now - call.startedAt) / call.queueFactor;
    speed.updatedAt = now;
}

} // namespace zinniadoor::serving
