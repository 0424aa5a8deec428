#include "zinniadoor/adapters/http_server.hpp"

#include <atomic>
#include <set>
#include <thread>
#include <utility>

#include <microhttpd.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"

#include "zinniadoor/base/clock.hpp"

#include "http_exchange.hpp"
#include "socket_address.hpp"

namespace zinniadoor::adapters {

namespace {

using detail::AnswerHead;
using detail::HttpExchange;
using detail::ReadResult;
using detail::ReadStep;

constexpr absl::Duration MonitorInterval = absl::Milliseconds(250);
constexpr std::size_t StreamBlockBytes = 16 * KibiByte;
constexpr std::size_t ConnectionMemoryBytes = 32 * KibiByte; // beside the headers
constexpr unsigned SpareConnections = 64; // so that refused ones are accepted and closed

constexpr int StatusPayloadTooLarge = 413;
constexpr int StatusHeadersTooLarge = 431;

/// What the server knows of one connection. Guarded by the server's mutex.
struct Connection
{
    int socket = -1;
    absl::Time readDeadline = absl::InfiniteFuture(); ///< The request has to be whole by then.
    std::shared_ptr<HttpExchange> exchange; ///< While a request is being answered.
};

/// State of one request from its first line to its end.
struct Request
{
    explicit Request(std::string requestTarget)
        : target(std::move(requestTarget))
    { }

    const std::string target;
    bool headersSeen = false;
    bool withoutChunks = false; ///< HTTP/1.0
    ports::CallerRequest whole;
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
    constexpr std::size_t SeparatorBytes = 4; // ": " and line end
    std::size_t total = request.target.size();
    for (const ports::HttpHeader &header : request.whole.headers)
        total += header.name.size() + header.value.size() + SeparatorBytes;
    return total;
}

/// Headers that belong to one connection rather than to the answer.
bool isConnectionHeader(const std::string &name)
{
    return absl::EqualsIgnoreCase(name, "Connection") || absl::EqualsIgnoreCase(name, "Keep-Alive")
        || absl::EqualsIgnoreCase(name, "Transfer-Encoding")
        || absl::EqualsIgnoreCase(name, "Content-Length")
        || absl::EqualsIgnoreCase(name, "Upgrade");
}

std::string errorBody(const char *code, const std::string &message)
{
    const nlohmann::json body = { { "error", { { "code", code }, { "message", message } } } };
    return body.dump();
}

AnswerHead errorAnswer(int status, const char *code, const std::string &message)
{
    AnswerHead head;
    head.status = status;
    head.headers = { { "Content-Type", "application/json" }, { "Zinniadoor-Run", "not-run" } };
    head.body = errorBody(code, message);
    return head;
}

class HttpServer : public ports::CallerServer
{
public:
    HttpServer(const HttpServerOptions &options, ports::CallerHandler &handler)
        : options_(options)
        , handler_(handler)
    { }

    ~HttpServer() override
    {
        for (const std::shared_ptr<HttpExchange> &exchange : close())
            exchange->abandon();
        if (monitor_.joinable())
            monitor_.join();
        // No connection is suspended any more, as MHD_stop_daemon demands.
        if (daemon_ != nullptr)
            MHD_stop_daemon(daemon_);
    }

    base::Status start();
    int port() const override { return port_; }
    void stopAccepting() override;

private:
    // Callbacks of libmicrohttpd; all but `acceptConnection` come on its one thread.
    static MHD_Result acceptConnection(void *cls, const sockaddr *address, socklen_t length);
    static void connectionChanged(void *cls, MHD_Connection *connection, void **socketContext,
                                  MHD_ConnectionNotificationCode code);
    static void *requestBegins(void *cls, const char *target, MHD_Connection *connection);
    static MHD_Result requestProceeds(void *cls, MHD_Connection *connection, const char *url,
                                      const char *method, const char *version, const char *data,
                                      std::size_t *dataSize, void **state);
    static void requestEnds(void *cls, MHD_Connection *connection, void **state,
                            MHD_RequestTerminationCode code);
    static ssize_t readStream(void *cls, std::uint64_t position, char *buffer,
                              std::size_t capacity);

    /// What `readStream` works on; owned by the MHD response.
    struct Stream
    {
        HttpServer *server;
        MHD_Connection *connection;
        std::shared_ptr<HttpExchange> exchange;
        bool connectionEndsAnswer;
    };

