#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "zinniadoor/ctl/output.hpp"

namespace zinniadoor::ctl {

/// The phase that took the longest in a request that missed its latency objective.
enum class SlowestPhase {
    Instance, ///< In the instance, before the last attempt: queueing and failed attempts.
    RemotePrefill, ///< Remote prefill.
    FirstEvent, ///< At the serving engine, until the first event of the response.
    Unattributed, ///< No timings in the line: not a streamed response, or an older version.
};

/// Name in the report.
const char *nameOf(SlowestPhase phase);

/// Counts requests by route, outcome and cause from the "request_ended" lines of gateway logs.
class LossReport
{
public:
    /// Adds one log line; text before its first brace is ignored. Returns whether the line reports
    /// the end of a request.
    bool add(const std::string &line);

    /// One row for each route, outcome and cause, with its share of the route's requests.
    Table table() const;

private:
    struct Count
    {
        std::uint64_t requests = 0;
        std::uint64_t totalMs = 0;
    };
    using Cause = std::pair<std::string, std::string>; ///< Outcome and cause.

    std::map<std::string, std::map<Cause, Count>> routes_;
};

} // namespace zinniadoor::ctl
