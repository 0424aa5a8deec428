#include "peer_port.hpp"

#include <unistd.h>

namespace zinniadoor::adapters::detail {

namespace {

using BindResult = base::Outcome<std::unique_ptr<PeerPort>>;

constexpr int BindAttempts = 50;

BindResult bindTcpAndUdp(const SocketAddress &address)
{
    const auto listener = listenTcp(address);
    if (!listener)
        return listener.lastReason();
    const SocketAddress bound = boundAddress(*listener);
    const int datagrams
        = socket(bound.storage.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (datagrams >= 0 && bind(datagrams, bound.data(), bound.length) == 0)
        return std::make_unique<PeerPort>(datagrams, *listener);
    const base::Reason reason = systemReason("binding UDP on " + bound.text());
    close(*listener);
    if (datagrams >= 0)
        close(datagrams);
    return reason;
}

} // namespace

PeerPort::~PeerPort()
{
    close(datagrams_);
    close(listener_);
}

// A port that is free for TCP may be in use for UDP, so several free ports are tried.
BindResult bindPeerPort(const PeerSocketOptions &options)
{
    const auto address = parseAddress(options.address, options.port);
    if (!address)
        return base::Reason { base::ReasonCode::InvalidArgument,
                              "invalid IP address or port: " + options.address };
    const int attempts = options.port == 0 ? BindAttempts : 1;
    BindResult bound = bindTcpAndUdp(*address);
    for (int i = 1; i < attempts && !bound; ++i)
        bound = bindTcpAndUdp(*address);
    return bound;
}

} // namespace zinniadoor::adapters::detail
