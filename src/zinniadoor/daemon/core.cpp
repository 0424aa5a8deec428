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
constexpr std::size_t MostMessagesPerTick = 512;
constexpr std::size_t LoadsPerHeartbeat = 16;

/// A planned stop waits this long for its last records to be read back, once all work has ended.
constexpr absl::Duration HandOverPatience = absl::Seconds(10);

} // namespace

Core::Core(Parts parts)
    : parts_(parts)
    , random_(parts.seed)
    , calls_(parts.endpoints, parts.ring, parts.settings.limits.pendingBytesPerStream)
    , router_(serving::firstTokenRouter(routerOptions(parts.settings)))
    , queue_(serving::fairQueue({}))
    , retries_(serving::budgetRetryPolicy(retryOptions()))
    , ejection_({})
    , crashes_({})
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
    , transfer_({ parts.clock, control_, messenger_, parts.settings })
{
    for (const PeerSetting &peer : parts_.settings.knownPeers)
        messenger_.setAddress(peer.id, peer.address);
}

Core::~Core() = default;

void Core::run()
{
    learnPeers(parts_.clock.now());
    control_.start();
    absl::Time nextTick = parts_.clock.now();
    while (!stopping_) {
        const absl::Duration wait = std::max(absl::ZeroDuration(), nextTick - parts_.clock.now());
        std::optional<CoreMessage> message = parts_.ring.pop(wait);
        for (std::size_t handled = 0; message && handled < MostMessagesPerTick; ++handled) {
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

void Core::on(CallerArrived &message)
{
    requests_.onArrived(std::move(message.exchange));
}

void Core::on(CallerProgressed &message)
{
    requests_.onProgressed(message.exchange);
}

void Core::on(EndpointNews &message)
{
    calls_.deliver(message.call);
}

void Core::on(LogRead &message)
{
    control_.onRead(message);
}

void Core::on(LogUnreadable &message)
{
    control_.onUnreadable(message);
}

void Core::on(AppendEnded &message)
{
    control_.onAppended(message);
}

void Core::on(PeerDatagram &message)
{
    const base::Outcome<control::PeerMessage> decoded = control::decodePeerMessage(message.bytes);
    if (decoded)
        onPeerMessage(*decoded);
}

void Core::on(PeerCalled &message)
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
    if (const auto *ask = std::get_if<control::StateRequest>(&*decoded)) {
        message.reply(control::encodePeerMessage(transfer_.onAsk(*ask)));
        return;
    }
    onPeerMessage(*decoded);
    message.reply({});
}

void Core::on(PeerAnswered &message)
{
    messenger_.onAnswered(message);
}

void Core::onPeerMessage(const control::PeerMessage &message)
{
    const absl::Time now = parts_.clock.now();
    const base::InstanceId from = control::senderOf(message);
    if (from == parts_.settings.instance)
        return;
    lastPeerHeard_ = now;
    if (const auto *heartbeat = std::get_if<control::Heartbeat>(&message))
        onHeartbeat(*heartbeat, now);
    if (const auto *news = std::get_if<control::CrashNotice>(&message)) {
        std::vector<serving::CrashEntry> entries;
        for (const control::CrashReport &crash : news->crashes)
            entries.push_back(
                { crash.bodyDigest, crash.endpoint, absl::Milliseconds(crash.ageMilliseconds) });
        crashes_.merge(entries, now);
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
        const bool leaving = listed.state == ports::InstanceState::Leaving;
        const bool changingRole
            = endpoints_.find(endpoint)->state == serving::EndpointState::Draining;
        if (changingRole && !leaving)
            continue;
        endpoints_.setState(
            endpoint, leaving ? serving::EndpointState::Leaving : serving::EndpointState::Live);
    }
}

void Core::on(OrderEnded &message)
{
    orders_.onEnded(message, parts_.clock.now());
}

void Core::on(ReportEnded &message)
{
    reports_.onEnded(message, parts_.clock.now());
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
    shares_.beginRelease();
}

void Core::tick(absl::Time now)
{
    requests_.setReadiness(judgeReadiness(now));
    calls_.sweep();
    requests_.tick(now);
    poller_.tick(now);
    tickPeers(now);
    tickDuties(now);
    control_.tick(now);
    transfer_.tick(now);
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
    std::size_t heard = 0;
    TokenDemand ofPeers;
    for (const base::InstanceId &peer : peers) {
        const control::MemberStatus *view = membership_.find(peer);
        if (view == nullptr || view->lastDirectHeartbeatAt == absl::InfinitePast())
            continue;
        ++heard;
        ofPeers.prefillPerSecond += view->prefillDemand;
        ofPeers.decodePerSecond += view->decodeDemand;
    }
    if (heard == 0)
        return demand;
    // In a large group not every peer is heard directly; the others are taken to be alike.
    const double scale = static_cast<double>(peers.size()) / static_cast<double>(heard);
    demand.prefillPerSecond += ofPeers.prefillPerSecond * scale;
    demand.decodePerSecond += ofPeers.decodePerSecond * scale;
    return demand;
}

void Core::tickStop(absl::Time now)
{
    if (!draining_)
        return;
    if (requests_.size() == 0 && usage_.isIdle())
        workEndedAt_ = std::min(workEndedAt_, now);
    const bool nothingOut = orders_.isIdle() && reports_.isIdle();
    if (nothingOut && !releasedLeases_) {
        releasedLeases_ = true;
        leases_.releaseAll();
    }
    const bool handedOver
        = nothingOut && requests_.size() == 0 && usage_.isIdle() && shares_.isReleased(now);
    if (!handedOver || saidStopped_)
        return;
    saidStopped_ = true;
    control_.append(
        control::InstanceStopped { control_.self().instance, control_.self().incarnation });
}

void Core::learnPeers(absl::Time now)
{
    const control::InstanceTable &instances = control_.state().instances();
    std::map<base::InstanceId, control::ListedMember> known;
    for (const PeerSetting &peer : parts_.settings.knownPeers)
        known[peer.id] = { peer.id, 0, peer.dataCentre };
    for (const control::Process &process : instances.running()) {
        const control::ProcessInfo *info = instances.find(process);
        if (process.instance == parts_.settings.instance || info == nullptr)
            continue;
        known[process.instance] = { process.instance, process.incarnation, info->dataCentre };
        messenger_.setAddress(process.instance, info->peerAddress);
    }
    std::vector<control::ListedMember> members;
    for (const auto &[id, member] : known)
        members.push_back(member);
    membership_.setMembers(members, now);
}

Readiness Core::judgeReadiness(absl::Time now) const
{
    if (draining_)
        return { false, "this instance is being stopped" };
    if (control_.state().configuration().bundle() == nullptr)
        return { false, "no configuration yet" };
    const absl::Time heard = std::max(control_.lastContact(), lastPeerHeard_);
    if (now - heard > parts_.settings.control.isolation)
        return { false, "neither the log nor other instances have been heard for too long" };
    return { true, "" };
}

void Core::publishStatus()
{
    const absl::Time now = parts_.clock.now();
    const Readiness readiness = judgeReadiness(now);
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
    // With the log out the stop cannot be told; leases and vouches then lapse by themselves.
    const bool gaveUpTelling = now - workEndedAt_ > HandOverPatience;
    status_.drained = (saidStopped_ && control_.isIdle()) || gaveUpTelling;
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
    learnPeers(readAt);
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
    control::CrashNotice news;
    news.instance = parts_.settings.instance;
    for (const serving::CrashEntry &entry : entries)
        news.crashes.push_back(
            { entry.bodyDigest, entry.endpoint,
              static_cast<std::uint32_t>(absl::ToInt64Milliseconds(entry.age)) });
    for (const base::InstanceId &peer : membership_.availableMembers(parts_.clock.now()))
        messenger_.send({ peer, news });
}

} // namespace zinniadoor::daemon
