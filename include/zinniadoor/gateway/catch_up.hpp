#pragma once

#include <boost/asio/io_context.hpp>

#include "absl/time/time.h"

#include "zinniadoor/base/clock.hpp"
#include "zinniadoor/gateway/log_follower.hpp"

namespace zinniadoor::gateway {

/// Calls `done` with the result of the follower's catch-up, or with false once `limit` is over.
void catchUpWithin(absl::Duration limit, boost::asio::io_context &io, const base::Clock &clock,
                   LogFollower &follower, const CatchUpCallback &done);

} // namespace zinniadoor::gateway
