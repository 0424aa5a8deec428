#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "call_log.hpp"
#include "faults.hpp"
#include "http_server.hpp"

namespace zinniadoor::standins {

/// A call being served.
struct Call
{
    const Request &request;
    std::uint64_t number = 0; ///< In the call log; 0: not recorded.
    std::optional<Fault> fault; ///< Fault to apply; the engine itself applies stream faults.
};

/// Base of all stand-ins: injects faults and reports received calls.
class Standin : public RequestHandler
{
public:
    Response handle(const Request &request) override;

protected:
    /// Executes a call.
    virtual Response serve(const Call &call) = 0;

    /// Body of `GET /received`.
    virtual nlohmann::json received(const Request &request) = 0;

    /// Whether a call is recorded for `GET /received` or only counted.
    virtual bool isRecorded(const Request &request) const = 0;

    FaultList faults_;
    CallLog calls_;

private:
    Response setFaults(const Request &request);
    Response serveWithFault(const Call &call);
    bool waitWhileMuted(const Request &request) const;
};

Response jsonResponse(const nlohmann::json &body, int status = 200);
void sleepMs(std::int64_t ms);

/// Exits the process immediately, without cleanup.
[[noreturn]] void crash();

struct ServerOptions
{
    std::uint16_t port = 0; ///< 0: any free port.

    /// Exit at the end of standard input, which signals that the parent process has exited.
    bool exitOnStdinClose = false;
};

/// Prints `port <n>`, then serves until SIGTERM or SIGINT. Returns the exit code.
int runServer(const ServerOptions &options, RequestHandler &handler);

} // namespace zinniadoor::standins
