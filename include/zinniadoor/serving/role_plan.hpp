#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/control/bundle.hpp"

namespace zinniadoor::serving {

/// One engine as the plan sees it.
struct PlannedEngine
{
    base::EndpointId id;
    base::DataCentreId dataCentre;
    control::Role role = control::Role::Mixed;
    std::uint32_t requests = 0; ///< In flight; they end before the role changes.
    bool isLive = true; ///< False while it leaves or is gone.
    bool isChanging = false; ///< An order to it is open.
};

/// State of the fleet at one instant.
struct RoleInputs
{
    std::vector<PlannedEngine> engines;
    double prefillDemand = 0; ///< Tokens a second asked for, on average since the last call.
    double decodeDemand = 0;
    double prefillPace = 8000; ///< Tokens a second of one engine that does nothing else.
    double decodePace = 800;
};

/// A change of role that is wanted.
struct RoleOrder
{
    base::EndpointId endpoint;
    base::DataCentreId dataCentre;
    control::Role role = control::Role::Mixed;
};

struct RolePlanOptions
{
    absl::Duration changeTime = absl::Seconds(5); ///< Engine time lost by one change.
    absl::Duration dwell = absl::Seconds(30); ///< Least time between changes of one engine.
    absl::Duration horizon = absl::Seconds(30); ///< Time for which a change has to pay.
    absl::Duration lookahead = absl::Seconds(5); ///< How far ahead demand is forecast.
    absl::Duration smoothing = absl::Seconds(5); ///< Time over which demand is averaged.
    double targetUtilisation = 0.85; ///< Share of an engine's pace that the plan relies on.
    double minGainToCost = 4; ///< Engine time to gain for each lost.
    std::uint32_t maxChangingPerDataCentre = 2; ///< Engines changing role at once.
    absl::Duration thresholdSmoothing; ///< Of the threshold rule; zero: demand as measured.
    double highUtilisation = 0.9; ///< Of the threshold rule: use of one role that calls for help.
    double lowUtilisation = 0.75; ///< Of the threshold rule: use of a role that can give an engine.
};

/// Decides which engines do prefill and which decode. Mixed engines are left alone. For one
/// thread; to be called about once a second.
class RolePlanner
{
public:
    virtual ~RolePlanner() = default;

    /// Orders wanted now. An engine named in one is changing until its order is closed.
    virtual std::vector<RoleOrder> plan(const RoleInputs &inputs, absl::Time now) = 0;
};

/// Never changes a role.
std::unique_ptr<RolePlanner> staticRolePlanner();

/// Moves one engine whenever one role's use is above a threshold and the other's below another.
std::unique_ptr<RolePlanner> thresholdRolePlanner(const RolePlanOptions &options);

/// Forecasts both demands with their error and moves engines where the expected gain over the
/// horizon is a multiple of the engine time that the changes cost.
std::unique_ptr<RolePlanner> forecastRolePlanner(const RolePlanOptions &options);

} // namespace zinniadoor::serving
