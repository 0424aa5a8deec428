#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/base/ring.hpp"
#include "zinniadoor/control/snapshot.hpp"
#include "zinniadoor/ports/caller_server.hpp"
#include "zinniadoor/ports/peer_link.hpp"
#include "zinniadoor/ports/platform.hpp"

// Events that other threads post to the message loop of the core thread.

namespace zinniadoor::daemon {

/// A caller's request has arrived in full.
struct CallerRequestReceived
{
    std::shared_ptr<ports::CallerExchange> exchange;
};

/// The caller has received bytes of the response or has disconnected.
struct CallerExchangeUpdated
{
    std::shared_ptr<ports::CallerExchange> exchange;
};

/// The buffer of an endpoint call has new content.
struct EndpointCallUpdated
{
    std::uint64_t call = 0;
};

/// A page of the log was read and decoded.
struct LogPageRead
{
    control::PreparedPage page;
    base::Offset after = 0; ///< The page holds the entries after this offset.
    absl::Time readAt; ///< Monotonic time after the response was received.
};

/// A read of the log after `after` has failed.
struct LogReadFailed
{
    base::Offset after = 0;
    base::Reason reason;
};

/// The append of a frame has succeeded or failed.
struct LogAppendCompleted
{
    std::uint64_t sequence = 0; ///< Of the frame.
    std::size_t bytes = 0;
    base::Outcome<base::Offset> offset;
};

/// A one-way message from a peer.
struct PeerDatagramReceived
{
    std::string from;
    std::string bytes;
};

/// A call from a peer, to be answered with `reply`.
struct PeerRequestReceived
{
    std::string bytes;
    ports::PeerHandler::Reply reply;
};

/// A call to a peer has been answered, has failed or has timed out.
struct PeerCallCompleted
{
    std::uint64_t call = 0;
    base::Outcome<std::string> bytes;
};

/// The platform's instance list was read.
struct InstancesListed
{
    std::vector<ports::ListedInstance> instances;
};

/// An order was sent; `status` is its outcome.
struct OrderCompleted
{
    ports::EndpointOrder order;
    base::Status status;
};

/// A usage report was sent; `status` is its outcome.
struct UsageReportCompleted
{
    ports::UsageReport report;
    base::Status status;
};

/// A graceful shutdown begins.
struct StopRequested
{ };

using CoreMessage
    = std::variant<CallerRequestReceived, CallerExchangeUpdated, EndpointCallUpdated, LogPageRead,
                   LogReadFailed, LogAppendCompleted, PeerDatagramReceived, PeerRequestReceived,
                   PeerCallCompleted, InstancesListed, OrderCompleted, UsageReportCompleted,
                   StopRequested>;

using CoreRing = base::Ring<CoreMessage>;

/// Posts a message from another thread; while the ring is full, retries until `giveUp` returns
/// true. The core thread never waits for other threads, so this cannot deadlock.
void pushBlocking(CoreRing &core, CoreMessage message, const std::function<bool()> &giveUp);

} // namespace zinniadoor::daemon
