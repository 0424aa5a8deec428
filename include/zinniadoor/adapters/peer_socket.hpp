#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "absl/time/time.h"

#include "zinniadoor/adapters/sizes.hpp"
#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/ports/peer_link.hpp"

namespace zinniadoor::adapters {

constexpr std::size_t MaxDatagramBytes = 1200;
constexpr std::size_t MaxPeerMessageBytes = 4 * MebiByte;

struct PeerSocketOptions
{
    std::string address = "127.0.0.1"; ///< Numeric IPv4 or IPv6 address.
    int port = 0; ///< For UDP and TCP; 0 selects one that is free for both.
    std::size_t maxConnections = 256; ///< Per direction.
    std::size_t maxOutgoingBytes = 8 * MebiByte; ///< Queued on one connection.
    std::size_t maxCalls = 4096; ///< Without a reply so far; per direction.
    absl::Duration messageTimeout = absl::Seconds(10); ///< From a message's first byte to its last.
};

/// Opens a UDP and TCP link to peers, served by one thread. `handler` must outlive the link.
/// Destroying the link ends all calls.
///
/// A call fails with Unavailable if none of its bytes were sent, Overloaded if a limit is reached,
/// Timeout if no reply arrived in time, and OutcomeUnknown if the connection failed after bytes
/// were sent. After a timeout, the next call to that peer opens a new connection.
base::Outcome<std::unique_ptr<ports::PeerLink>> openPeerSocket(const PeerSocketOptions &options,
                                                               ports::PeerHandler &handler);

} // namespace zinniadoor::adapters
