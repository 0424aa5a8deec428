#include "zinniadoor/control/membership.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "zinniadoor/control/stable_hash.hpp"

namespace zinniadoor::control {

namespace {

constexpr std::size_t UdpIpHeaderBytes = 28;
constexpr std::size_t NewsBytes = 9;
constexpr std::size_t FixedBytes = 110; ///< About what a heartbeat without lists takes.
constexpr std::size_t InFlightBytes = 6;
constexpr std::size_t LoadBytes = 16;
constexpr std::size_t DigestBytes = 8;
constexpr std::size_t MaxDigestsPerHeartbeat = 4;
constexpr std::size_t MaxCrashes = 1024;
constexpr absl::Duration CrashKept = absl::Minutes(10);

std::uint32_t memberName(const base::InstanceId &instance, base::Incarnation incarnation)
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
    std::set<base::InstanceId> named;
    for (const ListedMember &known : members) {
        if (known.instance == options_.instance)
            continue;
        named.insert(known.instance);
        join(known.instance, known.incarnation, known.dataCentre, now).known = true;
    }
    for (auto &[instance, member] : members_)
        member.known = named.count(instance) > 0;
    dropLost(now);
}

void Membership::remove(const base::InstanceId &instance, base::Incarnation incarnation)
{
    const auto found = members_.find(instance);
    if (found != members_.end() && found->second.view.incarnation == incarnation)
        forget(instance);
}

/// The member's entry; begun anew if the incarnation is newer than the one known.
Membership::Member &Membership::join(const base::InstanceId &instance,
                                     base::Incarnation incarnation,
                                     const base::DataCentreId &dataCentre, absl::Time now)
{
    const auto found = members_.find(instance);
    if (found != members_.end()) {
        if (found->second.view.incarnation >= incarnation)
            return found->second;
        forget(instance);
    }
    Member &member = members_[instance];
    member.view.incarnation = incarnation;
    member.view.dataCentre = dataCentre;
    member.view.lastReceivedAt = now;
    names_[memberName(instance, incarnation)] = instance;
    return member;
}

void Membership::forget(const base::InstanceId &instance)
{
    const auto found = members_.find(instance);
    if (found == members_.end())
        return;
    names_.erase(memberName(instance, found->second.view.incarnation));
    members_.erase(found);
}

void Membership::dropLost(absl::Time now)
{
    std::vector<base::InstanceId> gone;
    for (const auto &[instance, member] : members_) {
        if (!member.known && livenessOf(instance, now) == Liveness::Lost)
            gone.push_back(instance);
    }
    for (const base::InstanceId &instance : gone)
        forget(instance);
}

// After a pause of this process its peers' heartbeats wait in the socket: the time that passed
// meanwhile says nothing about them.
void Membership::forgiveOwnPause(absl::Time now)
{
    const absl::Duration gap = now - lastTick_;
    if (lastTick_ != absl::InfinitePast() && gap > 2 * options_.heartbeatInterval) {
        for (auto &[instance, member] : members_)
            member.view.lastReceivedAt = std::min(now, member.view.lastReceivedAt + gap);
    }
    lastTick_ = now;
}

std::vector<OutgoingMessage> Membership::tick(const LocalStatus &own, absl::Time now)
{
    forgiveOwnPause(now);
    std::vector<OutgoingMessage> messages;
    if (now < nextHeartbeat_)
        return messages;
    nextHeartbeat_ = now + options_.heartbeatInterval;
    dropLost(now);
    const std::vector<base::InstanceId> chosen = targets();
    if (chosen.empty())
        return messages;
    const Heartbeat heartbeat = compose(own, roomFor(chosen.size()), now);
    for (const base::InstanceId &target : chosen)
        messages.push_back(OutgoingMessage { target, heartbeat });
    return messages;
}

/// All peers in a small group; else the next ones of a shuffled round over all of them, so that
/// lost ones are tried as well and a healed partition is noticed.
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

std::size_t Membership::roomFor(std::size_t targetCount) const
{
    const double seconds = absl::ToDoubleSeconds(options_.heartbeatInterval);
    const auto bytes = static_cast<std::size_t>(static_cast<double>(options_.sentBytesPerSecond)
                                                * seconds / static_cast<double>(targetCount));
    const std::size_t payload = bytes > UdpIpHeaderBytes ? bytes - UdpIpHeaderBytes : 0;
    return std::min(payload, MaxHeartbeatBytes);
}

Heartbeat Membership::compose(const LocalStatus &own, std::size_t room, absl::Time now)
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
        it = now - it->second.at > CrashKept ? crashes_.erase(it) : std::next(it);

    const std::size_t fixed = encodePeerMessage(heartbeat).size();
    std::size_t left = room > fixed ? room - fixed : 0;
    left -= addCrashes(heartbeat, left);
    if (usesGossip())
        left -= addNews(heartbeat, left * 3 / 4);
    const std::size_t loads = std::min(own.organisations.size(), left / 2 / LoadBytes);
    heartbeat.organisations.assign(own.organisations.begin(),
                                   own.organisations.begin() + static_cast<std::ptrdiff_t>(loads));
    left -= loads * LoadBytes;
    addInFlight(heartbeat, own, left);
    return heartbeat;
}

