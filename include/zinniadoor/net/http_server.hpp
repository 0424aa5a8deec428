#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "absl/time/time.h"

#include "zinniadoor/base/outcome.hpp"

namespace zinniadoor::net {

namespace http = boost::beast::http;

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;
using ResponseHead = http::response_header<>;

/// What a client may send and how long it may take; read anew for each request.
struct ServerLimits
{
    std::size_t maxHeadBytes = std::size_t { 16 } * 1024;
    std::size_t maxBodyBytes = std::size_t { 1024 } * 1024;
    absl::Duration requestTimeout = absl::Seconds(3); ///< From a request's first byte to its last.
    absl::Duration idleTimeout = absl::Seconds(15); ///< Of a connection without a request.
};

/// The answering side of one request. For the event thread only.
/// Once the client has left, everything sent is dropped.
class Responder
{
public:
    virtual ~Responder() = default;

    /// Sends a whole answer.
    virtual void answer(Response answer) = 0;

    /// Begins an answer of unknown length; `send` and `finish` follow.
    virtual void begin(const ResponseHead &head) = 0;
    virtual void send(std::string_view bytes) = 0;
    virtual void finish() = 0;

    /// Closes the connection, so that an answer that was begun is seen to be incomplete.
    virtual void abort() = 0;

    /// Bytes that wait to be written.
    virtual std::size_t pendingBytes() const = 0;

    /// `closed` is called once if the client leaves before the answer was finished.
    virtual void onClosed(std::function<void()> closed) = 0;

    /// `drained` is called each time all pending bytes have been written.
    virtual void onDrained(std::function<void()> drained) = 0;
};

class RequestHandler
{
public:
    virtual ~RequestHandler() = default;

    /// A request was read whole.
    virtual void onRequest(Request request, std::shared_ptr<Responder> responder) = 0;
};

/// Serves HTTP/1.1, one request at a time on each connection. Bytes that follow a request before
/// its answer are never read as a request. For the event thread only.
class HttpServer
{
public:
    virtual ~HttpServer() = default;
    virtual std::uint16_t port() const = 0;
    virtual void setLimits(const ServerLimits &limits) = 0;

    /// Ends each connection after its present answer, and idle ones after `idleGrace`; new
    /// connections are still served.
    virtual void drain(absl::Duration idleGrace) = 0;

    /// Closes the listening socket and all connections.
    virtual void close() = 0;

    /// Requests read or being read, whose answers are not finished.
    virtual std::size_t activeRequests() const = 0;
};

/// Listens on `address` (IP:port; port 0 picks a free one). `handler` outlives the server.
base::Outcome<std::unique_ptr<HttpServer>> listenHttp(boost::asio::io_context &context,
                                                      const std::string &address,
                                                      const ServerLimits &limits,
                                                      RequestHandler &handler);

} // namespace zinniadoor::net
