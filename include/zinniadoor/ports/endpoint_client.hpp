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
    std::string url; ///< http://IP:port/path.
    std::vector<HttpHeader> headers;
    std::string body;
    absl::Duration connectTimeout = absl::Seconds(1);
    absl::Duration totalTimeout = absl::Minutes(10);
    absl::Duration silenceTimeout
        = absl::Seconds(30); ///< Longest interval without a received byte.
    bool freshConnection = false; ///< Never reuse a pooled connection.
};

/// Result of a call.
struct EndpointCallEnd
{
    bool complete = false; ///< The response arrived complete, as framed by HTTP.
    bool mayHaveRun = false; ///< Bytes of the request may have reached the endpoint.
    base::Reason reason; ///< Why the response is incomplete.
};

/// Receives the events of one call in order, on the client's I/O thread; must not block.
class EndpointCallObserver
{
public:
    virtual ~EndpointCallObserver() = default;
    virtual void onHeaders(int status, const std::vector<HttpHeader> &headers) = 0;

    /// Returns false to reject the bytes and pause the call; `EndpointClient::resume` delivers the
    /// same bytes again.
    virtual bool onData(std::string_view bytes) = 0;
    virtual void onEnd(const EndpointCallEnd &end) = 0;
};

using EndpointCallId = std::uint64_t;

/// Makes concurrent HTTP calls to endpoints. Thread-safe.
class EndpointClient
{
public:
    virtual ~EndpointClient() = default;

    /// Starts a call; fails if too many are queued. `onEnd` is called exactly once per started
    /// call.
    virtual base::Outcome<EndpointCallId> start(EndpointRequest request,
                                                std::shared_ptr<EndpointCallObserver> observer)
        = 0;
    virtual void resume(EndpointCallId call) = 0;

    /// Aborts a call and closes its connection; `onEnd` follows unless it was already called.
    virtual void cancel(EndpointCallId call) = 0;
};

} // namespace zinniadoor::ports
