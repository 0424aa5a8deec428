#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "zinniadoor/ports/endpoint_client.hpp"

namespace zinniadoor::ports {

/// A whole request of a caller.
struct CallerRequest
{
    std::string method;
    std::string path; ///< Without the query.
    std::string query; ///< Without '?'.
    std::vector<HttpHeader> headers;
    std::string body;

    /// First header of that name (case-insensitive); nothing where there is none.
    const std::string *header(std::string_view name) const;
};

/// One request and its answer. Functions may be called from any thread and never block.
class CallerExchange
{
public:
    virtual ~CallerExchange() = default;
    virtual const CallerRequest &request() const = 0;

    /// Whole answer at once. Only the first of `respond` and `beginStream` counts.
    virtual void respond(int status, std::vector<HttpHeader> headers, std::string body) = 0;

    /// Begins an answer in pieces.
    virtual void beginStream(int status, std::vector<HttpHeader> headers) = 0;

    /// Adds a piece; never refuses. Check `pendingBytes` to hold back the source.
    virtual void write(std::string_view bytes) = 0;

    /// Ends a streamed answer; `whole` false closes the connection without the final chunk, so
    /// that the caller sees that the answer was cut.
    virtual void endStream(bool whole) = 0;

    /// Bytes written and not yet taken by the caller's connection.
    virtual std::size_t pendingBytes() const = 0;

    /// True once the caller's connection is gone.
    virtual bool callerDisconnected() const = 0;
};

/// Takes exchanges on the server's thread; must not block.
class CallerHandler
{
public:
    virtual ~CallerHandler() = default;
    virtual void onRequest(std::shared_ptr<CallerExchange> exchange) = 0;

    /// The caller has taken bytes or left; look at `pendingBytes` and `callerDisconnected`.
    virtual void onProgress(const std::shared_ptr<CallerExchange> &exchange) = 0;
};

/// A listening HTTP/1.1 server; destroying it closes it.
class CallerServer
{
public:
    virtual ~CallerServer() = default;
    virtual int port() const = 0;

    /// Stops taking new connections and answers "Connection: close" on the others.
    virtual void stopAccepting() = 0;
};

} // namespace zinniadoor::ports
