#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "call_log.hpp"
#include "faults.hpp"
#include "http_server.hpp"

namespace zinniadoor::standins {

/// A call on its way through a stand-in.
struct Call
{
    const Request &request;
    std::uint64_t number = 0; ///< In the call log; 0 when it is not kept.
    std::optional<Fault> fault; ///< What strikes it; stream faults are left to the engine.
};

/// What all stand-ins have in common: faults, and telling what they received.
class Standin : public RequestHandler
{
public:
    Response handle(const Request &request) override;

protected:
    /// Serves a call and lets it take effect.
    virtual Response serve(const Call &call) = 0;

    /// What `GET /received` tells; the calls kept, unless overridden.
    virtual nlohmann::json received(const Request &request) = 0;

    /// Whether a call is kept for `GET /received` or only counted.
    virtual bool isKept(const Request &request) const = 0;

    FaultList faults_;
    CallLog calls_;

private:
    Response setFaults(const Request &request);
    Response serveUnderFault(const Call &call);
    bool waitSilently(const Request &request) const;
};

Response jsonResponse(const nlohmann::json &body, int status = 200);
void sleepMs(std::int64_t ms);

/// Ends this process at once, as a crash would.
[[noreturn]] void crash();

struct ServerOptions
{
    std::uint16_t port = 0; ///< 0 picks a free one.
    bool exitWithInput = false; ///< Leave when standard input ends, as it does with its owner.
};

/// Serves until SIGTERM or SIGINT; prints `port <n>` first. Returns the exit code.
int runServer(const ServerOptions &options, RequestHandler &handler);

} // namespace zinniadoor::standins
