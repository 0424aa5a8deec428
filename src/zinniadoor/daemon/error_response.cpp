#include "zinniadoor/daemon/error_response.hpp"

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace zinniadoor::daemon {

const char *nameOf(RunState state)
{
    switch (state) {
    case RunState::NotRun:
        return "not-run";
    case RunState::Unknown:
        return "unknown";
    case RunState::Ran:
        return "ran";
    }
    return "unknown";
}

int statusOf(base::ReasonCode code)
{
    switch (code) {
    case base::ReasonCode::InvalidArgument:
        return 400;
    case base::ReasonCode::Unauthorized:
        return 401;
    case base::ReasonCode::Forbidden:
        return 403;
    case base::ReasonCode::NotFound:
        return 404;
    case base::ReasonCode::Conflict:
        return 409;
    case base::ReasonCode::Gone:
        return 410;
    case base::ReasonCode::Overloaded:
        return 429;
    case base::ReasonCode::Timeout:
        return 504;
    case base::ReasonCode::Unavailable:
        return 503;
    case base::ReasonCode::OutcomeUnknown:
        return 502;
    case base::ReasonCode::Internal:
        return 500;
    }
    return 500;
}

ErrorResponse errorResponseOf(base::Reason reason, RunState run, absl::Duration retryAfter)
{
    const int status = statusOf(reason.code);
    return ErrorResponse { status, std::move(reason), run, retryAfter };
}

std::string errorBody(const base::Reason &reason)
{
    using Json = nlohmann::json;
    const Json body
        = { { "error", { { "code", nameOf(reason.code) }, { "message", reason.text } } } };
    return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void sendError(ports::CallerExchange &exchange, const base::RequestId &request,
               const ErrorResponse &response)
{
    std::vector<ports::HttpHeader> headers { { "Content-Type", "application/json" },
                                             { "Zinniadoor-Run", nameOf(response.run) },
                                             { "Zinniadoor-Request", request.str() } };
    if (response.retryAfter > absl::ZeroDuration()) {
        const double seconds = std::ceil(absl::ToDoubleSeconds(response.retryAfter));
        const auto wholeSeconds = static_cast<long>(std::clamp(seconds, 1.0, 86400.0));
        headers.push_back({ "Retry-After", absl::StrCat(wholeSeconds) });
    }
    exchange.respond(response.status, std::move(headers), errorBody(response.reason));
}

} // namespace zinniadoor::daemon
