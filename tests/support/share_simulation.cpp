#include "share_simulation.hpp"

#include <algorithm>
#include <cmath>

#include "zinniadoor/control/token_bucket.hpp"

namespace zinniadoor::tests {

using namespace control;

namespace {

const absl::Time SimulationStart = absl::FromUnixSeconds(1'000'000);
constexpr absl::Duration FrameInterval = absl::Seconds(1);
constexpr absl::Duration FrameRetry = absl::Milliseconds(500);
constexpr std::uint32_t ShareSlots = 8;

} // namespace

struct ShareSimulation::Node
{
    int index = 0;
    Process self;
    ListedMember member;
    bool running = false;
    bool logPartitioned = false;
    absl::Time frozenUntil = absl::InfinitePast();
    double clockRate = 1;
    absl::Duration clockOffset;
    std::uint64_t bytesSent = 0;
    std::unique_ptr<RateLimiter> limiter;
    RateShares *shares = nullptr; ///< `limiter` if it is a RateShares, else null.
    std::unique_ptr<AttestationController> attestation;
    std::unique_ptr<ShareSlotController> slotController;
    std::unique_ptr<Membership> membership;
    std::vector<std::pair<base::InstanceId, std::string>> inbox; ///< Received while frozen.
    std::map<Ticket, std::pair<base::OrganisationId, bool>> tickets;

    // State derived from the log, with instants of the instance's own clock.
    InstanceTable instances;
    LeaseTable leases;
    base::Offset applied = 0;

