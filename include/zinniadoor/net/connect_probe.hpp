#pragma once

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "absl/time/time.h"

namespace zinniadoor::net {

/// Finds out whether a connection to `address` (IP:port) can be made, and closes it without having
/// sent anything. `done` gets true if it was made within `timeout`; it is not called before this
/// function returns.
void probeConnect(boost::asio::io_context &context, const std::string &address,
                  absl::Duration timeout, std::function<void(bool connected)> done);

} // namespace zinniadoor::net
