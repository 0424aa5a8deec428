#include "connection_monitor.hpp"

#include <utility>

#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace zinniadoor::adapters::detail {

namespace {

constexpr absl::Duration CheckInterval = absl::Milliseconds(250);

} // namespace

ConnectionMonitor::ConnectionMonitor(absl::Duration idleTimeout, absl::Duration requestTimeout)
    : idleTimeout_(idleTimeout)
    , requestTimeout_(requestTimeout)
    , thread_([this] { run(); })
{ }

ConnectionMonitor::~ConnectionMonitor()
{
    stop();
}

HttpConnection *ConnectionMonitor::add(int socket)
{
    auto *connection = new HttpConnection;
    connection->socket = socket;
    connection->readDeadline = clock_->now() + idleTimeout_ + requestTimeout_;
    const absl::MutexLock lock(&mutex_);
    connections_.insert(connection);
    ++count_;
    return connection;
}

void ConnectionMonitor::remove(HttpConnection *connection)
{
    {
        const absl::MutexLock lock(&mutex_);
        connections_.erase(connection);
        --count_;
    }
    delete connection;
}

void ConnectionMonitor::onRequestStarted(HttpConnection &connection)
{
    const absl::MutexLock lock(&mutex_);
    connection.readDeadline = clock_->now() + requestTimeout_;
    connection.halfCloseSeen = false;
}

bool ConnectionMonitor::onRequestComplete(HttpConnection &connection,
                                          std::shared_ptr<HttpExchange> exchange)
{
    const absl::MutexLock lock(&mutex_);
    if (stopping_)
        return false;
    connection.readDeadline = absl::InfiniteFuture();
    connection.exchange = std::move(exchange);
    return true;
}

void ConnectionMonitor::onRequestFinished(HttpConnection &connection)
{
    const absl::MutexLock lock(&mutex_);
    connection.exchange = nullptr;
    connection.halfCloseSeen = false;
    connection.readDeadline = clock_->now() + idleTimeout_ + requestTimeout_;
}

// `abandon` resumes connections of libmicrohttpd, whose callbacks lock the mutex; it is therefore
// called without the lock.
void ConnectionMonitor::stop()
{
    Exchanges open;
    {
        const absl::MutexLock lock(&mutex_);
        stopping_ = true;
        for (const HttpConnection *connection : connections_) {
            if (connection->exchange != nullptr)
                open.push_back(connection->exchange);
        }
    }
    for (const std::shared_ptr<HttpExchange> &exchange : open)
        exchange->abandon();
    if (thread_.joinable())
        thread_.join();
}

void ConnectionMonitor::run()
{
    while (waitForNextCheck()) {
        closeTimedOutReads();
        for (const std::shared_ptr<HttpExchange> &exchange : findDisconnected())
            exchange->markCallerGone();
    }
}

bool ConnectionMonitor::waitForNextCheck()
{
    const absl::MutexLock lock(&mutex_);
    mutex_.AwaitWithTimeout(absl::Condition(&stopping_), CheckInterval);
    return !stopping_;
}

void ConnectionMonitor::closeTimedOutReads()
{
    const absl::Time now = clock_->now();
    const absl::MutexLock lock(&mutex_);
    for (HttpConnection *connection : connections_) {
        if (now < connection->readDeadline)
            continue;
        connection->readDeadline = absl::InfiniteFuture();
        shutdown(connection->socket, SHUT_RDWR);
    }
}

// POLLRDHUP reports the caller's FIN even while unread bytes precede it.
ConnectionMonitor::Exchanges ConnectionMonitor::findDisconnected()
{
    std::vector<pollfd> sockets;
    std::vector<HttpConnection *> polled;
    Exchanges disconnected;
    const absl::MutexLock lock(&mutex_);
    for (HttpConnection *connection : connections_) {
        if (connection->exchange != nullptr && connection->exchange->callerDisconnected())
            continue;
        sockets.push_back({ connection->socket, POLLRDHUP, 0 });
        polled.push_back(connection);
    }
    if (sockets.empty() || poll(sockets.data(), sockets.size(), 0) <= 0)
        return disconnected;
    for (std::size_t i = 0; i < sockets.size(); ++i) {
        if ((sockets[i].revents & (POLLRDHUP | POLLHUP | POLLERR)) == 0)
            continue;
        if (polled[i]->exchange != nullptr)
            disconnected.push_back(polled[i]->exchange);
        else
            closeIfHalfClosed(*polled[i]);
    }
    return disconnected;
}

// libmicrohttpd would wait for the rest of a request until the idle timeout. A request that is
// still incomplete one check after the FIN, with no byte left to read, can't be completed.
void ConnectionMonitor::closeIfHalfClosed(HttpConnection &connection)
{
    int unread = 0;
    const bool drained = ioctl(connection.socket, FIONREAD, &unread) == 0 && unread == 0;
    if (connection.halfCloseSeen && drained)
        shutdown(connection.socket, SHUT_RDWR);
    connection.halfCloseSeen = drained;
}

} // namespace zinniadoor::adapters::detail
