#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/control/frame_age_tracker.hpp"
#include "zinniadoor/control/frame_writer.hpp"
#include "zinniadoor/control/lease_controller.hpp"
#include "zinniadoor/control/snapshot.hpp"

// Several instances around one log, under a virtual clock and a seeded generator: appends are
// delayed, lost and doubled, answers are lost, instances freeze and are killed.

namespace zinniadoor::control::test {

constexpr absl::Duration Tick = absl::Milliseconds(100);
constexpr LeaseTimes ShortLease { absl::Seconds(2), absl::Milliseconds(400), absl::ZeroDuration(),
                                  absl::InfiniteDuration() };

/// Chances per append or per tick, 0 to 1.
struct Faults
{
    double answerLost = 0.15; ///< The append lands.
    double appendLost = 0.1; ///< It never lands, and there is no answer.
    double appendDelayed = 0.1; ///< It lands seconds later; there is no answer.
    double outage = 0.005; ///< Begins one of some seconds.
    double freeze = 0.01; ///< An instance freezes for some seconds.
    double kill = 0.004; ///< An instance ends and starts again at its address.
    absl::Duration killPause = absl::ZeroDuration(); ///< Least time between two kills.
};

/// A bundle in force in every simulation: one organisation, a fenced and an unfenced engine.
const BundlePublished &simulatedBundle();

class SimulatedLog
{
public:
    void append(std::string bytes, absl::Time landsAt);
    void landDue(absl::Time now);
    ports::LogPage read(base::Offset after, std::size_t limit) const;
    base::Offset last() const { return entries_.size(); }
    const std::vector<std::string> &entries() const { return entries_; }
    void dropBefore(base::Offset first) { first_ = first; }

private:
    std::vector<std::string> entries_;
    std::multimap<absl::Time, std::string> onTheirWay_;
    base::Offset first_ = 1;
};

class World;

/// One process of an instance.
class Node : public ReplayObserver
{
public:
    Node(World &world, Process self, const std::vector<std::string> &scopes);

    /// Reads and claims; `send` then appends what waits.
    void step();
    void send();
    void onApplied(const Frame &frame, base::Offset offset, const ApplyResult &result) override;
    void onSnapshotLoaded(const State & /*state*/) override { }

    const State &state() const { return replayer.state(); }
    void add(Record record) { writer.add(std::move(record)); }

    World &world;
    Process self;
    Replayer replayer;
    FrameWriter writer;
    FrameAgeTracker watch;
    std::vector<LeaseController> leases;
    absl::Time frozenUntil = absl::InfinitePast();

private:
    struct Answer
    {
        std::uint64_t sequence;
        base::Outcome<base::Offset> outcome;
        absl::Time at;
    };

    void read();

    std::optional<Answer> answer_;
};

class World
{
public:
    World(std::uint64_t seed, Faults faults, std::vector<std::string> scopes,
          std::size_t instances = 3);

    /// Steps all instances once; `onStep` runs for each that is alive and not frozen.
    void tick(const std::function<void(Node &)> &onStep);

    /// Ends faults and steps until everything has settled.
    void settle(const std::function<void(Node &)> &onStep, absl::Duration time);

    bool chance(double probability);
    absl::Duration duration(absl::Duration low, absl::Duration high);
    std::size_t below(std::size_t bound);
    bool logIsOut() const { return now < outageUntil_; }

    /// Most instances that may act for one scope right now.
    std::size_t mostHolders() const;

    Faults faults;
    absl::Time now = absl::UnixEpoch() + absl::Seconds(1'000'000);
    SimulatedLog log;
    std::vector<std::unique_ptr<Node>> nodes;
    std::function<void(Node &)> onKill = [](Node &) {};
    std::function<void(Node &, const Frame &, const ApplyResult &)> onOwnFrame
        = [](Node &, const Frame &, const ApplyResult &) {};
    std::size_t claimsSeen = 0;

private:
    void start(std::size_t index);

    std::mt19937_64 random_;
    std::vector<std::string> scopes_;
    std::vector<base::Incarnation> incarnations_;
    absl::Time outageUntil_ = absl::InfinitePast();
    absl::Time lastKill_ = absl::InfinitePast();
};

} // namespace zinniadoor::control::test
