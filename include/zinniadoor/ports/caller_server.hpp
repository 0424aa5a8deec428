#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "zinniadoor/ports/endpoint_client.hpp"

namespace zinniadoor::ports {

/// A complete request received from a caller.
struct CallerRequest
{
    std::string method;
    std::string path; ///< Without the query.
    std::string query; ///< Without '?'.
    std::vector<HttpHeader> headers;
    std::string body;

    /// Value of the first header with this name (case-insensitive), or null.
    const std::string *header(std::string_view name) const;
};

/// One HTTP exchange with a caller. Thread-safe; no function blocks.
class CallerExchange
{
public:
    virtual ~CallerExchange() = default;
    virtual const CallerRequest &request() const = 0;

    /// Sends a complete response. Only the first call of `respond` or `beginStream` has an effect.
    virtual void respond(int status, std::vector<HttpHeader> headers, std::string body) = 0;

    /// Starts a streamed response.
    virtual void beginStream(int status, std::vector<HttpHeader> headers) = 0;

    /// Appends to a streamed response. The buffer is unbounded: check `pendingBytes` and throttle
    /// the source.
    virtual void write(std::string_view bytes) = 0;

    /// Ends a streamed response. With `whole` false the connection is closed without the final
    /// chunk, so that the caller detects the truncation.
    virtual void endStream(bool whole) = 0;

    /// Bytes written and not yet accepted by the caller's connection.
    virtual std::size_t pendingBytes() const = 0;

    /// True once the caller's connection has closed.
    virtual bool callerDisconnected() const = 0;
};

/// Handles exchanges on the server's thread; must not block.
class CallerHandler
{
public:
    virtual ~CallerHandler() = default;
    virtual void onRequest(std::shared_ptr<CallerExchange> exchange) = 0;

    /// Called after bytes were sent to the caller or the caller disconnected; check `pendingBytes`
    /// and `callerDisconnected`.
    virtual void onProgress(const std::shared_ptr<CallerExchange> &exchange) = 0;
};

/// A listening HTTP/1.1 server, closed by its destructor.
class CallerServer
{
public:
    virtual ~CallerServer() = default;
    virtual int port() const = 0;

    /// Stops accepting connections and adds "Connection: close" to responses on open ones.
    virtual void stopAccepting() = 0;
};

} // namespace zinniadoor::ports
