#pragma once

#include <functional>

#include <boost/asio/io_context.hpp>

namespace zinniadoor::net {

/// Runs the event loop until it is stopped or has no work left. An exception that a handler throws
/// is logged, `onException` is called by the loop, and the loop goes on. Returns whether no handler
/// has thrown; also returns, with false, if exceptions don't end.
bool runEventLoop(boost::asio::io_context &context, const std::function<void()> &onException);

} // namespace zinniadoor::net