    // Appending of frames.
    std::optional<Frame> pending;
    absl::Time pendingSentAt;
    absl::Time retryAt;
    absl::Time nextFrame;
    std::uint64_t sequence = 0;
    std::vector<Record> records;
    bool stopping = false;
    bool hasRecordedStop = false;
};

struct ShareSimulation::Reference
{
    TokenBucket limit; ///< Charged with admitted requests; must never run out of tokens.
    TokenBucket global; ///< Charged with all offered requests.
};

ShareSimulation::ShareSimulation(ShareSimulationOptions options)
    : options_(std::move(options))
    , random_(options_.seed)
    , traffic_(options_.seed + 1)
    , now_(SimulationStart)
{
    options_.weights.resize(static_cast<std::size_t>(options_.instances), 1);
    for (int i = 0; i < options_.instances; ++i) {
        auto node = std::make_unique<Node>();
        node->index = i;
        node->member.instance = base::InstanceId("entry-" + std::to_string(i));
        node->member.dataCentre
            = base::DataCentreId("zone-" + std::to_string(i % options_.dataCentres));
        node->clockRate = 1 + options_.clockDrift * (2 * random() - 1);
        node->clockOffset = absl::Seconds(1000 * random());
        indices_[node->member.instance] = i;
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

ShareSimulation::~ShareSimulation() = default;

void ShareSimulation::post(absl::Time when, std::function<void()> action)
{
    events_.push(Event { when, nextOrder_++, std::move(action) });
}

void ShareSimulation::at(absl::Duration when, std::function<void()> action)
{
    post(SimulationStart + when, std::move(action));
}

void ShareSimulation::runUntil(absl::Duration end)
{
    while (!events_.empty() && events_.top().when <= SimulationStart + end) {
        Event event = events_.top();
        events_.pop();
        now_ = event.when;
        event.action();
    }
    now_ = SimulationStart + end;
}

absl::Time ShareSimulation::localTime(const Node &node) const
{
    return SimulationStart + node.clockOffset + node.clockRate * (now_ - SimulationStart);
}

void ShareSimulation::start(Node &node)
{
    const int index = node.index;
    const auto incarnation = static_cast<base::Incarnation>(absl::ToUnixMillis(now_));
    auto process = std::make_unique<Node>();
    process->index = index;
    process->member = node.member;
    process->member.incarnation = incarnation;
    process->self = Process { node.member.instance, incarnation };
    process->clockRate = node.clockRate;
    process->clockOffset = node.clockOffset;
    process->bytesSent = node.bytesSent;
    process->logPartitioned = node.logPartitioned;
    process->running = true;
    Node &started = *process;
    nodes_[static_cast<std::size_t>(index)] = std::move(process);

    RateSharesOptions shares;
    shares.instance = started.self.instance;
    shares.incarnation = incarnation;
    shares.shareSlots = ShareSlots;
    shares.seed = options_.seed * 100 + static_cast<std::uint64_t>(index);
    if (options_.strategy == Strategy::Shares) {
        auto limiter = std::make_unique<RateShares>(shares);
        started.shares = limiter.get();
        started.limiter = std::move(limiter);
    } else {
        started.limiter
            = std::make_unique<FixedSplit>(static_cast<std::uint32_t>(options_.instances));
    }
    started.attestation = std::make_unique<AttestationController>(started.self, ShareTiming {});
    started.slotController
        = std::make_unique<ShareSlotController>(started.self, ShareSlots, ShareTiming {});
    MembershipOptions membership;
    membership.instance = started.self.instance;
    membership.incarnation = incarnation;
    membership.dataCentre = started.member.dataCentre;
    membership.seed = shares.seed;
    started.membership = std::make_unique<Membership>(membership);
    std::vector<ListedMember> members;
    for (const auto &other : nodes_)
        members.push_back(other->member);
    const absl::Time local = localTime(started);
    started.membership->setMembers(members, local);
    started.limiter->setOrganisations(options_.organisations, local);
    started.records.push_back(InstanceStarted {
        started.self.instance, incarnation, started.member.dataCentre,
        "10.0.0." + std::to_string(index) + ":7000", chooseAttestors(started.member, members) });
    started.nextFrame = local;
    post(now_ + options_.step * random(), [this, index, incarnation] {
        if (nodes_[static_cast<std::size_t>(index)]->self.incarnation == incarnation)
            step(index);
    });
}

void ShareSimulation::kill(int instance)
{
    Node &node = *nodes_[static_cast<std::size_t>(instance)];
    totalCounts_.lostWithInstance += node.tickets.size();
    node.tickets.clear();
    node.running = false;
}

void ShareSimulation::restart(int instance)
{
    Node &node = *nodes_[static_cast<std::size_t>(instance)];
    if (!node.running)
        start(node);
}

void ShareSimulation::stop(int instance)
{
    Node &node = *nodes_[static_cast<std::size_t>(instance)];
    if (!node.running || node.shares == nullptr)
        return;
    node.stopping = true;
    node.slotController->stop(*node.shares);
}

/// Once no loans are left, the instance stops using its shares, appends InstanceStopped and exits
/// when it has read that record.
void ShareSimulation::continueStop(Node &node)
{
    const ProcessInfo *own = node.instances.find(node.self);
    if (!node.stopping || own == nullptr)
        return;
    if (own->stopped) {
        kill(node.index);
    } else if (!node.hasRecordedStop
               && node.slotController->hasStopped(node.leases, *node.shares, localTime(node))) {
        node.hasRecordedStop = true;
        for (const AttestationWithdrawn &withdrawn : node.attestation->withdrawAll())
            node.records.emplace_back(withdrawn);
        node.records.emplace_back(InstanceStopped { node.self.instance, node.self.incarnation });
    }
}

void ShareSimulation::freeze(int instance, absl::Duration duration)
{
    nodes_[static_cast<std::size_t>(instance)]->frozenUntil = now_ + duration;
}

void ShareSimulation::setPartitioned(int a, int b, bool isPartitioned)
{
    const std::pair<int, int> pair = std::minmax(a, b);
    if (isPartitioned)
        partitions_.insert(pair);
    else
        partitions_.erase(pair);
}

void ShareSimulation::setLogPartitioned(int instance, bool isPartitioned)
{
    nodes_[static_cast<std::size_t>(instance)]->logPartitioned = isPartitioned;
}

void ShareSimulation::step(int index)
{
    Node &node = *nodes_[static_cast<std::size_t>(index)];
    if (!node.running)
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
    // Messages received during a freeze are processed with the state from before the freeze.
    std::vector<std::pair<base::InstanceId, std::string>> inbox;
    inbox.swap(node.inbox);
    for (const auto &[from, bytes] : inbox)
        deliver(index, from, bytes);
    apply(node, node.limiter->tick(local));
    readLog(node);
    writeLog(node);
    continueStop(node);
    if (node.shares != nullptr) {
        node.shares->setLostPeers(node.membership->lostMembers(local));
        node.slotController->updateOwnedSlots(node.leases, node.attestation->mayUseUntil(),
                                              *node.shares, local);
    }
    checkSlots(node);
    constexpr double CheckedSteps = 0.125;
    if (random() < CheckedSteps)
        checkCapacities();

    node.attestation->setSubjects(attestationSubjects(node.self, node.instances), local);
    const AttestationEffects attestation = node.attestation->tick(local);
    for (const AttestationWithdrawn &withdrawn : attestation.withdrawals)
        node.records.emplace_back(withdrawn);
    send(node, attestation.messages);

    LocalStatus status;
    if (node.shares != nullptr)
        status.organisations = node.shares->loads(options_.organisations.size(), local);
    const std::vector<OutgoingMessage> heartbeats = node.membership->tick(status, local);
    for (const OutgoingMessage &one : heartbeats)
        heartbeatBytes_ += encodePeerMessage(one.message).size();
    send(node, heartbeats);
}

void ShareSimulation::readLog(Node &node)
{
    if (!logAvailable_ || node.logPartitioned)
        return;
    while (node.applied < log_.size() && log_[node.applied].visibleAt <= now_) {
        const Frame frame = log_[node.applied].frame;
        applyFrame(node, frame, ++node.applied);
    }
    node.slotController->observe(node.instances, node.leases, localTime(node));
}

void ShareSimulation::applyFrame(Node &node, const Frame &frame, base::Offset offset)
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
        node.attestation->onOwnFrameConfirmed(node.pendingSentAt);
        node.pending.reset();
    }
    if (const ProcessInfo *own = node.instances.find(node.self)) {
        std::vector<base::InstanceId> attestors;
        for (const base::InstanceId &attestor : own->attestors) {
            if (own->withdrawnAttestations.count(attestor) == 0)
                attestors.push_back(attestor);
        }
        node.attestation->setAttestors(attestors);
    }
}

/// Appends one frame at a time and retries it with the same sequence number until it is read back
/// from the log.
void ShareSimulation::writeLog(Node &node)
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
            for (Record &record : node.slotController->plan(
                     node.instances, node.leases, node.membership->availableMembers(local),
                     *node.shares, local))
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
    if (!logAvailable_ || node.logPartitioned || random() < options_.lossProbability)
        return;
    const Frame frame = *node.pending;
    const absl::Duration delay = random() < options_.delayProbability ? options_.maxDelay * random()
                                                                      : absl::Milliseconds(3);
    post(now_ + delay, [this, frame] {
        if (logAvailable_)
            log_.push_back(LogEntry { frame, now_ + absl::Milliseconds(2) });
    });
}

