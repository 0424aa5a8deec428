#include "simulation_test.hpp"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace zinniadoor::control::test {

namespace {

const KeyPair &operatorKeys()
{
    static const KeyPair keys = generateKeyPair();
    return keys;
}

} // namespace

const BundlePublished &simulatedBundle()
{
    static const BundlePublished bundle = [] {
        const std::string yaml = absl::StrCat(
            "version: 1\nusage_window: 5s\nshare_slots: 4\noperators:\n  - {id: ama, public_key: ",
            operatorKeys().publicKey,
            "}\norganisations: [{id: shop, rate_per_second: 9, burst: 9}]\nendpoints:\n"
            "  - {id: fenced, kind: engine, data_centre: a, address: '127.0.0.1:1', "
            "checks_fencing: true}\n"
            "  - {id: unfenced, kind: engine, data_centre: a, address: '127.0.0.1:2'}\n");
        return BundlePublished { yaml, { *signText(yaml, "ama", operatorKeys().secretKey) } };
    }();
    return bundle;
}

void SimulatedLog::append(std::string bytes, absl::Time deliverAt)
{
    inFlight_.emplace(deliverAt, std::move(bytes));
}

void SimulatedLog::deliverDue(absl::Time now)
{
    while (!inFlight_.empty() && inFlight_.begin()->first <= now) {
        entries_.push_back(std::move(inFlight_.begin()->second));
        inFlight_.erase(inFlight_.begin());
    }
}

ports::LogPage SimulatedLog::read(base::Offset after, std::size_t limit) const
{
    ports::LogPage page;
    page.firstOffset = entries_.empty() ? 0 : first_;
    page.lastOffset = entries_.size();
    for (base::Offset at = after + 1; at <= entries_.size() && page.entries.size() < limit; ++at)
        page.entries.push_back({ at, entries_[at - 1] });
    return page;
}

Node::Node(Simulation &owner, Process process, const std::vector<std::string> &scopes)
    : simulation(owner)
    , self(std::move(process))
    , writer({ self, 100, absl::Milliseconds(500), absl::Milliseconds(100) })
{
    for (const std::string &scope : scopes)
        leases.emplace_back(scope, self, ShortLease);
    add(InstanceStarted { self.instance,
                          self.incarnation,
                          base::DataCentreId("a"),
                          absl::StrCat(self.instance.str(), ":1"),
                          {} });
}

void Node::onApplied(const Frame &frame, base::Offset offset, const ApplyResult &result)
{
    if (frame.writer != self.instance || frame.incarnation != self.incarnation)
        return;
    writer.onRead(frame.sequence, offset);
    simulation.onOwnFrame(*this, frame, result);
}

void Node::read()
{
    if (simulation.isLogUnavailable())
        return;
    do {
        const ReplayRead read = replayer.nextRead();
        replayer.onPage(preparePage(simulation.log.read(read.after, read.limit)), *this);
    } while (!replayer.caughtUp());
    writer.onReadToEnd(simulation.now, simulation.now);
    watch.observe(state().instances(), simulation.now);
    for (LeaseController &lease : leases)
        lease.observe(state(), writer.lastConfirmed(), simulation.now);
}

void Node::send()
{
    std::optional<OutgoingFrame> frame
        = writer.next({ state().snapshots().newest().firstPart, state().configuration().version() },
                      simulation.nodes.size(), simulation.now);
    if (!frame)
        return;
    const base::Reason unknown { base::ReasonCode::OutcomeUnknown, "no answer" };
    const absl::Time soon = simulation.now + simulation.duration(absl::ZeroDuration(), 3 * Tick);
    const Faults &faults = simulation.faults;
    if (simulation.isLogUnavailable()) {
        response_
            = AppendResponse { frame->sequence,
                               base::Reason { base::ReasonCode::Unavailable, "outage" }, soon };
    } else if (simulation.chance(faults.appendLost)) {
        response_ = AppendResponse { frame->sequence, unknown, soon };
    } else if (simulation.chance(faults.appendDelayed)) {
        const absl::Duration late = simulation.duration(absl::Seconds(1), absl::Seconds(8));
        simulation.log.append(std::move(frame->bytes), simulation.now + late);
        response_ = AppendResponse { frame->sequence, unknown, soon };
    } else {
        simulation.log.append(std::move(frame->bytes), soon);
        if (simulation.chance(faults.answerLost))
            response_ = AppendResponse { frame->sequence, unknown, soon };
        else
            response_ = AppendResponse { frame->sequence, base::Offset(1), soon };
    }
}

void Node::step()
{
    if (response_ && response_->at <= simulation.now) {
        writer.onAppended(response_->sequence, response_->outcome, simulation.now);
        response_.reset();
    }
    if (simulation.chance(0.7))
        read();
    for (LeaseController &lease : leases) {
        if (const auto claim = lease.claimLease(state(), simulation.now)) {
            ++simulation.claimsSeen;
            add(*claim);
        } else if (simulation.chance(0.002)) {
            if (const auto release = lease.releaseLease())
                add(*release);
        }
    }
}

Simulation::Simulation(std::uint64_t seed, Faults chances, std::vector<std::string> scopes,
                       std::size_t instances)
    : faults(chances)
    , random_(seed)
    , scopes_(std::move(scopes))
    , incarnations_(instances, 0)
{
    Frame first { base::InstanceId("tool/1"), 1, 1, 0, 0, { simulatedBundle() } };
    log.append(encodeFrame(first), now);
    log.deliverDue(now);
    nodes.resize(instances);
    for (std::size_t i = 0; i < instances; ++i)
        start(i);
}

void Simulation::start(std::size_t index)
{
    const Process self { base::InstanceId(absl::StrCat("i", index)), ++incarnations_[index] };
    nodes[index] = std::make_unique<Node>(*this, self, scopes_);
}

bool Simulation::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

absl::Duration Simulation::duration(absl::Duration low, absl::Duration high)
{
    return low + (high - low) * std::uniform_real_distribution<double>(0, 1)(random_);
}

std::size_t Simulation::below(std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
}

void Simulation::tick(const std::function<void(Node &)> &onStep)
{
    now += Tick;
    log.deliverDue(now);
    if (chance(faults.outage))
        outageUntil_ = now + duration(absl::Seconds(1), absl::Seconds(6));
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        if (now >= lastKill_ + faults.killPause && chance(faults.kill)) {
            lastKill_ = now;
            onKill(*nodes[i]);
            start(i);
        }
        Node &node = *nodes[i];
        if (chance(faults.freeze))
            node.frozenUntil = now + duration(absl::ZeroDuration(), absl::Seconds(6));
        if (now < node.frozenUntil)
            continue;
        node.step();
        onStep(node);
        node.send();
    }
}

void Simulation::settle(const std::function<void(Node &)> &onStep, absl::Duration time)
{
    faults = Faults { 0, 0, 0, 0, 0, 0, absl::ZeroDuration() };
    outageUntil_ = absl::InfinitePast();
    for (const absl::Time end = now + time; now < end;)
        tick(onStep);
}

std::size_t Simulation::maxHolders() const
{
    std::size_t result = 0;
    for (std::size_t scope = 0; scope < scopes_.size(); ++scope) {
        const auto holders = std::count_if(nodes.begin(), nodes.end(), [&](const auto &node) {
            return node->leases[scope].mayAct(now);
        });
        result = std::max(result, static_cast<std::size_t>(holders));
    }
    return result;
}

} // namespace zinniadoor::control::test
