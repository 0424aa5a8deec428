#include "core_options.hpp"

#include <algorithm>

namespace zinniadoor::daemon {

namespace {

/// Retries allowed before calls have earned any: with little traffic, a budget proportional to the
/// calls would allow next to none.
constexpr double InitialRetryCredit = 10;

} // namespace

serving::RouterOptions routerOptions(const Settings &settings)
{
    serving::RouterOptions options;
    options.instance = settings.instance;
    options.dataCentre = settings.dataCentre;
    return options;
}

serving::RetryOptions retryOptions()
{
    serving::RetryOptions options;
    options.initialCredit = InitialRetryCredit;
    return options;
}

control::MembershipOptions membershipOptions(const Settings &settings,
                                             base::Incarnation incarnation, std::uint64_t seed)
{
    control::MembershipOptions options;
    options.instance = settings.instance;
    options.incarnation = incarnation;
    options.dataCentre = settings.dataCentre;
    options.seed = seed;
    options.heartbeatInterval = settings.control.peerHeartbeat;
    options.suspectAfter = settings.control.peerSilence;
    options.lostAfter = 2 * settings.control.peerSilence;
    return options;
}

control::ShareTiming shareTiming(const ControlSettings &settings)
{
    control::ShareTiming timing;
    timing.lease = settings.lease;
    timing.attestationDuration = settings.attestationTime;
    timing.withdrawAfter = settings.peerSilence;
    // Several attestation requests may be lost before an attestor considers the holder failed.
    timing.attestationInterval = std::min(timing.attestationInterval, settings.peerSilence / 4);
    timing.attestationLimit = settings.attestationLimit;
    timing.claimLimit = 2 * settings.attestationLimit;
    return timing;
}

control::LeaseTimes leaseTimes(const ControlSettings &settings)
{
    control::LeaseTimes times;
    times.lease = settings.lease;
    times.margin = settings.leaseMargin;
    return times;
}

serving::RolePlanOptions rolePlanOptions(const RoleSettings &settings)
{
    serving::RolePlanOptions options;
    options.changeTime = settings.changeTime;
    options.dwell = settings.dwell;
    options.horizon = settings.horizon;
    return options;
}

} // namespace zinniadoor::daemon