std::size_t Membership::addCrashes(Heartbeat &heartbeat, std::size_t room)
{
    const std::size_t most = std::min(MaxDigestsPerHeartbeat, room / DigestBytes);
    for (auto &[digest, crash] : crashes_) {
        if (heartbeat.crashDigests.size() >= most)
            break;
        if (crash.toSend <= 0)
            continue;
        --crash.toSend;
        heartbeat.crashDigests.push_back(digest);
    }
    return heartbeat.crashDigests.size() * DigestBytes;
}

// A random choice: with the newest first, news would be dropped in favour of newer news before it
// has gone round, and some members would never be heard of.
std::size_t Membership::addNews(Heartbeat &heartbeat, std::size_t room)
{
    std::vector<MemberUpdate> all;
    for (const auto &[instance, member] : members_) {
        const MemberStatus &view = member.view;
        if (view.sequence > 0)
            all.push_back({ memberName(instance, view.incarnation), view.sequence, view.draining });
    }
    std::sample(all.begin(), all.end(), std::back_inserter(heartbeat.members), room / NewsBytes,
                random_);
    return heartbeat.members.size() * NewsBytes;
}

std::size_t Membership::addInFlight(Heartbeat &heartbeat, const LocalStatus &own, std::size_t room)
{
    const std::size_t count = std::min(own.inFlight.size(), room / InFlightBytes);
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
    Member &member = join(heartbeat.instance, heartbeat.incarnation, heartbeat.dataCentre, now);
    MemberStatus &view = member.view;
    if (view.incarnation != heartbeat.incarnation)
        return; // An older process of that instance.
    view.lastDirectHeartbeatAt = now;
    if (heartbeat.sequence > view.sequence) {
        view.sequence = heartbeat.sequence;
        view.lastReceivedAt = now;
        view.bundleVersion = heartbeat.bundleVersion;
        view.logOffset = heartbeat.logOffset;
        view.prefillDemand = heartbeat.prefillDemand;
        view.decodeDemand = heartbeat.decodeDemand;
        view.draining = heartbeat.draining;
        for (const EndpointInFlight &report : heartbeat.inFlight)
            member.reports[report.endpoint] = Report { report.inFlight, now };
    }
    for (const MemberUpdate &news : heartbeat.members)
        takeNews(news, now);
    for (const std::uint64_t digest : heartbeat.crashDigests)
        takeCrash(digest, now);
}

void Membership::takeNews(const MemberUpdate &news, absl::Time now)
{
    const auto name = names_.find(news.member);
    if (name == names_.end())
        return;
    Member &member = members_[name->second];
    if (news.sequence <= member.view.sequence)
        return;
    member.view.sequence = news.sequence;
    member.view.draining = news.draining;
    member.view.lastReceivedAt = now;
}

void Membership::reportCrash(std::uint64_t digest, absl::Time now)
{
    takeCrash(digest, now);
}

// Each instance passes a new digest on a few times, as many as the logarithm of the group's size
// asks for; so it reaches all without going round for ever.
void Membership::takeCrash(std::uint64_t digest, absl::Time now)
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
        if (now - crash.at <= CrashKept)
            digests.insert(digest);
    }
    return digests;
}

Liveness Membership::livenessOf(const base::InstanceId &instance, absl::Time now) const
{
    const auto found = members_.find(instance);
    if (found == members_.end())
        return Liveness::Lost;
    const absl::Duration silence = now - found->second.view.lastReceivedAt;
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
    return found == members_.end() ? nullptr : &found->second.view;
}

// Each holder of a piece of news passes it on to fanOut peers in the share of its heartbeats that
// carry it, so the holders multiply by one factor in each interval.
absl::Duration Membership::propagationDelay() const
{
    if (!usesGossip())
        return absl::ZeroDuration();
    const std::size_t room = roomFor(options_.fanOut);
    const std::size_t lists = room > FixedBytes ? room - FixedBytes : NewsBytes;
    const std::size_t carriedNews = lists * 3 / 4 / NewsBytes;
    const auto carried = static_cast<double>(carriedNews);
    const auto all = static_cast<double>(size());
    const double share = std::min(1.0, carried / all);
    const double factor = 1 + static_cast<double>(options_.fanOut) * share;
    return options_.heartbeatInterval * (std::log(all) / std::log(factor));
}

absl::Duration Membership::freshReport() const
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
    if (report == member->second.reports.end() || now - report->second.at > freshReport())
        return 0;
    return report->second.inFlight;
}

std::unordered_map<std::uint32_t, double> Membership::inFlightOfPeers(absl::Time now) const
{
    std::unordered_map<std::uint32_t, double> totals;
    std::size_t live = 0;
    std::size_t heard = 0;
    for (const auto &[instance, member] : members_) {
        live += livenessOf(instance, now) != Liveness::Lost ? 1 : 0;
        if (now - member.view.lastDirectHeartbeatAt > freshReport())
            continue;
        ++heard;
        for (const auto &[endpoint, report] : member.reports) {
            if (now - report.at <= freshReport())
                totals[endpoint] += report.inFlight;
        }
    }
    if (heard == 0 || live <= heard)
        return totals;
    const double scale = static_cast<double>(live) / static_cast<double>(heard);
    for (auto &[endpoint, total] : totals)
        total *= scale;
    return totals;
}

} // namespace zinniadoor::control
