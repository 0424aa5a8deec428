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

/// The other instances: those that are known to have started, and those that are heard.
/// For one thread.
class PeerTable
{
public:
    explicit PeerTable(ProcessName self);

    /// From the journal, or from a first message.
    void noteStarted(const ProcessName &process, const std::string &address,
                     const std::string &dataCentre);
    void noteStopped(const ProcessName &process);

    /// Returns whether the message is news: not this instance's own, not late, not doubled.
    bool noteMessage(const PeerMessage &message, const std::string &from, absl::Time now);

    /// A short message of a known peer shows that it lives; returns whether it is news.
    bool noteSign(const ProcessName &process, std::uint64_t sequence, absl::Time now);

    /// Addresses of all known peers.
    std::vector<std::string> addresses() const;

    /// Addresses of the peers that have said that they run in this data centre.
    std::vector<std::string> addressesIn(const base::DataCentreId &dataCentre) const;

    /// The journal has been read since this instance's start stands in it.
    void noteJournalRead(absl::Time now);
    bool knowsInstances() const { return journalReadAt_ != absl::InfiniteFuture(); }

    /// Where a peer runs; empty if it is not known.
    base::DataCentreId dataCentreOf(const std::string &instance) const;

    /// The peers that have started and not stopped, or are heard.
    std::vector<GroupCandidate> candidates(absl::Time now) const;

    /// The heard peers of this data centre and their addresses, by instance.
    std::map<std::string, std::string> heardIn(const base::DataCentreId &dataCentre,
                                               absl::Time now) const;

    /// How many of the instances come before this one, in an order that is the same for all; 0
    /// for the first. Shortly after the journal was read all known ones are taken to be there.
    std::size_t rankOfSelf(absl::Time now) const;

    /// Where news takes two hops, what the leaders say takes the place of what is heard directly.
    /// Nothing: all tell all.
    struct Standing
    {
        std::size_t rank = 0;
        bool leads = false; ///< This instance leads its data centre.
        Membership membership;
    };
    void setStanding(const std::optional<Standing> &standing) { standing_ = standing; }

    /// This instance writes the usage counts of those that it hears directly.
    bool writesForOthers(absl::Time now) const;

    /// Counts this instance too.
    Membership membership(absl::Time now) const;

    /// The same, of those that are heard directly.
    Membership directMembership(absl::Time now) const;

    /// How far the heard peers' estimates of true time are ahead of this instance's own.
    std::vector<absl::Duration> timeOffsets(absl::Time now) const;

    /// The newest counts heard of each process for a window.
    std::map<ProcessName, UsageCounts> usageOf(WindowNumber window) const;

    /// The same, of processes that have said that these counts stay as they are.
    std::map<ProcessName, UsageCounts> finalUsageOf(WindowNumber window) const;

    /// This process's counts of a window stand in the journal, written by a peer.
    void noteWritten(const UsageWritten &written);
    bool isWritten(WindowNumber window) const { return writtenWindows_.count(window) > 0; }

    /// Tells peers whose counts stand in the journal; set by the link to them.
    void onWritten(std::function<void(const UsageWritten &)> tell)
    {
        tellWritten_ = std::move(tell);
    }
    void tellWritten(const UsageWritten &written) const;
    void forgetUsageBefore(WindowNumber window);

    /// Peers whose state (heard or not) changed since the last call.
    struct Change
    {
        std::string instance;
        bool heard = false;
    };
    std::vector<Change> takeChanges(absl::Time now);

    /// For `noteMessage`: what this instance estimates true time to be.
    void setOwnEstimate(absl::Time estimate) { ownEstimate_ = estimate; }

private:
    struct Peer
    {
        std::uint64_t incarnation = 0;
        std::string address;
        base::DataCentreId dataCentre;
        bool stopped = false;
        bool stopping = false; ///< It takes on no duties any more.
        std::uint64_t sequence = 0;
        absl::Time heard = absl::InfinitePast();
        absl::Duration timeOffset;
        bool reportedHeard = false;
    };
    bool isHeard(const Peer &peer, absl::Time now) const;

    ProcessName self_;
    std::optional<Standing> standing_;
    absl::Time journalReadAt_ = absl::InfiniteFuture(); ///< For the first time.
    std::function<void(const UsageWritten &)> tellWritten_;
    std::set<WindowNumber> writtenWindows_; ///< Of this process, by a peer.
    std::map<ProcessName, WindowNumber> finalBefore_;
    absl::Time ownEstimate_;
    std::map<std::string, Peer> peers_;
    std::map<WindowNumber, std::map<ProcessName, UsageCounts>> usage_;
};

} // namespace zinniadoor::gateway
