#pragma once

#include <memory>

#include <boost/asio/io_context.hpp>

#include "zinniadoor/base/clock.hpp"
#include "zinniadoor/gateway/lease_runner.hpp"
#include "zinniadoor/gateway/serving_context.hpp"
#include "zinniadoor/serving/fleet_plan.hpp"

namespace zinniadoor::gateway {

/// Everything here must outlive the duty.
struct FleetDutyParts
{
    DutyClient &platform;
    LeaseRunner &lease;
    const ServingContext &serving;
};

/// Scales services while this instance holds the lease: orders the endpoint counts computed by
/// `planFleet` from the platform. Orders name totals, so that a new lease holder can repeat them
/// safely. Event thread only.
class FleetDuty
{
public:
    virtual ~FleetDuty() = default;
    virtual void start() = 0;
};

std::unique_ptr<FleetDuty> makeFleetDuty(boost::asio::io_context &context,
                                         const FleetDutyParts &parts,
                                         const serving::FleetPolicy &policy);

} // namespace zinniadoor::gateway
