#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/control/attestation.hpp"
#include "zinniadoor/control/fixed_split.hpp"
#include "zinniadoor/control/instance_table.hpp"
#include "zinniadoor/control/lease_table.hpp"
#include "zinniadoor/control/membership.hpp"
#include "zinniadoor/control/rate_shares.hpp"
#include "zinniadoor/control/share_slot_controller.hpp"

// Deterministic simulation of rate limiting on several instances: the state machines of the control
// package, driven by a virtual clock, with messages that may be lost, duplicated, delayed or
// reordered and a log that may be unavailable. For tests and benchmarks.

namespace zinniadoor::tests {

enum class Strategy { Shares, FixedSplit };

struct ShareSimulationOptions
{
    std::uint64_t seed = 1;
    Strategy strategy = Strategy::Shares;
    int instances = 8;
    int dataCentres = 3;
    std::vector<control::Organisation> organisations;
    std::vector<double> weights; ///< Traffic of each instance relative to the others.
    double offeredFraction = 0.8; ///< Offered load relative to each organisation's rate.
    double clockDrift = 0; ///< Clock rates deviate by up to this fraction.
    double lossProbability = 0; ///< Of each message and of each append to the log.
    double duplicationProbability = 0; ///< Of each message.
    double delayProbability = 0; ///< Of a delay of up to `maxDelay`, per message and append.
    absl::Duration maxDelay = absl::Seconds(10);
    absl::Duration step = absl::Milliseconds(5); ///< Between two ticks of an instance.
};

struct RequestCounts
{
    std::uint64_t offered = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t lostWithInstance = 0;
    std::uint64_t admittedByGlobalBucket = 0; ///< What one token bucket for all traffic admits.
    std::uint64_t wronglyRefused = 0; ///< Refused although the global bucket admitted them.
};

class ShareSimulation
{
public:
    explicit ShareSimulation(ShareSimulationOptions options);
    ~ShareSimulation();

    /// Runs the simulation up to `end` after its start.
    void runUntil(absl::Duration end);
    void at(absl::Duration when, std::function<void()> action);

    void kill(int instance);
    void restart(int instance);

    /// Planned stop: the instance releases its share slots, withdraws its attestations and exits.
    void stop(int instance);
    void freeze(int instance, absl::Duration duration);

    /// Whether messages between two instances are dropped.
    void setPartitioned(int a, int b, bool isPartitioned);

    /// Whether an instance can neither read the log nor append to it.
    void setLogPartitioned(int instance, bool isPartitioned);

    void setLogAvailable(bool isAvailable) { logAvailable_ = isAvailable; }
    void setOfferedFraction(double fraction) { options_.offeredFraction = fraction; }
    void setWeights(std::vector<double> weights) { options_.weights = std::move(weights); }

    /// Sends `count` requests to an instance at once.
    void burst(int instance, const base::OrganisationId &organisation, int count);

    /// Description of the first violated invariant; empty if all held. No organisation is admitted
    /// more than its rate and burst allow in any interval, no share slot is in use at two instances
    /// at once, and the parts of all instances never sum to more than the organisation's rate and
    /// burst.
    const std::string &violation() const { return violation_; }

    /// Request counts since the last call.
    RequestCounts takeCounts();
    const std::map<base::OrganisationId, RequestCounts> &countsByOrganisation() const
    {
        return countsByOrganisation_;
    }

    /// Number of share slots that their holders may use now.
    int slotsInUse() const;

    /// Whether an instance has borrowed more than half of an organisation's units.
    bool hasBorrowedMost(int instance, const base::OrganisationId &organisation) const;
    std::uint64_t bytesSent(int instance) const;
    std::uint64_t heartbeatBytesSent() const { return heartbeatBytes_; }
    std::uint64_t waitingRequests() const;

private:
    struct Node;
    struct Event
    {
        absl::Time when;
        std::uint64_t order = 0;
        std::function<void()> action;
        friend bool operator<(const Event &a, const Event &b)
        {
            return a.when != b.when ? a.when > b.when : a.order > b.order;
        }
    };
    struct LogEntry
    {
        control::Frame frame;
        absl::Time visibleAt;
    };

    void post(absl::Time when, std::function<void()> action);
    double random() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    absl::Time localTime(const Node &node) const;
    void start(Node &node);
    void step(int index);
    void readLog(Node &node);
    void applyFrame(Node &node, const control::Frame &frame, base::Offset offset);
    void writeLog(Node &node);
    void checkSlots(const Node &node);
    void checkCapacities();
    void continueStop(Node &node);
    void send(Node &from, const std::vector<control::OutgoingMessage> &messages);
    void deliver(int to, const base::InstanceId &from, const std::string &bytes);
    void apply(Node &node, const control::Effects &effects);
    void route(const base::OrganisationId &organisation);
    void submit(int index, const base::OrganisationId &organisation);
    void recordAdmission(const base::OrganisationId &organisation, bool globally);
    void scheduleArrival(const control::Organisation &organisation);

    ShareSimulationOptions options_;
    std::mt19937_64 random_;
    std::mt19937_64 traffic_; ///< Separate generator, so that all strategies see the same arrivals.
    absl::Time now_;
    std::priority_queue<Event> events_;
    std::uint64_t nextOrder_ = 0;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::map<base::InstanceId, int> indices_;
    std::set<std::pair<int, int>> partitions_;
    bool logAvailable_ = true;
    std::vector<LogEntry> log_;
    struct Reference;
    std::map<base::OrganisationId, std::unique_ptr<Reference>> references_;
    std::map<base::OrganisationId, RequestCounts> countsByOrganisation_;
    RequestCounts totalCounts_;
    std::string violation_;
    std::uint64_t heartbeatBytes_ = 0;
};

} // namespace zinniadoor::tests
