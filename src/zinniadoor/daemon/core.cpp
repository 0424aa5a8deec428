#include "zinniadoor/daemon/core.hpp"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "zinniadoor/base/events.hpp"
#include "zinniadoor/control/lease_table.hpp"

#include "core_options.hpp"

namespace zinniadoor::daemon {

namespace {

constexpr absl::Duration BusyTickInterval = absl::Milliseconds(5);
constexpr absl::Duration IdleTickInterval = absl::Milliseconds(20);
constexpr absl::Duration PeerTickInterval = absl::Milliseconds(50);
constexpr std::size_t MaxMessagesPerTick = 512;
constexpr std::size_t LoadsPerHeartbeat = 16;

/// Maximum time for which a graceful shutdown waits, once all work has completed, for its last
/// records to be read back from the log.
constexpr absl::Duration HandOverTimeout = absl::Seconds(10);

std::vector<control::BodyEvent> packed(const std::vector<serving::SuspectEvent> &events)
{
    std::vector<control::BodyEvent> bodies;
    for (const serving::SuspectEvent &event : events)
        bodies.push_back(
            { event.key, static_cast<std::uint32_t>(absl::ToInt64Milliseconds(event.age)) });
    return bodies;
}

std::vector<serving::SuspectEvent> unpacked(const std::vector<control::BodyEvent> &bodies)
{
    std::vector<serving::SuspectEvent> events;
    for (const control::BodyEvent &body : bodies)
        events.push_back({ body.body, absl::Milliseconds(body.ageMilliseconds) });
    return events;
}

} // namespace

Core::Core(Parts parts)
    : parts_(parts)
    , random_(parts.seed)
    , calls_(parts.endpoints, parts.ring, parts.settings.limits.pendingBytesPerStream)
    , router_(serving::firstTokenRouter(routerOptions(parts.settings)))
    , queue_(serving::fairQueue({}))
    , retries_(serving::budgetRetryPolicy(retryOptions()))
    , ejection_({})
    , crashes_(serving::CrashEvidenceOptions::ofBodies())
    , control_({ parts.settings, parts.clock, parts.tail, parts.appender, parts.metrics, *this,
                 absl::StrCat(parts.settings.peers.ip, ":", parts.peers.port()) },
               { parts.settings.instance, parts.incarnation })
    , membership_(membershipOptions(parts.settings, parts.incarnation, parts.seed))
    , messenger_(parts.peers, parts.ring, parts.metrics)
    , shares_({ control_, messenger_, membership_, shareTiming(parts.settings.control), parts.seed,
                [this](const control::Decision &decision) { requests_.onDecision(decision); } })
    , usage_({ parts.clock, control_, messenger_, membership_, parts.settings.dataCentre,
               parts.settings.control.peerSilence })
    , actionKeeper_(control_.self(), {})
    , actionServices_ { control_, actionKeeper_ }
    , services_ { parts.clock, parts.settings, calls_,    parts.metrics, parts.burn, endpoints_,
                  *router_,    *retries_,      ejection_, crashes_,      usage_,     random_ }
    , requests_({ services_, *queue_, shares_, *this, *this })
    , poller_({}, parts.clock, calls_, endpoints_)
    , leases_(control_, membership_, leaseTimes(parts.settings.control))
    , reports_(control_, leases_, parts.reports, parts.metrics,
               parts.settings.control.lease - parts.settings.control.leaseMargin)
    , planner_(serving::forecastRolePlanner(rolePlanOptions(parts.settings.roles)))
    , orders_({ control_, leases_, parts.orders, endpoints_, parts.metrics, *planner_ })
    , snapshots_(control_, leases_,
                 static_cast<base::Offset>(parts.settings.control.snapshotEveryRecords))
    , stateTransfer_({ parts.clock, control_, messenger_, parts.settings })
{
    for (const PeerSetting &peer : parts_.settings.configuredPeers)
        messenger_.setAddress(peer.id, peer.address);
}

Core::~Core() = default;

void Core::run()
{
    updatePeers(parts_.clock.now());
    control_.start();
    absl::Time nextTick = parts_.clock.now();
    while (!stopping_) {
        const absl::Duration wait = std::max(absl::ZeroDuration(), nextTick - parts_.clock.now());
        std::optional<CoreMessage> message = parts_.ring.pop(wait);
        for (std::size_t handled = 0; message && handled < MaxMessagesPerTick; ++handled) {
            handle(std::move(*message));
            message = parts_.ring.tryPop();
        }
        if (message)
            handle(std::move(*message));
        const absl::Time now = parts_.clock.now();
        if (now < nextTick)
            continue;
        tick(now);
        const bool isBusy = requests_.size() > 0 || !usage_.isIdle();
        nextTick = now + (isBusy ? BusyTickInterval : IdleTickInterval);
    }
}

void Core::handle(CoreMessage message)
{
    std::visit([this](auto &alternative) { on(alternative); }, message);
}

void Core::on(CallerRequestReceived &message)
{
    requests_.onRequestArrived(std::move(message.exchange));
}

void Core::on(CallerExchangeUpdated &message)
{
    requests_.onRequestProgress(message.exchange);
}

void Core::on(EndpointCallUpdated &message)
{
    calls_.deliver(message.call);
}

void Core::on(LogPageRead &message)
{
    control_.onRead(message);
}

void Core::on(LogReadFailed &message)
{
    control_.onReadFailed(message);
}

void Core::on(LogAppendCompleted &message)
{
    control_.onAppendCompleted(message);
}

void Core::on(PeerDatagramReceived &message)
{
    const base::Outcome<control::PeerMessage> decoded = control::decodePeerMessage(message.bytes);
    if (decoded)
        onPeerMessage(*decoded);
}

void Core::on(PeerRequestReceived &message)
{
    const base::Outcome<control::PeerMessage> decoded = control::decodePeerMessage(message.bytes);
    if (!decoded) {
        message.reply({});
        return;
    }
    if (const auto *copy = std::get_if<control::UsageCopy>(&*decoded)) {
        message.reply(control::encodePeerMessage(usage_.onCopy(*copy)));
        return;
    }
    if (const auto *request = std::get_if<control::StateRequest>(&*decoded)) {
        message.reply(control::encodePeerMessage(stateTransfer_.onStateRequest(*request)));
        return;
    }
    onPeerMessage(*decoded);
    message.reply({});
}

void Core::on(PeerCallCompleted &message)
{
    messenger_.onCallCompleted(message);
}

void Core::onPeerMessage(const control::PeerMessage &message)
{
    const absl::Time now = parts_.clock.now();
    const base::InstanceId from = control::senderOf(message);
    if (from == parts_.settings.instance)
        return;
    lastPeerMessageAt_ = now;
    if (const auto *heartbeat = std::get_if<control::Heartbeat>(&message))
        onHeartbeat(*heartbeat, now);
    if (const auto *notice = std::get_if<control::CrashNotice>(&message)) {
        std::vector<serving::CrashEntry> entries;
        for (const control::CrashReport &crash : notice->crashes)
            entries.push_back(
                { crash.bodyDigest, crash.endpoint, absl::Milliseconds(crash.ageMilliseconds) });
        crashes_.merge(entries, now);
        return;
    }
    if (const auto *notice = std::get_if<control::BodyNotice>(&message)) {
        crashes_.merge({ {}, unpacked(notice->answered), unpacked(notice->tried) }, now);
        return;
    }
    shares_.onMessage(from, message, now);
}

void Core::onHeartbeat(const control::Heartbeat &heartbeat, absl::Time now)
{
    membership_.onHeartbeat(heartbeat, now);
    std::vector<serving::PeerLoad> loads;
    for (const auto &[id, view] : endpoints_.all()) {
        const std::uint16_t inFlight = membership_.inFlightOf(heartbeat.instance, id, now);
        if (inFlight == 0)
            continue;
        serving::PeerLoad load;
        load.endpoint = id;
        load.work.requests = inFlight;
        loads.push_back(load);
    }
    endpoints_.setPeerLoads(heartbeat.instance, loads, now);
}

void Core::on(InstancesListed &message)
{
    for (const ports::ListedInstance &listed : message.instances) {
        const base::EndpointId endpoint(listed.id);
        if (endpoints_.find(endpoint) == nullptr)
            continue;
        const bool isLeaving = listed.state == ports::InstanceState::Leaving;
        const bool changingRole
            = endpoints_.find(endpoint)->state == serving::EndpointState::Draining;
        if (changingRole && !isLeaving)
            continue;
        endpoints_.setState(
            endpoint, isLeaving ? serving::EndpointState::Leaving : serving::EndpointState::Live);
    }
}

void Core::on(OrderCompleted &message)
{
    orders_.onCompleted(message, parts_.clock.now());
}

void Core::on(UsageReportCompleted &message)
{
    reports_.onCompleted(message, parts_.clock.now());
}

void Core::on(StopRequested &)
{
    if (draining_)
        return;
    draining_ = true;
    base::logEvent(base::EventId::DaemonStopping, {});
    requests_.drain();
    leases_.stopClaiming();
    orders_.stop();
    reports_.stop();
    shares_.startRelease();
}

void Core::tick(absl::Time now)
{
    requests_.setReadiness(computeReadiness(now));
    calls_.deliverMissed();
    requests_.tick(now);
    poller_.tick(now);
    tickPeers(now);
    tickDuties(now);
    control_.tick(now);
    stateTransfer_.tick(now);
    tickStop(now);
    publishStatus();
}

void Core::tickPeers(absl::Time now)
{
    shares_.tick(now);
    usage_.tick(now);
    if (now < nextPeerTick_)
        return;
    nextPeerTick_ = now + PeerTickInterval;
    control::LocalStatus own;
    own.bundleVersion = control_.state().configuration().version();
    own.logOffset = control_.state().appliedThrough();
    own.draining = draining_;
    const TokenDemand demand = requests_.demand(now);
    own.prefillDemand = static_cast<float>(demand.prefillPerSecond);
    own.decodeDemand = static_cast<float>(demand.decodePerSecond);
    for (const serving::PeerLoad &load : endpoints_.ownLoads())
        own.inFlight[load.endpoint] = static_cast<std::uint16_t>(
            std::clamp<std::int64_t>(load.work.requests, 0, UINT16_MAX));
    own.organisations = shares_.loads(LoadsPerHeartbeat, now);
    for (const control::OutgoingMessage &heartbeat : membership_.tick(own, now))
        messenger_.send(heartbeat);
    for (const base::InstanceId &lost : membership_.lostMembers(now))
        endpoints_.removePeer(lost, now);
    std::vector<std::string> instances { parts_.settings.instance.str() };
    for (const base::InstanceId &member : membership_.availableMembers(now))
        instances.push_back(member.str());
    crashes_.setInstances(parts_.settings.instance.str(), std::move(instances));
}

void Core::tickDuties(absl::Time now)
{
    leases_.tick(now);
    reports_.tick(now, parts_.clock.wallTime());
    orders_.tick(fleetDemand(now), now);
    snapshots_.tick();
}

TokenDemand Core::fleetDemand(absl::Time now)
{
    TokenDemand demand = requests_.demand(now);
    const std::vector<base::InstanceId> peers = membership_.availableMembers(now);
    std::size_t reporting = 0;
    TokenDemand peerDemand;
    for (const base::InstanceId &peer : peers) {
        const control::MemberStatus *view = membership_.find(peer);
        if (view == nullptr || view->lastDirectHeartbeatAt == absl::InfinitePast())
            continue;
        ++reporting;
        peerDemand.prefillPerSecond += view->prefillDemand;
        peerDemand.decodePerSecond += view->decodeDemand;
    }
    if (reporting == 0)
        return demand;
    // In a large group not every peer sends its heartbeats here directly; extrapolates from those
    // that do.
    const double scale = static_cast<double>(peers.size()) / static_cast<double>(reporting);
    demand.prefillPerSecond += peerDemand.prefillPerSecond * scale;
    demand.decodePerSecond += peerDemand.decodePerSecond * scale;
    return demand;
}

void Core::tickStop(absl::Time now)
{
    if (!draining_)
        return;
    if (requests_.size() == 0 && usage_.isIdle())
        workCompletedAt_ = std::min(workCompletedAt_, now);
    const bool noneInFlight = orders_.isIdle() && reports_.isIdle();
    if (noneInFlight && !leasesReleased_) {
        leasesReleased_ = true;
        leases_.releaseAll();
    }
    const bool handedOver
        = noneInFlight && requests_.size() == 0 && usage_.isIdle() && shares_.isReleased(now);
    if (!handedOver || stopRecordAppended_)
        return;
    stopRecordAppended_ = true;
    control_.append(
        control::InstanceStopped { control_.self().instance, control_.self().incarnation });
}

void Core::updatePeers(absl::Time now)
{
    const control::InstanceTable &instances = control_.state().instances();
    std::map<base::InstanceId, control::ListedMember> byInstance;
    for (const PeerSetting &peer : parts_.settings.configuredPeers)
        byInstance[peer.id] = { peer.id, 0, peer.dataCentre };
    for (const control::Process &process : instances.running()) {
        const control::ProcessInfo *info = instances.find(process);
        if (process.instance == parts_.settings.instance || info == nullptr)
            continue;
        byInstance[process.instance] = { process.instance, process.incarnation, info->dataCentre };
        messenger_.setAddress(process.instance, info->peerAddress);
    }
    std::vector<control::ListedMember> members;
    for (const auto &[id, member] : byInstance)
        members.push_back(member);
    membership_.setMembers(members, now);
}

Readiness Core::computeReadiness(absl::Time now) const
{
    if (draining_)
        return { false, "this instance is being stopped" };
    if (control_.state().configuration().bundle() == nullptr)
        return { false, "no configuration yet" };
    const absl::Time lastReceivedAt = std::max(control_.lastReadAt(), lastPeerMessageAt_);
    if (now - lastReceivedAt > parts_.settings.control.isolation)
        return { false, "neither the log nor other instances have been heard for too long" };
    return { true, "" };
}

void Core::publishStatus()
{
    const absl::Time now = parts_.clock.now();
    const Readiness readiness = computeReadiness(now);
    const absl::MutexLock lock(&statusMutex_);
    if (readiness.ready != status_.readiness.ready) {
        base::logEvent(
            base::EventId::ReadinessChanged,
            { { "ready", readiness.ready ? "true" : "false" }, { "reason", readiness.reason } });
        parts_.metrics.setReady(readiness.ready);
    }
    status_.readiness = readiness;
    status_.bundleVersion = control_.state().configuration().version();
    status_.bundleDigest = control_.state().configuration().digest();
    status_.logOffset = control_.state().appliedThrough();
    status_.requests = requests_.size();
    status_.shareSlots = shares_.ownedSlots();
    status_.logCurrent = control_.isCurrent(now);
    // While the log is unavailable, InstanceStopped cannot be confirmed; leases and attestations
    // then expire.
    const bool handOverTimedOut = now - workCompletedAt_ > HandOverTimeout;
    status_.drained = (stopRecordAppended_ && control_.isIdle()) || handOverTimedOut;
}

CoreStatus Core::status() const
{
    const absl::MutexLock lock(&statusMutex_);
    return status_;
}

void Core::onConfiguration(const control::Bundle &bundle)
{
    const absl::Time now = parts_.clock.now();
    requests_.setConfiguration(bundle);
    poller_.setEndpoints(bundle.endpoints);
    shares_.setConfiguration(bundle, now);
    orders_.setConfiguration(bundle);
    setScopes(bundle);
}

void Core::setScopes(const control::Bundle &bundle)
{
    std::set<std::string> scopes { control::SnapshotScope };
    for (const control::Endpoint &endpoint : bundle.endpoints)
        scopes.insert(control::ordersScope(endpoint.dataCentre));
    for (std::uint32_t shard = 0; shard < control::UsageShards; ++shard)
        scopes.insert(control::usageScope(shard));
    leases_.setScopes({ scopes.begin(), scopes.end() });
}

void Core::onOwnFrame(const control::Frame &frame, const control::ApplyResult &result)
{
    actionKeeper_.onOwnFrame(frame, result);
}

void Core::onApplied(absl::Time readAt)
{
    updatePeers(readAt);
    leases_.onApplied(readAt);
    shares_.onApplied(readAt);
    usage_.onApplied(readAt);
    requests_.onApplied();
    for (const control::Record &record : actionKeeper_.releaseAbandonedClaims(control_.state()))
        control_.append(record);
}

std::unique_ptr<Request> Core::start(std::shared_ptr<ports::CallerExchange> exchange,
                                     const base::RequestId &id, const Caller &caller,
                                     const control::Route &route)
{
    return std::make_unique<ActionRequest>(services_, actionServices_, std::move(exchange), id,
                                           caller, route);
}

void Core::onCrash(const std::vector<serving::CrashEntry> &entries)
{
    control::CrashNotice notice;
    notice.instance = parts_.settings.instance;
    for (const serving::CrashEntry &entry : entries)
        notice.crashes.push_back(
            { entry.bodyDigest, entry.endpoint,
              static_cast<std::uint32_t>(absl::ToInt64Milliseconds(entry.age)) });
    for (const base::InstanceId &peer : membership_.availableMembers(parts_.clock.now()))
        messenger_.send({ peer, notice });
}

void Core::onBodyReports(const serving::CrashReports &reports)
{
    if (reports.empty())
        return;
    control::BodyNotice notice;
    notice.instance = parts_.settings.instance;
    notice.answered = packed(reports.successes);
    notice.tried = packed(reports.trials);
    for (const base::InstanceId &peer : membership_.availableMembers(parts_.clock.now()))
        messenger_.send({ peer, notice });
}

} // namespace zinniadoor::daemon
