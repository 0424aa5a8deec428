#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/control/bundle.hpp"
#include "zinniadoor/control/peer_messages.hpp"

namespace zinniadoor::control {

enum class Verdict : std::uint8_t {
    Admitted,
    Refused,
    Waiting, ///< Peers were asked; the decision follows in Effects::decisions.
};

const char *nameOf(Verdict verdict);

/// Names a request that waits for its decision.
using Ticket = std::uint64_t;

/// The decision on a request that waited.
struct Decision
{
    Ticket ticket = 0;
    Verdict verdict = Verdict::Refused; ///< Admitted or Refused.
    absl::Duration retryAfter;
};

/// What has to be done outside.
struct Effects
{
    std::vector<OutgoingMessage> messages;
    std::vector<Decision> decisions;
};

struct Admission
{
    Verdict verdict = Verdict::Refused;
    absl::Duration retryAfter; ///< Refused: when to try again.
    Ticket ticket = 0; ///< Waiting: what the decision will name.
    absl::Duration waitAtMost; ///< Waiting: a tick after this time decides.
    Effects effects; ///< In any case; decisions on other requests that waited.
};

/// Admits requests within each organisation's rate and burst, over all instances together.
/// One thread calls it; `now` is the instance's monotonic clock and never goes back.
class RateLimiter
{
public:
    virtual ~RateLimiter() = default;

    /// Rates and bursts in force. A new organisation starts without tokens.
    virtual void setOrganisations(const std::vector<Organisation> &organisations, absl::Time now)
        = 0;

    /// Share slots that this instance owns, usable before `mayUseUntil`. A slot that it is about
    /// to release has to be left out before the release is appended.
    virtual void setOwnedSlots(const std::set<std::uint32_t> &slots, absl::Time mayUseUntil,
                               absl::Time now)
        = 0;

    /// Decides on a request that costs `cost` tokens.
    virtual Admission admit(const base::OrganisationId &organisation, double cost, absl::Time now)
        = 0;

    /// The caller of a waiting request has left.
    virtual void cancel(Ticket ticket) = 0;

    /// Takes in a message of `from`; others than the limiter's own are ignored.
    virtual Effects onMessage(const base::InstanceId &from, const PeerMessage &message,
                              absl::Time now)
        = 0;

    /// To be called every few milliseconds while requests wait, and at least every 100 ms.
    virtual Effects tick(absl::Time now) = 0;
};

} // namespace zinniadoor::control
