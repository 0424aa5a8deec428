#pragma once

#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "zinniadoor/base/outcome.hpp"

namespace zinniadoor::net {

/// Parses "IP:port"; host names are not resolved.
base::Outcome<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string &text);

} // namespace zinniadoor::net
