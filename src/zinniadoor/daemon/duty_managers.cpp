#include "zinniadoor/daemon/duty_managers.hpp"

#include <algorithm>
#include <utility>

#include "zinniadoor/control/lease_table.hpp"
#include "zinniadoor/control/snapshot.hpp"

namespace zinniadoor::daemon {

namespace {

constexpr absl::Duration PlanInterval = absl::Seconds(1);

/// Time within which every instance reads a newly opened order and reports its last requests.
constexpr absl::Duration PropagationDelay = absl::Seconds(2);

} // namespace

UsageReportManager::UsageReportManager(ControlLoop &control, const LeaseManager &leases,
                                       UsageReportWorker &worker, Metrics &metrics,
                                       absl::Duration lease)
    : control_(control)
    , leases_(leases)
    , worker_(worker)
    , metrics_(metrics)
{
    // A call that outlives the lease is ended by the lease guard; this only makes such calls
    // rare.
    control::UsageReportTimes times;
    times.sendTimeout = std::min(times.sendTimeout, lease / 4);
    for (std::uint32_t shard = 0; shard < control::UsageShards; ++shard)
        controllers_.emplace_back(shard, times);
}

void UsageReportManager::tick(absl::Time now, absl::Time wallTime)
{
    if (stopping_)
        return;
    for (std::uint32_t shard = 0; shard < control::UsageShards; ++shard) {
        const control::LeaseController *lease = leases_.find(control::usageScope(shard));
        if (lease == nullptr || !lease->holds())
            continue;
        const control::UsageReportStep step
            = controllers_[shard].next(control_.state(), *lease, now, wallTime);
        if (step.record)
            control_.append(*step.record);
        if (!step.report)
            continue;
        if (worker_.send({ *step.report, lease->mayActUntil() })) {
            ++reportsInFlight_;
        } else {
            const base::Reason full { base::ReasonCode::Unavailable,
                                      "queue of usage reports is full" };
            controllers_[shard].onReported(*step.report, full, now);
        }
    }
}

void UsageReportManager::onCompleted(const UsageReportCompleted &completed, absl::Time now)
{
    --reportsInFlight_;
    const std::uint32_t shard = control::usageShardOf(completed.report.organisation);
    controllers_[shard].onReported(completed.report, completed.status, now);
    metrics_.countUsageReport(completed.status ? "ok" : nameOf(completed.status.lastReason().code));
}

OrderManager::OrderManager(Parts parts)
    : parts_(parts)
{ }

void OrderManager::setConfiguration(const control::Bundle &bundle)
{
    std::map<base::EndpointId, PlannedEndpoint> planned;
    for (const control::Endpoint &endpoint : bundle.endpoints) {
        const bool changesRole = endpoint.kind == control::EndpointKind::Engine
            && endpoint.role != control::Role::Mixed;
        if (!changesRole)
            continue;
        const auto old = planned_.find(endpoint.id);
        if (old != planned_.end()) {
            old->second.endpoint = endpoint;
            old->second.isConfigured = true;
            planned.insert(planned_.extract(old));
            continue;
        }
        control::OrderController controller(endpoint.id, endpoint.dataCentre, parts_.control.self(),
                                            {});
        planned.emplace(endpoint.id, PlannedEndpoint { endpoint, std::move(controller) });
    }
    // Keeps the record of orders sent while an endpoint is absent from the configuration, so that
    // an open order is never sent again when the endpoint returns.
    for (auto &[id, old] : planned_) {
        old.isConfigured = false;
        old.desired.reset();
        planned.emplace(id, std::move(old));
    }
    planned_ = std::move(planned);
    enginePrefillRate_ = 0;
    engineDecodeRate_ = 0;
    for (const control::Model &model : bundle.models) {
        const auto models = static_cast<double>(bundle.models.size());
        enginePrefillRate_ += model.prefillTokensPerSecond / models;
        engineDecodeRate_ += model.decodeTokensPerSecond / models;
    }
}

const control::LeaseController *OrderManager::heldLease(const base::DataCentreId &dataCentre) const
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
        if (!planned.isConfigured || stopping_)
            continue;
        drainWhileOpen(planned, now);
        advance(planned, now);
    }
}

// Every instance reads the open order from the log and routes no new requests to the engine, so
// that its streams complete before the role changes.
void OrderManager::drainWhileOpen(PlannedEndpoint &planned, absl::Time now)
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

bool OrderManager::isDrained(const PlannedEndpoint &planned, absl::Time now) const
{
    const serving::EndpointView *view = parts_.endpoints.find(planned.endpoint.id);
    if (view == nullptr || now - planned.openSince < PropagationDelay)
        return false;
    const bool isIdleHere = view->own.requests == 0 && view->peers.requests == 0;
    const bool isReportedIdle = view->report
        && view->report->sampledAt > planned.openSince + PropagationDelay
        && view->report->running == 0 && view->report->waiting == 0;
    return isIdleHere && isReportedIdle;
}

