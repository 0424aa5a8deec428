#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/control/peer_messages.hpp"

namespace zinniadoor::control {

enum class Liveness : std::uint8_t { Live, Suspect, Lost };

const char *nameOf(Liveness liveness);

struct MembershipOptions
{
    base::InstanceId instance;
    base::Incarnation incarnation = 0;
    base::DataCentreId dataCentre;
    std::uint64_t seed = 1;
    absl::Duration heartbeatInterval = absl::Seconds(1);
    std::size_t sentBytesPerSecond = 2400; ///< Limit for heartbeats, including UDP and IP headers.
    std::size_t directPeers = 8; ///< Up to this many peers, each heartbeat goes to all.
    std::size_t fanOut = 4; ///< Above that, to this many, with gossip about other members.
    /// Time without an update after which a member is suspect or lost. With gossip, the propagation
    /// delay is added.
    absl::Duration suspectAfter = absl::Seconds(3);
    absl::Duration lostAfter = absl::Seconds(6);
};

/// An instance named by the log or the instance list.
struct ListedMember
{
    base::InstanceId instance;
    base::Incarnation incarnation = 0;
    base::DataCentreId dataCentre;
};

/// The status that this instance advertises in its heartbeats.
struct LocalStatus
{
    std::uint64_t bundleVersion = 0;
    float prefillDemand = 0; ///< Tokens per second requested by callers.
    float decodeDemand = 0;
    base::Offset logOffset = 0;
    bool draining = false;
    std::map<base::EndpointId, std::uint16_t> inFlight;
    std::vector<OrganisationLoad> organisations; ///< A rotating subset; see RateShares::loads.
};

/// The last status received from or about a member.
struct MemberStatus
{
    base::Incarnation incarnation = 0;
    base::DataCentreId dataCentre;
    std::uint32_t sequence = 0;
    std::uint64_t bundleVersion = 0; ///< From the member's own heartbeats only.
    base::Offset logOffset = 0; ///< From the member's own heartbeats only.
    float prefillDemand = 0; ///< From the member's own heartbeats only.
    float decodeDemand = 0; ///< From the member's own heartbeats only.
    bool draining = false;
    absl::Time lastReceivedAt; ///< Last update, direct or through gossip.
    absl::Time lastDirectHeartbeatAt = absl::InfinitePast();
};

/// Failure detector and status exchange based on heartbeats. Its results are hints only: authority
/// comes from the log and from attestations.
class Membership
{
public:
    explicit Membership(MembershipOptions options);

    /// Sets the members named by the log and the instance list. Other instances that send
    /// heartbeats are members as well until they are lost.
    void setMembers(const std::vector<ListedMember> &members, absl::Time now);

    /// Removes a member that shut down cleanly.
    void remove(const base::InstanceId &instance, base::Incarnation incarnation);

    /// Returns the heartbeats that are due; empty between heartbeat intervals.
    std::vector<OutgoingMessage> tick(const LocalStatus &own, absl::Time now);

    void onHeartbeat(const Heartbeat &heartbeat, absl::Time now);

    /// Reports that a request with this digest was in flight on an endpoint that crashed. The
    /// digest is distributed to all members.
    void reportCrash(std::uint64_t digest, absl::Time now);

    /// Digests reported here or received from peers within the last minutes.
    std::set<std::uint64_t> crashDigests(absl::Time now) const;

    Liveness livenessOf(const base::InstanceId &instance, absl::Time now) const;

    /// Members that are not lost, without this instance.
    std::vector<base::InstanceId> availableMembers(absl::Time now) const;
    std::set<base::InstanceId> lostMembers(absl::Time now) const;

    /// Null for an untracked member.
    const MemberStatus *find(const base::InstanceId &instance) const;

    /// Requests of one member in flight at an endpoint by its last report; 0 without a recent
    /// report.
    std::uint16_t inFlightOf(const base::InstanceId &instance, const base::EndpointId &endpoint,
                             absl::Time now) const;

    /// Requests of all peers in flight at each endpoint, by short hash of the endpoint id. If some
    /// peers have not reported directly, extrapolated from those that have.
    std::unordered_map<std::uint32_t, double> inFlightOfPeers(absl::Time now) const;

    std::size_t size() const { return members_.size() + 1; }

    /// Expected time for an update about a member to reach all others; zero without gossip.
    absl::Duration propagationDelay() const;

    /// Whether the group is too large for all-to-all heartbeats.
    bool usesGossip() const { return members_.size() > options_.directPeers; }

private:
    struct Report
    {
        std::uint16_t inFlight = 0;
        absl::Time at;
    };
    struct Member
    {
        MemberStatus status;
        bool listed = false; ///< Named by the log or the instance list.
        std::unordered_map<std::uint32_t, Report> reports;
    };
    struct Crash
    {
        absl::Time at;
        int heartbeatsLeft = 0; ///< Heartbeats that are still to carry it.
    };

    Member &findOrAdd(const base::InstanceId &instance, base::Incarnation incarnation,
                      const base::DataCentreId &dataCentre, absl::Time now);
    void erase(const base::InstanceId &instance);
    void compensateForOwnPause(absl::Time now);
    void evictLost(absl::Time now);
    void applyUpdate(const MemberUpdate &update, absl::Time now);
    void recordCrash(std::uint64_t digest, absl::Time now);
    std::vector<base::InstanceId> targets();
    std::size_t payloadBudget(std::size_t targetCount) const;
    Heartbeat buildHeartbeat(const LocalStatus &own, std::size_t budget, absl::Time now);
    std::size_t addCrashes(Heartbeat &heartbeat, std::size_t budget);
    std::size_t addMemberUpdates(Heartbeat &heartbeat, std::size_t budget);
    std::size_t addInFlight(Heartbeat &heartbeat, const LocalStatus &own, std::size_t budget);
    absl::Duration maxReportAge() const;

    MembershipOptions options_;
    std::mt19937_64 random_;
    std::map<base::InstanceId, Member> members_;
    std::unordered_map<std::uint32_t, base::InstanceId> instancesByHash_;
    std::map<std::uint64_t, Crash> crashes_;
    std::vector<base::InstanceId> rotation_; ///< Remaining targets of the current round.
    base::EndpointId nextEndpoint_;
    std::uint32_t sequence_ = 0;
    absl::Time nextHeartbeat_ = absl::InfinitePast();
    absl::Time lastTick_ = absl::InfinitePast();
};

} // namespace zinniadoor::control
