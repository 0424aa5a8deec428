#pragma once

#include "zinniadoor/adapters/peer_socket.hpp"

#include "socket_address.hpp"

namespace zinniadoor::adapters::detail {

/// Owns a UDP socket and a listening TCP socket on the same port.
class PeerPort
{
public:
    PeerPort(int datagrams, int listener)
        : datagrams_(datagrams)
        , listener_(listener)
    { }
    ~PeerPort();
    PeerPort(const PeerPort &) = delete;
    PeerPort &operator=(const PeerPort &) = delete;

    int datagrams() const { return datagrams_; }
    int listener() const { return listener_; }
    int port() const { return boundAddress(listener_).port(); }

private:
    const int datagrams_;
    const int listener_;
};

base::Outcome<std::unique_ptr<PeerPort>> bindPeerPort(const PeerSocketOptions &options);

} // namespace zinniadoor::adapters::detail
