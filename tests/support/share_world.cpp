#include "share_world.hpp"

#include <algorithm>
#include <cmath>

#include "zinniadoor/control/token_bucket.hpp"

namespace zinniadoor::tests {

using namespace control;

namespace {

const absl::Time WorldStart = absl::FromUnixSeconds(1'000'000);
constexpr absl::Duration FrameInterval = absl::Seconds(1);
constexpr absl::Duration FrameRetry = absl::Milliseconds(500);
constexpr std::uint32_t Slots = 8;

} // namespace

struct ShareWorld::Node
{
    int index = 0;
    Process self;
    ListedMember known;
    bool alive = false;
    bool logCut = false;
    absl::Time frozenUntil = absl::InfinitePast();
    double clockRate = 1;
    absl::Duration clockOffset;
    std::uint64_t bytesSent = 0;
    std::unique_ptr<RateLimiter> limiter;
    RateShares *shares = nullptr; ///< Points to `limiter` if it is one.
    std::unique_ptr<AttestationController> vouch;
    std::unique_ptr<ShareSlotController> keeper;
    std::unique_ptr<Membership> membership;
    std::vector<std::pair<base::InstanceId, std::string>> inbox; ///< While frozen.
    std::map<Ticket, std::pair<base::OrganisationId, bool>> tickets;

    // The log as read, with instants on the own clock.
    InstanceTable instances;
    LeaseTable leases;
    base::Offset applied = 0;