    static Connection &connectionOf(MHD_Connection *connection);
    MHD_Result readHeaders(MHD_Connection *connection, Request &request, const char *method);
    MHD_Result readBody(MHD_Connection *connection, Request &request, const char *data,
                        std::size_t *dataSize);
    bool handOver(MHD_Connection *connection, Request &request);
    MHD_Result answer(MHD_Connection *connection, Request &request);
    MHD_Result refuse(MHD_Connection *connection, const AnswerHead &head);
    MHD_Result queue(MHD_Connection *connection, MHD_Response *response, const AnswerHead &head);
    void refuseOnSocket(MHD_Connection *connection, const AnswerHead &head);

    using Exchanges = std::vector<std::shared_ptr<HttpExchange>>;

    Exchanges close();
    void monitorConnections();
    bool waitForMonitorTurn();
    void checkDeadlines();
    Exchanges leftCallers();

    const HttpServerOptions options_;
    ports::CallerHandler &handler_;
    const std::unique_ptr<base::Clock> clock_ = base::systemClock();
    int port_ = 0;
    MHD_Daemon *daemon_ = nullptr;
    std::thread monitor_;
    std::atomic<std::size_t> connectionCount_ { 0 };
    std::atomic<bool> accepting_ { true };

    absl::Mutex mutex_;
    std::set<Connection *> connections_ ABSL_GUARDED_BY(mutex_);
    bool closing_ ABSL_GUARDED_BY(mutex_) = false;
};

base::Status HttpServer::start()
{
    const auto address = detail::parseAddress(options_.address, options_.port);
    if (!address)
        return base::Reason { base::ReasonCode::InvalidArgument,
                              absl::StrCat("not an IP number and port: ", options_.address, ":",
                                           options_.port) };
    const auto listener = detail::listenTcp(*address);
    if (!listener)
        return listener.lastReason();
    port_ = detail::boundAddress(*listener).port();
    const auto idleSeconds = static_cast<unsigned>(
        absl::ToInt64Seconds(options_.idleTimeout + absl::Seconds(1) - absl::Nanoseconds(1)));
    daemon_ = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, &acceptConnection, this,
        &requestProceeds, this, MHD_OPTION_LISTEN_SOCKET, *listener, MHD_OPTION_CONNECTION_LIMIT,
        static_cast<unsigned>(options_.connectionLimit) + SpareConnections,
        MHD_OPTION_CONNECTION_TIMEOUT, idleSeconds, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        2 * options_.maxHeaderBytes + ConnectionMemoryBytes, MHD_OPTION_NOTIFY_CONNECTION,
        &connectionChanged, this, MHD_OPTION_URI_LOG_CALLBACK, &requestBegins, this,
        MHD_OPTION_NOTIFY_COMPLETED, &requestEnds, this, MHD_OPTION_END);
    if (daemon_ == nullptr) {
        ::close(*listener);
        return base::Reason { base::ReasonCode::Internal, "the HTTP server did not start" };
    }
    monitor_ = std::thread([this] { monitorConnections(); });
    return base::Done {};
}

// Connections that the kernel has already established are taken in first, so that a planned
// stop cuts none of them.
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
    ::close(listener);
}

MHD_Result HttpServer::acceptConnection(void *cls, const sockaddr *, socklen_t)
{
    auto *server = static_cast<HttpServer *>(cls);
    return server->connectionCount_ < server->options_.connectionLimit ? MHD_YES : MHD_NO;
}

void HttpServer::connectionChanged(void *cls, MHD_Connection *connection, void **socketContext,
                                   MHD_ConnectionNotificationCode code)
{
    auto *server = static_cast<HttpServer *>(cls);
    const absl::MutexLock lock(&server->mutex_);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        auto *added = new Connection;
        added->socket
            = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
        added->readDeadline = server->clock_->now() + server->options_.idleTimeout
            + server->options_.requestTimeout;
        server->connections_.insert(added);
        ++server->connectionCount_;
        *socketContext = added;
        return;
    }
    auto *removed = static_cast<Connection *>(*socketContext);
    if (removed == nullptr)
        return;
    server->connections_.erase(removed);
    --server->connectionCount_;
    delete removed;
    *socketContext = nullptr;
}

Connection &HttpServer::connectionOf(MHD_Connection *connection)
{
    const MHD_ConnectionInfo *info
        = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return *static_cast<Connection *>(info->socket_context);
}

void *HttpServer::requestBegins(void *cls, const char *target, MHD_Connection *connection)
{
    auto *server = static_cast<HttpServer *>(cls);
    const absl::MutexLock lock(&server->mutex_);
    connectionOf(connection).readDeadline = server->clock_->now() + server->options_.requestTimeout;
    return new Request(target);
}

