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

/// Who has the authority over a scope.
struct Lease
{
    Process holder;
    base::Offset epoch = 0; ///< Offset of the claim that counted.
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

/// Whether a scope's holder may be kept in office by attestors.
bool isShareScope(const std::string &scope);

/// The leases of all scopes. Time plays no part here: who may claim when is decided by the
/// claimant (lease_controller.hpp), and the log order decides among claims.
class LeaseTable
{
public:
    base::Status apply(const LeaseClaimed &record, const Process &writer, base::Offset offset,
                       const InstanceTable &instances);
    base::Status apply(const LeaseReleased &record, const Process &writer, base::Offset offset);

    /// Frees all scopes of a process that said that it stopped.
    void releaseAll(const Process &process, base::Offset offset);

    /// Null for a scope never claimed.
    const Lease *find(const std::string &scope) const;

    bool isHolder(const std::string &scope, const Process &process, base::Offset epoch) const;
    bool holdsAny(const Process &process) const;

    /// The offset that a claim of the scope must name now; 0 for a scope never claimed.
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
