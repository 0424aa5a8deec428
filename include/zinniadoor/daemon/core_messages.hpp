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

// What the other threads tell the core thread.

namespace zinniadoor::daemon {

struct CallerArrived
{
    std::shared_ptr<ports::CallerExchange> exchange;
};

/// The caller has taken bytes or has left.
struct CallerProgressed
{
    std::shared_ptr<ports::CallerExchange> exchange;
};

/// A call's buffer holds something new.
struct EndpointNews
{
    std::uint64_t call = 0;
};

struct LogRead
{
    control::PreparedPage page;
    base::Offset after = 0; ///< The page holds what follows this offset.
    absl::Time readAt; ///< Monotonic, taken after the answer came.
};

struct LogUnreadable
{
    base::Offset after = 0;
    base::Reason reason;
};

struct AppendEnded
{
    std::uint64_t sequence = 0; ///< Of the frame.
    std::size_t bytes = 0;
    base::Outcome<base::Offset> offset;
};

struct PeerDatagram
{
    std::string from;
    std::string bytes;
};

struct PeerCalled
{
    std::string bytes;
    ports::PeerHandler::Reply reply;
};

struct PeerAnswered
{
    std::uint64_t call = 0;
    base::Outcome<std::string> bytes;
};

struct InstancesListed
{
    std::vector<ports::ListedInstance> instances;
};

struct OrderEnded
{
    ports::EndpointOrder order;
    base::Status status;
};

struct ReportEnded
{
    ports::UsageReport report;
    base::Status status;
};

struct StopRequested
{ };

using CoreMessage = std::variant<CallerArrived, CallerProgressed, EndpointNews, LogRead,
                                 LogUnreadable, AppendEnded, PeerDatagram, PeerCalled, PeerAnswered,
                                 InstancesListed, OrderEnded, ReportEnded, StopRequested>;

using CoreRing = base::Ring<CoreMessage>;

/// Pushes from another thread, waiting for room until `giveUp` is true. The core never waits for
/// other threads, so this cannot deadlock.
void pushWaiting(CoreRing &core, CoreMessage message, const std::function<bool()> &giveUp);

} // namespace zinniadoor::daemon
