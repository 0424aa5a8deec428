#include "zinniadoor/serving/placement.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "absl/strings/str_cat.h"

#include "stable_digest.hpp"

namespace zinniadoor::serving {

namespace {

/// Weight of reading shared segments at an engine that is not their home, against waiting: each
/// copy takes memory from other prompts.
constexpr double CopyWeight = 1.0;

/// The same of copying them from an engine that holds them.
constexpr double FetchedCopyWeight = 0.3;

/// Copies of less are not worth their call.
constexpr std::uint64_t MinFetchTokens = 1024;

/// Copies between data centres take longer by this factor.
constexpr double OtherDataCentreCopy = 2;

/// Cost of a further request at a writing engine, as time of the new one's first token.
constexpr double StepPerRequestMs = 0.05;

/// Part of a prompt's reading time in place that each request running there is taken to lose: the
/// pieces of the prompt are read between their tokens.
constexpr double DisturbanceWeight = 0.3;

/// Weight of the time that a writing engine needs for prompts in its own memory: they are read in
/// pieces between the tokens of others.
constexpr double WriterReadWeight = 0.1;

/// Penalty for taking a read prompt over from another data centre.
constexpr double OtherDataCentreMs = 4;

/// Engines whose costs differ by less than this are taken in an order of each request's own, since
/// other instances choose at the same time and are heard of later.
constexpr double SpreadMs = 8;

/// The same for writing engines, where a further request costs little.
constexpr double WriterSpreadMs = 0.6;

/// A number of 0 to 1 that differs from engine to engine and from request to request.
double spreadOf(PrefixKey request, std::size_t engine)
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
    double readMs = 0;
    const EngineInfo *source = nullptr; ///< Of a copy of the beginning.
    std::uint64_t uncachedTokens = 0;
    double costMs = std::numeric_limits<double>::infinity();
};

/// The engines of the list that all instances name first and second for a prompt's beginning.
struct Homes
{
    const EngineInfo *first = nullptr;
    const EngineInfo *second = nullptr;
};

Homes homesOf(const std::vector<const EngineInfo *> &engines, PrefixKey key)
{
    Homes homes;
    std::uint64_t firstRank = 0;
    std::uint64_t secondRank = 0;
    for (const EngineInfo *engine : engines) {
        const std::uint64_t rank = detail::mixedDigest(absl::StrCat(engine->id.str(), "#", key));
        if (!homes.first || rank > firstRank) {
            homes.second = std::exchange(homes.first, engine);
            secondRank = std::exchange(firstRank, rank);
        } else if (!homes.second || rank > secondRank) {
            homes.second = engine;
            secondRank = rank;
        }
    }
    return homes;
}

/// The key by which a prompt is placed: that of its longest shared beginning.
PrefixKey sharedKey(const std::vector<KeyedSegment> &segments)
{
    if (segments.empty())
        return 0;
    return segments.size() == 1 ? segments.front().key : segments[segments.size() - 2].key;
}

/// The engine that holds most of a prompt's beginning.
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

double fetchMs(const EngineInfo &to, const EngineInfo &from, std::uint64_t tokens)
{
    const double ms = static_cast<double>(tokens) / to.copyTokensPerMs;
    return to.dataCentre == from.dataCentre ? ms : ms * OtherDataCentreCopy;
}

/// Time until a slot is free for a further answer, as answers end one after the other.
double slotWaitMs(const EngineInfo &engine, const EngineLoad &load, const EngineTimings &speeds)
{
    if (load.requests < engine.slots)
        return 0;
    const double place = load.requests - engine.slots + 1.0;
    return place * absl::ToDoubleMilliseconds(speeds.decodeTime) / engine.slots;
}

struct WriterChoice
{
    const EngineInfo *engine = nullptr;
    double slotWaitMs = 0;
};

WriterChoice pickWriter(const std::vector<const EngineInfo *> &writers, const EngineView &view,
                        const EngineInfo &reader, const EngineTimings &speeds, PrefixKey request,
                        absl::Time now)
{
    const double speed = speeds.prefillTokensPerMs * speeds.localPrefillSpeedRatio;
    WriterChoice best;
    double bestCost = 0;
    for (std::size_t i = 0; i < writers.size(); ++i) {
        const EngineInfo *writer = writers[i];
        const EngineLoad load = view.load(writer->id, now);
        const double slotWait = slotWaitMs(*writer, load, speeds);
        double cost = slotWait + WriterSpreadMs * spreadOf(request, i)
            + StepPerRequestMs * load.requests
            + WriterReadWeight * static_cast<double>(load.tokensAhead(UrgencyRankCount - 1))
                / speed;
        if (writer->dataCentre != reader.dataCentre)
            cost += OtherDataCentreMs;
        if (!best.engine || cost < bestCost) {
            best = { writer, slotWait };
            bestCost = cost;
        }
    }
    return best;
}

/// What all candidates for one prompt are judged by.
struct Placement
{
    const PlacementRequest &facts;
    const EngineView &view;
    const EngineTimings &speeds;
    absl::Time now;
    Homes homes;
    Holder holder;
    std::uint64_t sharedTokens = 0;
    PrefixKey request = 0; ///< Key of the prompt's own part.
};

std::uint64_t sharedTokensOf(const std::vector<KeyedSegment> &segments)
{
    std::uint64_t tokens = 0;
    for (std::size_t i = 0; i + 1 < segments.size(); ++i)
        tokens += segments[i].tokens;
    return tokens;
}

/// Chooses where the candidate copies the beginning from. Returns the weighed cost of one more
/// copy of it, in milliseconds.
double planCopy(Candidate &candidate, std::uint64_t cached, double speed,
                const Placement &placement)
{
    const EngineInfo &engine = *candidate.engine;
    const Homes &homes = placement.homes;
    const std::uint64_t sharedTokens = placement.sharedTokens;
    double copyMs = 0;
    if (&engine != homes.first) {
        copyMs = CopyWeight * static_cast<double>(sharedTokens - std::min(sharedTokens, cached))
            / speed;
    }
    if (engine.copyTokensPerMs <= 0)
        return copyMs;
    const Holder &holder = placement.holder;
    const std::uint64_t fetched = holder.tokens - std::min(holder.tokens, cached);
    if (holder.engine != &engine && fetched >= MinFetchTokens) {
        const double ms = fetchMs(engine, *holder.engine, fetched);
        if (ms >= static_cast<double>(fetched) / speed)
            return copyMs;
        candidate.source = holder.engine;
        candidate.uncachedTokens -= std::min(fetched, candidate.uncachedTokens);
        candidate.waitMs += ms;
        return copyMs * FetchedCopyWeight;
    }
    // Nobody is known to hold it; others may have read it where they would look first.
    if (cached == 0 && sharedTokens >= MinFetchTokens)
        candidate.source = &engine == homes.first ? homes.second : homes.first;
    return copyMs;
}

Candidate judge(const EngineInfo &engine, std::size_t index, const Placement &placement)
{
    const PlacementRequest &facts = placement.facts;
    const EngineTimings &speeds = placement.speeds;
    Candidate candidate;
    candidate.engine = &engine;
    const double speed
        = speeds.prefillTokensPerMs * (engine.isPrefillEngine ? 1 : speeds.localPrefillSpeedRatio);
    const std::uint64_t cached = std::min<std::uint64_t>(
        placement.view.cachedTokens(engine.id, facts.segments), facts.promptTokens);
    candidate.uncachedTokens = facts.promptTokens - cached;
    const EngineLoad load = placement.view.load(engine.id, placement.now);
    candidate.waitMs = static_cast<double>(load.tokensAhead(facts.rank)) / speed;
    if (!engine.isPrefillEngine)
        candidate.waitMs += slotWaitMs(engine, load, speeds);
    const double copyMs = planCopy(candidate, cached, speed, placement);
    candidate.readMs = static_cast<double>(candidate.uncachedTokens) / speed;
    double disturbanceMs = 0;
    if (engine.isPrefillEngine) {
        candidate.readMs
            += absl::ToDoubleMilliseconds(speeds.remotePrefillOverhead + speeds.handoffTime);
    } else {
        disturbanceMs = DisturbanceWeight * candidate.readMs * load.requests;
        candidate.readMs += absl::ToDoubleMilliseconds(speeds.localPrefillOverhead);
    }
    candidate.costMs = candidate.waitMs + candidate.readMs + disturbanceMs + copyMs
        + SpreadMs * spreadOf(placement.request, index);
    return candidate;
}

} // namespace

