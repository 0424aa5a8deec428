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
#include "zinniadoor/net/inbound_bytes.hpp"

namespace zinniadoor::net {

namespace http = boost::beast::http;

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;
using ResponseHead = http::response_header<>;

/// Size and time limits for requests. Changes apply from the next request of each connection.
struct ServerLimits
{
    std::size_t maxHeadBytes = std::size_t { 16 } * 1024;
    std::size_t maxBodyBytes = std::size_t { 1024 } * 1024;
    absl::Duration requestTimeout
        = absl::Seconds(3); ///< From the first byte of a request to its last.

    /// For a connection without a request, and for a client that accepts no byte of a response.
    absl::Duration idleTimeout = absl::Seconds(15);

    /// Connections at the same time; 0: any number. Beyond it an idle one is closed for a new one,
    /// or the new one if none is idle.
    std::size_t maxConnections = 0;
};

/// Sends the response to one request. Used on the event thread only. After the client has
/// disconnected, all calls are ignored.
class Responder
{
public:
    virtual ~Responder() = default;

    /// Sends a complete response with a Content-Length.
    virtual void answer(Response answer) = 0;

    /// Starts a chunked response; `send` adds to its body and `finish` ends it.
    virtual void begin(const ResponseHead &head) = 0;
    virtual void send(std::string_view bytes) = 0;
    virtual void finish() = 0;

    /// Closes the connection without the final chunk, so that the client detects a truncated
    /// response.
    virtual void abort() = 0;

    /// Keeps an object until the response has been written or the connection closes.
    virtual void keepUntilSent(const std::shared_ptr<void> &) { }

    /// Bytes queued but not yet written to the socket.
    virtual std::size_t pendingBytes() const = 0;

    /// `closed` is called at most once, when the connection closes before the response is complete.
    virtual void onClosed(std::function<void()> closed) = 0;

    /// `drained` is called whenever all pending bytes have been written.
    virtual void onDrained(std::function<void()> drained) = 0;
};

class RequestHandler
{
public:
    virtual ~RequestHandler() = default;

    /// Called with each complete request, body included.
    virtual void onRequest(Request request, std::shared_ptr<Responder> responder) = 0;
};

/// HTTP/1.1 server without pipelining: bytes that follow a request before its response is complete
/// are never handled as a request, which rules out request smuggling. They are discarded, or
/// rejected as not run if the head of the response has promised to keep the connection. Not
/// thread-safe: all calls are made on the event thread.
class HttpServer
{
public:
    virtual ~HttpServer() = default;
    virtual std::uint16_t port() const = 0;
    virtual void setLimits(const ServerLimits &limits) = 0;

    /// Closes each connection after its current response, and idle connections after `idleGrace`.
    /// New connections are still accepted, and closed after one response.
    virtual void drain(absl::Duration idleGrace) = 0;

    /// Closes the listening socket and all connections.
    virtual void close() = 0;

    /// Requests whose first byte has arrived and whose responses are not complete.
    virtual std::size_t activeRequests() const = 0;
};

/// Listens on `address` (IP:port; port 0 selects a free port). `handler` and `inbound` must outlive
/// the server. `inbound` owns the memory of the requests' bodies; null: they are limited one by
/// one.
base::Outcome<std::unique_ptr<HttpServer>>
listenHttp(boost::asio::io_context &context, const std::string &address, const ServerLimits &limits,
           RequestHandler &handler, InboundBytes *inbound = nullptr);

} // namespace zinniadoor::net
