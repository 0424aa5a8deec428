#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "absl/time/time.h"

#include "zinniadoor/base/clock.hpp"
#include "zinniadoor/base/outcome.hpp"

namespace zinniadoor::net {

struct Datagram
{
    std::string bytes;
    std::string from; ///< IP:port of the sender.

    /// Upper bound of the time for which it lay in the socket, because the process stood still or
    /// was busy. Zero in ordinary operation.
    absl::Duration waited;
};

/// UDP socket. `send` never blocks: a datagram that does not fit the send buffer is dropped, as it
/// could be in the network.
class DatagramSocket
{
public:
    virtual ~DatagramSocket() = default;
    virtual void send(const std::string &address, const std::string &bytes) = 0;
    virtual std::uint16_t port() const = 0;
};

/// Binds a socket to `address` (IP:port). `received` is called on the event thread with each
/// datagram.
base::Outcome<std::unique_ptr<DatagramSocket>>
openDatagramSocket(boost::asio::io_context &context, const std::string &address,
                   const base::Clock &clock, std::function<void(const Datagram &)> received);

} // namespace zinniadoor::net
