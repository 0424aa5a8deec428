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
    /// Up to this number of instances all tell all others; beyond it one instance of each data
    /// centre leads, and news takes two hops.
    std::size_t meshLimit = 16;

    /// A leader that has not answered for this time is passed over; several messages were lost.
    absl::Duration patience = absl::Milliseconds(1000);

    /// For how long a silent leader is passed over, and for how long nobody can shorten that.
    absl::Duration passedOver = absl::Seconds(10);
    absl::Duration passedOverAtLeast = absl::Milliseconds(1500);

    /// Instances of each data centre, first in the order, that a leader tells in any case, and
    /// further ones of another data centre that it tells while it hears no leader there.
    std::size_t firstTold = 2;
    std::size_t guesses = 3;
};

struct GroupCandidate
{
    std::string instance;
    base::DataCentreId dataCentre;
    std::string address;
};

/// Who tells whom: which instance leads this data centre, as this instance sees it, and where
/// leaders of others are. All instances name leaders in the same order, so that they agree as far
/// as they know the same instances; there is no election, and nothing that must be done once
/// depends on it. For one thread.
class PeerGroup
{
public:
    PeerGroup(std::string self, base::DataCentreId dataCentre, const PeerGroupOptions &options);

    /// The other instances that have started and not stopped.
    void setOthers(const std::vector<GroupCandidate> &others);

    /// Whether news takes two hops.
    bool hasLeaders() const { return others_ + 1 > options_.meshLimit; }

    /// The leader of this data centre; nothing: this instance leads.
    std::optional<GroupCandidate> leader(absl::Time now);

    /// `sender` answered as a leader, and names the instance that it takes for the leader.
    void noteAnswer(const std::string &sender, const std::string &leader, absl::Time now);

    /// `sender` leads instances of `dataCentre`, is reached at `address`, and takes `leader` for
    /// the leader there.
    void noteLeading(const std::string &sender, const std::string &leader,
                     const base::DataCentreId &dataCentre, const std::string &address,
                     absl::Time now);

    /// This instance stops: it leads only if no other instance of its data centre can.
    void noteStopping() { stopping_ = true; }

    /// Where a leader sends its sums: to the leaders that it hears, to the first instances of each
    /// data centre, and where it hears no leader to some that may lead. Each call tries others.
    std::vector<std::string> leaderAddresses(absl::Time now);

    /// Leaders heard, this one included, that come before this one in the common order.
    std::size_t leadersBefore(absl::Time now) const;

private:
    struct Member
    {
        GroupCandidate candidate;
        std::uint64_t rank = 0;
        absl::Time passedOverSince = absl::InfinitePast();
        absl::Time passedOverUntil = absl::InfinitePast();
    };
    struct HeardLeader
    {
        std::string address;
        base::DataCentreId dataCentre;
        absl::Time heard;
    };
    static std::uint64_t rankOf(const std::string &instance);
    Member *find(const std::string &instance);

    /// `sender` says that `leader` leads: either it makes way for one that comes before it, or it
    /// stops and another one comes after it.
    void noteNamed(const std::string &sender, const std::string &leader, absl::Time now);
    void recall(Member &member, absl::Time now) const;
    std::optional<GroupCandidate> firstBefore(std::uint64_t rank, absl::Time now);
    bool isHeard(const HeardLeader &leader, absl::Time now) const;

    std::string self_;
    base::DataCentreId dataCentre_;
    PeerGroupOptions options_;
    std::size_t others_ = 0;
    bool stopping_ = false;
    std::map<base::DataCentreId, std::vector<Member>> members_; ///< In order of rank.
    std::string current_; ///< The leader that is waited for.
    absl::Time currentHeard_; ///< When it answered last, or was taken up.
    std::map<std::string, HeardLeader> heard_; ///< By instance.
    std::map<base::DataCentreId, std::size_t> nextGuess_;
};

} // namespace zinniadoor::gateway
