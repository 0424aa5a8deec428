#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "zinniadoor/base/outcome.hpp"

namespace zinniadoor::net {

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
/// datagram and its sender's IP:port.
base::Outcome<std::unique_ptr<DatagramSocket>>
openDatagramSocket(boost::asio::io_context &context, const std::string &address,
                   std::function<void(const std::string &bytes, const std::string &from)> received);

} // namespace zinniadoor::net
