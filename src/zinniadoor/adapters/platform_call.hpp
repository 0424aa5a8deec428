#pragma once

#include <string>

#include "zinniadoor/adapters/lease_guard.hpp"
#include "zinniadoor/adapters/platform_http.hpp"
#include "zinniadoor/base/outcome.hpp"

#include "curl_handle.hpp"

namespace zinniadoor::adapters::detail {

struct PlatformRequest
{
    std::string method = "GET";
    std::string path;
    std::string contentType; ///< Empty if there is no body.
    std::string body;
    absl::Duration extraTime {}; ///< Long-poll wait, in addition to the timeout.
};

struct PlatformResponse
{
    int status = 0;
    std::string body;
};

/// Blocking calls with one libcurl handle.
class PlatformCaller
{
public:
    /// With a guard, each call opens a new connection that the guard protects.
    explicit PlatformCaller(const PlatformOptions &options, LeaseGuard *guard = nullptr);

    /// Returns the response, whatever its status. Without one, the reason is Unavailable if no byte
    /// of the request can have been sent, else OutcomeUnknown.
    base::Outcome<PlatformResponse> call(const PlatformRequest &request);

    /// Like `call`, but to another server.
    base::Outcome<PlatformResponse> callAt(const std::string &baseUrl,
                                           const PlatformRequest &request);

private:
    void installGuard();

    const PlatformOptions options_;
    LeaseGuard *const guard_;
    CurlHandle easy_;
};

/// Reason for a status other than 200 of a call with side effects: a call answered with 503 or 4xx
/// had no effect, one with another status may have had.
base::Reason rejectionReason(const PlatformResponse &response);

/// Reason for a failed read: OutcomeUnknown becomes Unavailable, since a read has no side effects.
base::Reason reasonForRead(const base::Reason &reason);

} // namespace zinniadoor::adapters::detail
