#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "absl/time/time.h"

#include "zinniadoor/adapters/sizes.hpp"
#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/ports/caller_server.hpp"

namespace zinniadoor::adapters {

struct HttpServerOptions
{
    std::string address = "127.0.0.1"; ///< Numeric IPv4 or IPv6 address.
    int port = 0; ///< 0 selects a free port.
    std::size_t maxHeaderBytes = 16 * KibiByte; ///< Request line and headers; 431 above it.
    std::size_t maxBodyBytes = 4 * MebiByte; ///< 413 above it.
    std::size_t connectionLimit = 4096; ///< Further connections are closed on accept.
    absl::Duration idleTimeout = absl::Seconds(60); ///< No byte either way; rounded up to seconds.
    absl::Duration requestTimeout = absl::Seconds(30); ///< From request line to end of body.
    std::size_t maxPendingBytes = MebiByte; ///< Unsent bytes; a stream that exceeds it is aborted.
};

/// `CallerHandler::onProgress` is called at least once per this many bytes sent to a caller.
constexpr std::size_t ProgressIntervalBytes = 4 * KibiByte;

/// `CallerHandler::onProgress` is also called when the pending bytes of a stream have drained after
/// a peak of at least this many.
constexpr std::size_t MinDrainProgressBytes = KibiByte;

/// Starts an HTTP/1.1 server. `handler` must outlive the server and is called on one thread only.
/// A request is dispatched to it once its body is complete. `onProgress` is also called when the
/// response has finished and, within about a second, when the caller has disconnected.
///
/// A caller that closes its sending side before the response is complete is reported as gone, since
/// TCP doesn't show whether it still reads. Data written for it afterwards is still sent.
///
/// The server's own error responses are JSON with "Zinniadoor-Run: not-run". Input that isn't HTTP,
/// or has headers far above the limit, gets a 4xx from libmicrohttpd without that header.
base::Outcome<std::unique_ptr<ports::CallerServer>> listenHttp(const HttpServerOptions &options,
                                                               ports::CallerHandler &handler);

} // namespace zinniadoor::adapters
