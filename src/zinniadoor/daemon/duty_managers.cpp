#include "zinniadoor/daemon/duty_managers.hpp"

#include <algorithm>
#include <utility>

#include "zinniadoor/control/lease_table.hpp"
#include "zinniadoor/control/snapshot.hpp"

namespace zinniadoor::daemon {

namespace {

constexpr absl::Duration PlanInterval = absl::Seconds(1);

/// After this long every instance has read an order that was opened, and told of its last work.
constexpr absl::Duration NewsDelay = absl::Seconds(2);

} // namespace

ReportManager::ReportManager(ControlLoop &control, const LeaseManager &leases, ReportWorker &worker,
                             Metrics &metrics, absl::Duration lease)
    : control_(control)
    , leases_(leases)
    , worker_(worker)
    , metrics_(metrics)
{
    // The lease guard ends a call that outlives the lease, so this much is left for it as a rule
    // and not for safety.
    control::UsageReportTimes times;
    times.sendTimeout = std::min(times.sendTimeout, lease / 4);
    for (std::uint32_t shard = 0; shard < control::UsageShards; ++shard)
        keepers_.emplace_back(shard, times);
}

void ReportManager::tick(absl::Time now, absl::Time wallTime)
{
    if (stopping_)
        return;
    for (std::uint32_t shard = 0; shard < control::UsageShards; ++shard) {
        const control::LeaseController *lease = leases_.find(control::usageScope(shard));
        if (lease == nullptr || !lease->holds())
            continue;
        const control::UsageReportStep step
            = keepers_[shard].next(control_.state(), *lease, now, wallTime);
        if (step.record)
            control_.append(*step.record);
        if (!step.report)
            continue;
        if (worker_.send({ *step.report, lease->mayActUntil() })) {
            ++reportsOut_;
        } else {
            const base::Reason full { base::ReasonCode::Unavailable, "too many reports wait" };
            keepers_[shard].onReported(*step.report, full, now);
        }
    }
}

void ReportManager::onEnded(const ReportEnded &ended, absl::Time now)
{
    --reportsOut_;
    const std::uint32_t shard = control::usageShardOf(ended.report.organisation);
    keepers_[shard].onReported(ended.report, ended.status, now);
    metrics_.countUsageReport(ended.status ? "ok" : nameOf(ended.status.lastReason().code));
}

OrderManager::OrderManager(Parts parts)
    : parts_(parts)
{ }

void OrderManager::setConfiguration(const control::Bundle &bundle)
{
    std::map<base::EndpointId, Planned> planned;
    for (const control::Endpoint &endpoint : bundle.endpoints) {
        const bool changesRole = endpoint.kind == control::EndpointKind::Engine
            && endpoint.role != control::Role::Mixed;
        if (!changesRole)
            continue;
        const auto old = planned_.find(endpoint.id);
        if (old != planned_.end()) {
            old->second.endpoint = endpoint;
            old->second.isListed = true;
            planned.insert(planned_.extract(old));
            continue;
        }
        control::OrderController keeper(endpoint.id, endpoint.dataCentre, parts_.control.self(),
                                        {});
        planned.emplace(endpoint.id, Planned { endpoint, std::move(keeper) });
    }
    // What was sent to an endpoint is remembered while it is unlisted, so that its open slot is
    // never sent a second time when it comes back.
    for (auto &[id, old] : planned_) {
        old.isListed = false;
        old.wanted.reset();
        planned.emplace(id, std::move(old));
    }
    planned_ = std::move(planned);
    prefillPace_ = 0;
    decodePace_ = 0;
    for (const control::Model &model : bundle.models) {
        const auto models = static_cast<double>(bundle.models.size());
        prefillPace_ += model.prefillTokensPerSecond / models;
        decodePace_ += model.decodeTokensPerSecond / models;
    }
}

const control::LeaseController *OrderManager::leaseOf(const base::DataCentreId &dataCentre) const
{
    const control::LeaseController *lease = parts_.leases.find(control::ordersScope(dataCentre));
    return lease != nullptr && lease->holds() ? lease : nullptr;
}

bool OrderManager::isOpen(const base::EndpointId &endpoint) const
{
    const control::EndpointSlots *slots = parts_.control.state().orders().find(endpoint);
    return slots != nullptr && slots->open.has_value();
}

void OrderManager::tick(const TokenDemand &demand, absl::Time now)
{
    if (now >= nextPlanAt_) {
        nextPlanAt_ = now + PlanInterval;
        plan(demand, now);
    }
    for (auto &[id, planned] : planned_) {
        if (!planned.isListed || stopping_)
            continue;
        drainWhileOpen(planned, now);
        step(planned, now);
    }
}

// Every instance sees the open order in the log and sends the engine nothing new, so that its
// streams run out before the role changes.
void OrderManager::drainWhileOpen(Planned &planned, absl::Time now)
{
    const base::EndpointId &id = planned.endpoint.id;
    const serving::EndpointView *view = parts_.endpoints.find(id);
    if (view == nullptr)
        return;
    const bool open = isOpen(id);
    if (!open) {
        planned.openSince = absl::InfiniteFuture();
        if (view->state == serving::EndpointState::Draining)
            parts_.endpoints.setState(id, serving::EndpointState::Live);
        return;
    }
    planned.openSince = std::min(planned.openSince, now);
    if (view->state == serving::EndpointState::Live)
        parts_.endpoints.setState(id, serving::EndpointState::Draining);
}

bool OrderManager::isDrained(const Planned &planned, absl::Time now) const
{
    const serving::EndpointView *view = parts_.endpoints.find(planned.endpoint.id);
    if (view == nullptr || now - planned.openSince < NewsDelay)
        return false;
    const bool idleHere = view->own.requests == 0 && view->peers.requests == 0;
    const bool reportedIdle = view->report
        && view->report->sampledAt > planned.openSince + NewsDelay && view->report->running == 0
        && view->report->waiting == 0;
    return idleHere && reportedIdle;
}

void OrderManager::plan(const TokenDemand &demand, absl::Time now)
{
    // Every instance plans for the whole fleet from the same figures, so that a new holder of a
    // lease goes on where the old one stopped; only holders act on it.
    serving::RoleInputs inputs;
    inputs.prefillDemand = demand.prefillPerSecond;
    inputs.decodeDemand = demand.decodePerSecond;
    inputs.enginePrefillRate = prefillPace_;
    inputs.engineDecodeRate = decodePace_;
    for (const auto &[id, planned] : planned_) {
        const serving::EndpointView *view = parts_.endpoints.find(id);
        if (view == nullptr || !planned.isListed)
            continue;
        serving::PlannedEngine engine;
        engine.id = id;
        engine.dataCentre = planned.endpoint.dataCentre;
        engine.role = view->role;
        engine.requests = static_cast<std::uint32_t>(std::max(0.0, view->requests(now)));
        engine.isLive = view->state == serving::EndpointState::Live;
        engine.isChanging = planned.wanted.has_value() || isOpen(id);
        inputs.engines.push_back(engine);
    }
    if (inputs.engines.empty())
        return;
    for (const serving::RoleOrder &order : parts_.planner.plan(inputs, now)) {
        const auto found = planned_.find(order.endpoint);
        if (found == planned_.end() || leaseOf(order.dataCentre) == nullptr)
            continue;
        found->second.wanted
            = control::DesiredOrder { ports::EndpointOrderKind::Role, control::nameOf(order.role) };
    }
}

void OrderManager::step(Planned &planned, absl::Time now)
{
    const control::LeaseController *lease = leaseOf(planned.endpoint.dataCentre);
    if (lease == nullptr) {
        planned.wanted.reset();
        return;
    }
    const control::EndpointSlots *slots = parts_.control.state().orders().find(planned.endpoint.id);
    const bool fulfilled = planned.wanted && slots != nullptr && !slots->open
        && slots->lastDoneArgument == planned.wanted->argument;
    if (fulfilled) {
        const base::Outcome<control::Role> role = control::roleFrom(planned.wanted->argument);
        if (role)
            parts_.endpoints.setRole(planned.endpoint.id, *role, now);
        planned.wanted.reset();
    }
    // The keeper gives an order out to be sent at once, so it is asked only when that cuts nobody.
    const bool ownOpen
        = slots != nullptr && slots->open && slots->open->sender == parts_.control.self();
    if (ownOpen && !planned.sent && !isDrained(planned, now))
        return;
    if (!ownOpen)
        planned.sent = false;
    const control::OrderStep next
        = planned.keeper.next(parts_.control.state(), *lease, planned.wanted, now);
    if (next.record)
        parts_.control.append(*next.record);
    if (next.send) {
        ports::EndpointOrder order = *next.send;
        // The address is the one of the open slot: if the endpoint has moved since, the order must
        // not reach its successor.
        order.address = slots->open->address;
        planned.sent = true;
        if (parts_.sender.send({ order, lease->mayActUntil() }))
            ++ordersOut_;
    }
}

void OrderManager::onEnded(const OrderEnded &ended, absl::Time)
{
    --ordersOut_;
    const auto found = planned_.find(ended.order.endpoint);
    if (found == planned_.end())
        return;
    const bool unknown
        = !ended.status && ended.status.lastReason().code == base::ReasonCode::OutcomeUnknown;
    parts_.metrics.countRoleOrder(ended.status ? "done" : nameOf(ended.status.lastReason().code));
    // An order whose fate is not known keeps its slot open: it might still arrive.
    if (unknown)
        return;
    found->second.keeper.onOutcome(ended.order.slot,
                                   ended.status ? control::OrderResult::Done
                                                : control::OrderResult::Refused);
    if (!ended.status)
        found->second.wanted.reset();
}

SnapshotManager::SnapshotManager(ControlLoop &control, const LeaseManager &leases,
                                 base::Offset everyRecords)
    : control_(control)
    , leases_(leases)
    , everyRecords_(everyRecords)
{ }

void SnapshotManager::tick()
{
    const control::LeaseController *lease = leases_.find(control::SnapshotScope);
    if (lease == nullptr || !lease->holds())
        return;
    const control::State &state = control_.state();
    const bool writing = writtenThrough_ > state.snapshots().newest().through
        && state.appliedThrough() < writtenThrough_ + everyRecords_;
    if (writing || !control::isSnapshotDue(state, everyRecords_))
        return;
    writtenThrough_ = state.appliedThrough();
    for (const control::SnapshotPart &part : control::splitSnapshot(state))
        control_.append(part);
}

} // namespace zinniadoor::daemon
