#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <set>
#include <thread>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include "zinniadoor/base/clock.hpp"

#include "http_exchange.hpp"

namespace zinniadoor::adapters::detail {

/// State of one connection. All members but the socket are guarded by the monitor's mutex.
struct HttpConnection
{
    int socket = -1;
    absl::Time readDeadline; ///< By which the next request must be complete.
    /// The caller's sending side was closed, with no byte left to read, at the last check.
    bool halfCloseSeen = false;
    std::shared_ptr<HttpExchange> exchange; ///< Set while a request is served.
};

/// Detects disconnected callers and enforces read deadlines, on its own thread. libmicrohttpd
/// neither polls the socket of a suspended connection nor limits the total time of a request.
class ConnectionMonitor
{
public:
    ConnectionMonitor(absl::Duration idleTimeout, absl::Duration requestTimeout);
    ~ConnectionMonitor();
    ConnectionMonitor(const ConnectionMonitor &) = delete;
    ConnectionMonitor &operator=(const ConnectionMonitor &) = delete;

    HttpConnection *add(int socket);

    /// Must be called before the socket is closed.
    void remove(HttpConnection *connection);

    /// Number of open connections.
    std::size_t count() const { return count_; }

    /// The request line was received.
    void onRequestStarted(HttpConnection &connection);

    /// The request is complete. Returns false if the monitor has stopped.
    bool onRequestComplete(HttpConnection &connection, std::shared_ptr<HttpExchange> exchange);

    void onRequestFinished(HttpConnection &connection);

    /// Stops the thread and abandons all exchanges.
    void stop();

private:
    using Exchanges = std::vector<std::shared_ptr<HttpExchange>>;

    void run();
    bool waitForNextCheck();
    void closeTimedOutReads();
    Exchanges findDisconnected();
    static void closeIfHalfClosed(HttpConnection &connection);

    const absl::Duration idleTimeout_;
    const absl::Duration requestTimeout_;
    const std::unique_ptr<base::Clock> clock_ = base::systemClock();
    std::atomic<std::size_t> count_ { 0 };

    absl::Mutex mutex_;
    std::set<HttpConnection *> connections_ ABSL_GUARDED_BY(mutex_);
    bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
    std::thread thread_;
};

} // namespace zinniadoor::adapters::detail
