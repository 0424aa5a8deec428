#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>

namespace zinniadoor::net {

/// Why a server has refused a request or closed a connection to save memory or descriptors.
enum class InboundRefusal : std::uint8_t {
    Memory, ///< The body made too little progress while others waited for room.
    NoRoom, ///< There was no room for the body within the request timeout.
    IdleConnection, ///< Closed for a new connection.
    Connection, ///< A new connection above the limit, closed.
};

/// What the owner of the bytes does with a body that is being read.
struct InboundActions
{
    std::function<void()> resume; ///< There is room now; not called after `remove`.
    std::function<void()> refuse; ///< Ends the request and removes the body.
    std::function<std::size_t()> received; ///< Bytes of the body so far.
};

/// Owner of the memory for the bodies of requests, over all connections. A body whose room is not
/// granted is not read. Used on the event thread only; outlives the servers that use it.
class InboundBytes
{
public:
    using Id = std::uint64_t;

    virtual ~InboundBytes() = default;

    virtual Id add(InboundActions actions) = 0;

    /// Asks for room for `bytes` bytes of the body in all. False: `resume` is called later.
    virtual bool reserve(Id id, std::size_t bytes) = 0;

    /// The body is whole: it is not refused any more, and keeps its room until `remove`.
    virtual void noteComplete(Id id) = 0;
    virtual void remove(Id id) = 0;

    /// For logs and counters.
    virtual void noteRefusal(InboundRefusal refusal) = 0;
};

} // namespace zinniadoor::net