    // Own frames.
    std::optional<Frame> pending;
    absl::Time pendingSentAt;
    absl::Time retryAt;
    absl::Time nextFrame;
    std::uint64_t sequence = 0;
    std::vector<Record> records;
    bool stopping = false;
    bool saidStopped = false;
};

struct ShareWorld::Reference
{
    TokenBucket limit; ///< Takes what was really admitted; must never lack tokens.
    TokenBucket global; ///< Takes all traffic.
};

ShareWorld::ShareWorld(WorldOptions options)
    : options_(std::move(options))
    , random_(options_.seed)
    , traffic_(options_.seed + 1)
    , now_(WorldStart)
{
    options_.weights.resize(static_cast<std::size_t>(options_.instances), 1);
    for (int i = 0; i < options_.instances; ++i) {
        auto node = std::make_unique<Node>();
        node->index = i;
        node->known.instance = base::InstanceId("entry-" + std::to_string(i));
        node->known.dataCentre
            = base::DataCentreId("zone-" + std::to_string(i % options_.dataCentres));
        node->clockRate = 1 + options_.clockDrift * (2 * random() - 1);
        node->clockOffset = absl::Seconds(1000 * random());
        indices_[node->known.instance] = i;
        nodes_.push_back(std::move(node));
    }
    for (const Organisation &organisation : options_.organisations) {
        const double rate = organisation.ratePerSecond;
        const double burst = organisation.burst;
        references_[organisation.id] = std::make_unique<Reference>(
            Reference { TokenBucket(rate, burst, burst, now_), TokenBucket(rate, burst, 0, now_) });
        scheduleArrival(organisation);
    }
    for (auto &node : nodes_)
        start(*node);
}

ShareWorld::~ShareWorld() = default;

void ShareWorld::post(absl::Time when, std::function<void()> action)
{
    events_.push(Event { when, nextOrder_++, std::move(action) });
}

void ShareWorld::at(absl::Duration when, std::function<void()> action)
{
    post(WorldStart + when, std::move(action));
}

void ShareWorld::runUntil(absl::Duration end)
{
    while (!events_.empty() && events_.top().when <= WorldStart + end) {
        Event event = events_.top();
        events_.pop();
        now_ = event.when;
        event.action();
    }
    now_ = WorldStart + end;
}

absl::Time ShareWorld::localTime(const Node &node) const
{
    return WorldStart + node.clockOffset + node.clockRate * (now_ - WorldStart);
}

void ShareWorld::start(Node &node)
{
    const int index = node.index;
    const auto incarnation = static_cast<base::Incarnation>(absl::ToUnixMillis(now_));
    auto fresh = std::make_unique<Node>();
    fresh->index = index;
    fresh->known = node.known;
    fresh->known.incarnation = incarnation;
    fresh->self = Process { node.known.instance, incarnation };
    fresh->clockRate = node.clockRate;
    fresh->clockOffset = node.clockOffset;
    fresh->bytesSent = node.bytesSent;
    fresh->logCut = node.logCut;
    fresh->alive = true;
    Node &started = *fresh;
    nodes_[static_cast<std::size_t>(index)] = std::move(fresh);

    RateSharesOptions shares;
    shares.instance = started.self.instance;
    shares.incarnation = incarnation;
    shares.shareSlots = Slots;
    shares.seed = options_.seed * 100 + static_cast<std::uint64_t>(index);
    if (options_.strategy == Strategy::Shares) {
        auto limiter = std::make_unique<RateShares>(shares);
        started.shares = limiter.get();
        started.limiter = std::move(limiter);
    } else {
        started.limiter
            = std::make_unique<FixedSplit>(static_cast<std::uint32_t>(options_.instances));
    }
    started.vouch = std::make_unique<AttestationController>(started.self, ShareTiming {});
    started.keeper = std::make_unique<ShareSlotController>(started.self, Slots, ShareTiming {});
    MembershipOptions membership;
    membership.instance = started.self.instance;
    membership.incarnation = incarnation;
    membership.dataCentre = started.known.dataCentre;
    membership.seed = shares.seed;
    started.membership = std::make_unique<Membership>(membership);
    std::vector<ListedMember> members;
    for (const auto &other : nodes_)
        members.push_back(other->known);
    const absl::Time local = localTime(started);
    started.membership->setMembers(members, local);
    started.limiter->setOrganisations(options_.organisations, local);
    started.records.push_back(InstanceStarted {
        started.self.instance, incarnation, started.known.dataCentre,
        "10.0.0." + std::to_string(index) + ":7000", chooseAttestors(started.known, members) });
    started.nextFrame = local;
    post(now_ + options_.step * random(), [this, index, incarnation] {
        if (nodes_[static_cast<std::size_t>(index)]->self.incarnation == incarnation)
            step(index);
    });
}

void ShareWorld::kill(int instance)
{
    Node &node = *nodes_[static_cast<std::size_t>(instance)];
    total_.lostWithInstance += node.tickets.size();
    node.tickets.clear();
    node.alive = false;
}

void ShareWorld::restart(int instance)
{
    Node &node = *nodes_[static_cast<std::size_t>(instance)];
    if (!node.alive)
        start(node);
}

void ShareWorld::stop(int instance)
{
    Node &node = *nodes_[static_cast<std::size_t>(instance)];
    if (!node.alive || node.shares == nullptr)
        return;
    node.stopping = true;
    node.keeper->stop(*node.shares);
}

/// Once no loans are left: no more use of the shares, then InstanceStopped, then the end.
void ShareWorld::goOnStopping(Node &node)
{
    const ProcessInfo *own = node.instances.find(node.self);
    if (!node.stopping || own == nullptr)
        return;
    if (own->stopped) {
        kill(node.index);
    } else if (!node.saidStopped
               && node.keeper->hasStopped(node.leases, *node.shares, localTime(node))) {
        node.saidStopped = true;
        for (const AttestationWithdrawn &withdrawn : node.vouch->withdrawAll())
            node.records.emplace_back(withdrawn);
        node.records.emplace_back(InstanceStopped { node.self.instance, node.self.incarnation });
    }
}

void ShareWorld::freeze(int instance, absl::Duration duration)
{
    nodes_[static_cast<std::size_t>(instance)]->frozenUntil = now_ + duration;
}

void ShareWorld::cut(int a, int b, bool isCut)
{
    const std::pair<int, int> pair = std::minmax(a, b);
    if (isCut)
        cuts_.insert(pair);
    else
        cuts_.erase(pair);
}

void ShareWorld::cutFromLog(int instance, bool isCut)
{
    nodes_[static_cast<std::size_t>(instance)]->logCut = isCut;
}

void ShareWorld::step(int index)
{
    Node &node = *nodes_[static_cast<std::size_t>(index)];
    if (!node.alive)
        return;
    const base::Incarnation incarnation = node.self.incarnation;
    const absl::Time next = std::max(now_ + options_.step, node.frozenUntil);
    post(next, [this, index, incarnation] {
        if (nodes_[static_cast<std::size_t>(index)]->self.incarnation == incarnation)
            step(index);
    });
    if (now_ < node.frozenUntil)
        return;
    const absl::Time local = localTime(node);
    // Messages that came during a freeze are taken in with a view that is still the old one.
    std::vector<std::pair<base::InstanceId, std::string>> inbox;
    inbox.swap(node.inbox);
    for (const auto &[from, bytes] : inbox)
        deliver(index, from, bytes);
    take(node, node.limiter->tick(local));
    readLog(node);
    writeLog(node);
    goOnStopping(node);
    if (node.shares != nullptr) {
        node.shares->setLostPeers(node.membership->lostMembers(local));
        node.keeper->updateOwnedSlots(node.leases, node.vouch->mayUseUntil(), *node.shares, local);
    }
    checkSlots(node);
    constexpr double CheckedSteps = 0.125;
    if (random() < CheckedSteps)
        checkCapacities();

    node.vouch->setSubjects(attestationSubjects(node.self, node.instances), local);
    const AttestationEffects vouch = node.vouch->tick(local);
    for (const AttestationWithdrawn &withdrawn : vouch.withdrawals)
        node.records.emplace_back(withdrawn);
    send(node, vouch.messages);

    LocalStatus status;
    if (node.shares != nullptr)
        status.organisations = node.shares->loads(options_.organisations.size(), local);
    const std::vector<OutgoingMessage> heartbeats = node.membership->tick(status, local);
    for (const OutgoingMessage &one : heartbeats)
        heartbeatBytes_ += encodePeerMessage(one.message).size();
    send(node, heartbeats);
}

void ShareWorld::readLog(Node &node)
{
    if (!logUp_ || node.logCut)
        return;
    while (node.applied < log_.size() && log_[node.applied].at <= now_) {
        const Frame frame = log_[node.applied].frame;
        applyFrame(node, frame, ++node.applied);
    }
    node.keeper->observe(node.instances, node.leases, localTime(node));
}

void ShareWorld::applyFrame(Node &node, const Frame &frame, base::Offset offset)
{
    if (!node.instances.admit(frame, offset))
        return;
    const Process writer { frame.writer, frame.incarnation };
    for (const Record &record : frame.records) {
        if (const auto *started = std::get_if<InstanceStarted>(&record)) {
            node.instances.apply(*started, writer, offset);
        } else if (const auto *claimed = std::get_if<LeaseClaimed>(&record)) {
            node.leases.apply(*claimed, writer, offset, node.instances);
        } else if (const auto *released = std::get_if<LeaseReleased>(&record)) {
            node.leases.apply(*released, writer, offset);
        } else if (const auto *stopped = std::get_if<InstanceStopped>(&record)) {
            node.instances.apply(*stopped, writer);
            node.leases.releaseAll(writer, offset);
        } else if (const auto *withdrawn = std::get_if<AttestationWithdrawn>(&record)) {
            node.instances.apply(*withdrawn, writer, offset);
        }
    }
    if (writer == node.self && node.pending && frame.sequence == node.pending->sequence) {
        node.vouch->onOwnFrameConfirmed(node.pendingSentAt);
        node.pending.reset();
    }
    if (const ProcessInfo *own = node.instances.find(node.self)) {
        std::vector<base::InstanceId> attestors;
        for (const base::InstanceId &attestor : own->attestors) {
            if (own->withdrawnAttestations.count(attestor) == 0)
                attestors.push_back(attestor);
        }
        node.vouch->setAttestors(attestors);
    }
}

/// One frame at a time, sent again under its own sequence until it is seen in the log.
void ShareWorld::writeLog(Node &node)
{
    const absl::Time local = localTime(node);
    if (!node.pending && local >= node.nextFrame) {
        Frame frame;
        frame.writer = node.self.instance;
        frame.incarnation = node.self.incarnation;
        frame.sequence = ++node.sequence;
        frame.records = std::move(node.records);
        node.records.clear();
        if (node.shares != nullptr) {
            for (Record &record :
                 node.keeper->plan(node.instances, node.leases,
                                   node.membership->availableMembers(local), *node.shares, local))
                frame.records.push_back(std::move(record));
        }
        node.pending = std::move(frame);
        node.pendingSentAt = local;
        node.retryAt = local;
        node.nextFrame = local + FrameInterval;
    }
    if (!node.pending || local < node.retryAt)
        return;
    node.retryAt = local + FrameRetry;
    if (!logUp_ || node.logCut || random() < options_.lost)
        return;
    const Frame frame = *node.pending;
    const absl::Duration delay
        = random() < options_.late ? options_.longestDelay * random() : absl::Milliseconds(3);
    post(now_ + delay, [this, frame] {
        if (logUp_)
            log_.push_back(Logged { frame, now_ + absl::Milliseconds(2) });
    });
}

void ShareWorld::checkSlots(const Node &node)
{
    const auto uses = [this](const Node &one, std::uint32_t slot) {
        return one.alive && one.keeper->slots().count(slot) > 0
            && localTime(one) < one.vouch->mayUseUntil();
    };
    for (const auto &other : nodes_) {
        for (const std::uint32_t slot : node.keeper->slots()) {
            if (other.get() == &node || !uses(node, slot) || !uses(*other, slot))
                continue;
            if (violation_.empty())
                violation_ = "slot " + std::to_string(slot) + " in use at two instances at "
                    + absl::FormatDuration(now_ - WorldStart);
        }
    }
}

/// What all instances together could spend at once, and their rates, as their accounts would find
/// them now; frozen instances included.
void ShareWorld::checkCapacities()
{
    constexpr double Rounding = 1e-6;
    for (const Organisation &organisation : options_.organisations) {
        double capacity = 0;
        double rate = 0;
        for (const auto &node : nodes_) {
            if (!node->alive || node->shares == nullptr)
                continue;
            ShareAccount account = *node->shares->account(organisation.id);
            account.advance(localTime(*node));
            capacity += account.capacity();
            rate += account.ratePerSecond();
        }
        const bool tooMuch = capacity > organisation.burst * (1 + Rounding)
            || rate > organisation.ratePerSecond * (1 + Rounding);
        if (tooMuch && violation_.empty())
            violation_ = "parts of " + organisation.id.str() + " add up to burst "
                + std::to_string(capacity) + " and rate " + std::to_string(rate) + " at "
                + absl::FormatDuration(now_ - WorldStart);
    }
}

void ShareWorld::send(Node &from, const std::vector<OutgoingMessage> &messages)
{
    for (const OutgoingMessage &message : messages) {
        const auto found = indices_.find(message.to);
        if (found == indices_.end())
            continue;
        const int to = found->second;
        const std::string bytes = encodePeerMessage(message.message);
        from.bytesSent += bytes.size();
        const std::pair<int, int> pair = std::minmax(from.index, to);
        const int copies = random() < options_.doubled ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (random() < options_.lost || cuts_.count(pair) > 0)
                continue;
            const absl::Duration delay = random() < options_.late
                ? options_.longestDelay * random()
                : absl::Microseconds(300 + 700 * random());
            const base::InstanceId sender = from.self.instance;
            post(now_ + delay, [this, to, sender, bytes] { deliver(to, sender, bytes); });
        }
    }
}

