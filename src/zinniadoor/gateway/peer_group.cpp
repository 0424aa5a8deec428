#include "zinniadoor/gateway/peer_group.hpp"

#include <algorithm>
#include <limits>
#include <set>

#include "absl/container/flat_hash_map.h"

#include "zinniadoor/serving/engine_view.hpp"

namespace zinniadoor::gateway {

PeerGroup::PeerGroup(std::string self, base::DataCentreId dataCentre,
                     const PeerGroupOptions &options)
    : self_(std::move(self))
    , dataCentre_(std::move(dataCentre))
    , options_(options)
{ }

std::uint64_t PeerGroup::rankOf(const std::string &instance)
{
    return serving::stableDigest(instance);
}

void PeerGroup::setOthers(const std::vector<GroupCandidate> &others)
{
    absl::flat_hash_map<std::string, Member> previous;
    for (const auto &[dataCentre, members] : members_) {
        for (const Member &member : members)
            previous[member.candidate.instance] = member;
    }
    members_.clear();
    others_ = others.size();
    for (const GroupCandidate &other : others) {
        Member member = previous[other.instance];
        member.candidate = other;
        member.rank = rankOf(other.instance);
        members_[other.dataCentre].push_back(member);
    }
    for (auto &[dataCentre, members] : members_) {
        std::sort(members.begin(), members.end(),
                  [](const Member &a, const Member &b) { return a.rank < b.rank; });
    }
}

std::optional<GroupCandidate> PeerGroup::leader(absl::Time now)
{
    const std::uint64_t own = rankOf(self_);
    auto first = firstCandidateBefore(own, now);
    if (!first && stopping_)
        first = firstCandidateBefore(std::numeric_limits<std::uint64_t>::max(), now);
    if (!first)
        current_.clear();
    return first;
}

std::optional<GroupCandidate> PeerGroup::firstCandidateBefore(std::uint64_t rank, absl::Time now)
{
    for (Member &member : members_[dataCentre_]) {
        if (member.rank > rank)
            break;
        if (now < member.skippedUntil)
            continue;
        const std::string &instance = member.candidate.instance;
        if (current_ != instance) {
            current_ = instance;
            currentLastReply_ = now;
        }
        if (now - currentLastReply_ < options_.leaderTimeout)
            return member.candidate;
        member.skippedSince = now;
        member.skippedUntil = now + options_.skipTime;
    }
    return std::nullopt;
}

PeerGroup::Member *PeerGroup::find(const std::string &instance)
{
    for (Member &member : members_[dataCentre_]) {
        if (member.candidate.instance == instance)
            return &member;
    }
    return nullptr;
}

void PeerGroup::endSkip(Member &member, absl::Time now) const
{
    if (now - member.skippedSince >= options_.minSkipTime)
        member.skippedUntil = absl::InfinitePast();
}

void PeerGroup::noteNamedLeader(const std::string &sender, const std::string &leader,
                                absl::Time now)
{
    Member *named = find(leader);
    Member *from = find(sender);
    if (named)
        endSkip(*named, now);
    if (from && sender != leader && rankOf(sender) < rankOf(leader)) {
        from->skippedSince = now;
        from->skippedUntil = now + options_.skipTime;
    }
}

void PeerGroup::noteLeaderReply(const std::string &sender, const std::string &leader,
                                absl::Time now)
{
    if (sender == current_)
        currentLastReply_ = now;
    noteNamedLeader(sender, leader, now);
    // A leader replies only to instances whose reports it receives, so both directions work.
    Member *from = find(sender);
    if (from && sender == leader)
        from->skippedUntil = absl::InfinitePast();
}

void PeerGroup::noteLeaderMessage(const std::string &sender, const std::string &leader,
                                  const base::DataCentreId &dataCentre, const std::string &address,
                                  absl::Time now)
{
    leaders_[sender] = { address, dataCentre, now };
    if (dataCentre == dataCentre_)
        noteNamedLeader(sender, leader, now);
}

bool PeerGroup::isReachable(const ActiveLeader &leader, absl::Time now) const
{
    return now - leader.lastReceived < options_.leaderTimeout;
}

std::vector<std::string> PeerGroup::leaderAddresses(absl::Time now)
{
    std::set<std::string> addresses;
    for (const auto &[instance, leader] : leaders_) {
        if (isReachable(leader, now))
            addresses.insert(leader.address);
    }
    for (const auto &[dataCentre, members] : members_) {
        // Always include the first-ranked ones: a reachable leader may be an instance that acts as
        // leader only because it lost its own leader for a moment.
        const std::size_t first = std::min(options_.fixedTargets, members.size());
        for (std::size_t i = 0; i < first; ++i)
            addresses.insert(members[i].candidate.address);
        const bool anyReachable = std::any_of(
            leaders_.begin(), leaders_.end(), [&, &dc = dataCentre](const auto &entry) {
                return entry.second.dataCentre == dc && isReachable(entry.second, now);
            });
        if (dataCentre == dataCentre_ || anyReachable)
            continue;
        std::size_t &next = nextProbe_[dataCentre];
        for (std::size_t i = 0; i < std::min(options_.probeTargets, members.size()); ++i)
            addresses.insert(members[(next + i) % members.size()].candidate.address);
        next = (next + options_.probeTargets) % members.size();
    }
    return { addresses.begin(), addresses.end() };
}

std::size_t PeerGroup::leadersBefore(absl::Time now) const
{
    const std::uint64_t own = rankOf(self_);
    return static_cast<std::size_t>(
        std::count_if(leaders_.begin(), leaders_.end(), [&](const auto &entry) {
            return isReachable(entry.second, now) && rankOf(entry.first) < own;
        }));
}

} // namespace zinniadoor::gateway
