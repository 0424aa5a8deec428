#include "endpoint_choice.hpp"

#include <algorithm>

#include "zinniadoor/serving/placement.hpp"

namespace zinniadoor::gateway {

namespace {

bool contains(const std::vector<base::EndpointId> &list, const base::EndpointId &id)
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

/// Cost of an endpoint in another data centre, as a part of one busy slot.
constexpr double OtherDataCentreCost = 0.05;

std::optional<EndpointChoice> choosePlain(const ServingContext &context, const ChoiceFacts &facts,
                                          absl::Time now)
{
    const EndpointRecord *best = nullptr;
    double bestCost = 0;
    double bestBusy = 0;
    for (const bool mayRepeat : { false, true }) {
        for (const EndpointRecord *endpoint : context.directory.usable(facts.service, now)) {
            if (!mayRepeat && contains(*facts.avoid, endpoint->id))
                continue;
            const double busy = static_cast<double>(context.load.load(endpoint->id, now).requests)
                / std::max<std::uint32_t>(endpoint->slots, 1);
            double cost = busy;
            if (endpoint->dataCentre != context.dataCentre)
                cost += OtherDataCentreCost;
            if (context.health.weight(endpoint->id, now) <= 0)
                cost += 1000; // Only if there is no other.
            const bool better
                = !best || cost < bestCost || (cost == bestCost && endpoint->id < best->id);
            if (better) {
                best = endpoint;
                bestCost = cost;
                bestBusy = busy;
            }
        }
        if (best)
            break;
    }
    if (!best)
        return std::nullopt;
    EndpointChoice choice;
    choice.endpoint = best->id;
    choice.firstByte = context.speeds.answerTime(facts.service) * std::max(1.0, bestBusy);
    return choice;
}

std::optional<EndpointChoice> chooseEngine(const ServingContext &context, const ChoiceFacts &facts,
                                           absl::Time now)
{
    serving::PromptFacts prompt;
    prompt.service = facts.service;
    prompt.parts = *facts.parts;
    prompt.promptTokens = facts.promptTokens;
    prompt.dataCentre = context.dataCentre;
    prompt.rank = facts.rank;
    const serving::EngineSpeeds speeds = context.speeds.engine(facts.service);
    enum class Trust : std::uint8_t { Full, Usable, Any };
    for (const Trust trust : { Trust::Full, Trust::Usable, Trust::Any }) {
        const auto usable = [&](const serving::EngineInfo &engine) {
            if (facts.readInPlace && engine.readsForOthers)
                return false;
            if (!context.directory.mayCall(engine.id, now))
                return false;
            if (trust == Trust::Any)
                return true;
            if (!context.directory.isUsable(engine.id, now))
                return false;
            return trust == Trust::Usable
                || (!contains(*facts.avoid, engine.id)
                    && context.health.weight(engine.id, now) > 0);
        };
        const auto plan = serving::placePrompt(prompt, context.load, speeds, now, usable);
        if (plan)
            return EndpointChoice { plan->reader, plan->writer, plan->source, plan->tokensToRead,
                                    plan->firstToken };
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
