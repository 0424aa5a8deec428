#include "zinniadoor/control/fixed_split.hpp"

namespace zinniadoor::control {

FixedSplit::FixedSplit(std::uint32_t instances)
    : instances_(instances)
{ }

void FixedSplit::setOrganisations(const std::vector<Organisation> &organisations, absl::Time now)
{
    std::map<base::OrganisationId, Part> parts;
    for (const Organisation &organisation : organisations) {
        const double rate = organisation.ratePerSecond / instances_;
        const double burst = organisation.burst / instances_;
        const auto old = parts_.find(organisation.id);
        const double level = old == parts_.end() ? 0 : old->second.bucket.level();
        parts.emplace(organisation.id, Part { rate, TokenBucket(rate, burst, level, now) });
    }
    parts_ = std::move(parts);
}

void FixedSplit::setOwnedSlots(const std::set<std::uint32_t> &, absl::Time, absl::Time) { }

Admission FixedSplit::admit(const base::OrganisationId &organisation, double cost, absl::Time now)
{
    Admission admission;
    const auto found = parts_.find(organisation);
    if (found == parts_.end())
        return admission;
    Part &part = found->second;
    if (part.bucket.spend(cost, now))
        admission.verdict = Verdict::Admitted;
    else if (part.ratePerSecond > 0)
        admission.retryAfter = absl::Seconds((cost - part.bucket.level()) / part.ratePerSecond);
    return admission;
}

void FixedSplit::cancel(Ticket) { }

Effects FixedSplit::onMessage(const base::InstanceId &, const PeerMessage &, absl::Time)
{
    return {};
}

Effects FixedSplit::tick(absl::Time)
{
    return {};
}

} // namespace zinniadoor::control
