#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
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
    ConnectFailed, ///< No connection within the connect timeout.
    ConnectionLost, ///< Closed or reset by the peer, or sent data was not acknowledged in time.
    Malformed, ///< The response is not valid HTTP or exceeds a limit.
    PermissionRevoked, ///< `CallOptions::mayWrite` returned false before the request was written.
    Ambiguous, ///< The response may repeat that to an earlier call; see `CallOptions::isAmbiguous`.
};

/// Stable lower-case name for logs.
const char *nameOf(CallError error);

/// Why a call ended without a complete response.
struct CallFailure
{
    CallError error = CallError::ConnectFailed;
    bool isLocal = false; ///< This process could not open a connection; says nothing of the peer.
    bool sendStarted = false; ///< Bytes of the request were handed to the socket.
    bool reachedPeer = false; ///< The peer's TCP stack acknowledged request bytes, or may have.
    bool onReusedConnection = false; ///< The connection had completed an earlier call.
    std::string relay {}; ///< Of the target; it, or the way to it, may have failed.
    bool relayFailed = false; ///< No connection, which is not due to the endpoint.
    std::string text;
};

/// Receives one call's response on the event thread. `onEnd` or `onFailure` is the last callback.
class CallHandler
{
public:
    virtual ~CallHandler() = default;
    virtual void onHead(const ResponseHead &head) = 0;
    virtual void onBody(std::string bytes) = 0;
    virtual void onEnd() = 0;
    virtual void onFailure(const CallFailure &failure) = 0;

    /// The request has been unacknowledged for the client's `unackedTimeout`; the call goes on.
    /// Only for calls with an `unackedTimeout` of their own.
    virtual void onUnacknowledged() { }
};

/// Destination of a call and key of the connection pool. Pooled connections are reused only if all
/// fields match, so that a process that takes over an address never receives requests on
/// connections opened to its predecessor.
struct CallTarget
{
    std::string address; ///< IP:port.
    std::string peer; ///< Identifies the process expected at the address.

    /// IP:port of a process that passes bytes on to `peer`, whose address it knows; empty: the
    /// connection is a direct one.
    std::string relay {};
};

struct CallOptions
{
    absl::Duration connectTimeout;

    /// How long the request may be unacknowledged; empty: the client's `unackedTimeout`. If the
    /// call ends early with unacknowledged bytes, they are discarded.
    std::optional<absl::Duration> unackedTimeout;
    bool newConnection = false; ///< Never reuse a pooled connection.

    /// Names the request in its response. The call is not made on a connection that has carried a
    /// call with this identity: the response to that one, if repeated, would match this one, too.
    /// Empty: no restriction.
    std::string identity;

    /// Checked immediately before each write of request bytes; false fails the call. If such a call
    /// ends early, its connection is reset, so that the kernel discards unsent bytes instead of
    /// sending them after the permission has expired. Empty: always allowed.
    std::function<bool()> mayWrite;

    /// Returns whether a response is for this call. A response for which it returns false is
    /// discarded and the next one is read. Empty: every response is accepted.
    std::function<bool(const ResponseHead &)> matchesCall;

    /// Returns whether a response does not show which call it answers. On a connection that has
    /// served another call, such a response fails the call. Empty: no response is ambiguous.
    std::function<bool(const ResponseHead &)> isAmbiguous;
};

/// A call in progress.
class Call
{
public:
    virtual ~Call() = default;

    /// Closes the connection; no further callbacks follow.
    virtual void cancel() = 0;

    /// Pauses or resumes reading the body. While paused, TCP flow control throttles the sender.
    virtual void setPaused(bool paused) = 0;
};

struct HttpClientOptions
{
    absl::Duration unackedTimeout; ///< How long sent data may be unacknowledged (TCP_USER_TIMEOUT).
    absl::Duration idleLimit; ///< Longest idle time after which a connection is reused.
    std::size_t maxHeadBytes = 0;
};

/// HTTP/1.1 client with a connection pool. Sends each request once and never retries. Not
/// thread-safe: all calls are made on the event thread.
class HttpClient
{
public:
    virtual ~HttpClient() = default;

    /// Starts a call. `handler` is not called before this returns.
    virtual std::shared_ptr<Call> start(const CallTarget &target, Request request,
                                        CallOptions options, std::shared_ptr<CallHandler> handler)
        = 0;

    /// Closes the idle connections to a target. Calls in progress go on.
    virtual void closeIdle(const CallTarget &target) = 0;

    virtual std::uint64_t connectionsOpened() const = 0;
};

std::unique_ptr<HttpClient> makeHttpClient(boost::asio::io_context &context,
                                           const HttpClientOptions &options);

} // namespace zinniadoor::net
