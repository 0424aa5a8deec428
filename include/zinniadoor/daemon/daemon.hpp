#pragma once

#include <memory>

#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/daemon/settings.hpp"

namespace zinniadoor::daemon {

/// A running daemon: all threads and sockets of one instance.
class Daemon
{
public:
    virtual ~Daemon() = default;
    virtual int callersPort() const = 0;
    virtual int adminPort() const = 0;
    virtual int peersPort() const = 0;

    /// Stops as planned: takes no new work, lets what runs finish, hands over its duties.
    /// Returns when that is done or the drain timeout has passed.
    virtual void stop() = 0;
};

/// Starts everything; a failed outcome says which address could not be opened.
base::Outcome<std::unique_ptr<Daemon>> startDaemon(const Settings &settings);

} // namespace zinniadoor::daemon
