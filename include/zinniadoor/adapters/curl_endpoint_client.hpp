#pragma once

#include <cstddef>
#include <memory>

#include "absl/time/time.h"

#include "zinniadoor/ports/endpoint_client.hpp"

namespace zinniadoor::adapters {

struct CurlClientOptions
{
    /// Concurrent calls; further ones are rejected. At most 32,767.
    std::size_t maxCalls = 4096;
    long pooledConnections = 256; ///< Idle connections kept open for reuse.
    absl::Duration idleConnectionTimeout = absl::Seconds(30); ///< Idle for longer: not reused.
};

/// HTTP/1.1 client based on libcurl, with one I/O thread for all calls. It doesn't follow
/// redirects, uses no proxy and never retries a request by itself. Destroying the client ends all
/// running calls.
std::unique_ptr<ports::EndpointClient> curlEndpointClient(const CurlClientOptions &options);

} // namespace zinniadoor::adapters
