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

struct PlatformAnswer
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

    /// Any answer of the platform. Without one: Unavailable when no byte of the request can
    /// have been sent, else OutcomeUnknown.
    base::Outcome<PlatformAnswer> call(const PlatformRequest &request);

    /// The same to another server.
    base::Outcome<PlatformAnswer> callAt(const std::string &baseUrl,
                                         const PlatformRequest &request);

private:
    void useGuard();

    const PlatformOptions options_;
    LeaseGuard *const guard_;
    CurlHandle easy_;
};

/// Reason for an answer that is not 200, for calls with an effect: 503 and 4xx were not taken,
/// other errors may have been.
base::Reason refusalReason(const PlatformAnswer &answer);

/// A reading call has no effect, so a lost answer is simply no answer.
base::Reason readReason(const base::Reason &reason);

} // namespace zinniadoor::adapters::detail
