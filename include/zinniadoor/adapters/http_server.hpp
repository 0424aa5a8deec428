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
    std::string address = "127.0.0.1"; ///< IPv4 or IPv6 number.
    int port = 0; ///< 0 picks a free port.
    std::size_t maxHeaderBytes = 16 * KibiByte; ///< Request line and headers; more gives 431.
    std::size_t maxBodyBytes = 4 * MebiByte; ///< More gives 413.
    std::size_t connectionLimit = 4096; ///< Further connections are closed at once.
    absl::Duration idleTimeout = absl::Seconds(60); ///< Without a byte; whole seconds.
    absl::Duration requestTimeout = absl::Seconds(30); ///< From a request's first line to its end.
    std::size_t maxPendingBytes = MebiByte; ///< A stream with more bytes waiting is cut.
};

/// `CallerHandler::onProgress` comes at least once per this many bytes taken by a caller.
constexpr std::size_t ProgressStepBytes = 4 * KibiByte;

/// It also comes when all was taken after at least this many bytes had been waiting.
constexpr std::size_t ProgressPeakBytes = KibiByte;

/// Listens for callers. `handler` must outlive the server; all its functions are called on one
/// thread. A request is handed over once it was read whole. `onProgress` also comes when the
/// answer is finished and, within about a second, when the caller leaves.
///
/// A caller that shuts down its sending side while it waits counts as gone (TCP does not show
/// whether it still reads), but what is still written for it is sent.
///
/// Errors of the server itself are JSON with "Zinniadoor-Run: not-run"; a request that is not
/// HTTP at all, or with headers far above the limit, gets a bare 4xx.
base::Outcome<std::unique_ptr<ports::CallerServer>> listenHttp(const HttpServerOptions &options,
                                                               ports::CallerHandler &handler);

} // namespace zinniadoor::adapters
