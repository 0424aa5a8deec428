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

/// One HTTP request, whole.
struct Request
{
    std::string method;
    std::string path; ///< Without the query.
    std::map<std::string, std::string> query;
    Headers headers;
    std::string body;
    int socket = -1;
    std::uint64_t connection = 0; ///< Number of the connection, from 1, in order of arrival.

    /// Value of a header, whatever its case; empty when absent.
    std::string header(const std::string &name) const;
    std::string queryValue(const std::string &name, const std::string &fallback = {}) const;
    std::int64_t queryNumber(const std::string &name, std::int64_t fallback) const;

    /// The caller closed or reset its connection.
    bool peerLeft() const;
};

enum class StreamStep {
    Data, ///< More bytes follow.
    End, ///< The answer is whole.
    Break, ///< Close the connection in the middle of the answer.
};

/// The body of an answer that is made while it is sent. Runs on the connection's own thread.
class BodyStream
{
public:
    virtual ~BodyStream() = default;

    /// Waits for the next bytes and puts them into `bytes`.
    virtual StreamStep next(std::string &bytes) = 0;

    /// Called once, when the connection is done with the answer.
    virtual void closed(bool complete) = 0;
};

struct Response
{
    int status = 200;
    std::string contentType = "application/json";
    Headers headers;
    std::string body;
    std::shared_ptr<BodyStream> stream; ///< In place of `body`.
    bool dropConnection = false; ///< Close without an answer.
};

/// `{"error": {"code", "message"}}`
Response errorResponse(int status, const std::string &code, const std::string &message);

class RequestHandler
{
public:
    virtual ~RequestHandler() = default;

    /// Called on the connection's own thread; may block.
    virtual Response handle(const Request &request) = 0;
};

/// HTTP server on 127.0.0.1 with a thread for each connection.
class HttpServer
{
public:
    /// Port 0 picks a free port. `port()` is 0 when the server could not start.
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
