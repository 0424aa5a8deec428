#include "zinniadoor/adapters/http_server.hpp"

#include <atomic>
#include <utility>

#include <microhttpd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include "connection_monitor.hpp"
#include "http_exchange.hpp"
#include "http_response.hpp"
#include "socket_address.hpp"

namespace zinniadoor::adapters {

namespace {

using detail::HttpConnection;
using detail::HttpExchange;
using detail::HttpResponse;
using detail::ReadResult;
using detail::ReadStep;
using detail::ResponseResult;

constexpr std::size_t StreamBlockBytes = 16 * KibiByte;
constexpr std::size_t ConnectionMemoryBytes = 32 * KibiByte; // in addition to the headers
// Connections above the limit are accepted and closed rather than left in the backlog.
constexpr unsigned ExtraConnections = 64;

/// State of one request from its request line to its end.
struct Request
{
    explicit Request(std::string requestTarget)
        : target(std::move(requestTarget))
    { }

    const std::string target;
    bool headersReceived = false;
    bool rejected = false; ///< Answered with an error before it was complete; not dispatched.
    bool isHttp10 = false; ///< No chunked encoding.
    ports::CallerRequest received;
    std::shared_ptr<HttpExchange> exchange;
};

MHD_Result addHeader(void *cls, MHD_ValueKind, const char *key, const char *value)
{
    auto *headers = static_cast<std::vector<ports::HttpHeader> *>(cls);
    headers->push_back({ key, value == nullptr ? "" : value });
    return MHD_YES;
}

std::size_t headerBytes(const Request &request)
{
    constexpr std::size_t SeparatorBytes = 4; // ": " and CRLF
    std::size_t total = request.target.size();
    for (const ports::HttpHeader &header : request.received.headers)
        total += header.name.size() + header.value.size() + SeparatorBytes;
    return total;
}

class HttpServer : public ports::CallerServer
{
public:
    HttpServer(const HttpServerOptions &options, ports::CallerHandler &handler)
        : options_(options)
        , handler_(handler)
        , monitor_(options.idleTimeout, options.requestTimeout)
    { }

    ~HttpServer() override
    {
        monitor_.stop();
        // MHD_stop_daemon requires that no connection is suspended; `stop` has resumed them all.
        if (daemon_ != nullptr)
            MHD_stop_daemon(daemon_);
    }

    base::Status start();
    int port() const override { return port_; }
    void stopAccepting() override;

private:
    // Callbacks of libmicrohttpd; all but `acceptConnection` run on its single thread.
    static MHD_Result acceptConnection(void *cls, const sockaddr *address, socklen_t length);
    static void onConnectionNotification(void *cls, MHD_Connection *connection,
                                         void **socketContext, MHD_ConnectionNotificationCode code);
    static void *onRequestStarted(void *cls, const char *target, MHD_Connection *connection);
    static MHD_Result onRequestData(void *cls, MHD_Connection *connection, const char *url,
                                    const char *method, const char *version, const char *data,
                                    std::size_t *dataSize, void **state);
    static void onRequestFinished(void *cls, MHD_Connection *connection, void **state,
                                  MHD_RequestTerminationCode code);
    static ssize_t readStream(void *cls, std::uint64_t position, char *buffer,
                              std::size_t capacity);

    /// Context of `readStream`; owned by the MHD response.
    struct Stream
    {
        HttpServer *server;
        MHD_Connection *connection;
        std::shared_ptr<HttpExchange> exchange;
        bool closeDelimited; ///< The end of the connection marks the end of the body.
    };

    static HttpConnection &connectionOf(MHD_Connection *connection);
    MHD_Result readHeaders(MHD_Connection *connection, Request &request, const char *method);
    MHD_Result readBody(MHD_Connection *connection, Request &request, const char *data,
                        std::size_t *dataSize);
    bool dispatch(MHD_Connection *connection, Request &request);
    MHD_Result queueResponse(MHD_Connection *connection, Request &request);
    MHD_Result reject(MHD_Connection *connection, Request &request, const HttpResponse &error);
    void rejectOnSocket(MHD_Connection *connection, const HttpResponse &error);
    HttpResponse headersTooLarge() const;
    HttpResponse bodyTooLarge() const;

