#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/control/bundle.hpp"
#include "zinniadoor/serving/request_facts.hpp"

namespace zinniadoor::bench {

/// A rate from an instant on; between two points it changes evenly.
struct RatePoint
{
    absl::Duration at;
    double perSecond = 0;
};

/// Requests of one kind.
struct RequestClass
{
    std::string name;
    std::string organisation;
    serving::Urgency urgency = serving::Urgency::Urgent;
    std::uint32_t promptTokens = 0; ///< Mean; spread evenly over half to one and a half of it.
    std::uint32_t outputTokens = 0;
    absl::Duration deadline; ///< From the intended arrival to the end of the answer.
    std::vector<RatePoint> rates;
};

/// Equal engines.
struct EngineGroup
{
    std::string name;
    std::uint32_t count = 0;
    control::Role role = control::Role::Mixed;
    std::string dataCentre;
    bool reclaimable = false;
    double pricePerHour = 0;
};

struct EnginePace
{
    double prefillTokensPerSecond = 0; ///< Of the engine.
    double tokensPerSecond = 0; ///< Of each stream.
    std::uint32_t slots = 0;
    double offRoleFactor = 1;
    absl::Duration roleChange;
    absl::Duration kvMove; ///< Export and import of one stream's KV cache.
    absl::Duration reportAge; ///< Load reports show the load of that time ago.
};

enum class FaultKind : std::uint8_t { Fail, Reclaim };

struct Fault
{
    FaultKind kind = FaultKind::Fail;
    absl::Duration at;
    absl::Duration length; ///< Of Fail; of Reclaim: the notice.
    double share = 1; ///< Of the endpoints, for Fail.
    std::string dataCentre; ///< For Reclaim: whose reclaimable engines go.
};

/// Which implementations run.
struct Variant
{
    std::string name;
    std::string queue = "fair"; ///< fifo, fair
    std::string router = "first_token"; ///< round_robin, least_in_flight, first_token
    std::string roles = "static"; ///< static, threshold, threshold_smoothed, forecast
    std::string retry = "budget"; ///< plain, budget
    bool ejection = true;
    bool drain = true; ///< Streams of leaving endpoints are moved.
    std::vector<std::string> without; ///< Request classes left out.
    std::uint32_t prefillEngines = 0; ///< Role split at the start; 0: as the groups say.
    bool gossip = true; ///< Instances tell each other their work.
};

struct Scenario
{
    std::string name;
    std::string text; ///< What it shows, for the report.
    std::uint64_t seed = 1;
    absl::Duration length;
    absl::Duration warmUp; ///< Requests that arrive in it do not count.
    std::uint32_t instances = 8;
    absl::Duration gossipEvery;
    EnginePace pace;
    std::vector<EngineGroup> engines;
    std::vector<RequestClass> classes;
    std::vector<Fault> faults;
    std::vector<Variant> variants;
};

/// Reads and checks a scenario; a failed outcome names every fault with file, line and key.
base::Outcome<Scenario> readScenario(const std::string &file);

/// One request to be sent at its time, whatever became of those before.
struct Arrival
{
    absl::Duration at;
    std::size_t requestClass = 0; ///< Index into Scenario::classes.
    std::uint32_t instance = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
};

/// All arrivals in order of time: Poisson per class, the same for the same seed.
std::vector<Arrival> arrivalsOf(const Scenario &scenario);

} // namespace zinniadoor::bench