std::optional<EnginePlan> placePrompt(const PlacementRequest &facts, const EngineView &view,
                                      const EngineTimings &speeds, absl::Time now,
                                      const std::function<bool(const EngineInfo &)> &usable)
{
    std::vector<const EngineInfo *> engines;
    std::vector<const EngineInfo *> readers;
    std::vector<const EngineInfo *> writers;
    for (const EngineInfo &engine : view.engines()) {
        if (engine.service != facts.service || !usable(engine))
            continue;
        engines.push_back(&engine);
        (engine.isPrefillEngine ? readers : writers).push_back(&engine);
    }
    if (writers.empty())
        return std::nullopt;
    const Placement placement { facts,
                                view,
                                speeds,
                                now,
                                homesOf(readers.empty() ? writers : readers,
                                        sharedKey(facts.segments)),
                                findHolder(engines, view, facts.segments),
                                sharedTokensOf(facts.segments),
                                facts.segments.empty() ? 0 : facts.segments.back().key };
    Candidate best;
    for (std::size_t i = 0; i < engines.size(); ++i) {
        const Candidate candidate = judge(*engines[i], i, placement);
        if (candidate.costMs < best.costMs)
            best = candidate;
    }
    EnginePlan plan;
    plan.uncachedTokens = best.uncachedTokens;
    if (best.source)
        plan.kvSource = best.source->id;
    plan.timeToFirstToken = absl::Milliseconds(best.waitMs + best.readMs);
    if (best.engine->isPrefillEngine) {
        plan.prefillEngine = best.engine->id;
        const WriterChoice writer
            = pickWriter(writers, view, *best.engine, speeds, placement.request, now);
        plan.decodeEngine = writer.engine->id;
        plan.timeToFirstToken += absl::Milliseconds(writer.slotWaitMs);
    } else {
        plan.decodeEngine = best.engine->id;
    }
    return plan;
}

} // namespace zinniadoor::serving
