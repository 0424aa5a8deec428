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

/// Claims and keeps the leases of duties that one instance at a time does: orders, usage
/// reports, snapshots. (Share slots have their own rules; see ShareManager.) For the core thread.
class LeaseManager
{
public:
    LeaseManager(ControlLoop &control, const control::Membership &membership,
                 control::LeaseTimes times);

    /// The scopes that are to be held by somebody.
    void setScopes(const std::vector<std::string> &scopes);

    /// Some frames were applied, read at `readAt`.
    void onApplied(absl::Time readAt);
    void tick(absl::Time now);

    /// Null for a scope that was not set.
    const control::LeaseController *find(const std::string &scope) const;

    /// Claims nothing more; for a planned stop.
    void stopClaiming() { stopping_ = true; }

    /// Gives all leases up. Only once no worker holds anything to send under them.
    void releaseAll();
    bool holdsAny() const;

private:
    bool isPreferred(const std::string &scope, const std::set<base::InstanceId> &live) const;

    ControlLoop &control_;
    const control::Membership &membership_;
    control::LeaseTimes times_;
    std::map<std::string, control::LeaseController> keepers_;
    std::set<std::string> wanted_;
    std::set<std::string> held_; ///< For the log of gains and losses.
    absl::Time nextClaimAt_ = absl::InfinitePast();
    bool stopping_ = false;
};

} // namespace zinniadoor::daemon
