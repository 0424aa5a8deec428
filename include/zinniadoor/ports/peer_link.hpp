#pragma once

#include <functional>
#include <string>

#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/base/outcome.hpp"

namespace zinniadoor::ports {

/// Takes what peers send, on the link's thread; must not block.
class PeerHandler
{
public:
    virtual ~PeerHandler() = default;
    virtual void onDatagram(const std::string &fromAddress, std::string bytes) = 0;

    using Reply = std::function<void(std::string bytes)>;

    /// `reply` may be called later and from any thread, at most once.
    virtual void onCall(std::string bytes, Reply reply) = 0;
};

/// Messages to other instances by IP:port; the same port number serves UDP and TCP.
class PeerLink
{
public:
    virtual ~PeerLink() = default;
    virtual int port() const = 0;

    /// Unreliable, at most 1,200 bytes; longer ones are dropped.
    virtual void sendDatagram(const std::string &address, const std::string &bytes) = 0;

    using CallDone = std::function<void(base::Outcome<std::string>)>;

    /// One request and answer over TCP; `done` comes exactly once, on the link's thread.
    virtual void call(const std::string &address, std::string bytes, absl::Duration timeout,
                      CallDone done)
        = 0;
};

} // namespace zinniadoor::ports
