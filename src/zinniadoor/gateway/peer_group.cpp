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
    absl::flat_hash_map<std::string, Member> known;
    for (const auto &[dataCentre, members] : members_) {
        for (const Member &member : members)
            known[member.candidate.instance] = member;
    }
    members_.clear();
    others_ = others.size();
    for (const GroupCandidate &other : others) {
        Member member = known[other.instance];
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
    auto first = firstBefore(own, now);
    if (!first && stopping_)
        first = firstBefore(std::numeric_limits<std::uint64_t>::max(), now);
    if (!first)
        current_.clear();
    return first;
}

std::optional<GroupCandidate> PeerGroup::firstBefore(std::uint64_t rank, absl::Time now)
{
    for (Member &member : members_[dataCentre_]) {
        if (member.rank > rank)
            break;
        if (now < member.passedOverUntil)
            continue;
        const std::string &instance = member.candidate.instance;
        if (current_ != instance) {
            current_ = instance;
            currentHeard_ = now;
        }
        if (now - currentHeard_ < options_.patience)
            return member.candidate;
        member.passedOverSince = now;
        member.passedOverUntil = now + options_.passedOver;
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

void PeerGroup::recall(Member &member, absl::Time now) const
{
    if (now - member.passedOverSince >= options_.passedOverAtLeast)
        member.passedOverUntil = absl::InfinitePast();
}

void PeerGroup::noteNamed(const std::string &sender, const std::string &leader, absl::Time now)
{
    Member *named = find(leader);
    Member *from = find(sender);
    if (named)
        recall(*named, now);
    if (from && sender != leader && rankOf(sender) < rankOf(leader)) {
        from->passedOverSince = now;
        from->passedOverUntil = now + options_.passedOver;
    }
}

void PeerGroup::noteAnswer(const std::string &sender, const std::string &leader, absl::Time now)
{
    if (sender == current_)
        currentHeard_ = now;
    noteNamed(sender, leader, now);
    // It answers only those whose reports reach it, so that messages pass both ways.
    Member *from = find(sender);
    if (from && sender == leader)
        from->passedOverUntil = absl::InfinitePast();
}

void PeerGroup::noteLeading(const std::string &sender, const std::string &leader,
                            const base::DataCentreId &dataCentre, const std::string &address,
                            absl::Time now)
{
    heard_[sender] = { address, dataCentre, now };
    if (dataCentre == dataCentre_)
        noteNamed(sender, leader, now);
}

bool PeerGroup::isHeard(const HeardLeader &leader, absl::Time now) const
{
    return now - leader.heard < options_.patience;
}

std::vector<std::string> PeerGroup::leaderAddresses(absl::Time now)
{
    std::set<std::string> addresses;
    for (const auto &[instance, leader] : heard_) {
        if (isHeard(leader, now))
            addresses.insert(leader.address);
    }
    for (const auto &[dataCentre, members] : members_) {
        // The first ones always: an instance that lost touch with its leader for a moment is heard
        // as a leader, too.
        const std::size_t first = std::min(options_.firstTold, members.size());
        for (std::size_t i = 0; i < first; ++i)
            addresses.insert(members[i].candidate.address);
        const bool anyHeard
            = std::any_of(heard_.begin(), heard_.end(), [&, &dc = dataCentre](const auto &entry) {
                  return entry.second.dataCentre == dc && isHeard(entry.second, now);
              });
        if (dataCentre == dataCentre_ || anyHeard)
            continue;
        std::size_t &next = nextGuess_[dataCentre];
        for (std::size_t i = 0; i < std::min(options_.guesses, members.size()); ++i)
            addresses.insert(members[(next + i) % members.size()].candidate.address);
        next = (next + options_.guesses) % members.size();
    }
    return { addresses.begin(), addresses.end() };
}

std::size_t PeerGroup::leadersBefore(absl::Time now) const
{
    const std::uint64_t own = rankOf(self_);
    return static_cast<std::size_t>(
        std::count_if(heard_.begin(), heard_.end(), [&](const auto &entry) {
            return isHeard(entry.second, now) && rankOf(entry.first) < own;
        }));
}

} // namespace zinniadoor::gateway