    const HttpServerOptions options_;
    ports::CallerHandler &handler_;
    int port_ = 0;
    MHD_Daemon *daemon_ = nullptr;
    std::atomic<bool> accepting_ { true };
    detail::ConnectionMonitor monitor_;
};

base::Status HttpServer::start()
{
    const auto address = detail::parseAddress(options_.address, options_.port);
    if (!address)
        return base::Reason { base::ReasonCode::InvalidArgument,
                              absl::StrCat("invalid IP address or port: ", options_.address, ":",
                                           options_.port) };
    const auto listener = detail::listenTcp(*address);
    if (!listener)
        return listener.lastReason();
    port_ = detail::boundAddress(*listener).port();
    const auto idleSeconds = static_cast<unsigned>(
        absl::ToInt64Seconds(options_.idleTimeout + absl::Seconds(1) - absl::Nanoseconds(1)));
    daemon_ = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, &acceptConnection, this,
        &onRequestData, this, MHD_OPTION_LISTEN_SOCKET, *listener, MHD_OPTION_CONNECTION_LIMIT,
        static_cast<unsigned>(options_.connectionLimit) + ExtraConnections,
        MHD_OPTION_CONNECTION_TIMEOUT, idleSeconds, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        2 * options_.maxHeaderBytes + ConnectionMemoryBytes, MHD_OPTION_NOTIFY_CONNECTION,
        &onConnectionNotification, this, MHD_OPTION_URI_LOG_CALLBACK, &onRequestStarted, this,
        MHD_OPTION_NOTIFY_COMPLETED, &onRequestFinished, this, MHD_OPTION_STRICT_FOR_CLIENT, 1,
        MHD_OPTION_END);
    if (daemon_ == nullptr) {
        close(*listener);
        return base::Reason { base::ReasonCode::Internal,
                              "libmicrohttpd could not start the HTTP server" };
    }
    return base::Done {};
}

// Connections in the backlog of the listener are accepted before it closes, so that a graceful
// stop resets none of them.
void HttpServer::stopAccepting()
{
    if (!accepting_.exchange(false))
        return;
    const int listener = MHD_quiesce_daemon(daemon_);
    if (listener < 0)
        return;
    detail::SocketAddress peer;
    while (true) {
        peer.length = sizeof(peer.storage);
        const int socket = accept4(listener, reinterpret_cast<sockaddr *>(&peer.storage),
                                   &peer.length, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket < 0)
            break;
        MHD_add_connection(daemon_, socket, peer.data(), peer.length);
    }
    close(listener);
}

MHD_Result HttpServer::acceptConnection(void *cls, const sockaddr *, socklen_t)
{
    auto *server = static_cast<HttpServer *>(cls);
    return server->monitor_.count() < server->options_.connectionLimit ? MHD_YES : MHD_NO;
}

void HttpServer::onConnectionNotification(void *cls, MHD_Connection *connection,
                                          void **socketContext, MHD_ConnectionNotificationCode code)
{
    auto *server = static_cast<HttpServer *>(cls);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        const MHD_ConnectionInfo *info
            = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        *socketContext = server->monitor_.add(info->connect_fd);
    } else if (*socketContext != nullptr) {
        server->monitor_.remove(static_cast<HttpConnection *>(*socketContext));
        *socketContext = nullptr;
    }
}

HttpConnection &HttpServer::connectionOf(MHD_Connection *connection)
{
    const MHD_ConnectionInfo *info
        = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return *static_cast<HttpConnection *>(info->socket_context);
}

void *HttpServer::onRequestStarted(void *cls, const char *target, MHD_Connection *connection)
{
    auto *server = static_cast<HttpServer *>(cls);
    server->monitor_.onRequestStarted(connectionOf(connection));
    return new Request(target);
}

MHD_Result HttpServer::onRequestData(void *cls, MHD_Connection *connection, const char *,
                                     const char *method, const char *version, const char *data,
                                     std::size_t *dataSize, void **state)
{
    auto *server = static_cast<HttpServer *>(cls);
    auto &request = *static_cast<Request *>(*state);
    if (!request.headersReceived) {
        request.isHttp10 = std::string(version) == "HTTP/1.0";
        return server->readHeaders(connection, request, method);
    }
    if (request.rejected) {
        *dataSize = 0;
        return MHD_YES;
    }
    if (*dataSize > 0)
        return server->readBody(connection, request, data, dataSize);
    if (request.exchange == nullptr && !server->dispatch(connection, request))
        return MHD_NO;
    return server->queueResponse(connection, request);
}

MHD_Result HttpServer::readHeaders(MHD_Connection *connection, Request &request, const char *method)
{
    request.headersReceived = true;
    request.received.method = method;
    const std::size_t queryStart = request.target.find('?');
    request.received.path = request.target.substr(0, queryStart);
    if (queryStart != std::string::npos)
        request.received.query = request.target.substr(queryStart + 1);
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &addHeader, &request.received.headers);
    if (headerBytes(request) > options_.maxHeaderBytes)
        return reject(connection, request, headersTooLarge());
    const std::string *length = request.received.header("Content-Length");
    std::uint64_t bytes = 0;
    if (length != nullptr && absl::SimpleAtoi(*length, &bytes) && bytes > options_.maxBodyBytes)
        return reject(connection, request, bodyTooLarge());
    return MHD_YES;
}

