#pragma once

#include <memory>

#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/daemon/settings.hpp"

namespace zinniadoor::daemon {

/// A running instance with all its threads and sockets.
class Daemon
{
public:
    virtual ~Daemon() = default;
    virtual int callersPort() const = 0;
    virtual int adminPort() const = 0;
    virtual int peersPort() const = 0;

    /// Graceful shutdown: rejects new requests, completes those in progress and releases all
    /// leases. Blocks until that is done or the drain timeout has expired.
    virtual void stop() = 0;
};

/// Starts an instance. Fails if an address cannot be opened; the reason names it.
base::Outcome<std::unique_ptr<Daemon>> startDaemon(const Settings &settings);

} // namespace zinniadoor::daemon
