#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>

#include "absl/time/time.h"

#include "zinniadoor/base/outcome.hpp"

namespace zinniadoor::net {

/// A connection from which the head of one request has been read.
struct HeadConnection
{
    boost::asio::ip::tcp::socket socket;
    boost::beast::http::request_header<> head;
    std::string rest; ///< Bytes received after the head.
};

struct HeadServerOptions
{
    std::size_t maxWaiting = 128; ///< Connections whose head has not arrived.
    std::size_t maxHeadBytes = std::size_t { 4 } * 1024;
    absl::Duration headTimeout = absl::Seconds(1);
};

/// Accepts connections, reads the head of one request from each, and hands them over. What follows
/// the head is up to the receiver. Not thread-safe: all calls are made on the event thread.
class HeadServer
{
public:
    virtual ~HeadServer() = default;
    virtual std::uint16_t port() const = 0;

    /// Closes the listening socket and the connections that were not handed over.
    virtual void close() = 0;
};

/// Listens on `address` (IP:port; port 0 selects a free port).
base::Outcome<std::unique_ptr<HeadServer>>
listenForHeads(boost::asio::io_context &context, const std::string &address,
               const HeadServerOptions &options,
               std::function<void(std::shared_ptr<HeadConnection>)> onHead);

} // namespace zinniadoor::net
