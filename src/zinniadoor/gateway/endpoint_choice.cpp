#include "endpoint_choice.hpp"

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"

#include "zinniadoor/base/events.hpp"
#include "zinniadoor/serving/placement.hpp"

namespace zinniadoor::gateway {

namespace {

bool contains(const std::vector<base::EndpointId> &list, const base::EndpointId &id)
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

/// Whether the request leaves the data centre; logs a change of the share.
bool leaves(ServingContext &context, const ChoiceFacts &facts, absl::Duration home,
            absl::Duration elsewhere, absl::Time now)
{
    const serving::SpillFacts spill {
        facts.service,  serving::stableDigest(facts.request), home, elsewhere, facts.objective,
        facts.bodyBytes
    };
    const serving::SpillDecision decision = context.spill.decide(spill, now);
    if (decision.hasChanged) {
        const auto milliseconds
            = [](absl::Duration time) { return absl::StrCat(absl::ToInt64Milliseconds(time)); };
        base::logEvent(base::EventId::SpillShareChanged,
                       { { "request", facts.request },
                         { "service", facts.service },
                         { "from", absl::StrCat(decision.change.from) },
                         { "to", absl::StrCat(decision.change.to) },
                         { "gain_ms", milliseconds(decision.change.gain) },
                         { "home_ms", milliseconds(home) },
                         { "elsewhere_ms", milliseconds(elsewhere) } });
    }
    return decision.leaves;
}

/// Keeps the candidates to which a request goes that may leave, or stays in, the data centre.
std::vector<serving::PlainCandidate>
withinDataCentre(ServingContext &context, const ChoiceFacts &facts,
                 const std::vector<serving::PlainCandidate> &candidates, absl::Time now)
{
    std::vector<serving::PlainCandidate> home;
    std::vector<serving::PlainCandidate> elsewhere;
    for (const serving::PlainCandidate &candidate : candidates) {
        const EndpointRecord *record = context.directory.find(candidate.id);
        if (candidate.isLastResort || candidate.wasTried)
            continue;
        if (!candidate.isElsewhere)
            home.push_back(candidate);
        else if (record && context.isHeardOf(record->dataCentre, candidate.id, now))
            elsewhere.push_back(candidate);
    }
    if (home.empty())
        return elsewhere.empty() ? candidates : elsewhere;
    const absl::Duration usual = context.answers.mean({ facts.service, facts.route });
    const auto stay = context.plainChoice.choose(home, facts.request, usual, now);
    const auto leave = context.plainChoice.choose(elsewhere, facts.request, usual, now);
    if (leave && leaves(context, facts, stay->expected, leave->expected, now))
        return elsewhere;
    return home;
}

std::optional<EndpointChoice> choosePlain(ServingContext &context, const ChoiceFacts &facts,
                                          absl::Time now)
{
    std::vector<serving::PlainCandidate> candidates;
    for (const EndpointRecord *endpoint :
         context.directory.usable(facts.service, now, facts.excluded, facts.regions)) {
        if (facts.version && endpoint->version != *facts.version)
            continue;
        serving::PlainCandidate candidate;
        candidate.id = endpoint->id;
        candidate.slots = endpoint->slots;
        candidate.ownRequests = context.load.ownLoad(endpoint->id).requests;
        candidate.peerRequests
            = context.load.load(endpoint->id, now).requests - candidate.ownRequests;
        candidate.peerAge = context.load.peerLoadAge(endpoint->id, now);
        candidate.isElsewhere = endpoint->dataCentre != context.dataCentre;
        candidate.isLastResort = context.health.weight(endpoint->id, now) <= 0;
        candidate.wasTried = contains(*facts.tried, endpoint->id);
        candidates.push_back(std::move(candidate));
    }
    if (context.spill.options().isEnabled)
        candidates = withinDataCentre(context, facts, candidates, now);
    const absl::Duration usual = context.answers.mean({ facts.service, facts.route });
    const auto pick = context.plainChoice.choose(candidates, facts.request, usual, now);
    if (!pick)
        return std::nullopt;
    EndpointChoice choice;
    choice.endpoint = candidates[pick->index].id;
    // The measured speed ranks endpoints, but a request is not refused for it: an endpoint is slow,
    // or silent, for moments only.
    const double load = static_cast<double>(context.load.load(choice.endpoint, now).requests)
        / std::max<std::uint32_t>(candidates[pick->index].slots, 1);
    choice.firstByte = usual * std::max(1.0, load);
    choice.hasQueue = load >= 1;
    choice.queueFactor = pick->queueFactor;
    return choice;
}

/// Data centres other than the own one of which something recent is known.
absl::flat_hash_set<base::DataCentreId> heardOf(const ServingContext &context, absl::Time now)
{
    absl::flat_hash_set<base::DataCentreId> heard;
    for (const serving::EngineInfo &engine : context.load.engines()) {
        if (engine.dataCentre != context.dataCentre && !heard.contains(engine.dataCentre)
            && context.isHeardOf(engine.dataCentre, engine.id, now))
            heard.insert(engine.dataCentre);
    }
    return heard;
}

/// Places the prompt in this data centre or in another one. `usable` holds for each engine used.
std::optional<serving::EnginePlan>
placeWithSpill(ServingContext &context, const ChoiceFacts &facts, serving::PlacementRequest prompt,
               absl::Time now, const std::function<bool(const serving::EngineInfo &)> &usable)
{
    const serving::EngineTimings speeds = context.speeds.engine(facts.service);
    const auto heard = heardOf(context, now);
    const auto isKnown = [&](const serving::EngineInfo &engine) {
        return (engine.dataCentre == context.dataCentre || heard.contains(engine.dataCentre))
            && usable(engine);
    };
    prompt.scope = serving::PlacementScope::Home;
    auto home = serving::placePrompt(prompt, context.load, speeds, now, isKnown);
    if (heard.empty())
        return home;
    prompt.scope = serving::PlacementScope::Elsewhere;
    auto elsewhere = serving::placePrompt(prompt, context.load, speeds, now, isKnown);
    if (!home || !elsewhere)
        return home ? home : elsewhere;
    return leaves(context, facts, home->timeToFirstToken, elsewhere->timeToFirstToken, now)
        ? elsewhere
        : home;
}

std::optional<EndpointChoice> chooseEngine(ServingContext &context, const ChoiceFacts &facts,
                                           absl::Time now)
{
    serving::PlacementRequest prompt;
    prompt.service = facts.service;
    prompt.segments = *facts.parts;
    prompt.promptTokens = facts.promptTokens;
    prompt.dataCentre = context.dataCentre;
    prompt.rank = facts.rank;
    const serving::EngineTimings speeds = context.speeds.engine(facts.service);
    const auto hasVersion = [&](const serving::EngineInfo &engine) {
        const EndpointRecord *record = facts.version ? context.directory.find(engine.id) : nullptr;
        return !facts.version || (record && record->version == *facts.version);
    };
    // Relaxed step by step: paused endpoints are preferred to suspected ones.
    enum class Eligibility : std::uint8_t { Healthy, Usable, Answering, Any };
    for (const Eligibility eligibility :
         { Eligibility::Healthy, Eligibility::Usable, Eligibility::Answering, Eligibility::Any }) {
        const auto usable = [&](const serving::EngineInfo &engine) {
            if (facts.localPrefill && engine.isPrefillEngine)
                return false;
            if (facts.excluded && *facts.excluded == engine.id)
                return false;
            if (facts.regions && !facts.regions->allows(engine.dataCentre))
                return false;
            if (!hasVersion(engine) || !context.directory.hasRoom(engine.id, now))
                return false;
            if (eligibility == Eligibility::Any)
                return true;
            if (eligibility == Eligibility::Answering)
                return !context.directory.isSuspected(engine.id, now);
            if (!context.directory.isUsable(engine.id, now))
                return false;
            return eligibility == Eligibility::Usable
                || (!contains(*facts.tried, engine.id)
                    && context.health.weight(engine.id, now) > 0);
        };
        auto plan = context.spill.options().isEnabled
            ? placeWithSpill(context, facts, prompt, now, usable)
            : std::nullopt;
        // Without an engine in the data centre, and in those of which something is known, any other
        // may execute the request.
        if (!plan)
            plan = serving::placePrompt(prompt, context.load, speeds, now, usable);
        if (!plan)
            continue;
        const base::EndpointId &executor
            = plan->prefillEngine ? *plan->prefillEngine : plan->decodeEngine;
        EndpointChoice choice { plan->prefillEngine, plan->decodeEngine, plan->kvSource,
                                plan->uncachedTokens, plan->timeToFirstToken };
        choice.hasQueue = context.load.load(executor, now).tokensAhead(facts.rank) > 0;
        return choice;
    }
    return std::nullopt;
}

} // namespace

std::optional<EndpointChoice> chooseEndpoint(ServingContext &context, const ChoiceFacts &facts,
                                             absl::Time now)
{
    return facts.carriesPrompt ? chooseEngine(context, facts, now)
                               : choosePlain(context, facts, now);
}

} // namespace zinniadoor::gateway
