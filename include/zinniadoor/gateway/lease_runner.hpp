#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "zinniadoor/base/clock.hpp"
#include "zinniadoor/gateway/duty_lease.hpp"
#include "zinniadoor/gateway/peer_table.hpp"

namespace zinniadoor::gateway {

/// Keeps the duties' lease: reads its log, claims, renews and releases. One call to the store at
/// a time. For the event thread only.
class LeaseRunner
{
public:
    virtual ~LeaseRunner() = default;
    virtual void start() = 0;
    virtual const DutyLease &lease() const = 0;

    /// The right to make one call; null if this process may not act. The lease is not given up
    /// while there are permits.
    virtual DutyPermitPtr permit() = 0;

    /// The holder fixes figures; `done` says whether they stand in the log. Refused while another
    /// call is under way.
    virtual void fixFigures(WindowNumber window, const UsageCounts &counts,
                            std::function<void(bool fixed)> done)
        = 0;

    /// Tells successors, with the next renewal, that all windows before `window` were reported.
    virtual void noteReportedBefore(WindowNumber window) = 0;

    /// A call was refused for a higher fencing number.
    virtual void noteSuperseded() = 0;
    virtual void forgetFiguresBefore(WindowNumber window) = 0;

    /// Ends all acts at once, gives the lease up when the last call has ended, and claims it no
    /// more.
    virtual void stop() = 0;
};

/// All arguments outlive the runner. The first instances in the order of `peers` watch the lease
/// closely, the others look in now and then.
std::unique_ptr<LeaseRunner> makeLeaseRunner(boost::asio::io_context &context, LogStore &store,
                                             const base::Clock &clock, const ProcessName &self,
                                             const LeaseOptions &options, const PeerTable &peers);

} // namespace zinniadoor::gateway
