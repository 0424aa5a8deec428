#pragma once

#include <string>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/ports/caller_server.hpp"

namespace zinniadoor::daemon {

/// What became of a refused request's work; told in the header Zinniadoor-Run.
enum class RunState {
    NotRun, ///< Certainly never reached an endpoint.
    Unknown, ///< May have run, whole or in part.
    Ran,
};

const char *nameOf(RunState state);

/// An error as a caller sees it.
struct ErrorAnswer
{
    int status = 500;
    base::Reason reason;
    RunState run = RunState::NotRun;
    absl::Duration retryAfter = absl::ZeroDuration(); ///< Zero: no Retry-After header.
};

/// HTTP status that suits a reason.
int statusOf(base::ReasonCode code);

/// Whether a status says that the server failed, not the caller.
constexpr bool isServerFault(int status)
{
    return status >= 500;
}

/// A refusal with the status that suits its reason.
ErrorAnswer errorAnswerOf(base::Reason reason, RunState run,
                          absl::Duration retryAfter = absl::ZeroDuration());

/// Answers with the JSON error body and headers of docs/INTERFACES.md.
void sendError(ports::CallerExchange &exchange, const base::RequestId &request,
               const ErrorAnswer &answer);

/// The JSON body of an error, also used as the last event of a broken stream.
std::string errorBody(const base::Reason &reason);

} // namespace zinniadoor::daemon
