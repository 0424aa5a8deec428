#pragma once

#include <functional>
#include <string>

#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/base/outcome.hpp"

namespace zinniadoor::ports {

/// Handles messages from peers on the link's thread; must not block.
class PeerHandler
{
public:
    virtual ~PeerHandler() = default;
    virtual void onDatagram(const std::string &fromAddress, std::string bytes) = 0;

    using Reply = std::function<void(std::string bytes)>;

    /// Handles a request. `reply` may be called later and from any thread, at most once.
    virtual void onCall(std::string bytes, Reply reply) = 0;
};

/// Exchanges messages with other instances, addressed by IP:port. UDP and TCP use the same port
/// number.
class PeerLink
{
public:
    virtual ~PeerLink() = default;
    virtual int port() const = 0;

    /// Sends an unreliable datagram. Datagrams of more than 1,200 bytes are dropped.
    virtual void sendDatagram(const std::string &address, const std::string &bytes) = 0;

    using CallDone = std::function<void(base::Outcome<std::string>)>;

    /// Sends a request over TCP and waits for the reply; `done` is called exactly once, on the
    /// link's thread.
    virtual void call(const std::string &address, std::string bytes, absl::Duration timeout,
                      CallDone done)
        = 0;
};

} // namespace zinniadoor::ports
