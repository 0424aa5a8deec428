#include "http_server.hpp"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <exception>

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <nlohmann/json.hpp>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"

namespace zinniadoor::standins {
namespace {

constexpr unsigned ConnectionLimit = 2000;
constexpr std::size_t ThreadStackBytes = std::size_t { 256 } * 1024;
constexpr std::size_t StreamBlockBytes = std::size_t { 4 } * 1024;
constexpr std::size_t MaxBodyBytes = std::size_t { 64 } * 1024 * 1024;

/// State of one request, from its headers until the response was sent or aborted.
struct Exchange
{
    Request request;
    std::shared_ptr<BodyStream> stream;
    std::string pending; ///< Stream bytes that did not fit into the last block.
    bool tooLarge = false;
};

MHD_Result addHeader(void *cls, MHD_ValueKind, const char *key, const char *value)
{
    static_cast<Headers *>(cls)->emplace_back(key, value ? value : "");
    return MHD_YES;
}

MHD_Result addQueryParameter(void *cls, MHD_ValueKind, const char *key, const char *value)
{
    auto &query = *static_cast<std::map<std::string, std::string> *>(cls);
    query[key] = value ? value : "";
    return MHD_YES;
}

std::uint64_t connectionNumber(MHD_Connection *connection)
{
    const MHD_ConnectionInfo *info
        = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return info ? reinterpret_cast<std::uintptr_t>(info->socket_context) : 0;
}

std::unique_ptr<Exchange> startExchange(MHD_Connection *connection, const char *url,
                                        const char *method)
{
    auto exchange = std::make_unique<Exchange>();
    Request &request = exchange->request;
    request.method = method;
    request.path = url;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, addHeader, &request.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, addQueryParameter, &request.query);
    const MHD_ConnectionInfo *info
        = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    request.socket = info ? info->connect_fd : -1;
    request.connection = connectionNumber(connection);
    return exchange;
}

ssize_t readStream(void *cls, std::uint64_t, char *buffer, std::size_t max)
{
    auto &exchange = *static_cast<Exchange *>(cls);
    while (exchange.pending.empty()) {
        const StreamStep step = exchange.stream->next(exchange.pending);
        if (step == StreamStep::End)
            return MHD_CONTENT_READER_END_OF_STREAM;
        if (step == StreamStep::Abort)
            return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    const std::size_t size = std::min(max, exchange.pending.size());
    exchange.pending.copy(buffer, size);
    exchange.pending.erase(0, size);
    return static_cast<ssize_t>(size);
}

MHD_Response *makeBody(Exchange &exchange, const Response &response)
{
    if (exchange.stream) {
        return MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, StreamBlockBytes, readStream,
                                                 &exchange, nullptr);
    }
    return MHD_create_response_from_buffer(
        response.body.size(), const_cast<char *>(response.body.data()), MHD_RESPMEM_MUST_COPY);
}

MHD_Result sendResponse(MHD_Connection *connection, Exchange &exchange, const Response &response)
{
    if (response.dropConnection)
        return MHD_NO;
    exchange.stream = response.stream;
    MHD_Response *out = makeBody(exchange, response);
    MHD_add_response_header(out, "Content-Type", response.contentType.c_str());
    for (const auto &[name, value] : response.headers)
        MHD_add_response_header(out, name.c_str(), value.c_str());
    const MHD_Result result
        = MHD_queue_response(connection, static_cast<unsigned>(response.status), out);
    MHD_destroy_response(out);
    return result;
}

Response callHandler(RequestHandler &handler, const Exchange &exchange)
{
    if (exchange.tooLarge)
        return errorResponse(413, "too_large", "the body is too large");
    try {
        return handler.handle(exchange.request);
    } catch (const std::exception &error) {
        return errorResponse(400, "invalid_argument", error.what());
    }
}

MHD_Result onRequest(void *cls, MHD_Connection *connection, const char *url, const char *method,
                     const char *, const char *data, std::size_t *dataSize, void **context)
{
    if (!*context) {
        *context = startExchange(connection, url, method).release();
        return MHD_YES;
    }
    auto &exchange = *static_cast<Exchange *>(*context);
    if (*dataSize > 0) {
        if (exchange.request.body.size() + *dataSize > MaxBodyBytes)
            exchange.tooLarge = true;
        else
            exchange.request.body.append(data, *dataSize);
        *dataSize = 0;
        return MHD_YES;
    }
    return sendResponse(connection, exchange,
                        callHandler(*static_cast<RequestHandler *>(cls), exchange));
}

void onCompleted(void *, MHD_Connection *, void **context, MHD_RequestTerminationCode code)
{
    const std::unique_ptr<Exchange> exchange(static_cast<Exchange *>(*context));
    *context = nullptr;
    if (exchange && exchange->stream)
        exchange->stream->onClosed(code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
}

void onConnection(void *, MHD_Connection *connection, void **context,
                  MHD_ConnectionNotificationCode code)
{
    static std::atomic<std::uintptr_t> connections { 0 };
    if (code != MHD_CONNECTION_NOTIFY_STARTED)
        return;
    // The context pointer stores the connection's number itself, not an address.
    *context = reinterpret_cast<void *>(++connections);
    const MHD_ConnectionInfo *info
        = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    const int on = 1;
    if (info)
        setsockopt(info->connect_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace

std::string Request::header(const std::string &name) const
{
    for (const auto &[key, value] : headers) {
        if (absl::EqualsIgnoreCase(key, name))
            return value;
    }
    return {};
}

std::string Request::queryValue(const std::string &name, const std::string &fallback) const
{
    const auto found = query.find(name);
    return found == query.end() ? fallback : found->second;
}

std::int64_t Request::queryNumber(const std::string &name, std::int64_t fallback) const
{
    std::int64_t number = 0;
    return absl::SimpleAtoi(queryValue(name), &number) ? number : fallback;
}

bool Request::clientDisconnected() const
{
    char byte = 0;
    const ssize_t size = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

Response errorResponse(int status, const std::string &code, const std::string &message)
{
    Response response;
    response.status = status;
    response.body
        = nlohmann::json { { "error", { { "code", code }, { "message", message } } } }.dump(
            -1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

HttpServer::HttpServer(std::uint16_t port, RequestHandler &handler)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const unsigned flags
        = MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL;
    daemon_ = MHD_start_daemon(
        flags, port, nullptr, nullptr, onRequest, &handler, MHD_OPTION_SOCK_ADDR, &address,
        MHD_OPTION_CONNECTION_LIMIT, ConnectionLimit, MHD_OPTION_THREAD_STACK_SIZE,
        ThreadStackBytes, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_NOTIFY_COMPLETED,
        onCompleted, nullptr, MHD_OPTION_NOTIFY_CONNECTION, onConnection, nullptr, MHD_OPTION_END);
    if (!daemon_)
        return;
    const MHD_DaemonInfo *info = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT);
    port_ = info ? info->port : 0;
}

HttpServer::~HttpServer()
{
    if (daemon_)
        MHD_stop_daemon(daemon_);
}

} // namespace zinniadoor::standins
