#pragma once

#include <memory>

#include <boost/asio/io_context.hpp>

#include "zinniadoor/base/clock.hpp"
#include "zinniadoor/gateway/journal.hpp"
#include "zinniadoor/gateway/lease_runner.hpp"
#include "zinniadoor/gateway/peer_table.hpp"
#include "zinniadoor/gateway/true_time.hpp"

namespace zinniadoor::gateway {

struct UsageDutyOptions
{
    ProcessName self;
    std::string peerAddress; ///< Of this instance, for the journal.
    std::string dataCentre; ///< The same.
    absl::Duration due; ///< After a window's end, for its report.
};

/// All outlive the duty.
struct UsageDutyParts
{
    LogStore &store;
    DutyClient &platform;
    LeaseRunner &lease;
    UsageBook &book;
    PeerTable &peers;
    const TrueTime &trueTime;
    const base::Clock &clock;
};

/// Writes this instance's counts into the journal when a window has ended, and, as the holder of
/// the lease, fixes each window's figures in the lease log and reports them until they are taken.
/// A successor reports the same figures. For the event thread only.
class UsageDuty
{
public:
    virtual ~UsageDuty() = default;
    virtual void start() = 0;

    /// Writes what was counted so far; `done` is called once it is stored or has failed.
    virtual void stop(std::function<void()> done) = 0;
};

std::unique_ptr<UsageDuty> makeUsageDuty(boost::asio::io_context &context,
                                         const UsageDutyParts &parts,
                                         const UsageDutyOptions &options);

} // namespace zinniadoor::gateway
