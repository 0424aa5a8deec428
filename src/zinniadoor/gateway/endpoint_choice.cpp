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

/// Cost of an endpoint in another data centre, as a part of one busy slot.
constexpr double OtherDataCentreCost = 0.05;

/// Endpoints that differ by less, as a part of all their slots, are taken in an order of each
/// request's own: other instances choose by the same news.
constexpr double PlainSpread = 0.3;

/// A number of 0 to 1 that differs from endpoint to endpoint and from request to request.
double spreadOf(const std::string &request, const base::EndpointId &endpoint)
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
    double bestBusy = 0;
    for (const bool mayRepeat : { false, true }) {
        for (const EndpointRecord *endpoint : context.directory.usable(facts.service, now)) {
            if (!mayRepeat && contains(*facts.avoid, endpoint->id))
                continue;
            const double busy = static_cast<double>(context.load.load(endpoint->id, now).requests)
                / std::max<std::uint32_t>(endpoint->slots, 1);
            double cost = busy + PlainSpread * spreadOf(facts.request, endpoint->id);
            if (endpoint->dataCentre != context.dataCentre)
                cost += OtherDataCentreCost;
            if (context.health.weight(endpoint->id, now) <= 0)
                cost += 1000; // Only if there is no other.
            if (!best || cost < bestCost) {
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
    serving::PlacementRequest prompt;
    prompt.service = facts.service;
    prompt.segments = *facts.parts;
    prompt.promptTokens = facts.promptTokens;
    prompt.dataCentre = context.dataCentre;
    prompt.rank = facts.rank;
    const serving::EngineTimings speeds = context.speeds.engine(facts.service);
    // Where all others are full or paused, these come before those that do not answer.
    enum class Trust : std::uint8_t { Full, Usable, Answering, Any };
    for (const Trust trust : { Trust::Full, Trust::Usable, Trust::Answering, Trust::Any }) {
        const auto usable = [&](const serving::EngineInfo &engine) {
            if (facts.readInPlace && engine.isPrefillEngine)
                return false;
            if (!context.directory.mayCall(engine.id, now))
                return false;
            if (trust == Trust::Any)
                return true;
            if (trust == Trust::Answering)
                return !context.directory.isSuspected(engine.id, now);
            if (!context.directory.isUsable(engine.id, now))
                return false;
            return trust == Trust::Usable
                || (!contains(*facts.avoid, engine.id)
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
