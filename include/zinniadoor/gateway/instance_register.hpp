#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "zinniadoor/base/clock.hpp"
#include "zinniadoor/gateway/lease_runner.hpp"
#include "zinniadoor/gateway/peer_table.hpp"
#include "zinniadoor/gateway/platform_ports.hpp"

namespace zinniadoor::gateway {

struct InstanceRegisterOptions
{
    ProcessName self;
    std::string peerAddress; ///< Of this instance, recorded in the log.
    std::string dataCentre; ///< Of this instance, recorded in the log.
};

/// Dependencies of the register; all must outlive it.
struct InstanceRegisterParts
{
    LogStore &store;
    const LeaseRunner &lease;
    PeerTable &peers;
    const base::Clock &clock;
};

/// Records the start and the stop of this instance in the log of instances, and tells the peer
/// table of the instances that the log names. For the event thread only.
class InstanceRegister
{
public:
    virtual ~InstanceRegister() = default;
    virtual void start() = 0;

    /// Records the stop; `done` is called when that has succeeded or failed.
    virtual void stop(std::function<void()> done) = 0;
};

std::unique_ptr<InstanceRegister> makeInstanceRegister(boost::asio::io_context &context,
                                                       const InstanceRegisterParts &parts,
                                                       const InstanceRegisterOptions &options);

} // namespace zinniadoor::gateway
