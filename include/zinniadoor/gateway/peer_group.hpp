#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"

namespace zinniadoor::gateway {

struct PeerGroupOptions
{
    /// Up to this number of instances form a full mesh. Beyond it, one instance of each data centre
    /// leads, and updates take two hops: member to leader, leader to leader or member.
    std::size_t meshLimit = 16;

    /// A leader that has not replied for this time is skipped. Spans several messages, so that one
    /// lost message does not change the leader.
    absl::Duration leaderTimeout = absl::Milliseconds(1000);

    /// How long a silent leader is skipped. Other instances that name it as leader can end this
    /// early, but not before `minSkipTime`.
    absl::Duration skipTime = absl::Seconds(10);
    absl::Duration minSkipTime = absl::Milliseconds(1500);

    /// Number of first-ranked instances of each data centre that a leader always sends to, and of
    /// further candidates that it probes in a data centre without a reachable leader.
    std::size_t fixedTargets = 2;
    std::size_t probeTargets = 3;
};

struct GroupCandidate
{
    std::string instance;
    base::DataCentreId dataCentre;
    std::string address;
};

/// Dissemination topology as seen by this instance: which instance leads this data centre, and
/// where the leaders of the others are. There is no election: all instances rank candidates by the
/// same hash, so they agree as far as their membership views do. Leadership is only a routing hint;
/// nothing that must happen exactly once depends on it. Not thread-safe.
class PeerGroup
{
public:
    PeerGroup(std::string self, base::DataCentreId dataCentre, const PeerGroupOptions &options);

    /// Sets the other instances that have started and not stopped.
    void setOthers(const std::vector<GroupCandidate> &others);

    /// Whether there are too many instances for a full mesh, so that updates go through leaders.
    bool hasLeaders() const { return others_ + 1 > options_.meshLimit; }

    /// The leader of this data centre; empty if this instance leads.
    std::optional<GroupCandidate> leader(absl::Time now);

    /// `sender` replied to a report of this instance as a leader and considers `leader` the leader.
    void noteLeaderReply(const std::string &sender, const std::string &leader, absl::Time now);

    /// `sender`, reachable at `address`, sent sums as a leader in `dataCentre` and considers
    /// `leader` the leader there.
    void noteLeaderMessage(const std::string &sender, const std::string &leader,
                           const base::DataCentreId &dataCentre, const std::string &address,
                           absl::Time now);

    /// This instance is shutting down: it leads only if no other instance of its data centre can.
    void noteStopping() { stopping_ = true; }

    /// Where a leader sends its sums: to all reachable leaders, to the first-ranked instances of
    /// each data centre, and to some candidates where no leader is reachable, rotating with each
    /// call.
    std::vector<std::string> leaderAddresses(absl::Time now);

    /// Number of reachable leaders that rank before this instance.
    std::size_t leadersBefore(absl::Time now) const;

private:
    struct Member
    {
        GroupCandidate candidate;
        std::uint64_t rank = 0;
        absl::Time skippedSince = absl::InfinitePast();
        absl::Time skippedUntil = absl::InfinitePast();
    };
    struct ActiveLeader
    {
        std::string address;
        base::DataCentreId dataCentre;
        absl::Time lastReceived;
    };
    static std::uint64_t rankOf(const std::string &instance);
    Member *find(const std::string &instance);

    /// `sender` names `leader` as leader. If it is not itself, it either yields to one that ranks
    /// before it, or is shutting down and hands over to one that ranks after it.
    void noteNamedLeader(const std::string &sender, const std::string &leader, absl::Time now);
    void endSkip(Member &member, absl::Time now) const;
    std::optional<GroupCandidate> firstCandidateBefore(std::uint64_t rank, absl::Time now);
    bool isReachable(const ActiveLeader &leader, absl::Time now) const;

    std::string self_;
    base::DataCentreId dataCentre_;
    PeerGroupOptions options_;
    std::size_t others_ = 0;
    bool stopping_ = false;
    std::map<base::DataCentreId, std::vector<Member>> members_; ///< In order of rank.
    std::string current_; ///< The leader whose replies are awaited.
    absl::Time currentLastReply_; ///< Or when it became `current_`.
    std::map<std::string, ActiveLeader> leaders_; ///< By instance.
    std::map<base::DataCentreId, std::size_t> nextProbe_;
};

} // namespace zinniadoor::gateway
