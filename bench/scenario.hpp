#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/control/bundle.hpp"
#include "zinniadoor/serving/request_facts.hpp"

namespace zinniadoor::bench {

/// A point of a piecewise linear arrival rate.
struct RatePoint
{
    absl::Duration at;
    double perSecond = 0;
};

/// A class of requests with equal properties.
struct RequestClass
{
    std::string name;
    std::string organisation;
    serving::Urgency urgency = serving::Urgency::Urgent;
    std::uint32_t promptTokens = 0; ///< Mean; uniform between 0.5 and 1.5 times the mean.
    std::uint32_t outputTokens = 0; ///< Mean, distributed in the same way.
    absl::Duration deadline; ///< From the intended arrival to the end of the response.
    std::vector<RatePoint> rates;
};

/// A group of identical engines.
struct EngineGroup
{
    std::string name;
    std::uint32_t count = 0;
    control::Role role = control::Role::Mixed;
    std::string dataCentre;
    bool reclaimable = false;
    double pricePerHour = 0;
};

/// Simulated performance of an engine.
struct EngineProfile
{
    double prefillTokensPerSecond = 0; ///< Per engine.
    double tokensPerSecond = 0; ///< Decode rate per stream.
    std::uint32_t slots = 0;
    double offRoleFactor = 1; ///< Factor on the speed of the stage outside the engine's role.
    absl::Duration roleChange; ///< Duration of a role change; new streams are rejected.
    absl::Duration kvMove; ///< Time to transfer one stream's KV cache.
    absl::Duration reportAge; ///< Staleness of load reports.
};

enum class FaultKind : std::uint8_t { Fail, Reclaim };

struct Fault
{
    FaultKind kind = FaultKind::Fail;
    absl::Duration at;
    absl::Duration length; ///< Duration of Fail; notice period of Reclaim.
    double share = 1; ///< Fraction of endpoints that fail; Fail only.
    std::string dataCentre; ///< Whose reclaimable engines are reclaimed; Reclaim only.
};

/// Selection of the implementations under test.
struct Variant
{
    std::string name;
    std::string queue = "fair"; ///< fifo, fair
    std::string router = "first_token"; ///< round_robin, least_in_flight, first_token
    std::string roles = "static"; ///< static, threshold, threshold_smoothed, forecast
    std::string retry = "budget"; ///< plain, budget
    bool ejection = true;
    bool drain = true; ///< Streams are migrated off leaving endpoints.
    std::vector<std::string> excludedClasses; ///< Names of request classes that are not generated.
    std::uint32_t prefillEngines
        = 0; ///< Initial number of prefill engines; 0 uses the groups' roles.
    bool gossip = true; ///< Instances advertise their load to each other.
};

struct Scenario
{
    std::string name;
    std::string text; ///< Description, for the report.
    std::uint64_t seed = 1;
    absl::Duration length;
    absl::Duration warmUp; ///< Requests that arrive during it are not counted.
    std::uint32_t instances = 8;
    absl::Duration gossipEvery;
    EngineProfile profile;
    std::vector<EngineGroup> engines;
    std::vector<RequestClass> classes;
    std::vector<Fault> faults;
    std::vector<Variant> variants;
};

/// Reads and validates a scenario file. A failed outcome lists every error with file, line and key.
base::Outcome<Scenario> readScenario(const std::string &file);

/// One request of the open-loop load: sent at its time regardless of earlier requests.
struct Arrival
{
    absl::Duration at;
    std::size_t requestClass = 0; ///< Index in Scenario::classes.
    std::uint32_t instance = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
};

/// Generates all arrivals in order of time, a Poisson process for each class. Deterministic for a
/// given seed.
std::vector<Arrival> generateArrivals(const Scenario &scenario);

} // namespace zinniadoor::bench
