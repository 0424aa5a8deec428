#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/control/bundle.hpp"

namespace zinniadoor::serving {

/// Engine as seen by the role planner.
struct PlannedEngine
{
    base::EndpointId id;
    base::DataCentreId dataCentre;
    control::Role role = control::Role::Mixed;
    std::uint32_t requests = 0; ///< In flight; drained before the role changes.
    bool isLive = true; ///< False while leaving or gone.
    bool isChanging = false; ///< A role order for it is open.
};

/// Snapshot of the fleet.
struct RoleInputs
{
    std::vector<PlannedEngine> engines;
    double prefillDemand = 0; ///< Requested tokens per second since the last call.
    double decodeDemand = 0;
    double enginePrefillRate = 8000; ///< Tokens per second of a dedicated engine.
    double engineDecodeRate = 800;
};

/// Requested role change of an engine.
struct RoleOrder
{
    base::EndpointId endpoint;
    base::DataCentreId dataCentre;
    control::Role role = control::Role::Mixed;
};

struct RolePlanOptions
{
    absl::Duration changeTime = absl::Seconds(5); ///< Engine time lost per change.
    absl::Duration dwell = absl::Seconds(30); ///< Minimum time between changes of one engine.
    absl::Duration horizon = absl::Seconds(30); ///< Time within which a change has to pay off.
    absl::Duration lookahead = absl::Seconds(5); ///< Forecast horizon of the demand.
    absl::Duration smoothing = absl::Seconds(5); ///< Smoothing time of the demand.
    double targetUtilisation = 0.85; ///< Planned utilisation of an engine.
    double minGainToCost = 4; ///< Minimum gain per engine time lost.
    std::uint32_t maxChangingPerDataCentre = 2; ///< Concurrent role changes.
    absl::Duration thresholdSmoothing; ///< Threshold planner; zero disables smoothing.
    double highUtilisation = 0.9; ///< Threshold planner: a role above it gains an engine.
    double lowUtilisation = 0.75; ///< Threshold planner: a role below it can give one up.
};

/// Decides which engines run prefill and which decode; mixed engines are not changed. Not
/// thread-safe. To be called about once per second.
class RolePlanner
{
public:
    virtual ~RolePlanner() = default;

    /// Returns the role orders to issue now. An engine counts as changing until its order is
    /// closed.
    virtual std::vector<RoleOrder> plan(const RoleInputs &inputs, absl::Time now) = 0;
};

/// Never changes roles.
std::unique_ptr<RolePlanner> staticRolePlanner();

/// Moves one engine when the utilisation of one role is above `highUtilisation` and that of the
/// other below `lowUtilisation`.
std::unique_ptr<RolePlanner> thresholdRolePlanner(const RolePlanOptions &options);

/// Forecasts both demands with their error, and moves engines if the expected gain over the horizon
/// is at least `minGainToCost` times the engine time lost by the changes.
std::unique_ptr<RolePlanner> forecastRolePlanner(const RolePlanOptions &options);

} // namespace zinniadoor::serving
