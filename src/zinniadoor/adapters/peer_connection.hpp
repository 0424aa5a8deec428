#pragma once

#include <cstdint>
#include <string>

#include "absl/time/time.h"

#include "peer_frame.hpp"
#include "socket_address.hpp"

namespace zinniadoor::adapters::detail {

/// Number of a connection that is never used again in this process.
using PeerConnectionId = std::uint64_t;

/// One TCP connection between peers; belongs to the link's thread.
class PeerConnection
{
public:
    /// Takes over a connected or connecting non-blocking socket.
    PeerConnection(PeerConnectionId id, int socket, absl::Time now);
    ~PeerConnection();
    PeerConnection(const PeerConnection &) = delete;
    PeerConnection &operator=(const PeerConnection &) = delete;

    /// Socket of a connection attempt in progress.
    static base::Outcome<int> startConnect(const SocketAddress &address);

    PeerConnectionId id() const { return id_; }
    int socket() const { return socket_; }

    /// What `poll` has to wait for.
    short pollEvents() const;

    /// Reads and writes what the socket allows now. False: the connection is finished.
    bool processEvents(short polledEvents, absl::Time now);

    /// Next whole frame that was received, if any.
    std::optional<PeerFrame> nextFrame(absl::Time now);
    bool malformed() const { return reader_.malformed(); }

    /// Adds a frame and returns its position among all bytes of this connection.
    std::uint64_t send(std::uint64_t callId, const std::string &payload);

    /// Bytes waiting to be sent.
    std::size_t outgoingBytes() const { return outgoing_.size(); }

    /// Bytes that left so far.
    std::uint64_t sentBytes() const { return sentBytes_; }

    absl::Time lastReceived() const { return lastReceived_; } ///< Or when it was opened.
    absl::Time frameStarted() const { return frameStarted_; } ///< InfiniteFuture between frames.

    std::string address; ///< Of the called peer; empty for a connection that was accepted.
    std::size_t openCalls = 0; ///< Without an answer so far.
    bool retired = false; ///< Takes no new calls.

private:
    bool readSome(absl::Time now);
    bool writeSome();

    const PeerConnectionId id_;
    const int socket_;
    PeerFrameReader reader_;
    ByteQueue outgoing_;
    std::uint64_t queuedBytes_ = 0;
    std::uint64_t sentBytes_ = 0;
    absl::Time lastReceived_;
    absl::Time frameStarted_ = absl::InfiniteFuture();
};

} // namespace zinniadoor::adapters::detail
