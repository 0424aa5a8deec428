#include "zinniadoor/gateway/stop_plan.hpp"

#include <algorithm>

namespace zinniadoor::gateway {

namespace {

/// By then the load balancer sends no new connections.
constexpr absl::Duration MaxAcceptance = absl::Seconds(3);

/// Requests accepted last have the rest of the time until the cut to end.
constexpr double AcceptanceShare = 0.35;
constexpr double CutShare = 0.9;

} // namespace

StopPlan planStop(absl::Duration stopTime)
{
    return { std::min(MaxAcceptance, stopTime * AcceptanceShare), stopTime * CutShare };
}

} // namespace zinniadoor::gateway
