#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/control/lease_controller.hpp"
#include "zinniadoor/control/membership.hpp"
#include "zinniadoor/daemon/control_loop.hpp"

namespace zinniadoor::daemon {

/// Claims and renews the leases of duties that one instance at a time performs: orders, usage
/// reports, snapshots. Share slots follow other rules; see ShareManager. Used on the core thread
/// only.
class LeaseManager
{
public:
    LeaseManager(ControlLoop &control, const control::Membership &membership,
                 control::LeaseTimes times);

    /// Sets the scopes that some instance should hold.
    void setScopes(const std::vector<std::string> &scopes);

    /// Call after applying the entries of a read; `readAt` is the time at which they arrived.
    void onApplied(absl::Time readAt);
    void tick(absl::Time now);

    /// Returns null for a scope that was never set.
    const control::LeaseController *find(const std::string &scope) const;

    /// Claims no further leases; for a graceful shutdown.
    void stopClaiming() { stopping_ = true; }

    /// Releases all leases. Call only when no worker has anything in flight that depends on them.
    void releaseAll();
    bool holdsAny() const;

private:
    bool isPreferred(const std::string &scope, const std::set<base::InstanceId> &live) const;

    ControlLoop &control_;
    const control::Membership &membership_;
    control::LeaseTimes times_;
    std::map<std::string, control::LeaseController> controllers_;
    std::set<std::string> activeScopes_;
    std::set<std::string> held_; ///< As last logged.
    absl::Time nextClaimAt_ = absl::InfinitePast();
    bool stopping_ = false;
};

} // namespace zinniadoor::daemon
