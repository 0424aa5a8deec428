#pragma once

#include <cstdint>
#include <string>

#include "absl/time/time.h"

#include "zinniadoor/base/events.hpp"
#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/gateway/allowed_regions.hpp"
#include "zinniadoor/serving/cold_endpoints.hpp"
#include "zinniadoor/serving/fleet_plan.hpp"
#include "zinniadoor/serving/spill.hpp"
#include "zinniadoor/serving/stage_plan.hpp"

namespace zinniadoor::gateway {

/// Contents of the settings file of the gateway.
struct GatewaySettings
{
    base::InstanceId instance;
    base::DataCentreId dataCentre;
    std::string callers; ///< IP:port, like all addresses here.
    std::string readiness;
    std::string peers; ///< UDP.
    std::string metrics;
    std::string store;
    absl::Duration configurationNotice; ///< Within which a published configuration takes effect.
    absl::Duration leavingNotice; ///< During which a leaving endpoint may still get requests.
    std::string duties; ///< Platform address for usage reports and endpoint orders.
    absl::Duration lease;
    absl::Duration usageWindow;
    absl::Duration usageDue; ///< Deadline of a usage report after the end of its window.
    absl::Duration stopTime; ///< From the stop signal until the platform kills the process.
    double retryRatio = 0;
    double retrySlack = 0;
    absl::Duration retryWindow;
    bool failureReports = true; ///< Failures of endpoints are reported to other instances.
    double quotaSlack = 0; ///< Tokens that all instances together may consume beyond a quota.
    std::size_t memoryBytes = 0; ///< That the process may use; 0: what it can read itself.
    RegionTable regions;
    serving::ColdBounds cold;
    serving::FleetPolicy fleet;
    serving::StagePolicy stages;
    serving::SpillOptions spill;
    base::LogOptions log;
};

/// Parses and validates settings; a failed outcome lists every fault with file, line and key.
base::Outcome<GatewaySettings> parseGatewaySettings(const std::string &yaml,
                                                    const std::string &file);

/// Reads a file and parses it with `parseGatewaySettings`.
base::Outcome<GatewaySettings> loadGatewaySettings(const std::string &file);

} // namespace zinniadoor::gateway
