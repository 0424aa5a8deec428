#include "zinniadoor/control/membership.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "zinniadoor/control/stable_hash.hpp"

namespace zinniadoor::control {

namespace {

constexpr std::size_t UdpIpHeaderBytes = 28;
constexpr std::size_t MemberUpdateBytes = 9;
constexpr std::size_t FixedBytes = 110; ///< Approximate size of a heartbeat without lists.
constexpr std::size_t InFlightBytes = 6;
constexpr std::size_t LoadBytes = 16;
constexpr std::size_t DigestBytes = 8;
constexpr std::size_t MaxDigestsPerHeartbeat = 4;
constexpr std::size_t MaxCrashes = 1024;
constexpr absl::Duration CrashRetention = absl::Minutes(10);

std::uint32_t memberHash(const base::InstanceId &instance, base::Incarnation incarnation)
{
    return shortHash(instance.str() + "#" + std::to_string(incarnation));
}

} // namespace

const char *nameOf(Liveness liveness)
{
    switch (liveness) {
    case Liveness::Live:
        return "live";
    case Liveness::Suspect:
        return "suspect";
    case Liveness::Lost:
        return "lost";
    }
    return "unknown";
}

Membership::Membership(MembershipOptions options)
    : options_(std::move(options))
    , random_(options_.seed)
{ }

void Membership::setMembers(const std::vector<ListedMember> &members, absl::Time now)
{
    std::set<base::InstanceId> listed;
    for (const ListedMember &entry : members) {
        if (entry.instance == options_.instance)
            continue;
        listed.insert(entry.instance);
        findOrAdd(entry.instance, entry.incarnation, entry.dataCentre, now).listed = true;
    }
    for (auto &[instance, member] : members_)
        member.listed = listed.count(instance) > 0;
    evictLost(now);
}

void Membership::remove(const base::InstanceId &instance, base::Incarnation incarnation)
{
    const auto found = members_.find(instance);
    if (found != members_.end() && found->second.status.incarnation == incarnation)
        erase(instance);
}

/// Returns the member's entry. It is replaced by a new one if the incarnation is newer.
Membership::Member &Membership::findOrAdd(const base::InstanceId &instance,
                                          base::Incarnation incarnation,
                                          const base::DataCentreId &dataCentre, absl::Time now)
{
    const auto found = members_.find(instance);
    if (found != members_.end()) {
        if (found->second.status.incarnation >= incarnation)
            return found->second;
        erase(instance);
    }
    Member &member = members_[instance];
    member.status.incarnation = incarnation;
    member.status.dataCentre = dataCentre;
    member.status.lastReceivedAt = now;
    instancesByHash_[memberHash(instance, incarnation)] = instance;
    return member;
}

void Membership::erase(const base::InstanceId &instance)
{
    const auto found = members_.find(instance);
    if (found == members_.end())
        return;
    instancesByHash_.erase(memberHash(instance, found->second.status.incarnation));
    members_.erase(found);
}

void Membership::evictLost(absl::Time now)
{
    std::vector<base::InstanceId> evicted;
    for (const auto &[instance, member] : members_) {
        if (!member.listed && livenessOf(instance, now) == Liveness::Lost)
            evicted.push_back(instance);
    }
    for (const base::InstanceId &instance : evicted)
        erase(instance);
}

// While this process was paused, its peers' heartbeats queued up in the socket. The time of the
// pause must not be counted as silence of the peers.
void Membership::compensateForOwnPause(absl::Time now)
{
    const absl::Duration gap = now - lastTick_;
    if (lastTick_ != absl::InfinitePast() && gap > 2 * options_.heartbeatInterval) {
        for (auto &[instance, member] : members_)
            member.status.lastReceivedAt = std::min(now, member.status.lastReceivedAt + gap);
    }
    lastTick_ = now;
}

std::vector<OutgoingMessage> Membership::tick(const LocalStatus &own, absl::Time now)
{
    compensateForOwnPause(now);
    std::vector<OutgoingMessage> messages;
    if (now < nextHeartbeat_)
        return messages;
    nextHeartbeat_ = now + options_.heartbeatInterval;
    evictLost(now);
    const std::vector<base::InstanceId> chosen = targets();
    if (chosen.empty())
        return messages;
    const Heartbeat heartbeat = buildHeartbeat(own, payloadBudget(chosen.size()), now);
    for (const base::InstanceId &target : chosen)
        messages.push_back(OutgoingMessage { target, heartbeat });
    return messages;
}

/// Returns all peers of a small group, else the next ones of a shuffled round over all peers.
/// Includes lost peers, so that a healed partition is detected.
std::vector<base::InstanceId> Membership::targets()
{
    std::vector<base::InstanceId> all;
    for (const auto &[instance, member] : members_)
        all.push_back(instance);
    if (!usesGossip())
        return all;
    std::vector<base::InstanceId> chosen;
    while (chosen.size() < options_.fanOut) {
        if (rotation_.empty()) {
            rotation_ = all;
            std::shuffle(rotation_.begin(), rotation_.end(), random_);
        }
        if (members_.count(rotation_.back()) > 0)
            chosen.push_back(rotation_.back());
        rotation_.pop_back();
    }
    return chosen;
}

std::size_t Membership::payloadBudget(std::size_t targetCount) const
{
    const double seconds = absl::ToDoubleSeconds(options_.heartbeatInterval);
    const auto bytes = static_cast<std::size_t>(static_cast<double>(options_.sentBytesPerSecond)
                                                * seconds / static_cast<double>(targetCount));
    const std::size_t payload = bytes > UdpIpHeaderBytes ? bytes - UdpIpHeaderBytes : 0;
    return std::min(payload, MaxHeartbeatBytes);
}

Heartbeat Membership::buildHeartbeat(const LocalStatus &own, std::size_t budget, absl::Time now)
{
    Heartbeat heartbeat;
    heartbeat.instance = options_.instance;
    heartbeat.incarnation = options_.incarnation;
    heartbeat.sequence = ++sequence_;
    heartbeat.dataCentre = options_.dataCentre;
    heartbeat.bundleVersion = own.bundleVersion;
    heartbeat.logOffset = own.logOffset;
    heartbeat.prefillDemand = own.prefillDemand;
    heartbeat.decodeDemand = own.decodeDemand;
    heartbeat.draining = own.draining;
    for (auto it = crashes_.begin(); it != crashes_.end();)
        it = now - it->second.at > CrashRetention ? crashes_.erase(it) : std::next(it);

    const std::size_t fixed = encodePeerMessage(heartbeat).size();
    std::size_t left = budget > fixed ? budget - fixed : 0;
    left -= addCrashes(heartbeat, left);
    if (usesGossip())
        left -= addMemberUpdates(heartbeat, left * 3 / 4);
    const std::size_t loads = std::min(own.organisations.size(), left / 2 / LoadBytes);
    heartbeat.organisations.assign(own.organisations.begin(),
                                   own.organisations.begin() + static_cast<std::ptrdiff_t>(loads));
    left -= loads * LoadBytes;
    addInFlight(heartbeat, own, left);
    return heartbeat;
}

std::size_t Membership::addCrashes(Heartbeat &heartbeat, std::size_t budget)
{
    const std::size_t limit = std::min(MaxDigestsPerHeartbeat, budget / DigestBytes);
    for (auto &[digest, crash] : crashes_) {
        if (heartbeat.crashDigests.size() >= limit)
            break;
        if (crash.heartbeatsLeft <= 0)
            continue;
        --crash.heartbeatsLeft;
        heartbeat.crashDigests.push_back(digest);
    }
    return heartbeat.crashDigests.size() * DigestBytes;
}

// Samples the updates at random. With the newest first, updates would be displaced by newer ones
// before they had spread, and updates about some members would never arrive.
std::size_t Membership::addMemberUpdates(Heartbeat &heartbeat, std::size_t budget)
{
    std::vector<MemberUpdate> all;
    for (const auto &[instance, member] : members_) {
        const MemberStatus &status = member.status;
        if (status.sequence > 0)
            all.push_back(
                { memberHash(instance, status.incarnation), status.sequence, status.draining });
    }
    std::sample(all.begin(), all.end(), std::back_inserter(heartbeat.members),
                budget / MemberUpdateBytes, random_);
    return heartbeat.members.size() * MemberUpdateBytes;
}

std::size_t Membership::addInFlight(Heartbeat &heartbeat, const LocalStatus &own,
                                    std::size_t budget)
{
    const std::size_t count = std::min(own.inFlight.size(), budget / InFlightBytes);
    auto it = own.inFlight.lower_bound(nextEndpoint_);
    for (std::size_t i = 0; i < count; ++i) {
        if (it == own.inFlight.end())
            it = own.inFlight.begin();
        heartbeat.inFlight.push_back(EndpointInFlight { shortHash(it->first.str()), it->second });
        ++it;
    }
    nextEndpoint_ = it == own.inFlight.end() ? base::EndpointId() : it->first;
    return count * InFlightBytes;
}

void Membership::onHeartbeat(const Heartbeat &heartbeat, absl::Time now)
{
    if (heartbeat.instance == options_.instance)
        return;
    Member &member
        = findOrAdd(heartbeat.instance, heartbeat.incarnation, heartbeat.dataCentre, now);
    MemberStatus &status = member.status;
    if (status.incarnation != heartbeat.incarnation)
        return; // From an older process of the instance.
    status.lastDirectHeartbeatAt = now;
    if (heartbeat.sequence > status.sequence) {
        status.sequence = heartbeat.sequence;
        status.lastReceivedAt = now;
        status.bundleVersion = heartbeat.bundleVersion;
        status.logOffset = heartbeat.logOffset;
        status.prefillDemand = heartbeat.prefillDemand;
        status.decodeDemand = heartbeat.decodeDemand;
        status.draining = heartbeat.draining;
        for (const EndpointInFlight &report : heartbeat.inFlight)
            member.reports[report.endpoint] = Report { report.inFlight, now };
    }
    for (const MemberUpdate &update : heartbeat.members)
        applyUpdate(update, now);
    for (const std::uint64_t digest : heartbeat.crashDigests)
        recordCrash(digest, now);
}

void Membership::applyUpdate(const MemberUpdate &update, absl::Time now)
{
    const auto name = instancesByHash_.find(update.member);
    if (name == instancesByHash_.end())
        return;
    Member &member = members_[name->second];
    if (update.sequence <= member.status.sequence)
        return;
    member.status.sequence = update.sequence;
    member.status.draining = update.draining;
    member.status.lastReceivedAt = now;
}

void Membership::reportCrash(std::uint64_t digest, absl::Time now)
{
    recordCrash(digest, now);
}

// Each instance forwards a new digest in a number of heartbeats that grows with the logarithm of
// the group's size. This reaches all members and then ends.
void Membership::recordCrash(std::uint64_t digest, absl::Time now)
{
    if (crashes_.count(digest) > 0 || crashes_.size() >= MaxCrashes)
        return;
    const int repeats = 2 + static_cast<int>(std::ceil(std::log2(static_cast<double>(size()))));
    crashes_[digest] = Crash { now, repeats };
}

std::set<std::uint64_t> Membership::crashDigests(absl::Time now) const
{
    std::set<std::uint64_t> digests;
    for (const auto &[digest, crash] : crashes_) {
        if (now - crash.at <= CrashRetention)
            digests.insert(digest);
    }
    return digests;
}

Liveness Membership::livenessOf(const base::InstanceId &instance, absl::Time now) const
{
    const auto found = members_.find(instance);
    if (found == members_.end())
        return Liveness::Lost;
    const absl::Duration silence = now - found->second.status.lastReceivedAt;
    const absl::Duration spread = propagationDelay();
    if (silence >= options_.lostAfter + 2 * spread)
        return Liveness::Lost;
    if (silence >= options_.suspectAfter + spread)
        return Liveness::Suspect;
    return Liveness::Live;
}

std::vector<base::InstanceId> Membership::availableMembers(absl::Time now) const
{
    std::vector<base::InstanceId> result;
    for (const auto &[instance, member] : members_) {
        if (livenessOf(instance, now) != Liveness::Lost)
            result.push_back(instance);
    }
    return result;
}

std::set<base::InstanceId> Membership::lostMembers(absl::Time now) const
{
    std::set<base::InstanceId> result;
    for (const auto &[instance, member] : members_) {
        if (livenessOf(instance, now) == Liveness::Lost)
            result.insert(instance);
    }
    return result;
}

const MemberStatus *Membership::find(const base::InstanceId &instance) const
{
    const auto found = members_.find(instance);
    return found == members_.end() ? nullptr : &found->second.status;
}

// Each member that has an update forwards it to fanOut peers in a certain share of its heartbeats,
// so the number of members that have it grows by a constant factor per interval.
absl::Duration Membership::propagationDelay() const
{
    if (!usesGossip())
        return absl::ZeroDuration();
    const std::size_t budget = payloadBudget(options_.fanOut);
    const std::size_t lists = budget > FixedBytes ? budget - FixedBytes : MemberUpdateBytes;
    const std::size_t updatesPerHeartbeat = lists * 3 / 4 / MemberUpdateBytes;
    const auto carried = static_cast<double>(updatesPerHeartbeat);
    const auto all = static_cast<double>(size());
    const double share = std::min(1.0, carried / all);
    const double factor = 1 + static_cast<double>(options_.fanOut) * share;
    return options_.heartbeatInterval * (std::log(all) / std::log(factor));
}

absl::Duration Membership::maxReportAge() const
{
    return 5 * options_.heartbeatInterval;
}

std::uint16_t Membership::inFlightOf(const base::InstanceId &instance,
                                     const base::EndpointId &endpoint, absl::Time now) const
{
    const auto member = members_.find(instance);
    if (member == members_.end())
        return 0;
    const auto report = member->second.reports.find(shortHash(endpoint.str()));
    if (report == member->second.reports.end() || now - report->second.at > maxReportAge())
        return 0;
    return report->second.inFlight;
}

std::unordered_map<std::uint32_t, double> Membership::inFlightOfPeers(absl::Time now) const
{
    std::unordered_map<std::uint32_t, double> totals;
    std::size_t live = 0;
    std::size_t reporting = 0;
    for (const auto &[instance, member] : members_) {
        live += livenessOf(instance, now) != Liveness::Lost ? 1 : 0;
        if (now - member.status.lastDirectHeartbeatAt > maxReportAge())
            continue;
        ++reporting;
        for (const auto &[endpoint, report] : member.reports) {
            if (now - report.at <= maxReportAge())
                totals[endpoint] += report.inFlight;
        }
    }
    if (reporting == 0 || live <= reporting)
        return totals;
    const double scale = static_cast<double>(live) / static_cast<double>(reporting);
    for (auto &[endpoint, total] : totals)
        total *= scale;
    return totals;
}

} // namespace zinniadoor::control
