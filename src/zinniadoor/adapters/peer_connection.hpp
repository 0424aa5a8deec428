#pragma once

#include <cstdint>
#include <string>

#include "absl/time/time.h"

#include "peer_frame.hpp"
#include "socket_address.hpp"

namespace zinniadoor::adapters::detail {

/// Unique within the process; never reused.
using PeerConnectionId = std::uint64_t;

/// One TCP connection between peers; used on the link's thread only.
class PeerConnection
{
public:
    /// Takes over a connected or connecting non-blocking socket.
    PeerConnection(PeerConnectionId id, int socket, absl::Time now);
    ~PeerConnection();
    PeerConnection(const PeerConnection &) = delete;
    PeerConnection &operator=(const PeerConnection &) = delete;

    /// Starts connecting and returns the non-blocking socket.
    static base::Outcome<int> startConnect(const SocketAddress &address);

    PeerConnectionId id() const { return id_; }
    int socket() const { return socket_; }

    /// Events to poll for.
    short pollEvents() const;

    /// Reads and writes without blocking. Returns false if the connection has ended.
    bool processEvents(short polledEvents, absl::Time now);

    /// Next complete frame that was received, if any.
    std::optional<PeerFrame> nextFrame(absl::Time now);
    bool malformed() const { return reader_.malformed(); }

    /// Queues a frame and returns its offset in the connection's outgoing byte stream.
    std::uint64_t send(std::uint64_t callId, const std::string &payload);

    /// Bytes queued and not yet sent.
    std::size_t outgoingBytes() const { return outgoing_.size(); }

    /// Bytes sent so far.
    std::uint64_t sentBytes() const { return sentBytes_; }

    /// Last receipt of data; initially the time of opening.
    absl::Time lastReceived() const { return lastReceived_; }
    absl::Time frameStarted() const
    {
        return frameStarted_;
    } ///< InfiniteFuture if none is partial.

    std::string address; ///< Of the called peer; empty for an accepted connection.
    std::size_t openCalls = 0; ///< Without a reply so far.
    bool retired = false; ///< No new calls are sent on it.

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
