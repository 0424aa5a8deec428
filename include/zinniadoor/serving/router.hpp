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

/// Part of a request that an endpoint is asked to run.
enum class Phase : std::uint8_t { Whole, Prefill, Decode };

struct RouterOptions
{
    base::InstanceId instance; ///< Chooses this instance's subset of a large fleet.
    base::DataCentreId dataCentre; ///< Of this instance.
    std::size_t subsetSize = 64; ///< Endpoints considered first.
    absl::Duration distancePenalty = absl::Milliseconds(2); ///< To another data centre.
    double urgentReserve = 0.125; ///< Share of an endpoint's slots closed to deferable work.
    double urgentReserveFill = 0.65; ///< Of the slots of endpoints that are kept for urgent work.
    double maxUrgentShareOnReclaimable
        = 0.5; ///< Share of urgent work above which the rest is preferred.
    double fullFleetShare = 0.97; ///< Share of all slots taken from which on each instance keeps to
    double maxShareFactor = 1.05; ///< this many times its equal part of them.
    double affinitySlack = 1.25; ///< Load over the mean up to which a cached prefix attracts.
    double priceTieTolerance
        = 0.1; ///< Relative difference of estimates within which price decides.
    absl::Duration priceTieFloor = absl::Milliseconds(50);
};

/// What is to be placed.
struct RouteQuery
{
    /// `facts` must outlive the query.
    explicit RouteQuery(const RequestFacts &facts)
        : request(facts)
    { }

    const RequestFacts &request;
    Phase phase = Phase::Whole;
    std::vector<base::EndpointId> excluded; ///< Tried already.
    std::vector<base::EndpointId>
        allowedEndpoints; ///< A route's services; empty: engines by model.
    bool isRecoverable = true; ///< Can be resumed or run again when the endpoint vanishes.
};

struct RouteChoice
{
    std::optional<base::EndpointId> endpoint;
    absl::Duration timeToFirstToken; ///< Estimated; meaningful with an endpoint.
    Refusal refusal; ///< Why there is none now; meaningful without an endpoint.
};

/// Chooses endpoints for requests. For one thread.
class Router
{
public:
    virtual ~Router() = default;

    /// `seed`: any number, another one for each call.
    virtual RouteChoice choose(const RouteQuery &query, const EndpointTable &table, absl::Time now,
                               std::uint64_t seed)
        = 0;
};

/// Endpoints with room, one after another.
std::unique_ptr<Router> roundRobinRouter(const RouterOptions &options);

/// The endpoint that reports the least work together with this instance's own.
std::unique_ptr<Router> leastInFlightRouter(const RouterOptions &options);

/// The better of two random endpoints (and of the one that holds the prompt's prefix) by
/// estimated time to first token, with regard to roles, memory, reclaimable endpoints and price.
std::unique_ptr<Router> firstTokenRouter(const RouterOptions &options);

} // namespace zinniadoor::serving
