#include "standin.hpp"

#include <chrono>
#include <csignal>
#include <cstdio>
#include <thread>

#include <pthread.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace zinniadoor::standins {
namespace {

constexpr int CrashExitCode = 70;
constexpr std::int64_t DisconnectPollMs = 20;

bool isStreamFault(const Fault &fault)
{
    switch (fault.kind) {
    case FaultKind::Truncate:
    case FaultKind::Cross:
    case FaultKind::Gap:
    case FaultKind::Double:
    case FaultKind::Stall:
        return true;
    case FaultKind::Vanish:
        return fault.afterTokens.has_value();
    default:
        return false;
    }
}

void exitOnStdinClose()
{
    char block[64];
    while (read(STDIN_FILENO, block, sizeof block) > 0) { }
    _exit(0);
}

Response droppedResponse()
{
    Response response;
    response.dropConnection = true;
    return response;
}

} // namespace

Response jsonResponse(const nlohmann::json &body, int status)
{
    Response response;
    response.status = status;
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

void sleepMs(std::int64_t ms)
{
    if (ms > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void crash()
{
    _exit(CrashExitCode);
}

Response Standin::handle(const Request &request)
{
    if (request.path == "/faults")
        return setFaults(request);
    if (request.path == "/received")
        return jsonResponse(received(request));
    faults_.recordConnection(request.connection);
    Call call { request, 0, std::nullopt };
    if (isRecorded(request))
        call.number = calls_.add(request);
    else
        calls_.countCall(request);
    if (faults_.isMuted(request.connection) && !waitWhileMuted(request))
        return droppedResponse();
    call.fault = faults_.consumeMatching(request);
    if (call.fault)
        calls_.setFault(call.number, nameOf(call.fault->kind));
    Response response = serveWithFault(call);
    if (!response.dropConnection)
        calls_.setStatus(call.number, response.status);
    return response;
}

Response Standin::setFaults(const Request &request)
{
    if (request.method == "GET")
        return jsonResponse({ { "faults", faults_.toJson() } });
    const std::string error = faults_.set(request.body);
    if (!error.empty())
        return errorResponse(400, "invalid_argument", error);
    return jsonResponse({ { "faults", faults_.toJson() } });
}

Response Standin::serveWithFault(const Call &call)
{
    if (!call.fault || isStreamFault(*call.fault))
        return serve(call);
    const Fault &fault = *call.fault;
    switch (fault.kind) {
    case FaultKind::Refuse:
        return errorResponse(fault.status, "unavailable", "refused by a fault");
    case FaultKind::DropAnswer:
        serve(call);
        return droppedResponse();
    case FaultKind::Vanish:
        if (fault.afterEffect)
            serve(call);
        crash();
    case FaultKind::Silent:
        if (fault.afterEffect)
            serve(call);
        while (!call.request.clientDisconnected())
            sleepMs(DisconnectPollMs);
        return droppedResponse();
    default:
        break;
    }
    if (!fault.afterEffect)
        sleepMs(fault.delayMs);
    Response response = serve(call);
    if (fault.afterEffect)
        sleepMs(fault.delayMs);
    return response;
}

/// Blocks while the connection is muted. Returns false if the client disconnects before the faults
/// are cleared.
bool Standin::waitWhileMuted(const Request &request) const
{
    while (faults_.isMuted(request.connection)) {
        if (request.clientDisconnected())
            return false;
        sleepMs(DisconnectPollMs);
    }
    return true;
}

int runServer(const ServerOptions &options, RequestHandler &handler)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    const HttpServer server(options.port, handler);
    if (server.port() == 0) {
        std::fprintf(stderr, "cannot listen on port %u\n", static_cast<unsigned>(options.port));
        return 1;
    }
    std::printf("port %u\n", static_cast<unsigned>(server.port()));
    std::fflush(stdout);
    if (options.exitOnStdinClose)
        std::thread(exitOnStdinClose).detach();
    int received = 0;
    sigwait(&signals, &received);
    // Threads of silent connections do not end, so the process exits without joining them.
    _exit(0);
}

} // namespace zinniadoor::standins
