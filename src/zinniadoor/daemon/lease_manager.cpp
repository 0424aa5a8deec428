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
    activeScopes_ = std::set<std::string>(scopes.begin(), scopes.end());
    // The lease of a removed scope is kept: a release could overtake an order that has passed the
    // worker's lease check, and a new controller that has no record of the release could consider
    // itself the holder.
    for (const std::string &scope : scopes)
        controllers_.try_emplace(scope, scope, control_.self(), times_);
}

void LeaseManager::onApplied(absl::Time readAt)
{
    for (auto &[scope, controller] : controllers_) {
        controller.observe(control_.state(), control_.lastConfirmedFrame(), readAt);
        const bool wasHeld = held_.count(scope) > 0;
        if (controller.holds() == wasHeld)
            continue;
        if (controller.holds())
            held_.insert(scope);
        else
            held_.erase(scope);
        base::logEvent(controller.holds() ? base::EventId::LeaseGained : base::EventId::LeaseLost,
                       { { "scope", scope }, { "epoch", absl::StrCat(controller.epoch()) } });
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
        = control_.frameAges().liveProcesses(control_.state().instances(), times_.lease, now);
    for (const control::Process &process : processes) {
        const control::MemberStatus *view = membership_.find(process.instance);
        if (view == nullptr || !view->draining)
            live.insert(process.instance);
    }
    for (auto &[scope, controller] : controllers_) {
        // Only the preferred instance claims, which avoids futile claims in the log. If membership
        // views differ and two instances claim, the order in the log decides.
        if (controller.holds() || activeScopes_.count(scope) == 0 || !isPreferred(scope, live))
            continue;
        if (const auto claim = controller.claimLease(control_.state(), now))
            control_.append(*claim);
    }
}

const control::LeaseController *LeaseManager::find(const std::string &scope) const
{
    const auto found = controllers_.find(scope);
    return found == controllers_.end() ? nullptr : &found->second;
}

void LeaseManager::releaseAll()
{
    for (auto &[scope, controller] : controllers_) {
        if (const auto release = controller.releaseLease())
            control_.append(*release);
    }
}

bool LeaseManager::holdsAny() const
{
    for (const auto &[scope, controller] : controllers_) {
        if (controller.holds())
            return true;
    }
    return false;
}

} // namespace zinniadoor::daemon
