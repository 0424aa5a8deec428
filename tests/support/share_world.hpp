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

// The pure decisions of several instances, driven by one virtual clock with messages that may be
// lost, doubled, late or reordered, and a log that may be out. For tests and measurements.

namespace zinniadoor::tests {

enum class Strategy { Shares, FixedSplit };

struct WorldOptions
{
    std::uint64_t seed = 1;
    Strategy strategy = Strategy::Shares;
    int instances = 8;
    int dataCentres = 3;
    std::vector<control::Organisation> organisations;
    std::vector<double> weights; ///< Traffic of each instance relative to the others.
    double offeredFraction = 0.8; ///< Of each organisation's rate.
    double clockDrift = 0; ///< Clocks run faster or slower by up to this.
    double lost = 0; ///< Probability of each message.
    double doubled = 0;
    double late = 0; ///< Probability of a delay of up to `longestDelay`.
    absl::Duration longestDelay = absl::Seconds(10);
    absl::Duration step = absl::Milliseconds(5); ///< Between two ticks of an instance.
};

struct Tally
{
    std::uint64_t offered = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t lostWithInstance = 0;
    std::uint64_t globalAdmitted = 0; ///< By one bucket that sees all traffic.
    std::uint64_t wrongful = 0; ///< Refused here though the global bucket admitted it.
};

class ShareWorld
{
public:
    explicit ShareWorld(WorldOptions options);
    ~ShareWorld();

    /// Runs until `end` after the start.
    void runUntil(absl::Duration end);
    void at(absl::Duration when, std::function<void()> action);

    void kill(int instance);
    void restart(int instance);

    /// A planned stop: gives up shares and vouches, then ends.
    void stop(int instance);
    void freeze(int instance, absl::Duration duration);
    void cut(int a, int b, bool isCut);
    void cutFromLog(int instance, bool isCut);
    void setLog(bool isUp) { logUp_ = isUp; }
    void setOffered(double fraction) { options_.offeredFraction = fraction; }
    void setWeights(std::vector<double> weights) { options_.weights = std::move(weights); }
    /// `count` requests at once at an instance.
    void burst(int instance, const base::OrganisationId &organisation, int count);

    /// Empty while no organisation got more than rate and burst in any interval, and no share slot
    /// was in use at two instances, and the parts of all instances never added up to more than the
    /// organisation's rate and burst.
    const std::string &violation() const { return violation_; }

    /// Counts since the last call.
    Tally takeTally();
    const std::map<base::OrganisationId, Tally> &tallies() const { return tallies_; }

    /// Slots whose holder may use them now.
    int slotsInUse() const;

    /// Whether an instance has borrowed more than half of an organisation's parts.
    bool collects(int instance, const base::OrganisationId &organisation) const;
    std::uint64_t bytesSent(int instance) const;
    std::uint64_t heartbeatBytesSent() const { return heartbeatBytes_; }
    std::uint64_t requestsInWait() const;

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
    struct Logged
    {
        control::Frame frame;
        absl::Time at;
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
    void goOnStopping(Node &node);
    void send(Node &from, const std::vector<control::OutgoingMessage> &messages);
    void deliver(int to, const base::InstanceId &from, const std::string &bytes);
    void take(Node &node, const control::Effects &effects);
    void arrive(const base::OrganisationId &organisation);
    void offer(int index, const base::OrganisationId &organisation);
    void admitted(const base::OrganisationId &organisation, bool globally);
    void scheduleArrival(const control::Organisation &organisation);

    WorldOptions options_;
    std::mt19937_64 random_;
    std::mt19937_64 traffic_; ///< Apart, so that strategies see the same arrivals.
    absl::Time now_;
    std::priority_queue<Event> events_;
    std::uint64_t nextOrder_ = 0;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::map<base::InstanceId, int> indices_;
    std::set<std::pair<int, int>> cuts_;
    bool logUp_ = true;
    std::vector<Logged> log_;
    struct Reference;
    std::map<base::OrganisationId, std::unique_ptr<Reference>> references_;
    std::map<base::OrganisationId, Tally> tallies_;
    Tally total_;
    std::string violation_;
    std::uint64_t heartbeatBytes_ = 0;
};

} // namespace zinniadoor::tests
