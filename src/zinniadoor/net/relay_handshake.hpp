#pragma once

#include <functional>
#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace zinniadoor::net {

struct RelayAnswer
{
    std::string fault; ///< Why the socket does not lead to the destination; empty if it does.
    bool cannotConnect = false; ///< The relay did not reach the destination.
    bool sendsFrames = false; ///< See `RelayFrameReader`. Earlier versions send bare bytes.
};

/// Asks the relay at the other end of a connected socket for a connection to `destination`.
/// `done` is not called if the socket is closed before.
void requestRelay(boost::asio::ip::tcp::socket &socket, const std::string &destination,
                  std::function<void(const RelayAnswer &)> done);

} // namespace zinniadoor::net
