#include "zinniadoor/control/lease_table.hpp"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace zinniadoor::control {

namespace {

const std::string SharePrefix = "share/";

base::Reason conflict(const char *text)
{
    return { base::ReasonCode::Conflict, text };
}

/// Checks the basis of a claim against the log, for a scope that `holder` holds.
base::Status checkBasis(const LeaseClaimed &claim, const Process &holder,
                        const InstanceTable &instances)
{
    switch (claim.basis) {
    case ClaimBasis::Free:
        return conflict("the scope is held");
    case ClaimBasis::Restarted:
        if (!instances.restartedAtSameAddress(holder))
            return conflict("the holder was not restarted at its address");
        return base::Done {};
    case ClaimBasis::Expired:
        if (isShareScope(claim.scope) && !instances.allAttestationsWithdrawn(holder))
            return conflict("the holder may still have a valid attestation");
        return base::Done {};
    case ClaimBasis::AttestationLimit:
        if (!isShareScope(claim.scope))
            return conflict("only share leases are extended by attestations");
        return base::Done {};
    }
    return conflict("unknown claim basis");
}

} // namespace

std::string ordersScope(const base::DataCentreId &dataCentre)
{
    return absl::StrCat("orders/", dataCentre.str());
}

std::string usageScope(std::uint32_t shard)
{
    return absl::StrCat("usage/", shard);
}

std::string shareScope(std::uint32_t slot)
{
    return absl::StrCat(SharePrefix, slot);
}

bool isShareScope(const std::string &scope)
{
    return scope.rfind(SharePrefix, 0) == 0;
}

base::Status LeaseTable::apply(const LeaseClaimed &record, const Process &writer,
                               base::Offset offset, const InstanceTable &instances)
{
    if (Process { record.holder, record.incarnation } != writer)
        return conflict("a process may only claim for itself");
    if (instances.newestIncarnation(writer.instance) != writer.incarnation)
        return conflict("a newer process of the instance has started");
    const base::Offset expected = offsetToSupersede(record.scope, record.basis, instances);
    if (record.supersedes != expected)
        return conflict("the claim supersedes an outdated offset");
    const auto found = leases_.find(record.scope);
    if (found != leases_.end() && found->second.isHeld()) {
        if (found->second.holder == writer)
            return conflict("the claimant already holds the scope");
        base::Status basis = checkBasis(record, found->second.holder, instances);
        if (!basis)
            return basis;
    }
    leases_[record.scope] = { writer, offset, 0 };
    return base::Done {};
}

base::Status LeaseTable::apply(const LeaseReleased &record, const Process &writer,
                               base::Offset offset)
{
    const auto found = leases_.find(record.scope);
    if (found == leases_.end() || !isHolder(record.scope, writer, record.epoch))
        return conflict("the writer does not hold the scope in this epoch");
    found->second.releasedAt = offset;
    return base::Done {};
}

void LeaseTable::releaseAll(const Process &process, base::Offset offset)
{
    for (auto &[scope, lease] : leases_) {
        if (lease.holder == process && lease.isHeld())
            lease.releasedAt = offset;
    }
}

const Lease *LeaseTable::find(const std::string &scope) const
{
    const auto found = leases_.find(scope);
    return found == leases_.end() ? nullptr : &found->second;
}

bool LeaseTable::isHolder(const std::string &scope, const Process &process,
                          base::Offset epoch) const
{
    const Lease *lease = find(scope);
    return lease != nullptr && lease->isHeld() && lease->holder == process && lease->epoch == epoch;
}

bool LeaseTable::holdsAny(const Process &process) const
{
    return std::any_of(leases_.begin(), leases_.end(), [&process](const auto &row) {
        return row.second.isHeld() && row.second.holder == process;
    });
}

base::Offset LeaseTable::offsetToSupersede(const std::string &scope, ClaimBasis basis,
                                           const InstanceTable &instances) const
{
    const Lease *lease = find(scope);
    if (lease == nullptr)
        return 0;
    if (!lease->isHeld())
        return lease->releasedAt;
    base::Offset last = lease->epoch;
    if (const ProcessInfo *holder = instances.find(lease->holder))
        last = std::max(last, holder->lastFrame);
    if (isShareScope(scope) && basis == ClaimBasis::Expired)
        last = std::max(last, instances.lastAttestationWithdrawal(lease->holder));
    return last;
}

} // namespace zinniadoor::control
