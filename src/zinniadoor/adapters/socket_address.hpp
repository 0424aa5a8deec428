#pragma once

#include <optional>
#include <string>

#include <sys/socket.h>

#include "zinniadoor/base/outcome.hpp"

namespace zinniadoor::adapters::detail {

/// IPv4 or IPv6 address with port, as used by the socket functions.
struct SocketAddress
{
    sockaddr_storage storage {};
    socklen_t length = 0;

    const sockaddr *data() const { return reinterpret_cast<const sockaddr *>(&storage); }
    int port() const;
    std::string text() const; ///< "IP:port", or "[IP]:port" for IPv6.
};

std::optional<SocketAddress> parseAddress(const std::string &ip, int port);

/// Parses "IP:port" or "[IP]:port".
std::optional<SocketAddress> parseAddressAndPort(const std::string &text);

/// Local address of a bound socket.
SocketAddress boundAddress(int socket);

/// Opens a non-blocking listening TCP socket.
base::Outcome<int> listenTcp(const SocketAddress &address);

/// Reason with `what` and the message of errno.
base::Reason systemReason(const std::string &what);

} // namespace zinniadoor::adapters::detail
