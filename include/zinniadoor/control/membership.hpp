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
    std::size_t sentBytesPerSecond = 2400; ///< Heartbeats with UDP and IP headers.
    std::size_t directPeers = 8; ///< Up to this many, each heartbeat goes to all.
    std::size_t fanOut = 4; ///< Above that, to this many; news of others is passed on.
    /// Silence after which a member is suspect or lost, if heartbeats go to all. Where news is
    /// passed on, the time that it takes to spread is added.
    absl::Duration suspectAfter = absl::Seconds(3);
    absl::Duration lostAfter = absl::Seconds(6);
};

/// An instance that the log or the instance list names.
struct ListedMember
{
    base::InstanceId instance;
    base::Incarnation incarnation = 0;
    base::DataCentreId dataCentre;
};

/// What an instance tells about itself.
struct LocalStatus
{
    std::uint64_t bundleVersion = 0;
    float prefillDemand = 0; ///< Tokens a second that callers ask for.
    float decodeDemand = 0;
    base::Offset logOffset = 0;
    bool draining = false;
    std::map<base::EndpointId, std::uint16_t> inFlight;
    std::vector<OrganisationLoad> organisations; ///< A rotating part; see RateShares::loads.
};

/// What was heard of a member.
struct MemberStatus
{
    base::Incarnation incarnation = 0;
    base::DataCentreId dataCentre;
    std::uint32_t sequence = 0;
    std::uint64_t bundleVersion = 0; ///< Known from its own heartbeats only.
    base::Offset logOffset = 0; ///< Likewise.
    float prefillDemand = 0; ///< Likewise.
    float decodeDemand = 0; ///< Likewise.
    bool draining = false;
    absl::Time lastReceivedAt; ///< Of it, directly or passed on.
    absl::Time lastDirectHeartbeatAt = absl::InfinitePast();
};

/// Who is live as heard by heartbeats, and what the members told. Advice only: authority comes
/// from the log and from attestors.
class Membership
{
public:
    explicit Membership(MembershipOptions options);

    /// Members by log and instance list. Others that are heard count as well, until lost.
    void setMembers(const std::vector<ListedMember> &members, absl::Time now);

    /// A member that stopped in good order.
    void remove(const base::InstanceId &instance, base::Incarnation incarnation);

    /// Heartbeats that are due; empty between two of them.
    std::vector<OutgoingMessage> tick(const LocalStatus &own, absl::Time now);

    void onHeartbeat(const Heartbeat &heartbeat, absl::Time now);

    /// A request with this digest was in flight on an endpoint that crashed; told to all.
    void reportCrash(std::uint64_t digest, absl::Time now);

    /// Digests reported here or heard of, within the last minutes.
    std::set<std::uint64_t> crashDigests(absl::Time now) const;

    Liveness livenessOf(const base::InstanceId &instance, absl::Time now) const;

    /// Members not lost, without this instance.
    std::vector<base::InstanceId> availableMembers(absl::Time now) const;
    std::set<base::InstanceId> lostMembers(absl::Time now) const;

    /// Null if the member is not known.
    const MemberStatus *find(const base::InstanceId &instance) const;

    /// Requests of one member at an endpoint by its last report; 0 if none is fresh.
    std::uint16_t inFlightOf(const base::InstanceId &instance, const base::EndpointId &endpoint,
                             absl::Time now) const;

    /// Requests of all peers at each endpoint, by short name of the endpoint. Where not every
    /// peer is heard directly, scaled up from those that were.
    std::unordered_map<std::uint32_t, double> inFlightOfPeers(absl::Time now) const;

    std::size_t size() const { return members_.size() + 1; }
    /// How long news of a member takes to reach about all others; zero if it is heard directly.
    absl::Duration propagationDelay() const;

    bool usesGossip() const { return members_.size() > options_.directPeers; }

private:
    struct Report
    {
        std::uint16_t inFlight = 0;
        absl::Time at;
    };
    struct Member
    {
        MemberStatus view;
        bool known = false; ///< Named by the log or the instance list.
        std::unordered_map<std::uint32_t, Report> reports;
    };
    struct Crash
    {
        absl::Time at;
        int toSend = 0; ///< Heartbeats that still have to carry it.
    };

    Member &join(const base::InstanceId &instance, base::Incarnation incarnation,
                 const base::DataCentreId &dataCentre, absl::Time now);
    void forget(const base::InstanceId &instance);
    void forgiveOwnPause(absl::Time now);
    void dropLost(absl::Time now);
    void takeNews(const MemberUpdate &news, absl::Time now);
    void takeCrash(std::uint64_t digest, absl::Time now);
    std::vector<base::InstanceId> targets();
    std::size_t roomFor(std::size_t targetCount) const;
    Heartbeat compose(const LocalStatus &own, std::size_t room, absl::Time now);
    std::size_t addCrashes(Heartbeat &heartbeat, std::size_t room);
    std::size_t addNews(Heartbeat &heartbeat, std::size_t room);
    std::size_t addInFlight(Heartbeat &heartbeat, const LocalStatus &own, std::size_t room);
    absl::Duration freshReport() const;

    MembershipOptions options_;
    std::mt19937_64 random_;
    std::map<base::InstanceId, Member> members_;
    std::unordered_map<std::uint32_t, base::InstanceId> names_;
    std::map<std::uint64_t, Crash> crashes_;
    std::vector<base::InstanceId> rotation_; ///< Targets still to come in this round.
    base::EndpointId nextEndpoint_;
    std::uint32_t sequence_ = 0;
    absl::Time nextHeartbeat_ = absl::InfinitePast();
    absl::Time lastTick_ = absl::InfinitePast();
};

} // namespace zinniadoor::control
