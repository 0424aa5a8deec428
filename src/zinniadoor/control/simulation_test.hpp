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

// Simulates several instances that share one log, with a virtual clock and a seeded generator:
// appends are delayed, lost and duplicated, responses are lost, instances freeze and are killed.

namespace zinniadoor::control::test {

constexpr absl::Duration Tick = absl::Milliseconds(100);
constexpr LeaseTimes ShortLease { absl::Seconds(2), absl::Milliseconds(400), absl::ZeroDuration(),
                                  absl::InfiniteDuration() };

/// Fault probabilities per append or per tick, 0 to 1.
struct Faults
{
    double answerLost = 0.15; ///< The append succeeds, but its response is lost.
    double appendLost = 0.1; ///< The append fails without a response.
    double appendDelayed = 0.1; ///< The append takes effect seconds later, without a response.
    double outage = 0.005; ///< Starts a log outage of some seconds.
    double freeze = 0.01; ///< Suspends an instance for some seconds.
    double kill = 0.004; ///< Kills an instance and restarts it at its address.
    absl::Duration killPause = absl::ZeroDuration(); ///< Minimum time between two kills.
};

/// The bundle in force in every simulation: one organisation, a fenced and an unfenced engine.
const BundlePublished &simulatedBundle();

class SimulatedLog
{
public:
    void append(std::string bytes, absl::Time deliverAt);
    void deliverDue(absl::Time now);
    ports::LogPage read(base::Offset after, std::size_t limit) const;
    base::Offset last() const { return entries_.size(); }
    const std::vector<std::string> &entries() const { return entries_; }
    void truncateBefore(base::Offset first) { first_ = first; }

private:
    std::vector<std::string> entries_;
    std::multimap<absl::Time, std::string> inFlight_;
    base::Offset first_ = 1;
};

class Simulation;

/// One process of an instance.
class Node : public ReplayObserver
{
public:
    Node(Simulation &simulation, Process self, const std::vector<std::string> &scopes);

    /// Reads the log and claims leases; `send` then appends the pending records.
    void step();
    void send();
    void onApplied(const Frame &frame, base::Offset offset, const ApplyResult &result) override;
    void onSnapshotLoaded(const State & /*state*/) override { }

    const State &state() const { return replayer.state(); }
    void add(Record record) { writer.add(std::move(record)); }

    Simulation &simulation;
    Process self;
    Replayer replayer;
    FrameWriter writer;
    FrameAgeTracker watch;
    std::vector<LeaseController> leases;
    absl::Time frozenUntil = absl::InfinitePast();

private:
    struct AppendResponse
    {
        std::uint64_t sequence;
        base::Outcome<base::Offset> outcome;
        absl::Time at;
    };

    void read();

    std::optional<AppendResponse> response_;
};

class Simulation
{
public:
    Simulation(std::uint64_t seed, Faults faults, std::vector<std::string> scopes,
               std::size_t instances = 3);

    /// Advances all instances by one tick; `onStep` runs for each that is not frozen.
    void tick(const std::function<void(Node &)> &onStep);

    /// Disables all faults and runs for `time`, so that the instances can converge.
    void settle(const std::function<void(Node &)> &onStep, absl::Duration time);

    bool chance(double probability);
    absl::Duration duration(absl::Duration low, absl::Duration high);
    std::size_t below(std::size_t bound);
    bool isLogUnavailable() const { return now < outageUntil_; }

    /// Maximum, over all scopes, of the number of instances that may act for the scope now.
    std::size_t maxHolders() const;

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