MHD_Result HttpServer::requestProceeds(void *cls, MHD_Connection *connection, const char *,
                                       const char *method, const char *version, const char *data,
                                       std::size_t *dataSize, void **state)
{
    auto *server = static_cast<HttpServer *>(cls);
    auto &request = *static_cast<Request *>(*state);
    if (!request.headersSeen) {
        request.withoutChunks = std::string(version) == "HTTP/1.0";
        return server->readHeaders(connection, request, method);
    }
    if (*dataSize > 0)
        return server->readBody(connection, request, data, dataSize);
    if (request.exchange == nullptr && !server->handOver(connection, request))
        return MHD_NO;
    return server->answer(connection, request);
}

MHD_Result HttpServer::readHeaders(MHD_Connection *connection, Request &request, const char *method)
{
    request.headersSeen = true;
    request.whole.method = method;
    const std::size_t mark = request.target.find('?');
    request.whole.path = request.target.substr(0, mark);
    if (mark != std::string::npos)
        request.whole.query = request.target.substr(mark + 1);
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &addHeader, &request.whole.headers);
    if (headerBytes(request) > options_.maxHeaderBytes)
        return refuse(connection,
                      errorAnswer(StatusHeadersTooLarge, "headers_too_large",
                                  absl::StrCat("request line and headers exceed ",
                                               options_.maxHeaderBytes, " bytes")));
    const std::string *length = request.whole.header("Content-Length");
    std::uint64_t bytes = 0;
    if (length != nullptr && absl::SimpleAtoi(*length, &bytes) && bytes > options_.maxBodyBytes)
        return refuse(
            connection,
            errorAnswer(StatusPayloadTooLarge, "body_too_large",
                        absl::StrCat("the body exceeds ", options_.maxBodyBytes, " bytes")));
    return MHD_YES;
}

MHD_Result HttpServer::readBody(MHD_Connection *connection, Request &request, const char *data,
                                std::size_t *dataSize)
{
    if (request.whole.body.size() + *dataSize > options_.maxBodyBytes) {
        refuseOnSocket(
            connection,
            errorAnswer(StatusPayloadTooLarge, "body_too_large",
                        absl::StrCat("the body exceeds ", options_.maxBodyBytes, " bytes")));
        return MHD_NO;
    }
    request.whole.body.append(data, *dataSize);
    *dataSize = 0;
    return MHD_YES;
}

bool HttpServer::handOver(MHD_Connection *connection, Request &request)
{
    request.exchange
        = std::make_shared<HttpExchange>(std::move(request.whole), options_.maxPendingBytes);
    {
        const absl::MutexLock lock(&mutex_);
        if (closing_)
            return false;
        Connection &reading = connectionOf(connection);
        reading.readDeadline = absl::InfiniteFuture();
        reading.exchange = request.exchange;
    }
    handler_.onRequest(request.exchange);
    return true;
}

MHD_Result HttpServer::answer(MHD_Connection *connection, Request &request)
{
    AnswerHead head;
    bool hasHead = false;
    bool report = false;
    const bool goesOn = request.exchange->takeHeadOrSuspend(connection, head, hasHead, report);
    if (report)
        handler_.onProgress(request.exchange);
    if (!goesOn)
        return MHD_NO;
    if (!hasHead)
        return MHD_YES;
    if (!head.streamed) {
        MHD_Response *whole = MHD_create_response_from_buffer(head.body.size(), head.body.data(),
                                                              MHD_RESPMEM_MUST_COPY);
        return queue(connection, whole, head);
    }
    auto *stream = new Stream { this, connection, request.exchange, request.withoutChunks };
    MHD_Response *streamed
        = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, StreamBlockBytes, &readStream, stream,
                                            [](void *cls) { delete static_cast<Stream *>(cls); });
    return queue(connection, streamed, head);
}

MHD_Result HttpServer::refuse(MHD_Connection *connection, const AnswerHead &head)
{
    MHD_Response *response = MHD_create_response_from_buffer(
        head.body.size(), const_cast<char *>(head.body.data()), MHD_RESPMEM_MUST_COPY);
    return queue(connection, response, head);
}

MHD_Result HttpServer::queue(MHD_Connection *connection, MHD_Response *response,
                             const AnswerHead &head)
{
    if (response == nullptr)
        return MHD_NO;
    for (const ports::HttpHeader &header : head.headers) {
        if (!isConnectionHeader(header.name))
            MHD_add_response_header(response, header.name.c_str(), header.value.c_str());
    }
    if (!accepting_)
        MHD_add_response_header(response, "Connection", "close");
    const MHD_Result queued
        = MHD_queue_response(connection, static_cast<unsigned>(head.status), response);
    MHD_destroy_response(response);
    return queued;
}

