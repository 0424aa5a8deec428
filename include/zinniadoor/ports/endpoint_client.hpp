#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/base/outcome.hpp"

namespace zinniadoor::ports {

struct HttpHeader
{
    std::string name;
    std::string value;
};

struct EndpointRequest
{
    std::string method = "POST";
    std::string url; ///< http://IP:port/path
    std::vector<HttpHeader> headers;
    std::string body;
    absl::Duration connectTimeout = absl::Seconds(1);
    absl::Duration totalTimeout = absl::Minutes(10);
    absl::Duration silenceTimeout = absl::Seconds(30); ///< Longest gap without a byte.
    bool freshConnection = false; ///< Never reuse a pooled connection.
};

/// How a call ended.
struct EndpointCallEnd
{
    bool complete = false; ///< The whole answer arrived as framed by HTTP.
    bool mayHaveRun = false; ///< A byte of the request may have reached the endpoint.
    base::Reason reason; ///< Why it is not complete.
};

/// Receives one call's events, in order, on the client's I/O thread. Must not block.
class EndpointCallObserver
{
public:
    virtual ~EndpointCallObserver() = default;
    virtual void onHeaders(int status, const std::vector<HttpHeader> &headers) = 0;

    /// Returns false to leave the bytes with the client and pause; `EndpointClient::resume`
    /// delivers the same bytes again.
    virtual bool onData(std::string_view bytes) = 0;
    virtual void onEnd(const EndpointCallEnd &end) = 0;
};

using EndpointCallId = std::uint64_t;

/// Concurrent HTTP calls to endpoints. All functions may be called from any thread.
class EndpointClient
{
public:
    virtual ~EndpointClient() = default;

    /// Starts a call; nothing when too many are waiting. `onEnd` comes exactly once per call.
    virtual base::Outcome<EndpointCallId> start(EndpointRequest request,
                                                std::shared_ptr<EndpointCallObserver> observer)
        = 0;
    virtual void resume(EndpointCallId call) = 0;

    /// Ends a call and closes its connection; `onEnd` follows unless it came already.
    virtual void cancel(EndpointCallId call) = 0;
};

} // namespace zinniadoor::ports
