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
constexpr std::int64_t SilencePollMs = 20;

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

void exitWithInput()
{
    char block[64];
    while (read(STDIN_FILENO, block, sizeof block) > 0) { }
    _exit(0);
}

Response dropped()
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
    faults_.sawConnection(request.connection);
    Call call { request, 0, std::nullopt };
    if (isKept(request))
        call.number = calls_.add(request);
    else
        calls_.countOnly(request);
    if (faults_.isMuted(request.connection) && !waitSilently(request))
        return dropped();
    call.fault = faults_.take(request);
    if (call.fault)
        calls_.setFault(call.number, nameOf(call.fault->kind));
    Response response = serveUnderFault(call);
    if (!response.dropConnection)
        calls_.setStatus(call.number, response.status);
    return response;
}

Response Standin::setFaults(const Request &request)
{
    if (request.method == "GET")
        return jsonResponse({ { "faults", faults_.toJson() } });
    const std::string wrong = faults_.set(request.body);
    if (!wrong.empty())
        return errorResponse(400, "invalid_argument", wrong);
    return jsonResponse({ { "faults", faults_.toJson() } });
}

Response Standin::serveUnderFault(const Call &call)
{
    if (!call.fault || isStreamFault(*call.fault))
        return serve(call);
    const Fault &fault = *call.fault;
    switch (fault.kind) {
    case FaultKind::Refuse:
        return errorResponse(fault.status, "unavailable", "refused by a fault");
    case FaultKind::DropAnswer:
        serve(call);
        return dropped();
    case FaultKind::Vanish:
        if (fault.afterEffect)
            serve(call);
        crash();
    case FaultKind::Silent:
        if (fault.afterEffect)
            serve(call);
        while (!call.request.peerLeft())
            sleepMs(SilencePollMs);
        return dropped();
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

/// Holds a muted connection until its caller gives up (false) or the faults are cleared (true).
bool Standin::waitSilently(const Request &request) const
{
    while (faults_.isMuted(request.connection)) {
        if (request.peerLeft())
            return false;
        sleepMs(SilencePollMs);
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
    if (options.exitWithInput)
        std::thread(exitWithInput).detach();
    int received = 0;
    sigwait(&signals, &received);
    // Threads of silent connections never end, so the process leaves without joining them.
    _exit(0);
}

} // namespace zinniadoor::standins
