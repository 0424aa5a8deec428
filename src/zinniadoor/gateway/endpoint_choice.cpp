#include "endpoint_choice.hpp"

#include <algorithm>
#include <utility>

#include "zinniadoor/serving/placement.hpp"

namespace zinniadoor::gateway {

namespace {

bool contains(const std::vector<base::EndpointId> &list, const base::EndpointId &id)
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

std::optional<EndpointChoice> choosePlain(const ServingContext &context, const ChoiceFacts &facts,
                                          absl::Time now)
{
    std::vector<serving::PlainCandidate> candidates;
    for (const EndpointRecord *endpoint :
         context.directory.usable(facts.service, now, facts.excluded, facts.regions)) {
        serving::PlainCandidate candidate;
        candidate.id = endpoint->id;
        candidate.slots = endpoint->slots;
        candidate.ownRequests = context.load.ownLoad(endpoint->id).requests;
        candidate.peerRequests
            = context.load.load(endpoint->id, now).requests - candidate.ownRequests;
        candidate.peerAge = context.load.peerLoadAge(endpoint->id, now);
        candidate.isElsewhere = endpoint->dataCentre != context.dataCentre;
        candidate.isLastResort
            = context.health.weight(endpoint->id, now) <= 0 || contains(*facts.tried, endpoint->id);
        candidates.push_back(std::move(candidate));
    }
    const auto pick = context.plainChoice.choose(candidates, facts.request,
                                                 context.speeds.answerTime(facts.service), now);
    if (!pick)
        return std::nullopt;
    EndpointChoice choice;
    choice.endpoint = candidates[pick->index].id;
    choice.firstByte = pick->expected;
    choice.queueFactor = pick->queueFactor;
    return choice;
}

std::optional<EndpointChoice> chooseEngine(const ServingContext &context, const ChoiceFacts &facts,
                                           absl::Time now)
{
    serving::PlacementRequest prompt;
    prompt.service = facts.service;
    prompt.segments = *facts.parts;
    prompt.promptTokens = facts.promptTokens;
    prompt.dataCentre = context.dataCentre;
    prompt.rank = facts.rank;
    const serving::EngineTimings speeds = context.speeds.engine(facts.service);
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
            if (!context.directory.hasRoom(engine.id, now))
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
        const auto plan = serving::placePrompt(prompt, context.load, speeds, now, usable);
        if (plan)
            return EndpointChoice { plan->prefillEngine, plan->decodeEngine, plan->kvSource,
                                    plan->uncachedTokens, plan->timeToFirstToken };
    }
    return std::nullopt;
}

} // namespace

std::optional<EndpointChoice> chooseEndpoint(const ServingContext &context,
                                             const ChoiceFacts &facts, absl::Time now)
{
    return facts.carriesPrompt ? chooseEngine(context, facts, now)
                               : choosePlain(context, facts, now);
}

} // namespace zinniadoor::gateway
