#include "endpoint_choice.hpp"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "zinniadoor/serving/placement.hpp"

namespace zinniadoor::gateway {

namespace {

bool contains(const std::vector<base::EndpointId> &list, const base::EndpointId &id)
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

/// Cost of an endpoint in another data centre, as a share of full utilisation.
constexpr double OtherDataCentreCost = 0.05;

/// Largest random cost per request, as a share of full utilisation. Other instances choose by the
/// same load updates; without it they would all choose the same endpoint.
constexpr double PlainJitter = 0.3;

/// Deterministic pseudo-random number in [0, 1] for a request and an endpoint.
double jitterOf(const std::string &request, const base::EndpointId &endpoint)
{
    constexpr double Range = 18446744073709551616.0;
    const std::uint64_t digest = serving::stableDigest(absl::StrCat(request, "#", endpoint.str()));
    return static_cast<double>(digest) / Range;
}

std::optional<EndpointChoice> choosePlain(const ServingContext &context, const ChoiceFacts &facts,
                                          absl::Time now)
{
    const EndpointRecord *best = nullptr;
    double bestCost = 0;
    double bestLoad = 0;
    for (const bool allowTried : { false, true }) {
        for (const EndpointRecord *endpoint :
             context.directory.usable(facts.service, now, facts.excluded, facts.regions)) {
            if (!allowTried && contains(*facts.tried, endpoint->id))
                continue;
            const double load = static_cast<double>(context.load.load(endpoint->id, now).requests)
                / std::max<std::uint32_t>(endpoint->slots, 1);
            double cost = load + PlainJitter * jitterOf(facts.request, endpoint->id);
            if (endpoint->dataCentre != context.dataCentre)
                cost += OtherDataCentreCost;
            if (context.health.weight(endpoint->id, now) <= 0)
                cost += 1000; // Ejected: the last resort.
            if (!best || cost < bestCost) {
                best = endpoint;
                bestCost = cost;
                bestLoad = load;
            }
        }
        if (best)
            break;
    }
    if (!best)
        return std::nullopt;
    EndpointChoice choice;
    choice.endpoint = best->id;
    choice.firstByte = context.speeds.answerTime(facts.service) * std::max(1.0, bestLoad);
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