void ShareWorld::deliver(int to, const base::InstanceId &from, const std::string &bytes)
{
    Node &node = *nodes_[static_cast<std::size_t>(to)];
    if (!node.alive)
        return;
    if (now_ < node.frozenUntil) {
        node.inbox.emplace_back(from, bytes);
        return;
    }
    const base::Outcome<PeerMessage> message = decodePeerMessage(bytes);
    const absl::Time local = localTime(node);
    if (!message) {
        violation_ = "own message not read: " + message.lastReason().text;
        return;
    }
    if (const auto *heartbeat = std::get_if<Heartbeat>(&*message))
        node.membership->onHeartbeat(*heartbeat, local);
    if (const auto *ask = std::get_if<AttestationRequest>(&*message))
        send(node, { node.vouch->onRequest(from, *ask, local) });
    if (const auto *answer = std::get_if<AttestationResponse>(&*message))
        node.vouch->onResponse(from, *answer, local);
    take(node, node.limiter->onMessage(from, *message, local));
}

void ShareWorld::take(Node &node, const Effects &effects)
{
    for (const Decision &decision : effects.decisions) {
        const auto ticket = node.tickets.find(decision.ticket);
        if (ticket == node.tickets.end()) {
            violation_ = "a decision on an unknown ticket";
            continue;
        }
        const auto [organisation, globally] = ticket->second;
        node.tickets.erase(ticket);
        if (decision.verdict == Verdict::Admitted) {
            admitted(organisation, globally);
            continue;
        }
        ++tallies_[organisation].refused;
        ++total_.refused;
        total_.wrongful += globally ? 1 : 0;
        tallies_[organisation].wrongful += globally ? 1 : 0;
    }
    send(node, effects.messages);
}

