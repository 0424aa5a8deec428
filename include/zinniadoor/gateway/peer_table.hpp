#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/gateway/peer_group.hpp"
#include "zinniadoor/gateway/peer_message.hpp"
#include "zinniadoor/gateway/quota.hpp"

namespace zinniadoor::gateway {

/// Tracks the other instances: those that have started according to a log, and those that
/// send messages. A peer is reachable while it has been received from recently. Not thread-safe.
class PeerTable
{
public:
    explicit PeerTable(ProcessName self);

    /// A start was read from a log or follows from a first message.
    void noteStarted(const ProcessName &process, const std::string &address,
                     const std::string &dataCentre);
    void noteStopped(const ProcessName &process);

    /// Returns false if the message is from this instance itself, out of order or a duplicate.
    bool noteMessage(const PeerMessage &message, const std::string &from, absl::Time now);

    /// A short message was received. Returns false if its sender is not tracked, or if it is out of
    /// order or a duplicate.
    bool noteLiveness(const ProcessName &process, std::uint64_t sequence, absl::Time now);

    /// Number of processes of other instances from which a first message was received.
    std::uint64_t heardProcesses() const { return heardProcesses_; }

    /// Addresses of all peers that have not stopped.
    std::vector<std::string> addresses() const;

    /// The same, by instance.
    std::map<std::string, std::string> addressesByInstance() const;

    /// The same, restricted to one data centre.
    std::vector<std::string> addressesIn(const base::DataCentreId &dataCentre) const;

    /// The starts up to a point after this instance's own have been read.
    void noteJournalRead(absl::Time now);
    bool hasReadJournal() const { return journalReadAt_ != absl::InfiniteFuture(); }

    /// Data centre of a peer; empty if the peer is not tracked.
    base::DataCentreId dataCentreOf(const std::string &instance) const;

    /// The peers that have not stopped or are reachable.
    std::vector<GroupCandidate> candidates(absl::Time now) const;

    /// Addresses of the reachable peers of a data centre, by instance.
    std::map<std::string, std::string> reachableIn(const base::DataCentreId &dataCentre,
                                                   absl::Time now) const;

    /// Number of instances that rank before this one, in an order common to all instances. Shortly
    /// after the journal was first read, all peers that have not stopped are assumed reachable.
    std::size_t ownRank(absl::Time now) const;

    /// Rank and membership as reported through leaders; replaces the view from direct messages when
    /// updates take two hops. Empty in a full mesh.
    struct GroupStatus
    {
        std::size_t rank = 0;
        bool leads = false; ///< This instance leads its data centre.
        Membership membership;
    };
    void setGroupStatus(const std::optional<GroupStatus> &status) { groupStatus_ = status; }

    /// Whether this instance writes the usage counts of its directly reachable peers to the
    /// journal.
    bool writesUsageForPeers(absl::Time now) const;

    /// Includes this instance.
    Membership membership(absl::Time now) const;

    /// The same, from direct messages only.
    Membership directMembership(absl::Time now) const;

    /// How far the reachable peers' estimates of cluster time are ahead of this instance's own.
    std::vector<absl::Duration> timeOffsets(absl::Time now) const;

    /// The latest reported counts of each process for a window.
    std::map<ProcessName, UsageCounts> usageOf(WindowNumber window) const;

    /// The same, of the processes that have reported these counts as final.
    std::map<ProcessName, UsageCounts> finalUsageOf(WindowNumber window) const;

    /// Records whether this process's counts of the window are among those that a peer has written.
    void noteUsageWritten(const UsageWrittenNotice &notice);
    void forgetUsageWritten() { writtenWindows_.clear(); }
    bool isUsageWritten(WindowNumber window) const { return writtenWindows_.count(window) > 0; }

    /// Sets the callback that sends a notice to the peers.
    void onUsageWritten(std::function<void(const UsageWrittenNotice &)> notify)
    {
        usageWrittenCallback_ = std::move(notify);
    }
    void notifyUsageWritten(const UsageWrittenNotice &notice) const;
    void discardUsageBefore(WindowNumber window);

    /// Peers whose reachability changed since the last call.
    struct Change
    {
        std::string instance;
        bool reachable = false;
    };
    std::vector<Change> takeChanges(absl::Time now);

    /// Sets this instance's own estimate of cluster time, for use by `noteMessage`.
    void setOwnEstimate(absl::Time estimate) { ownEstimate_ = estimate; }

private:
    struct Peer
    {
        std::uint64_t incarnation = 0;
        std::string address;
        base::DataCentreId dataCentre;
        bool stopped = false;
        bool stopping = false; ///< Shutting down; takes no duties.
        std::uint64_t sequence = 0;
        absl::Time lastReceived = absl::InfinitePast();
        absl::Duration timeOffset;
        bool reportedReachable = false;
    };
    bool isReachable(const Peer &peer, absl::Time now) const;

    /// Records a message that is neither late nor a duplicate.
    void noteReceived(Peer &peer, std::uint64_t sequence, absl::Time now);

    ProcessName self_;
    std::uint64_t heardProcesses_ = 0;
    std::optional<GroupStatus> groupStatus_;
    absl::Time journalReadAt_ = absl::InfiniteFuture(); ///< First time.
    std::function<void(const UsageWrittenNotice &)> usageWrittenCallback_;
    std::set<WindowNumber> writtenWindows_; ///< Of this process, written by a peer.
    std::map<ProcessName, WindowNumber> finalBefore_;
    absl::Time ownEstimate_;
    std::map<std::string, Peer> peers_;
    std::map<WindowNumber, std::map<ProcessName, UsageCounts>> usage_;
};

} // namespace zinniadoor::gateway
