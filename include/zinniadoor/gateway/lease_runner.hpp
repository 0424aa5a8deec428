#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "zinniadoor/base/clock.hpp"
#include "zinniadoor/gateway/duty_lease.hpp"
#include "zinniadoor/gateway/peer_table.hpp"

namespace zinniadoor::gateway {

/// Maintains the duty lease: reads its log, claims, renews and releases it. Makes one store call at
/// a time. For the event thread only.
class LeaseRunner
{
public:
    virtual ~LeaseRunner() = default;
    virtual void start() = 0;
    virtual const DutyLease &lease() const = 0;

    /// Permission to make one call; null if this process may not act. The lease is not released
    /// while a permit exists.
    virtual DutyPermitPtr permit() = 0;

    /// Commits the figures of a window as the holder; `done` gets whether they were appended to the
    /// log. Fails while another store call is in progress.
    virtual void commitFigures(WindowNumber window, const UsageCounts &counts,
                               std::function<void(bool committed)> done)
        = 0;

    /// Records with the next renewal, for later holders, that all windows before `window` were
    /// reported.
    virtual void noteReportedBefore(WindowNumber window) = 0;

    /// A call was rejected because the receiver has seen a higher fencing number.
    virtual void noteSuperseded() = 0;
    virtual void discardFiguresBefore(WindowNumber window) = 0;

    /// Revokes all permits, releases the lease when the last call has ended, and does not claim it
    /// again.
    virtual void stop() = 0;
};

/// All arguments must outlive the runner. Only the first instances in the order of `peers` read the
/// lease log and may claim the lease.
std::unique_ptr<LeaseRunner> makeLeaseRunner(boost::asio::io_context &context, LogStore &store,
                                             const base::Clock &clock, const ProcessName &self,
                                             const LeaseOptions &options, const PeerTable &peers);

} // namespace zinniadoor::gateway