void ShareSimulation::checkSlots(const Node &node)
{
    const auto uses = [this](const Node &one, std::uint32_t slot) {
        return one.running && one.slotController->slots().count(slot) > 0
            && localTime(one) < one.attestation->mayUseUntil();
    };
    for (const auto &other : nodes_) {
        for (const std::uint32_t slot : node.slotController->slots()) {
            if (other.get() == &node || !uses(node, slot) || !uses(*other, slot))
                continue;
            if (violation_.empty())
                violation_ = "slot " + std::to_string(slot) + " in use at two instances at "
                    + absl::FormatDuration(now_ - SimulationStart);
        }
    }
}

/// Checks that neither the tokens that all instances together could spend at once nor the sum of
/// their rates exceeds the limit. Accounts are advanced to the present, those of frozen instances
/// included.
void ShareSimulation::checkCapacities()
{
    constexpr double Rounding = 1e-6;
    for (const Organisation &organisation : options_.organisations) {
        double capacity = 0;
        double rate = 0;
        for (const auto &node : nodes_) {
            if (!node->running || node->shares == nullptr)
                continue;
            ShareAccount account = *node->shares->account(organisation.id);
            account.advance(localTime(*node));
            capacity += account.capacity();
            rate += account.ratePerSecond();
        }
        const bool tooMuch = capacity > organisation.burst * (1 + Rounding)
            || rate > organisation.ratePerSecond * (1 + Rounding);
        if (tooMuch && violation_.empty())
            violation_ = "parts of " + organisation.id.str() + " sum to burst "
                + std::to_string(capacity) + " and rate " + std::to_string(rate) + " at "
                + absl::FormatDuration(now_ - SimulationStart);
    }
}

