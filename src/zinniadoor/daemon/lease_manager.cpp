#include "zinniadoor/daemon/lease_manager.hpp"

#include <utility>

#include "absl/strings/str_cat.h"

#include "zinniadoor/base/events.hpp"
#include "zinniadoor/control/stable_hash.hpp"

namespace zinniadoor::daemon {

namespace {

constexpr absl::Duration ClaimInterval = absl::Milliseconds(200);

} // namespace

LeaseManager::LeaseManager(ControlLoop &control, const control::Membership &membership,
                           control::LeaseTimes times)
    : control_(control)
    , membership_(membership)
    , times_(times)
{ }

void LeaseManager::setScopes(const std::vector<std::string> &scopes)
{
    wanted_ = std::set<std::string>(scopes.begin(), scopes.end());
    // A scope no longer wanted stays with its holder: a release could overtake an order that a
    // worker has checked, and a keeper that forgot its release could take itself for the holder.
    for (const std::string &scope : scopes)
        keepers_.try_emplace(scope, scope, control_.self(), times_);
}

void LeaseManager::onApplied(absl::Time readAt)
{
    for (auto &[scope, keeper] : keepers_) {
        keeper.observe(control_.state(), control_.lastSeenFrame(), readAt);
        const bool wasHeld = held_.count(scope) > 0;
        if (keeper.holds() == wasHeld)
            continue;
        if (keeper.holds())
            held_.insert(scope);
        else
            held_.erase(scope);
        base::logEvent(keeper.holds() ? base::EventId::LeaseGained : base::EventId::LeaseLost,
                       { { "scope", scope }, { "epoch", absl::StrCat(keeper.epoch()) } });
    }
}

bool LeaseManager::isPreferred(const std::string &scope,
                               const std::set<base::InstanceId> &live) const
{
    const base::InstanceId &self = control_.self().instance;
    const std::uint64_t own = control::rendezvousWeight(scope, self.str());
    for (const base::InstanceId &other : live) {
        const std::uint64_t weight = control::rendezvousWeight(scope, other.str());
        if (weight > own || (weight == own && other < self))
            return false;
    }
    return true;
}

void LeaseManager::tick(absl::Time now)
{
    if (stopping_ || now < nextClaimAt_ || !control_.isCurrent(now))
        return;
    nextClaimAt_ = now + ClaimInterval;
    std::set<base::InstanceId> live;
    const std::vector<control::Process> processes
        = control_.watch().liveProcesses(control_.state().instances(), times_.lease, now);
    for (const control::Process &process : processes) {
        const control::MemberStatus *view = membership_.find(process.instance);
        if (view == nullptr || !view->draining)
            live.insert(process.instance);
    }
    for (auto &[scope, keeper] : keepers_) {
        // One candidate at a time keeps useless claims out of the log; the log's order decides
        // if two instances see different candidates.
        if (keeper.holds() || wanted_.count(scope) == 0 || !isPreferred(scope, live))
            continue;
        if (const auto claim = keeper.claimLease(control_.state(), now))
            control_.append(*claim);
    }
}

const control::LeaseController *LeaseManager::find(const std::string &scope) const
{
    const auto found = keepers_.find(scope);
    return found == keepers_.end() ? nullptr : &found->second;
}

void LeaseManager::releaseAll()
{
    for (auto &[scope, keeper] : keepers_) {
        if (const auto release = keeper.releaseLease())
            control_.append(*release);
    }
}

bool LeaseManager::holdsAny() const
{
    for (const auto &[scope, keeper] : keepers_) {
        if (keeper.holds())
            return true;
    }
    return false;
}

} // namespace zinniadoor::daemon
