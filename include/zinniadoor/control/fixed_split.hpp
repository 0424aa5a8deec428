#pragma once

#include <map>

#include "zinniadoor/control/rate_limiter.hpp"
#include "zinniadoor/control/token_bucket.hpp"

namespace zinniadoor::control {

/// Static baseline: each of `instances` instances has a fixed, equal part of every rate and burst,
/// without communication.
class FixedSplit : public RateLimiter
{
public:
    explicit FixedSplit(std::uint32_t instances);

    void setOrganisations(const std::vector<Organisation> &organisations, absl::Time now) override;
    void setOwnedSlots(const std::set<std::uint32_t> &slots, absl::Time mayUseUntil,
                       absl::Time now) override;
    Admission admit(const base::OrganisationId &organisation, double cost, absl::Time now) override;
    void cancel(Ticket ticket) override;
    Effects onMessage(const base::InstanceId &from, const PeerMessage &message,
                      absl::Time now) override;
    Effects tick(absl::Time now) override;

private:
    struct Part
    {
        double ratePerSecond = 0;
        TokenBucket bucket;
    };

    std::uint32_t instances_;
    std::map<base::OrganisationId, Part> parts_;
};

} // namespace zinniadoor::control
