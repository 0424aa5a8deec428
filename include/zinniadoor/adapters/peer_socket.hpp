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
    std::string address = "127.0.0.1"; ///< IPv4 or IPv6 number.
    int port = 0; ///< For UDP and TCP; 0 picks one that is free for both.
    std::size_t maxConnections = 256; ///< In each direction.
    std::size_t maxOutgoingBytes = 8 * MebiByte; ///< Waiting on one connection.
    std::size_t maxCalls = 4096; ///< Waiting for their answers; in each direction.
    absl::Duration messageTimeout = absl::Seconds(10); ///< From a message's first byte to its end.
};

/// Opens the link to peers, with one thread. `handler` must outlive the link; destroying the
/// link ends all calls.
///
/// A call ends with Unavailable when none of its bytes were sent, Overloaded when a bound is
/// reached, Timeout when no answer came in time and OutcomeUnknown when the connection broke
/// after bytes were sent. After a timeout the next call to that peer takes a new connection.
base::Outcome<std::unique_ptr<ports::PeerLink>> openPeerSocket(const PeerSocketOptions &options,
                                                               ports::PeerHandler &handler);

} // namespace zinniadoor::adapters
