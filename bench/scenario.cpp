#include "scenario.hpp"

#include <algorithm>
#include <fstream>
#include <random>
#include <sstream>

#include "zinniadoor/base/yaml_reader.hpp"

namespace zinniadoor::bench {

namespace {

using base::YamlReader;

constexpr absl::Duration MaxLength = absl::Hours(1);
constexpr double MaxRate = 10000;
constexpr std::int64_t MaxTokens = 1000000;
constexpr std::int64_t MaxEngines = 1000;

control::Role readRole(YamlReader &reader)
{
    const std::string name = reader.stringOr("role", "mixed");
    if (name == "prefill")
        return control::Role::Prefill;
    if (name == "decode")
        return control::Role::Decode;
    if (name != "mixed")
        reader.fault("role", "is not prefill, decode or mixed");
    return control::Role::Mixed;
}

std::string readChoice(YamlReader &reader, const char *key, const std::string &fallback,
                       const std::vector<std::string> &allowed)
{
    std::string value = reader.stringOr(key, fallback);
    if (std::find(allowed.begin(), allowed.end(), value) == allowed.end())
        reader.fault(key, "is not an available implementation");
    return value;
}

EngineProfile readProfile(YamlReader reader)
{
    EngineProfile profile;
    profile.prefillTokensPerSecond = reader.number("prefill_tokens_per_second", 1, 1e9);
    profile.tokensPerSecond = reader.number("tokens_per_second", 0.1, 1e6);
    profile.slots = static_cast<std::uint32_t>(reader.integer("slots", 1, MaxEngines));
    profile.offRoleFactor = reader.numberOr("off_role_factor", 0.01, 1, 1);
    profile.roleChange
        = reader.durationOr("role_change", absl::ZeroDuration(), MaxLength, absl::Seconds(5));
    profile.kvMove
        = reader.durationOr("kv_move", absl::ZeroDuration(), MaxLength, absl::Milliseconds(50));
    profile.reportAge
        = reader.durationOr("report_age", absl::ZeroDuration(), MaxLength, absl::Seconds(2));
    reader.finish();
    return profile;
}

EngineGroup readGroup(YamlReader &reader)
{
    EngineGroup group;
    group.name = reader.string("name");
    group.count = static_cast<std::uint32_t>(reader.integer("count", 1, MaxEngines));
    group.role = readRole(reader);
    group.dataCentre = reader.stringOr("data_centre", "dc1");
    group.reclaimable = reader.booleanOr("reclaimable", false);
    group.pricePerHour = reader.numberOr("price_per_hour", 0, 1e6, 1);
    reader.finish();
    return group;
}

RequestClass readClass(YamlReader &reader)
{
    RequestClass kind;
    kind.name = reader.string("name");
    kind.organisation = reader.string("organisation");
    const std::string urgency = reader.stringOr("urgency", "urgent");
    if (urgency == "deferable")
        kind.urgency = serving::Urgency::Deferable;
    else if (urgency != "urgent")
        reader.fault("urgency", "is not urgent or deferable");
    kind.promptTokens = static_cast<std::uint32_t>(reader.integer("prompt_tokens", 1, MaxTokens));
    kind.outputTokens = static_cast<std::uint32_t>(reader.integer("output_tokens", 1, MaxTokens));
    kind.deadline = reader.duration("deadline", absl::Milliseconds(1), MaxLength);
    for (YamlReader &point : reader.mappings("rates")) {
        RatePoint rate;
        rate.at = point.duration("at", absl::ZeroDuration(), MaxLength);
        rate.perSecond = point.number("per_second", 0, MaxRate);
        point.finish();
        if (!kind.rates.empty() && rate.at < kind.rates.back().at)
            reader.fault("rates", "are not in ascending order of time");
        kind.rates.push_back(rate);
    }
    if (kind.rates.empty())
        reader.fault("rates", "must have at least one point");
    reader.finish();
    return kind;
}

Fault readFault(YamlReader &reader)
{
    Fault fault;
    const std::string kind = reader.string("kind");
    if (kind == "reclaim")
        fault.kind = FaultKind::Reclaim;
    else if (kind != "fail")
        reader.fault("kind", "is not fail or reclaim");
    fault.at = reader.duration("at", absl::ZeroDuration(), MaxLength);
    fault.length = reader.duration("length", absl::ZeroDuration(), MaxLength);
    fault.share = reader.numberOr("share", 0, 1, 1);
    fault.dataCentre = reader.stringOr("data_centre", "");
    reader.finish();
    return fault;
}

Variant readVariant(YamlReader &reader)
{
    Variant variant;
    variant.name = reader.string("name");
    variant.queue = readChoice(reader, "queue", "fair", { "fifo", "fair" });
    variant.router = readChoice(reader, "router", "first_token",
                                { "round_robin", "least_in_flight", "first_token" });
    variant.roles = readChoice(reader, "roles", "static",
                               { "static", "threshold", "threshold_smoothed", "forecast" });
    variant.retry = readChoice(reader, "retry", "budget", { "plain", "budget" });
    variant.ejection = reader.booleanOr("ejection", true);
    variant.drain = reader.booleanOr("drain", true);
    variant.gossip = reader.booleanOr("gossip", true);
    variant.excludedClasses = reader.stringsOr("without");
    variant.prefillEngines
        = static_cast<std::uint32_t>(reader.integerOr("prefill_engines", 0, MaxEngines, 0));
    reader.finish();
    return variant;
}

double rateAt(const RequestClass &kind, absl::Duration at)
{
    const auto after = std::find_if(kind.rates.begin(), kind.rates.end(),
                                    [&](const RatePoint &point) { return point.at > at; });
    if (after == kind.rates.begin())
        return 0;
    const RatePoint &before = *std::prev(after);
    if (after == kind.rates.end())
        return before.perSecond;
    const double part = absl::FDivDuration(at - before.at, after->at - before.at);
    return before.perSecond + part * (after->perSecond - before.perSecond);
}

std::uint32_t spread(std::uint32_t mean, std::mt19937_64 &random)
{
    std::uniform_real_distribution<double> factor(0.5, 1.5);
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(mean * factor(random)));
}

// Generates a Poisson process of varying rate by thinning: candidates arrive at the highest rate
// and are accepted with the ratio of the current rate to it.
void addArrivals(const Scenario &scenario, std::size_t index, std::vector<Arrival> &arrivals)
{
    const RequestClass &kind = scenario.classes[index];
    double highest = 0;
    for (const RatePoint &point : kind.rates)
        highest = std::max(highest, point.perSecond);
    if (highest <= 0)
        return;
    std::mt19937_64 random(scenario.seed * 1000 + index);
    std::exponential_distribution<double> gap(highest);
    std::uniform_real_distribution<double> acceptance(0, highest);
    for (absl::Duration at = absl::Seconds(gap(random)); at < scenario.length;
         at += absl::Seconds(gap(random))) {
        if (acceptance(random) >= rateAt(kind, at))
            continue;
        Arrival arrival;
        arrival.at = at;
        arrival.requestClass = index;
        arrival.instance = static_cast<std::uint32_t>(random() % scenario.instances);
        arrival.promptTokens = spread(kind.promptTokens, random);
        arrival.outputTokens = spread(kind.outputTokens, random);
        arrivals.push_back(arrival);
    }
}

Scenario readRoot(YamlReader &reader)
{
    Scenario scenario;
    scenario.name = reader.string("name");
    scenario.text = reader.stringOr("text", "");
    scenario.seed = static_cast<std::uint64_t>(reader.integerOr("seed", 0, INT32_MAX, 1));
    scenario.length = reader.duration("length", absl::Seconds(1), MaxLength);
    scenario.warmUp
        = reader.durationOr("warm_up", absl::ZeroDuration(), MaxLength, absl::Seconds(10));
    scenario.instances = static_cast<std::uint32_t>(reader.integerOr("instances", 1, 512, 8));
    scenario.gossipEvery = reader.durationOr("gossip_every", absl::Milliseconds(1), MaxLength,
                                             absl::Milliseconds(200));
    scenario.profile = readProfile(reader.mapping("engine"));
    for (YamlReader &group : reader.mappings("engines"))
        scenario.engines.push_back(readGroup(group));
    for (YamlReader &kind : reader.mappings("classes"))
        scenario.classes.push_back(readClass(kind));
    for (YamlReader &fault : reader.mappings("faults"))
        scenario.faults.push_back(readFault(fault));
    for (YamlReader &variant : reader.mappings("variants"))
        scenario.variants.push_back(readVariant(variant));
    if (scenario.variants.empty())
        reader.fault("variants", "must have at least one entry");
    reader.finish();
    return scenario;
}

} // namespace

base::Outcome<Scenario> readScenario(const std::string &file)
{
    std::ifstream in(file);
    std::ostringstream text;
    text << in.rdbuf();
    if (!in)
        return base::Reason { base::ReasonCode::NotFound, "cannot read " + file };
    base::YamlFaults faults(file);
    auto reader = base::parseYaml(text.str(), faults);
    Scenario scenario;
    if (reader)
        scenario = readRoot(*reader);
    if (!faults.empty())
        return base::Reason { base::ReasonCode::InvalidArgument, faults.text() };
    return scenario;
}

std::vector<Arrival> generateArrivals(const Scenario &scenario)
{
    std::vector<Arrival> arrivals;
    for (std::size_t index = 0; index < scenario.classes.size(); ++index)
        addArrivals(scenario, index, arrivals);
    std::stable_sort(arrivals.begin(), arrivals.end(),
                     [](const Arrival &a, const Arrival &b) { return a.at < b.at; });
    return arrivals;
}

} // namespace zinniadoor::bench
