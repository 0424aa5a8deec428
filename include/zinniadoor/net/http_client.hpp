#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "absl/time/time.h"

namespace zinniadoor::net {

namespace http = boost::beast::http;

using Request = http::request<http::string_body>;
using ResponseHead = http::response_header<>;

enum class CallError : std::uint8_t {
    ConnectFailed, ///< No connection within the time for it.
    ConnectionLost, ///< Closed or reset by the other side, or silent for too long.
    Malformed, ///< The other side does not speak HTTP.
    PermissionRevoked, ///< The right to send ended before the request was written.
};

/// Stable lower-case name, for logs.
const char *nameOf(CallError error);

/// Why a call has no whole answer.
struct CallFailure
{
    CallError error = CallError::ConnectFailed;
    bool sendStarted = false; ///< A byte of the request may have reached the other side.
    bool reachedPeer = false; ///< The other side's system took bytes of the request, or may have.
    bool onReusedConnection = false; ///< The connection had served another call before.
    std::string text;
};

/// Receives one call's answer, on the event thread. After `onEnd` or `onFailure` nothing follows.
class CallHandler
{
public:
    virtual ~CallHandler() = default;
    virtual void onHead(const ResponseHead &head) = 0;
    virtual void onBody(std::string bytes) = 0;
    virtual void onEnd() = 0;
    virtual void onFailure(const CallFailure &failure) = 0;
};

/// Connections are shared only between calls with the same address and the same `peer`, so that
/// a process that took over an address never meets its predecessor's connections.
struct CallTarget
{
    std::string address; ///< IP:port.
    std::string peer; ///< Name of the process expected there.
};

struct CallOptions
{
    absl::Duration connectTimeout;
    bool newConnection = false; ///< Never use a kept one.

    /// Asked right before bytes of the request are written; false ends the call. A call that has
    /// this and is cut short resets its connection, so that nothing of it leaves later. Empty:
    /// bytes may leave at any time.
    std::function<bool()> mayWrite;

    /// Tells whether an answer belongs to this call; one that does not is skipped. Empty: all do.
    std::function<bool(const ResponseHead &)> matchesCall;
};

/// A call under way.
class Call
{
public:
    virtual ~Call() = default;

    /// Closes the connection; the handler hears nothing more.
    virtual void cancel() = 0;

    /// Stops and restarts reading the body; the sender is held back by flow control.
    virtual void setPaused(bool paused) = 0;
};

struct HttpClientOptions
{
    absl::Duration unackedTimeout; ///< For sent bytes without acknowledgement (TCP_USER_TIMEOUT).
    absl::Duration idleLimit; ///< A kept connection idle for longer is not used again.
    std::size_t maxHeadBytes = 0;
};

/// Sends each request once, over kept or new connections. For the event thread only.
class HttpClient
{
public:
    virtual ~HttpClient() = default;
    virtual std::shared_ptr<Call> start(const CallTarget &target, Request request,
                                        CallOptions options, std::shared_ptr<CallHandler> handler)
        = 0;

    virtual std::uint64_t connectionsOpened() const = 0;
};

std::unique_ptr<HttpClient> makeHttpClient(boost::asio::io_context &context,
                                           const HttpClientOptions &options);

} // namespace zinniadoor::net