void ShareWorld::scheduleArrival(const Organisation &organisation)
{
    const double rate = std::max(1e-3, organisation.ratePerSecond * options_.offeredFraction);
    const double seconds = std::exponential_distribution<double>(rate)(traffic_);
    post(now_ + absl::Seconds(seconds), [this, organisation] {
        arrive(organisation.id);
        scheduleArrival(organisation);
    });
}

/// The balancer sends nothing to instances that are down, but goes on with frozen ones.
void ShareWorld::arrive(const base::OrganisationId &organisation)
{
    std::vector<double> weights = options_.weights;
    for (const auto &node : nodes_) {
        if (!node->alive)
            weights[static_cast<std::size_t>(node->index)] = 0;
    }
    offer(std::discrete_distribution<int>(weights.begin(), weights.end())(traffic_), organisation);
}

void ShareWorld::burst(int instance, const base::OrganisationId &organisation, int count)
{
    for (int i = 0; i < count; ++i)
        offer(instance, organisation);
}

void ShareWorld::offer(int index, const base::OrganisationId &organisation)
{
    Node &node = *nodes_[static_cast<std::size_t>(index)];
    if (!node.alive || now_ < node.frozenUntil)
        return;
    ++total_.offered;
    ++tallies_[organisation].offered;
    const bool globally = references_[organisation]->global.spend(1, now_);
    total_.globalAdmitted += globally ? 1 : 0;
    tallies_[organisation].globalAdmitted += globally ? 1 : 0;
    const Admission admission = node.limiter->admit(organisation, 1, localTime(node));
    if (admission.verdict == Verdict::Admitted) {
        admitted(organisation, globally);
    } else if (admission.verdict == Verdict::Waiting) {
        node.tickets[admission.ticket] = { organisation, globally };
    } else {
        ++total_.refused;
        ++tallies_[organisation].refused;
        total_.wrongful += globally ? 1 : 0;
        tallies_[organisation].wrongful += globally ? 1 : 0;
    }
    take(node, admission.effects);
}

