#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "zinniadoor/ctl/output.hpp"

namespace zinniadoor::ctl {

/// Where an answer that missed its objective spent most of its time.
enum class SlowPart {
    Instance, ///< Before the last call: earlier calls that failed, waiting in the instance.
    PromptRead, ///< At the engine that read the prompt apart.
    Beginning, ///< At the engine that ran it, until the first event.
    Unsplit, ///< The line does not tell: the answer is whole, or of an older version.
};

/// Lower-case name, for the report.
const char *nameOf(SlowPart part);

/// Counts what became of requests, by route and cause, from the gateways' "request_ended" lines.
class LossReport
{
public:
    /// Takes one line of a log; what stands before its first brace is left out. Returns whether it
    /// tells the end of a request.
    bool add(const std::string &line);

    /// One row for each route and outcome, with its share of the route's requests.
    Table table() const;

private:
    struct Count
    {
        std::uint64_t requests = 0;
        std::uint64_t totalMs = 0;
    };
    using Cause = std::pair<std::string, std::string>; ///< Outcome and reason.

    std::map<std::string, std::map<Cause, Count>> routes_;
};

} // namespace zinniadoor::ctl
