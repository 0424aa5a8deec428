#pragma once

#include <functional>
#include <map>
#include <string>

#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/control/instance_table.hpp"
#include "zinniadoor/control/records.hpp"

namespace zinniadoor::control {

/// The current or last holder of a scope.
struct Lease
{
    Process holder;
    base::Offset epoch = 0; ///< Offset of the accepted claim.
    base::Offset releasedAt = 0; ///< 0 while held.

    bool isHeld() const { return releasedAt == 0; }

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(holder, epoch, releasedAt);
    }
};

std::string ordersScope(const base::DataCentreId &dataCentre);
std::string usageScope(std::uint32_t shard);
std::string shareScope(std::uint32_t slot);
constexpr const char *SnapshotScope = "snapshot";

/// Whether the lease of the scope may be extended by attestations.
bool isShareScope(const std::string &scope);

/// The leases of all scopes. Independent of time: the claimant decides when to claim
/// (lease_controller.hpp), and the log order decides between competing claims.
class LeaseTable
{
public:
    base::Status apply(const LeaseClaimed &record, const Process &writer, base::Offset offset,
                       const InstanceTable &instances);
    base::Status apply(const LeaseReleased &record, const Process &writer, base::Offset offset);

    /// Releases all scopes held by a process that recorded its stop.
    void releaseAll(const Process &process, base::Offset offset);

    /// Null for a scope that was never claimed.
    const Lease *find(const std::string &scope) const;

    bool isHolder(const std::string &scope, const Process &process, base::Offset epoch) const;
    bool holdsAny(const Process &process) const;

    /// The value of `supersedes` that a claim of the scope needs now; 0 for a scope that was never
    /// claimed.
    base::Offset offsetToSupersede(const std::string &scope, ClaimBasis basis,
                                   const InstanceTable &instances) const;

    const std::map<std::string, Lease> &leases() const { return leases_; }

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(leases_);
    }

private:
    std::map<std::string, Lease> leases_;
};

} // namespace zinniadoor::control
