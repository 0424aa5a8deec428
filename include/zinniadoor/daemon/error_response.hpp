#pragma once

#include <string>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/ports/caller_server.hpp"

namespace zinniadoor::daemon {

/// Whether a refused request was executed; sent in the header Zinniadoor-Run.
enum class RunState {
    NotRun, ///< Not executed by any endpoint.
    Unknown, ///< May have been executed, completely or in part.
    Ran,
};

const char *nameOf(RunState state);

/// An error response to a caller.
struct ErrorResponse
{
    int status = 500;
    base::Reason reason;
    RunState run = RunState::NotRun;
    absl::Duration retryAfter = absl::ZeroDuration(); ///< Zero: no Retry-After header.
};

/// HTTP status for a reason.
int statusOf(base::ReasonCode code);

/// Whether a status reports a failure of the server (5xx).
constexpr bool isServerError(int status)
{
    return status >= 500;
}

/// Error response with the status for `reason`.
ErrorResponse errorResponseOf(base::Reason reason, RunState run,
                              absl::Duration retryAfter = absl::ZeroDuration());

/// Responds with the JSON error body and the headers that docs/INTERFACES.md specifies.
void sendError(ports::CallerExchange &exchange, const base::RequestId &request,
               const ErrorResponse &response);

/// JSON body of an error; also the last event of a stream that failed.
std::string errorBody(const base::Reason &reason);

} // namespace zinniadoor::daemon