void OrderManager::plan(const TokenDemand &demand, absl::Time now)
{
    // Every instance plans for the whole fleet from the same inputs, so that a new holder of a
    // lease continues the plan of the previous one; only holders act on it.
    serving::RoleInputs inputs;
    inputs.prefillDemand = demand.prefillPerSecond;
    inputs.decodeDemand = demand.decodePerSecond;
    inputs.enginePrefillRate = enginePrefillRate_;
    inputs.engineDecodeRate = engineDecodeRate_;
    for (const auto &[id, planned] : planned_) {
        const serving::EndpointView *view = parts_.endpoints.find(id);
        if (view == nullptr || !planned.isConfigured)
            continue;
        serving::PlannedEngine engine;
        engine.id = id;
        engine.dataCentre = planned.endpoint.dataCentre;
        engine.role = view->role;
        engine.requests = static_cast<std::uint32_t>(std::max(0.0, view->requests(now)));
        engine.isLive = view->state == serving::EndpointState::Live;
        engine.isChanging = planned.desired.has_value() || isOpen(id);
        inputs.engines.push_back(engine);
    }
    if (inputs.engines.empty())
        return;
    for (const serving::RoleOrder &order : parts_.planner.plan(inputs, now)) {
        const auto found = planned_.find(order.endpoint);
        if (found == planned_.end() || heldLease(order.dataCentre) == nullptr)
            continue;
        found->second.desired
            = control::DesiredOrder { ports::EndpointOrderKind::Role, control::nameOf(order.role) };
    }
}

void OrderManager::advance(PlannedEndpoint &planned, absl::Time now)
{
    const control::LeaseController *lease = heldLease(planned.endpoint.dataCentre);
    if (lease == nullptr) {
        planned.desired.reset();
        return;
    }
    const control::EndpointSlots *slots = parts_.control.state().orders().find(planned.endpoint.id);
    const bool isFulfilled = planned.desired && slots != nullptr && !slots->open
        && slots->lastDoneArgument == planned.desired->argument;
    if (isFulfilled) {
        const base::Outcome<control::Role> role = control::roleFrom(planned.desired->argument);
        if (role)
            parts_.endpoints.setRole(planned.endpoint.id, *role, now);
        planned.desired.reset();
    }
    // The controller returns an order to be sent at once, so it is called only once the engine has
    // drained and no stream would be interrupted.
    const bool hasOwnOpenOrder
        = slots != nullptr && slots->open && slots->open->sender == parts_.control.self();
    if (hasOwnOpenOrder && !planned.sent && !isDrained(planned, now))
        return;
    if (!hasOwnOpenOrder)
        planned.sent = false;
    const control::OrderStep next
        = planned.controller.next(parts_.control.state(), *lease, planned.desired, now);
    if (next.record)
        parts_.control.append(*next.record);
    if (next.send) {
        ports::EndpointOrder order = *next.send;
        // The address of the open slot: if the endpoint's address has changed since, the order must
        // not reach the engine at the new one.
        order.address = slots->open->address;
        planned.sent = true;
        if (parts_.sender.send({ order, lease->mayActUntil() }))
            ++ordersInFlight_;
    }
}

void OrderManager::onCompleted(const OrderCompleted &completed, absl::Time)
{
    --ordersInFlight_;
    const auto found = planned_.find(completed.order.endpoint);
    if (found == planned_.end())
        return;
    const bool isOutcomeUnknown = !completed.status
        && completed.status.lastReason().code == base::ReasonCode::OutcomeUnknown;
    parts_.metrics.countRoleOrder(completed.status ? "done"
                                                   : nameOf(completed.status.lastReason().code));
    // An order of isOutcomeUnknown outcome keeps its slot open, since it might still be executed.
    if (isOutcomeUnknown)
        return;
    found->second.controller.onOutcome(completed.order.slot,
                                       completed.status ? control::OrderResult::Done
                                                        : control::OrderResult::Refused);
    if (!completed.status)
        found->second.desired.reset();
}

SnapshotManager::SnapshotManager(ControlLoop &control, const LeaseManager &leases,
                                 base::Offset snapshotInterval)
    : control_(control)
    , leases_(leases)
    , snapshotInterval_(snapshotInterval)
{ }

void SnapshotManager::tick()
{
    const control::LeaseController *lease = leases_.find(control::SnapshotScope);
    if (lease == nullptr || !lease->holds())
        return;
    const control::State &state = control_.state();
    const bool isWriting = lastWrittenOffset_ > state.snapshots().newest().through
        && state.appliedThrough() < lastWrittenOffset_ + snapshotInterval_;
    if (isWriting || !control::isSnapshotDue(state, snapshotInterval_))
        return;
    lastWrittenOffset_ = state.appliedThrough();
    for (const control::SnapshotPart &part : control::splitSnapshot(state))
        control_.append(part);
}

} // namespace zinniadoor::daemon
