#include "core_options.hpp"

#include <algorithm>

namespace zinniadoor::daemon {

namespace {

/// A small site makes few calls, so its budget must not hang on them alone.
constexpr double RetryReserve = 10;

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
    options.initialCredit = RetryReserve;
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
    timing.attestationDuration = settings.vouch;
    timing.withdrawAfter = settings.peerSilence;
    // Several asks may be lost before a voucher takes the holder for gone.
    timing.attestationInterval = std::min(timing.attestationInterval, settings.peerSilence / 4);
    timing.attestationLimit = settings.vouchLimit;
    timing.claimLimit = 2 * settings.vouchLimit;
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
