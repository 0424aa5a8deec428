#pragma once

#include <cstdint>

#include "zinniadoor/control/attestation.hpp"
#include "zinniadoor/control/lease_controller.hpp"
#include "zinniadoor/control/membership.hpp"
#include "zinniadoor/daemon/settings.hpp"
#include "zinniadoor/serving/retry_policy.hpp"
#include "zinniadoor/serving/role_plan.hpp"
#include "zinniadoor/serving/router.hpp"

// Translates the settings into the options of the components of the core.

namespace zinniadoor::daemon {

serving::RouterOptions routerOptions(const Settings &settings);
serving::RetryOptions retryOptions();
serving::RolePlanOptions rolePlanOptions(const RoleSettings &settings);
control::MembershipOptions membershipOptions(const Settings &settings,
                                             base::Incarnation incarnation, std::uint64_t seed);
control::ShareTiming shareTiming(const ControlSettings &settings);
control::LeaseTimes leaseTimes(const ControlSettings &settings);

} // namespace zinniadoor::daemon