MHD_Result HttpServer::readBody(MHD_Connection *connection, Request &request, const char *data,
                                std::size_t *dataSize)
{
    if (request.received.body.size() + *dataSize > options_.maxBodyBytes) {
        rejectOnSocket(connection, bodyTooLarge());
        return MHD_NO;
    }
    request.received.body.append(data, *dataSize);
    *dataSize = 0;
    return MHD_YES;
}

bool HttpServer::dispatch(MHD_Connection *connection, Request &request)
{
    request.exchange
        = std::make_shared<HttpExchange>(std::move(request.received), options_.maxPendingBytes);
    if (!monitor_.onRequestComplete(connectionOf(connection), request.exchange)) {
        request.exchange = nullptr;
        return false;
    }
    handler_.onRequest(request.exchange);
    return true;
}

MHD_Result HttpServer::queueResponse(MHD_Connection *connection, Request &request)
{
    const ResponseResult result = request.exchange->takeResponseOrSuspend(connection);
    if (result.progressDue)
        handler_.onProgress(request.exchange);
    if (result.abandoned)
        return MHD_NO;
    if (!result.response)
        return MHD_YES;
    if (!result.response->streamed)
        return detail::queueResponse(connection, detail::createMhdResponse(*result.response),
                                     *result.response, !accepting_);
    auto *stream = new Stream { this, connection, request.exchange, request.isHttp10 };
    MHD_Response *streamed
        = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, StreamBlockBytes, &readStream, stream,
                                            [](void *cls) { delete static_cast<Stream *>(cls); });
    return detail::queueResponse(connection, streamed, *result.response, !accepting_);
}

HttpResponse HttpServer::headersTooLarge() const
{
    return detail::errorResponse(
        detail::StatusHeadersTooLarge, "headers_too_large",
        absl::StrCat("request line and headers exceed ", options_.maxHeaderBytes, " bytes"));
}

HttpResponse HttpServer::bodyTooLarge() const
{
    return detail::errorResponse(
        detail::StatusPayloadTooLarge, "body_too_large",
        absl::StrCat("the body exceeds ", options_.maxBodyBytes, " bytes"));
}

MHD_Result HttpServer::reject(MHD_Connection *connection, Request &request,
                              const HttpResponse &error)
{
    request.rejected = true;
    return detail::queueResponse(connection, detail::createMhdResponse(error), error, true);
}

// libmicrohttpd can't queue a response while it receives a body, so this one is written to the
// socket directly. Nothing else has been sent on it for this request.
void HttpServer::rejectOnSocket(MHD_Connection *connection, const HttpResponse &error)
{
    const std::string text = detail::serializeResponse(error);
    const int socket = connectionOf(connection).socket;
    static_cast<void>(send(socket, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL));
}

ssize_t HttpServer::readStream(void *cls, std::uint64_t, char *buffer, std::size_t capacity)
{
    auto *stream = static_cast<Stream *>(cls);
    const ReadResult result = stream->exchange->readOrSuspend(stream->connection, buffer, capacity);
    if (result.progressDue)
        stream->server->handler_.onProgress(stream->exchange);
    switch (result.step) {
    case ReadStep::Bytes:
        return static_cast<ssize_t>(result.bytes);
    case ReadStep::Wait:
        return 0;
    case ReadStep::EndComplete:
        return MHD_CONTENT_READER_END_OF_STREAM;
    case ReadStep::EndTruncated:
        break;
    }
    if (stream->closeDelimited) {
        // Without chunked encoding, only a reset shows the caller that the response is truncated.
        // Connecting to AF_UNSPEC resets the connection.
        sockaddr unspecified {};
        unspecified.sa_family = AF_UNSPEC;
        const int socket = connectionOf(stream->connection).socket;
        static_cast<void>(connect(socket, &unspecified, sizeof(unspecified)));
    }
    return MHD_CONTENT_READER_END_WITH_ERROR;
}

void HttpServer::onRequestFinished(void *cls, MHD_Connection *connection, void **state,
                                   MHD_RequestTerminationCode code)
{
    auto *server = static_cast<HttpServer *>(cls);
    const std::unique_ptr<Request> request(static_cast<Request *>(*state));
    *state = nullptr;
    server->monitor_.onRequestFinished(connectionOf(connection));
    if (request == nullptr || request->exchange == nullptr)
        return;
    request->exchange->finish(code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
    server->handler_.onProgress(request->exchange);
}

} // namespace

base::Outcome<std::unique_ptr<ports::CallerServer>> listenHttp(const HttpServerOptions &options,
                                                               ports::CallerHandler &handler)
{
    auto server = std::make_unique<HttpServer>(options, handler);
    if (const base::Status started = server->start(); !started)
        return started.lastReason();
    return std::unique_ptr<ports::CallerServer>(std::move(server));
}

} // namespace zinniadoor::adapters
