#pragma once

#include <cstddef>
#include <memory>

#include "absl/time/time.h"

#include "zinniadoor/ports/endpoint_client.hpp"

namespace zinniadoor::adapters {

struct CurlClientOptions
{
    std::size_t maxCalls = 4096; ///< Running at once, at most 32,767; further ones are refused.
    long pooledConnections = 256; ///< Idle connections kept for later calls.
    absl::Duration idleConnectionAge = absl::Seconds(30); ///< Older idle ones are not used.
};

/// HTTP/1.1 calls to endpoints on one I/O thread. Follows no redirects, uses no proxy and never
/// sends a request a second time by itself. Destroying the client ends all calls.
std::unique_ptr<ports::EndpointClient> curlEndpointClient(const CurlClientOptions &options);

} // namespace zinniadoor::adapters