void ShareSimulation::send(Node &from, const std::vector<OutgoingMessage> &messages)
{
    for (const OutgoingMessage &message : messages) {
        const auto found = indices_.find(message.to);
        if (found == indices_.end())
            continue;
        const int to = found->second;
        const std::string bytes = encodePeerMessage(message.message);
        from.bytesSent += bytes.size();
        const std::pair<int, int> pair = std::minmax(from.index, to);
        const int copies = random() < options_.duplicationProbability ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (random() < options_.lossProbability || partitions_.count(pair) > 0)
                continue;
            const absl::Duration delay = random() < options_.delayProbability
                ? options_.maxDelay * random()
                : absl::Microseconds(300 + 700 * random());
            const base::InstanceId sender = from.self.instance;
            post(now_ + delay, [this, to, sender, bytes] { deliver(to, sender, bytes); });
        }
    }
}

void ShareSimulation::deliver(int to, const base::InstanceId &from, const std::string &bytes)
{
    Node &node = *nodes_[static_cast<std::size_t>(to)];
    if (!node.running)
        return;
    if (now_ < node.frozenUntil) {
        node.inbox.emplace_back(from, bytes);
        return;
    }
    const base::Outcome<PeerMessage> message = decodePeerMessage(bytes);
    const absl::Time local = localTime(node);
    if (!message) {
        violation_ = "peer message cannot be decoded: " + message.lastReason().text;
        return;
    }
    if (const auto *heartbeat = std::get_if<Heartbeat>(&*message))
        node.membership->onHeartbeat(*heartbeat, local);
    if (const auto *request = std::get_if<AttestationRequest>(&*message))
        send(node, { node.attestation->onRequest(from, *request, local) });
    if (const auto *response = std::get_if<AttestationResponse>(&*message))
        node.attestation->onResponse(from, *response, local);
    apply(node, node.limiter->onMessage(from, *message, local));
}

void ShareSimulation::apply(Node &node, const Effects &effects)
{
    for (const Decision &decision : effects.decisions) {
        const auto ticket = node.tickets.find(decision.ticket);
        if (ticket == node.tickets.end()) {
            violation_ = "decision for an unknown ticket";
            continue;
        }
        const auto [organisation, globally] = ticket->second;
        node.tickets.erase(ticket);
        if (decision.verdict == Verdict::Admitted) {
            recordAdmission(organisation, globally);
            continue;
        }
        ++countsByOrganisation_[organisation].refused;
        ++totalCounts_.refused;
        totalCounts_.wronglyRefused += globally ? 1 : 0;
        countsByOrganisation_[organisation].wronglyRefused += globally ? 1 : 0;
    }
    send(node, effects.messages);
}

void ShareSimulation::scheduleArrival(const Organisation &organisation)
{
    const double rate = std::max(1e-3, organisation.ratePerSecond * options_.offeredFraction);
    const double seconds = std::exponential_distribution<double>(rate)(traffic_);
    post(now_ + absl::Seconds(seconds), [this, organisation] {
        route(organisation.id);
        scheduleArrival(organisation);
    });
}