// Admissions are taken in order of true time by one bucket that starts full: it lacks tokens if
// and only if some interval saw more than rate × t + burst.
void ShareWorld::admitted(const base::OrganisationId &organisation, bool)
{
    constexpr double Rounding = 1e-6;
    ++total_.admitted;
    ++tallies_[organisation].admitted;
    TokenBucket &limit = references_[organisation]->limit;
    if (!limit.spend(1 - Rounding, now_) && violation_.empty()) {
        violation_ = organisation.str() + " got more than rate and burst at "
            + absl::FormatDuration(now_ - WorldStart) + "; level " + std::to_string(limit.level());
    }
}

Tally ShareWorld::takeTally()
{
    const Tally tally = total_;
    total_ = Tally {};
    return tally;
}

int ShareWorld::slotsInUse() const
{
    int slots = 0;
    for (const auto &node : nodes_) {
        if (!node->alive || now_ < node->frozenUntil
            || localTime(*node) >= node->vouch->mayUseUntil())
            continue;
        for (const auto &[scope, lease] : node->leases.leases())
            slots += lease.isHeld() && lease.holder == node->self ? 1 : 0;
    }
    return slots;
}

bool ShareWorld::collects(int instance, const base::OrganisationId &organisation) const
{
    const Node &node = *nodes_[static_cast<std::size_t>(instance)];
    if (!node.alive || node.shares == nullptr)
        return false;
    const ShareAccount *account = node.shares->account(organisation);
    return account->borrowedUnits() > account->totalUnits() / 2;
}

std::uint64_t ShareWorld::bytesSent(int instance) const
{
    return nodes_[static_cast<std::size_t>(instance)]->bytesSent;
}

std::uint64_t ShareWorld::requestsInWait() const
{
    std::uint64_t count = 0;
    for (const auto &node : nodes_)
        count += node->tickets.size();
    return count;
}

} // namespace zinniadoor::tests
