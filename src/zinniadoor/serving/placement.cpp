#include "zinniadoor/serving/placement.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "absl/strings/str_cat.h"

#include "stable_digest.hpp"

namespace zinniadoor::serving {

namespace {

/// Cost weight of prefilling the shared prefix on an engine other than its affinity engine,
/// relative to queueing: each copy takes KV cache from other prompts.
constexpr double CopyWeight = 1.0;

/// The same if the prefix is fetched from an engine that has it cached.
constexpr double FetchedCopyWeight = 0.3;

/// Smaller transfers do not pay for their call.
constexpr std::uint64_t MinFetchTokens = 1024;

/// Relative duration of KV transfers between data centres.
constexpr double CrossDataCentreTransferFactor = 2;

/// Cost of each running request on a decode engine, as delay of the first token of a new one.
constexpr double DecodeStepPerRequestMs = 0.05;

/// Estimated share of a local prefill's time that each running request on the engine loses: the
/// chunks of the prompt are computed between their tokens.
constexpr double InterferenceWeight = 0.3;

/// Weight of the queued local prefill on a decode engine: it is computed in chunks between the
/// tokens of other requests.
constexpr double LocalPrefillWeight = 0.1;

/// Penalty for handing a prefilled prompt over to another data centre.
constexpr double CrossDataCentreHandoffMs = 4;

/// Amplitude of the per-request jitter of engine costs: other instances place requests at the same
/// time and their updates arrive later, so engines of similar cost are used in varying order.
constexpr double JitterMs = 8;

/// The same for decode engines, where an additional request costs little.
constexpr double DecodeJitterMs = 0.6;

/// Deterministic pseudo-random number from 0 to 1 for a request and an engine.
double jitterOf(PrefixKey request, std::size_t engine)
{
    constexpr std::uint64_t Golden = 0x9e3779b97f4a7c15ULL; // Increment of SplitMix64.
    const std::uint64_t mixed = detail::mixBits(request + Golden * (engine + 1));
    constexpr double Range = 18446744073709551616.0;
    return static_cast<double>(mixed) / Range;
}

struct Candidate
{
    const EngineInfo *engine = nullptr;
    double waitMs = 0;
    double prefillMs = 0;
    const EngineInfo *source = nullptr; ///< To fetch the prefix from; null for none.
    std::uint64_t uncachedTokens = 0;
    double costMs = std::numeric_limits<double>::infinity();
};

/// Engines with the highest and second-highest rendezvous hash for a prompt's shared prefix; equal
/// on all instances.
struct AffinityEngines
{
    const EngineInfo *first = nullptr;
    const EngineInfo *second = nullptr;
};

AffinityEngines affinityEnginesOf(const std::vector<const EngineInfo *> &engines, PrefixKey key)
{
    AffinityEngines affinity;
    std::uint64_t firstRank = 0;
    std::uint64_t secondRank = 0;
    for (const EngineInfo *engine : engines) {
        const std::uint64_t rank = detail::mixedDigest(absl::StrCat(engine->id.str(), "#", key));
        if (!affinity.first || rank > firstRank) {
            affinity.second = std::exchange(affinity.first, engine);
            secondRank = std::exchange(firstRank, rank);
        } else if (!affinity.second || rank > secondRank) {
            affinity.second = engine;
            secondRank = rank;
        }
    }
    return affinity;
}

/// Affinity key of a prompt: the key of its longest shared prefix.
PrefixKey sharedKey(const std::vector<KeyedSegment> &segments)
{
    if (segments.empty())
        return 0;
    return segments.size() == 1 ? segments.front().key : segments[segments.size() - 2].key;
}

/// Engine with the longest cached prefix of a prompt.
struct Holder
{
    const EngineInfo *engine = nullptr;
    std::uint64_t tokens = 0;
};

Holder findHolder(const std::vector<const EngineInfo *> &engines, const EngineView &view,
                  const std::vector<KeyedSegment> &segments)
{
    Holder best;
    for (const EngineInfo *engine : engines) {
        const std::uint64_t tokens = view.cachedTokens(engine->id, segments);
        if (tokens > best.tokens)
            best = { engine, tokens };
    }
    return best;
}

double transferMs(const EngineInfo &to, const EngineInfo &from, std::uint64_t tokens)
{
    const double ms = static_cast<double>(tokens) / to.copyTokensPerMs;
    return to.dataCentre == from.dataCentre ? ms : ms * CrossDataCentreTransferFactor;
}

/// Estimated time until a decode slot is free, assuming that answers end at a uniform rate.
double slotWaitMs(const EngineInfo &engine, const EngineLoad &load, const EngineTimings &timings)
{
    if (load.requests < engine.slots)
        return 0;
    const double place = load.requests - engine.slots + 1.0;
    return place * absl::ToDoubleMilliseconds(timings.decodeTime) / engine.slots;
}

struct DecodeChoice
{
    const EngineInfo *engine = nullptr;
    double slotWaitMs = 0;
};

DecodeChoice pickDecodeEngine(const std::vector<const EngineInfo *> &decodeEngines,
                              const EngineView &view, const EngineInfo &prefillEngine,
                              const EngineTimings &timings, PrefixKey request, absl::Time now)
{
    const double speed = timings.prefillTokensPerMs * timings.localPrefillSpeedRatio;
    DecodeChoice best;
    double bestCost = 0;
    for (std::size_t i = 0; i < decodeEngines.size(); ++i) {
        const EngineInfo *decodeEngine = decodeEngines[i];
        const EngineLoad load = view.load(decodeEngine->id, now);
        const double slotWait = slotWaitMs(*decodeEngine, load, timings);
        double cost = slotWait + DecodeJitterMs * jitterOf(request, i)
            + DecodeStepPerRequestMs * load.requests
            + LocalPrefillWeight * static_cast<double>(load.tokensAhead(UrgencyRankCount - 1))
                / speed;
        if (decodeEngine->dataCentre != prefillEngine.dataCentre)
            cost += CrossDataCentreHandoffMs;
        if (!best.engine || cost < bestCost) {
            best = { decodeEngine, slotWait };
            bestCost = cost;
        }
    }
    return best;
}

bool isInScope(const EngineInfo &engine, const PlacementRequest &facts)
{
    return facts.scope == PlacementScope::Anywhere
        || (engine.dataCentre == facts.dataCentre) == (facts.scope == PlacementScope::Home);
}

/// The affinity engine within the scope, and as second one that of all data centres, so that a
/// prefix is prefilled once in the fleet and copied to each data centre.
AffinityEngines scopedAffinityOf(const std::vector<const EngineInfo *> &scoped,
                                 const std::vector<const EngineInfo *> &all, PrefixKey key)
{
    AffinityEngines affinity = affinityEnginesOf(scoped, key);
    const EngineInfo *overall = affinityEnginesOf(all, key).first;
    if (overall && overall != affinity.first)
        affinity.second = overall;
    return affinity;
}

/// Inputs shared by the evaluation of all candidates for one prompt.
struct Placement
{
    const PlacementRequest &facts;
    const EngineView &view;
    const EngineTimings &timings;
    absl::Time now;
    AffinityEngines affinity;
    Holder holder;
    std::uint64_t sharedTokens = 0;
    PrefixKey request = 0; ///< Key of the prompt's private segment; seeds the jitter.
};

std::uint64_t sharedTokensOf(const std::vector<KeyedSegment> &segments)
{
    std::uint64_t tokens = 0;
    for (std::size_t i = 0; i + 1 < segments.size(); ++i)
        tokens += segments[i].tokens;
    return tokens;
}

/// Chooses the engine from which the candidate fetches the shared prefix. Returns the weighted cost
/// of another copy of the prefix, in milliseconds.
double planFetch(Candidate &candidate, std::uint64_t cached, double speed,
                 const Placement &placement)
{
    const EngineInfo &engine = *candidate.engine;
    const AffinityEngines &affinity = placement.affinity;
    const std::uint64_t sharedTokens = placement.sharedTokens;
    double copyMs = 0;
    if (&engine != affinity.first) {
        copyMs = CopyWeight * static_cast<double>(sharedTokens - std::min(sharedTokens, cached))
            / speed;
    }
    if (engine.copyTokensPerMs <= 0)
        return copyMs;
    const Holder &holder = placement.holder;
    const std::uint64_t fetched = holder.tokens - std::min(holder.tokens, cached);
    if (holder.engine != &engine && fetched >= MinFetchTokens) {
        const double ms = transferMs(engine, *holder.engine, fetched);
        if (ms >= static_cast<double>(fetched) / speed)
            return copyMs;
        candidate.source = holder.engine;
        candidate.uncachedTokens -= std::min(fetched, candidate.uncachedTokens);
        candidate.waitMs += ms;
        return copyMs * FetchedCopyWeight;
    }
    // No engine is known to have it cached. Peers may have prefilled it on the affinity engine
    // without their updates having arrived yet.
    if (cached == 0 && sharedTokens >= MinFetchTokens)
        candidate.source = &engine == affinity.first ? affinity.second : affinity.first;
    return copyMs;
}

Candidate evaluate(const EngineInfo &engine, std::size_t index, const Placement &placement)
{
    const PlacementRequest &facts = placement.facts;
    const EngineTimings &timings = placement.timings;
    Candidate candidate;
    candidate.engine = &engine;
    const double speed = timings.prefillTokensPerMs
        * (engine.isPrefillEngine ? 1 : timings.localPrefillSpeedRatio);
    const std::uint64_t cached = std::min<std::uint64_t>(
        placement.view.cachedTokens(engine.id, facts.segments), facts.promptTokens);
    candidate.uncachedTokens = facts.promptTokens - cached;
    const EngineLoad load = placement.view.load(engine.id, placement.now);
    candidate.waitMs = static_cast<double>(load.tokensAhead(facts.rank)) / speed;
    if (!engine.isPrefillEngine)
        candidate.waitMs += slotWaitMs(engine, load, timings);
    const double copyMs = planFetch(candidate, cached, speed, placement);
    candidate.prefillMs = static_cast<double>(candidate.uncachedTokens) / speed;
    double interferenceMs = 0;
    if (engine.isPrefillEngine) {
        candidate.prefillMs
            += absl::ToDoubleMilliseconds(timings.remotePrefillOverhead + timings.handoffTime);
    } else {
        interferenceMs = InterferenceWeight * candidate.prefillMs * load.requests;
        candidate.prefillMs += absl::ToDoubleMilliseconds(timings.localPrefillOverhead);
    }
    candidate.costMs = candidate.waitMs + candidate.prefillMs + interferenceMs + copyMs
        + JitterMs * jitterOf(placement.request, index);
    return candidate;
}

} // namespace

std::optional<EnginePlan> placePrompt(const PlacementRequest &facts, const EngineView &view,
                                      const EngineTimings &timings, absl::Time now,
                                      const std::function<bool(const EngineInfo &)> &usable)
{
    std::vector<const EngineInfo *> sources; ///< Of shared prefixes.
    std::vector<const EngineInfo *> allPrefillEngines;
    std::vector<const EngineInfo *> engines;
    std::vector<const EngineInfo *> prefillEngines;
    std::vector<const EngineInfo *> decodeEngines;
    for (const EngineInfo &engine : view.engines()) {
        if (engine.service != facts.service || !usable(engine))
            continue;
        sources.push_back(&engine);
        if (engine.isPrefillEngine && facts.scope != PlacementScope::Anywhere)
            allPrefillEngines.push_back(&engine);
        if (!isInScope(engine, facts))
            continue;
        engines.push_back(&engine);
        (engine.isPrefillEngine ? prefillEngines : decodeEngines).push_back(&engine);
    }
    if (decodeEngines.empty())
        return std::nullopt;
    const Placement placement { facts,
                                view,
                                timings,
                                now,
                                scopedAffinityOf(prefillEngines.empty() ? decodeEngines
                                                                        : prefillEngines,
                                                 allPrefillEngines, sharedKey(facts.segments)),
                                findHolder(sources, view, facts.segments),
                                sharedTokensOf(facts.segments),
                                facts.segments.empty() ? 0 : facts.segments.back().key };
    Candidate best;
    for (std::size_t i = 0; i < engines.size(); ++i) {
        const Candidate candidate = evaluate(*engines[i], i, placement);
        if (candidate.costMs < best.costMs)
            best = candidate;
    }
    EnginePlan plan;
    plan.uncachedTokens = best.uncachedTokens;
    if (best.source)
        plan.kvSource = best.source->id;
    plan.timeToFirstToken = absl::Milliseconds(best.waitMs + best.prefillMs);
    if (best.engine->isPrefillEngine) {
        plan.prefillEngine = best.engine->id;
        const DecodeChoice decode
            = pickDecodeEngine(decodeEngines, view, *best.engine, timings, placement.request, now);
        plan.decodeEngine = decode.engine->id;
        plan.timeToFirstToken += absl::Milliseconds(decode.slotWaitMs);
    } else {
        plan.decodeEngine = best.engine->id;
    }
    return plan;
}

} // namespace zinniadoor::serving
