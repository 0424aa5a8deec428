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
    std::string contentType; ///< Empty where there is no body.
    std::string body;
    absl::Duration extraTime {}; ///< Longest time that the platform may wait on purpose.
};

struct PlatformResponse
{
    int status = 0;
    std::string body;
};

/// Blocking calls over one handle.
class PlatformCaller
{
public:
    /// With a guard each call takes a fresh connection that the guard protects.
    explicit PlatformCaller(const PlatformOptions &options, LeaseGuard *guard = nullptr);

    /// Any response of the platform. Without one: Unavailable when no byte of the request can
    /// have been sent, else OutcomeUnknown.
    base::Outcome<PlatformResponse> call(const PlatformRequest &request);

    /// The same to another server.
    base::Outcome<PlatformResponse> callAt(const std::string &baseUrl,
                                           const PlatformRequest &request);

private:
    void installGuard();

    const PlatformOptions options_;
    LeaseGuard *const guard_;
    CurlHandle easy_;
};

/// Reason for an response that is not 200, for calls with an effect: 503 and 4xx were not taken,
/// other errors may have been.
base::Reason rejectionReason(const PlatformResponse &response);

/// A reading call has no effect, so a lost response is simply no response.
base::Reason reasonForRead(const base::Reason &reason);

} // namespace zinniadoor::adapters::detail
