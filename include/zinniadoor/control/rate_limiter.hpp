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
    Waiting, ///< Queued while peers are queried; Effects::decisions has the decision later.
};

const char *nameOf(Verdict verdict);

/// Identifies a queued request.
using Ticket = std::uint64_t;

/// The decision on a queued request.
struct Decision
{
    Ticket ticket = 0;
    Verdict verdict = Verdict::Refused; ///< Admitted or Refused.
    absl::Duration retryAfter;
};

/// Messages and decisions for the caller to deliver.
struct Effects
{
    std::vector<OutgoingMessage> messages;
    std::vector<Decision> decisions;
};

struct Admission
{
    Verdict verdict = Verdict::Refused;
    absl::Duration retryAfter; ///< Refused: delay until a retry may succeed.
    Ticket ticket = 0; ///< Waiting: identifies the later decision.
    absl::Duration maxWait; ///< Waiting: a tick after this time decides the request.
    Effects effects; ///< For any verdict; its decisions are on other, queued requests.
};

/// Enforces each organisation's rate and burst across all instances. Not thread-safe; `now` is the
/// instance's monotonic clock.
class RateLimiter
{
public:
    virtual ~RateLimiter() = default;

    /// Sets the current rates and bursts. A new organisation starts without tokens.
    virtual void setOrganisations(const std::vector<Organisation> &organisations, absl::Time now)
        = 0;

    /// Sets the share slots that this instance owns, usable before `mayUseUntil`. A slot to be
    /// released has to be left out before its release is appended.
    virtual void setOwnedSlots(const std::set<std::uint32_t> &slots, absl::Time mayUseUntil,
                               absl::Time now)
        = 0;

    /// Admits, rejects or queues a request that costs `cost` tokens.
    virtual Admission admit(const base::OrganisationId &organisation, double cost, absl::Time now)
        = 0;

    /// Cancels a queued request whose caller has disconnected.
    virtual void cancel(Ticket ticket) = 0;

    /// Handles a message from peer `from`; messages of other kinds are ignored.
    virtual Effects onMessage(const base::InstanceId &from, const PeerMessage &message,
                              absl::Time now)
        = 0;

    /// Call every few milliseconds while requests are queued, and at least every 100 ms.
    virtual Effects tick(absl::Time now) = 0;
};

} // namespace zinniadoor::control
