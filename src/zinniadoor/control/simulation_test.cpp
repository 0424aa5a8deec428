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

void SimulatedLog::append(std::string bytes, absl::Time landsAt)
{
    onTheirWay_.emplace(landsAt, std::move(bytes));
}

void SimulatedLog::landDue(absl::Time now)
{
    while (!onTheirWay_.empty() && onTheirWay_.begin()->first <= now) {
        entries_.push_back(std::move(onTheirWay_.begin()->second));
        onTheirWay_.erase(onTheirWay_.begin());
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

Node::Node(World &owner, Process process, const std::vector<std::string> &scopes)
    : world(owner)
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
    world.onOwnFrame(*this, frame, result);
}

void Node::read()
{
    if (world.logIsOut())
        return;
    do {
        const ReplayRead read = replayer.nextRead();
        replayer.onPage(preparePage(world.log.read(read.after, read.limit)), *this);
    } while (!replayer.caughtUp());
    writer.onReadToEnd(world.now, world.now);
    watch.observe(state().instances(), world.now);
    for (LeaseController &lease : leases)
        lease.observe(state(), writer.lastConfirmed(), world.now);
}

void Node::send()
{
    std::optional<OutgoingFrame> frame
        = writer.next({ state().snapshots().newest().firstPart, state().configuration().version() },
                      world.nodes.size(), world.now);
    if (!frame)
        return;
    const base::Reason unknown { base::ReasonCode::OutcomeUnknown, "no answer" };
    const absl::Time soon = world.now + world.duration(absl::ZeroDuration(), 3 * Tick);
    const Faults &faults = world.faults;
    if (world.logIsOut()) {
        answer_ = Answer { frame->sequence,
                           base::Reason { base::ReasonCode::Unavailable, "outage" }, soon };
    } else if (world.chance(faults.appendLost)) {
        answer_ = Answer { frame->sequence, unknown, soon };
    } else if (world.chance(faults.appendDelayed)) {
        const absl::Duration late = world.duration(absl::Seconds(1), absl::Seconds(8));
        world.log.append(std::move(frame->bytes), world.now + late);
        answer_ = Answer { frame->sequence, unknown, soon };
    } else {
        world.log.append(std::move(frame->bytes), soon);
        if (world.chance(faults.answerLost))
            answer_ = Answer { frame->sequence, unknown, soon };
        else
            answer_ = Answer { frame->sequence, base::Offset(1), soon };
    }
}

void Node::step()
{
    if (answer_ && answer_->at <= world.now) {
        writer.onAppended(answer_->sequence, answer_->outcome, world.now);
        answer_.reset();
    }
    if (world.chance(0.7))
        read();
    for (LeaseController &lease : leases) {
        if (const auto claim = lease.claimLease(state(), world.now)) {
            ++world.claimsSeen;
            add(*claim);
        } else if (world.chance(0.002)) {
            if (const auto release = lease.releaseLease())
                add(*release);
        }
    }
}

World::World(std::uint64_t seed, Faults chances, std::vector<std::string> scopes,
             std::size_t instances)
    : faults(chances)
    , random_(seed)
    , scopes_(std::move(scopes))
    , incarnations_(instances, 0)
{
    Frame first { base::InstanceId("tool/1"), 1, 1, 0, 0, { simulatedBundle() } };
    log.append(encodeFrame(first), now);
    log.landDue(now);
    nodes.resize(instances);
    for (std::size_t i = 0; i < instances; ++i)
        start(i);
}

void World::start(std::size_t index)
{
    const Process self { base::InstanceId(absl::StrCat("i", index)), ++incarnations_[index] };
    nodes[index] = std::make_unique<Node>(*this, self, scopes_);
}

bool World::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

absl::Duration World::duration(absl::Duration low, absl::Duration high)
{
    return low + (high - low) * std::uniform_real_distribution<double>(0, 1)(random_);
}

std::size_t World::below(std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
}

void World::tick(const std::function<void(Node &)> &onStep)
{
    now += Tick;
    log.landDue(now);
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

void World::settle(const std::function<void(Node &)> &onStep, absl::Duration time)
{
    faults = Faults { 0, 0, 0, 0, 0, 0, absl::ZeroDuration() };
    outageUntil_ = absl::InfinitePast();
    for (const absl::Time end = now + time; now < end;)
        tick(onStep);
}

std::size_t World::mostHolders() const
{
    std::size_t most = 0;
    for (std::size_t scope = 0; scope < scopes_.size(); ++scope) {
        const auto holders = std::count_if(nodes.begin(), nodes.end(), [&](const auto &node) {
            return node->leases[scope].mayAct(now);
        });
        most = std::max(most, static_cast<std::size_t>(holders));
    }
    return most;
}

} // namespace zinniadoor::control::test
