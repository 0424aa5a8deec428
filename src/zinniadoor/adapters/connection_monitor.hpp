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

/// What is known of one connection. Guarded by the monitor but for the socket.
struct HttpConnection
{
    int socket = -1;
    absl::Time readDeadline; ///< The next request has to be whole by then.
    bool halfCloseSeen = false; ///< The caller's sending side was already found closed.
    std::shared_ptr<HttpExchange> exchange; ///< While a request is being answered.
};

/// Watches over connections on a thread of its own, because libmicrohttpd looks neither at a
/// suspended connection's socket nor at the time that a request takes in all.
class ConnectionMonitor
{
public:
    ConnectionMonitor(absl::Duration idleTimeout, absl::Duration requestTimeout);
    ~ConnectionMonitor();
    ConnectionMonitor(const ConnectionMonitor &) = delete;
    ConnectionMonitor &operator=(const ConnectionMonitor &) = delete;

    HttpConnection *add(int socket);

    /// To be called before the socket is closed.
    void remove(HttpConnection *connection);

    /// Open connections.
    std::size_t count() const { return count_; }

    /// The first line of a request was read.
    void onRequestStarted(HttpConnection &connection);

    /// The request is whole. False when the monitor has stopped.
    bool onRequestComplete(HttpConnection &connection, std::shared_ptr<HttpExchange> exchange);

    void onRequestFinished(HttpConnection &connection);

    /// Ends the thread and abandons all exchanges.
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
