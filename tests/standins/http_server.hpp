#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

struct MHD_Daemon;

namespace zinniadoor::standins {

using Headers = std::vector<std::pair<std::string, std::string>>;

/// A complete HTTP request.
struct Request
{
    std::string method;
    std::string path; ///< Without the query.
    std::map<std::string, std::string> query;
    Headers headers;
    std::string body;
    int socket = -1;
    std::uint64_t connection = 0; ///< Sequence number of the connection, from 1.

    /// Value of a header (name case-insensitive); empty if absent.
    std::string header(const std::string &name) const;
    std::string queryValue(const std::string &name, const std::string &fallback = {}) const;
    std::int64_t queryNumber(const std::string &name, std::int64_t fallback) const;

    /// Whether the client has closed or reset the connection.
    bool clientDisconnected() const;
};

enum class StreamStep {
    Data, ///< More bytes follow.
    End, ///< The response is complete.
    Abort, ///< Close the connection in mid-response.
};

/// Response body produced while it is sent. Runs on the thread of its connection.
class BodyStream
{
public:
    virtual ~BodyStream() = default;

    /// Waits for the next bytes and appends them to `bytes`.
    virtual StreamStep next(std::string &bytes) = 0;

    /// Called once, when the connection no longer uses the body.
    virtual void onClosed(bool complete) = 0;
};

struct Response
{
    int status = 200;
    std::string contentType = "application/json";
    Headers headers;
    std::string body;
    std::shared_ptr<BodyStream> stream; ///< Replaces `body` if set.
    bool dropConnection = false; ///< Close without a response.
};

/// `{"error": {"code", "message"}}`
Response errorResponse(int status, const std::string &code, const std::string &message);

class RequestHandler
{
public:
    virtual ~RequestHandler() = default;

    /// Called on the thread of the connection; may block.
    virtual Response handle(const Request &request) = 0;
};

/// HTTP server on 127.0.0.1 with one thread per connection.
class HttpServer
{
public:
    /// Port 0: any free port. `port()` is 0 if the server could not start.
    HttpServer(std::uint16_t port, RequestHandler &handler);
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    ~HttpServer();

    std::uint16_t port() const { return port_; }

private:
    MHD_Daemon *daemon_ = nullptr;
    std::uint16_t port_ = 0;
};

} // namespace zinniadoor::standins
