#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/serving/admission_queue.hpp"
#include "zinniadoor/serving/endpoint_table.hpp"
#include "zinniadoor/serving/request_facts.hpp"

namespace zinniadoor::serving {

/// Phase of a request that is routed.
enum class Phase : std::uint8_t { Whole, Prefill, Decode };

struct RouterOptions
{
    base::InstanceId instance; ///< Seeds this instance's subset of a large fleet.
    base::DataCentreId dataCentre; ///< Of this instance.
    std::size_t subsetSize = 64; ///< Endpoints considered before the rest of the fleet.

    /// Added for endpoints in other data centres.
    absl::Duration distancePenalty = absl::Milliseconds(2);
    double urgentReserve = 0.125; ///< Share of an endpoint's slots withheld from deferable work.

    /// Target slot utilisation of endpoints reserved for urgent work.
    double urgentReserveFill = 0.65;
    double maxUrgentShareOnReclaimable = 0.5; ///< Above it, urgent work prefers regular endpoints.
    double fullFleetShare = 0.97; ///< Share of occupied slots from which `maxShareFactor` applies.
    double maxShareFactor = 1.05; ///< Maximum slots of an instance, relative to an equal split.
    double affinitySlack = 1.25; ///< Maximum load relative to the mean for prefix affinity.

    /// Estimates within this relative difference are decided by price.
    double priceTieTolerance = 0.1;
    absl::Duration priceTieFloor = absl::Milliseconds(50);
};

/// Routing query for one request.
struct RouteQuery
{
    /// `facts` must outlive the query.
    explicit RouteQuery(const RequestFacts &facts)
        : request(facts)
    { }

    const RequestFacts &request;
    Phase phase = Phase::Whole;
    std::vector<base::EndpointId> excluded; ///< Already tried.

    /// Plain endpoints of a route; empty: engines of the model.
    std::vector<base::EndpointId> allowedEndpoints;
    bool isRecoverable = true; ///< Can be resumed or re-executed if the endpoint is lost.
};

struct RouteChoice
{
    std::optional<base::EndpointId> endpoint;
    absl::Duration timeToFirstToken; ///< Estimate; valid if an endpoint was chosen.
    Refusal refusal; ///< Valid if no endpoint was chosen.
};

/// Selects endpoints for requests. Not thread-safe.
class Router
{
public:
    virtual ~Router() = default;

    /// `seed` randomises the choice and should differ for each call.
    virtual RouteChoice choose(const RouteQuery &query, const EndpointTable &table, absl::Time now,
                               std::uint64_t seed)
        = 0;
};

/// Round robin over the endpoints with free capacity.
std::unique_ptr<Router> roundRobinRouter(const RouterOptions &options);

/// Selects the endpoint with the lowest load, the larger of its reported load and this instance's
/// own requests.
std::unique_ptr<Router> leastInFlightRouter(const RouterOptions &options);

/// Selects the best of two random endpoints and the one with the prompt's prefix cached, by
/// estimated time to first token; considers roles, KV memory, reclaimable endpoints and price.
std::unique_ptr<Router> firstTokenRouter(const RouterOptions &options);

} // namespace zinniadoor::serving