// libmicrohttpd takes no answer in the midst of a body, so this one goes straight to the socket;
// nothing else was sent on it for this request.
void HttpServer::refuseOnSocket(MHD_Connection *connection, const AnswerHead &head)
{
    std::string text
        = absl::StrCat("HTTP/1.1 ", head.status, " Content Too Large\r\n",
                       "Connection: close\r\nContent-Length: ", head.body.size(), "\r\n");
    for (const ports::HttpHeader &header : head.headers)
        absl::StrAppend(&text, header.name, ": ", header.value, "\r\n");
    absl::StrAppend(&text, "\r\n", head.body);
    const absl::MutexLock lock(&mutex_);
    const int socket = connectionOf(connection).socket;
    static_cast<void>(send(socket, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL));
}

ssize_t HttpServer::readStream(void *cls, std::uint64_t, char *buffer, std::size_t capacity)
{
    auto *stream = static_cast<Stream *>(cls);
    const ReadResult result = stream->exchange->readOrSuspend(stream->connection, buffer, capacity);
    if (result.report)
        stream->server->handler_.onProgress(stream->exchange);
    switch (result.step) {
    case ReadStep::Bytes:
        return static_cast<ssize_t>(result.bytes);
    case ReadStep::Wait:
        return 0;
    case ReadStep::EndWhole:
        return MHD_CONTENT_READER_END_OF_STREAM;
    case ReadStep::EndCut:
        break;
    }
    if (stream->connectionEndsAnswer) {
        // Without chunks only a reset tells the caller that the answer was cut.
        const absl::MutexLock lock(&stream->server->mutex_);
        const linger reset { 1, 0 };
        setsockopt(connectionOf(stream->connection).socket, SOL_SOCKET, SO_LINGER, &reset,
                   sizeof(reset));
    }
    return MHD_CONTENT_READER_END_WITH_ERROR;
}

void HttpServer::requestEnds(void *cls, MHD_Connection *connection, void **state,
                             MHD_RequestTerminationCode code)
{
    auto *server = static_cast<HttpServer *>(cls);
    const std::unique_ptr<Request> request(static_cast<Request *>(*state));
    *state = nullptr;
    {
        const absl::MutexLock lock(&server->mutex_);
        Connection &ended = connectionOf(connection);
        ended.exchange = nullptr;
        ended.readDeadline = server->clock_->now() + server->options_.idleTimeout
            + server->options_.requestTimeout;
    }
    if (request == nullptr || request->exchange == nullptr)
        return;
    request->exchange->finish(code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
    server->handler_.onProgress(request->exchange);
}

// The mutex is never held while libmicrohttpd is called to resume a connection: its callbacks
// take the mutex as well.
HttpServer::Exchanges HttpServer::close()
{
    const absl::MutexLock lock(&mutex_);
    closing_ = true;
    Exchanges open;
    for (const Connection *connection : connections_) {
        if (connection->exchange != nullptr)
            open.push_back(connection->exchange);
    }
    return open;
}

// libmicrohttpd looks neither at a suspended connection's socket nor at the time that a request
// takes in all, so a second thread does both.
void HttpServer::monitorConnections()
{
    while (waitForMonitorTurn()) {
        checkDeadlines();
        for (const std::shared_ptr<HttpExchange> &exchange : leftCallers())
            exchange->noteCallerLeft();
    }
}

bool HttpServer::waitForMonitorTurn()
{
    const absl::MutexLock lock(&mutex_);
    mutex_.AwaitWithTimeout(absl::Condition(&closing_), MonitorInterval);
    return !closing_;
}

void HttpServer::checkDeadlines()
{
    const absl::Time now = clock_->now();
    const absl::MutexLock lock(&mutex_);
    for (Connection *connection : connections_) {
        if (now < connection->readDeadline)
            continue;
        connection->readDeadline = absl::InfiniteFuture();
        shutdown(connection->socket, SHUT_RDWR);
    }
}

// POLLRDHUP shows a closed sending side even when unread bytes wait before it.
HttpServer::Exchanges HttpServer::leftCallers()
{
    std::vector<pollfd> sockets;
    Exchanges waiting;
    Exchanges left;
    const absl::MutexLock lock(&mutex_);
    for (const Connection *connection : connections_) {
        if (connection->exchange == nullptr || connection->exchange->callerGone())
            continue;
        sockets.push_back({ connection->socket, POLLRDHUP, 0 });
        waiting.push_back(connection->exchange);
    }
    if (sockets.empty() || poll(sockets.data(), sockets.size(), 0) <= 0)
        return left;
    for (std::size_t i = 0; i < sockets.size(); ++i) {
        if ((sockets[i].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0)
            left.push_back(waiting[i]);
    }
    return left;
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