/// The load balancer skips instances that are down, but still selects frozen ones.
void ShareSimulation::route(const base::OrganisationId &organisation)
{
    std::vector<double> weights = options_.weights;
    for (const auto &node : nodes_) {
        if (!node->running)
            weights[static_cast<std::size_t>(node->index)] = 0;
    }
    submit(std::discrete_distribution<int>(weights.begin(), weights.end())(traffic_), organisation);
}

void ShareSimulation::burst(int instance, const base::OrganisationId &organisation, int count)
{
    for (int i = 0; i < count; ++i)
        submit(instance, organisation);
}

void ShareSimulation::submit(int index, const base::OrganisationId &organisation)
{
    Node &node = *nodes_[static_cast<std::size_t>(index)];
    if (!node.running || now_ < node.frozenUntil)
        return;
    ++totalCounts_.offered;
    ++countsByOrganisation_[organisation].offered;
    const bool globally = references_[organisation]->global.spend(1, now_);
    totalCounts_.admittedByGlobalBucket += globally ? 1 : 0;
    countsByOrganisation_[organisation].admittedByGlobalBucket += globally ? 1 : 0;
    const Admission admission = node.limiter->admit(organisation, 1, localTime(node));
    if (admission.verdict == Verdict::Admitted) {
        recordAdmission(organisation, globally);
    } else if (admission.verdict == Verdict::Waiting) {
        node.tickets[admission.ticket] = { organisation, globally };
    } else {
        ++totalCounts_.refused;
        ++countsByOrganisation_[organisation].refused;
        totalCounts_.wronglyRefused += globally ? 1 : 0;
        countsByOrganisation_[organisation].wronglyRefused += globally ? 1 : 0;
    }
    apply(node, admission.effects);
}

/// Charges admissions in order of simulated time to one bucket that starts full: it runs out of
/// tokens if and only if some interval has more than rate × t + burst admissions.
void ShareSimulation::recordAdmission(const base::OrganisationId &organisation, bool)
{
    constexpr double Rounding = 1e-6;
    ++totalCounts_.admitted;
    ++countsByOrganisation_[organisation].admitted;
    TokenBucket &limit = references_[organisation]->limit;
    if (!limit.spend(1 - Rounding, now_) && violation_.empty()) {
        violation_ = organisation.str() + " was admitted more than rate and burst at "
            + absl::FormatDuration(now_ - SimulationStart) + "; level "
            + std::to_string(limit.level());
    }
}

RequestCounts ShareSimulation::takeCounts()
{
    const RequestCounts tally = totalCounts_;
    totalCounts_ = RequestCounts {};
    return tally;
}

int ShareSimulation::slotsInUse() const
{
    int slots = 0;
    for (const auto &node : nodes_) {
        if (!node->running || now_ < node->frozenUntil
            || localTime(*node) >= node->attestation->mayUseUntil())
            continue;
        for (const auto &[scope, lease] : node->leases.leases())
            slots += lease.isHeld() && lease.holder == node->self ? 1 : 0;
    }
    return slots;
}

bool ShareSimulation::hasBorrowedMost(int instance, const base::OrganisationId &organisation) const
{
    const Node &node = *nodes_[static_cast<std::size_t>(instance)];
    if (!node.running || node.shares == nullptr)
        return false;
    const ShareAccount *account = node.shares->account(organisation);
    return account->borrowedUnits() > account->totalUnits() / 2;
}

std::uint64_t ShareSimulation::bytesSent(int instance) const
{
    return nodes_[static_cast<std::size_t>(instance)]->bytesSent;
}

std::uint64_t ShareSimulation::waitingRequests() const
{
    std::uint64_t count = 0;
    for (const auto &node : nodes_)
        count += node->tickets.size();
    return count;
}

} // namespace zinniadoor::tests
