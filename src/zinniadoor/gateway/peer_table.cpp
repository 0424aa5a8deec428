#include "zinniadoor/gateway/peer_table.hpp"

#include <algorithm>
#include <functional>

namespace zinniadoor::gateway {

namespace {

/// A peer is lost after this time without messages; it sends several messages in this time.
constexpr absl::Duration PeerTimeout = absl::Milliseconds(1500);

/// Time after the first read of the journal by which all running peers have been received from.
constexpr absl::Duration PeerDiscoveryTime = absl::Seconds(2);

} // namespace

PeerTable::PeerTable(ProcessName self)
    : self_(std::move(self))
{ }

void PeerTable::noteStarted(const ProcessName &process, const std::string &address,
                            const std::string &dataCentre)
{
    if (process.instance == self_.instance)
        return;
    Peer &peer = peers_[process.instance];
    if (process.incarnation < peer.incarnation)
        return;
    if (process.incarnation > peer.incarnation) {
        peer.stopped = false;
        peer.stopping = false;
        peer.sequence = 0;
    }
    peer.incarnation = process.incarnation;
    peer.address = address;
    peer.dataCentre = base::DataCentreId(dataCentre);
}

void PeerTable::noteStopped(const ProcessName &process)
{
    const auto found = peers_.find(process.instance);
    if (found != peers_.end() && found->second.incarnation <= process.incarnation)
        found->second.stopped = true;
}

bool PeerTable::noteMessage(const PeerMessage &message, const std::string &from, absl::Time now)
{
    if (message.sender.instance == self_.instance)
        return false;
    noteStarted(message.sender, from, message.dataCentre);
    Peer &peer = peers_[message.sender.instance];
    if (message.sender.incarnation < peer.incarnation || message.sequence <= peer.sequence)
        return false;
    noteReceived(peer, message.sequence, now);
    peer.stopping = message.stopping;
    peer.timeOffset = absl::FromUnixMillis(message.estimateMs) - ownEstimate_;
    for (const auto &[window, counts] : message.usage)
        usage_[window][message.sender] = counts;
    if (message.hasCounts)
        finalBefore_[message.sender] = message.usageFinalBefore;
    return true;
}

bool PeerTable::noteLiveness(const ProcessName &process, std::uint64_t sequence, absl::Time now)
{
    const auto found = peers_.find(process.instance);
    if (found == peers_.end() || process.incarnation != found->second.incarnation
        || sequence <= found->second.sequence)
        return false;
    noteReceived(found->second, sequence, now);
    return true;
}

void PeerTable::noteReceived(Peer &peer, std::uint64_t sequence, absl::Time now)
{
    heardProcesses_ += peer.sequence == 0 ? 1 : 0;
    peer.sequence = sequence;
    peer.lastReceived = now;
}

bool PeerTable::isReachable(const Peer &peer, absl::Time now) const
{
    return now - peer.lastReceived < PeerTimeout;
}

std::vector<std::string> PeerTable::addresses() const
{
    std::vector<std::string> addresses;
    for (const auto &[instance, peer] : peers_) {
        if (!peer.stopped)
            addresses.push_back(peer.address);
    }
    return addresses;
}

std::map<std::string, std::string> PeerTable::addressesByInstance() const
{
    std::map<std::string, std::string> addresses;
    for (const auto &[instance, peer] : peers_) {
        if (!peer.stopped && !peer.address.empty())
            addresses[instance] = peer.address;
    }
    return addresses;
}

std::vector<std::string> PeerTable::addressesIn(const base::DataCentreId &dataCentre) const
{
    std::vector<std::string> addresses;
    for (const auto &[instance, peer] : peers_) {
        if (!peer.stopped && peer.dataCentre == dataCentre)
            addresses.push_back(peer.address);
    }
    return addresses;
}

base::DataCentreId PeerTable::dataCentreOf(const std::string &instance) const
{
    const auto found = peers_.find(instance);
    return found == peers_.end() ? base::DataCentreId() : found->second.dataCentre;
}

std::vector<GroupCandidate> PeerTable::candidates(absl::Time now) const
{
    std::vector<GroupCandidate> candidates;
    for (const auto &[instance, peer] : peers_) {
        if (!peer.stopped || isReachable(peer, now))
            candidates.push_back({ instance, peer.dataCentre, peer.address });
    }
    return candidates;
}

std::map<std::string, std::string> PeerTable::reachableIn(const base::DataCentreId &dataCentre,
                                                          absl::Time now) const
{
    std::map<std::string, std::string> reachable;
    for (const auto &[instance, peer] : peers_) {
        if (peer.dataCentre == dataCentre && isReachable(peer, now))
            reachable[instance] = peer.address;
    }
    return reachable;
}

void PeerTable::noteJournalRead(absl::Time now)
{
    journalReadAt_ = std::min(journalReadAt_, now);
}

bool PeerTable::writesUsageForPeers(absl::Time now) const
{
    return groupStatus_ ? groupStatus_->leads : ownRank(now) == 0;
}

void PeerTable::noteUsageWritten(const UsageWrittenNotice &notice)
{
    const auto &processes = notice.processes;
    if (std::find(processes.begin(), processes.end(), digestOf(self_)) != processes.end())
        writtenWindows_.insert(notice.window);
}

void PeerTable::notifyUsageWritten(const UsageWrittenNotice &notice) const
{
    if (usageWrittenCallback_)
        usageWrittenCallback_(notice);
}

std::size_t PeerTable::ownRank(absl::Time now) const
{
    if (groupStatus_)
        return groupStatus_->rank;
    const std::hash<std::string> rankHash;
    const std::size_t own = rankHash(self_.instance);
    const bool justRead = now - journalReadAt_ < PeerDiscoveryTime;
    return static_cast<std::size_t>(
        std::count_if(peers_.begin(), peers_.end(), [&](const auto &entry) {
            const bool counts
                = isReachable(entry.second, now) || (justRead && !entry.second.stopped);
            return counts && !entry.second.stopping && rankHash(entry.first) < own;
        }));
}

Membership PeerTable::membership(absl::Time now) const
{
    return groupStatus_ ? groupStatus_->membership : directMembership(now);
}

Membership PeerTable::directMembership(absl::Time now) const
{
    Membership membership;
    for (const auto &[instance, peer] : peers_) {
        if (peer.stopped && !isReachable(peer, now))
            continue;
        ++membership.tracked;
        membership.reachable += isReachable(peer, now) ? 1 : 0;
    }
    return membership;
}

std::vector<absl::Duration> PeerTable::timeOffsets(absl::Time now) const
{
    std::vector<absl::Duration> offsets;
    for (const auto &[instance, peer] : peers_) {
        if (isReachable(peer, now))
            offsets.push_back(peer.timeOffset);
    }
    return offsets;
}

std::map<ProcessName, UsageCounts> PeerTable::usageOf(WindowNumber window) const
{
    const auto found = usage_.find(window);
    return found == usage_.end() ? std::map<ProcessName, UsageCounts> {} : found->second;
}

std::map<ProcessName, UsageCounts> PeerTable::finalUsageOf(WindowNumber window) const
{
    std::map<ProcessName, UsageCounts> final;
    for (const auto &[process, counts] : usageOf(window)) {
        const auto before = finalBefore_.find(process);
        if (before != finalBefore_.end() && window < before->second)
            final[process] = counts;
    }
    return final;
}

void PeerTable::discardUsageBefore(WindowNumber window)
{
    writtenWindows_.erase(writtenWindows_.begin(), writtenWindows_.lower_bound(window));
    usage_.erase(usage_.begin(), usage_.lower_bound(window));
}

std::vector<PeerTable::Change> PeerTable::takeChanges(absl::Time now)
{
    std::vector<Change> changes;
    for (auto &[instance, peer] : peers_) {
        const bool reachable = isReachable(peer, now);
        if (reachable == peer.reportedReachable)
            continue;
        peer.reportedReachable = reachable;
        changes.push_back({ instance, reachable });
    }
    return changes;
}

} // namespace zinniadoor::gateway
