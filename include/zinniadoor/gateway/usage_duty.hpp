#pragma once

#include <memory>

#include <boost/asio/io_context.hpp>

#include "zinniadoor/base/clock.hpp"
#include "zinniadoor/gateway/cluster_time.hpp"
#include "zinniadoor/gateway/journal.hpp"
#include "zinniadoor/gateway/lease_runner.hpp"
#include "zinniadoor/gateway/peer_table.hpp"

namespace zinniadoor::gateway {

struct UsageDutyOptions
{
    ProcessName self;
    std::string peerAddress; ///< Of this instance, recorded in the journal.
    std::string dataCentre; ///< Of this instance, recorded in the journal.
    absl::Duration reportDelay; ///< From a window's end until its report is due.
};

/// The first window for which no holder has committed figures by `clusterTime`.
WindowNumber firstUncommittedWindow(const UsageWindowCounter &counter, absl::Time clusterTime,
                                    absl::Duration reportDelay);

/// Dependencies of the duty; all must outlive it.
struct UsageDutyParts
{
    LogStore &store;
    DutyClient &platform;
    LeaseRunner &lease;
    UsageWindowCounter &counter;
    PeerTable &peers;
    const ClusterTime &clusterTime;
    const base::Clock &clock;
};

/// Writes this instance's counts to the journal when a window has ended. As the lease holder, it
/// also commits each window's figures to the lease log and reports them to the platform, with
/// retries until they are accepted, so that a later holder reports the same figures. For the event
/// thread only.
class UsageDuty
{
public:
    virtual ~UsageDuty() = default;
    virtual void start() = 0;

    /// Writes the counts so far; `done` is called when the write has succeeded or failed.
    virtual void stop(std::function<void()> done) = 0;
};

std::unique_ptr<UsageDuty> makeUsageDuty(boost::asio::io_context &context,
                                         const UsageDutyParts &parts,
                                         const UsageDutyOptions &options);

} // namespace zinniadoor::gateway
