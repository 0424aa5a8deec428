#include "connection_monitor.hpp"

#include <utility>

#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace zinniadoor::adapters::detail {

namespace {

constexpr absl::Duration Interval = absl::Milliseconds(250);

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

void ConnectionMonitor::requestBegins(HttpConnection &connection)
{
    const absl::MutexLock lock(&mutex_);
    connection.readDeadline = clock_->now() + requestTimeout_;
    connection.endSeen = false;
}

bool ConnectionMonitor::requestIsWhole(HttpConnection &connection,
                                       std::shared_ptr<HttpExchange> exchange)
{
    const absl::MutexLock lock(&mutex_);
    if (stopping_)
        return false;
    connection.readDeadline = absl::InfiniteFuture();
    connection.exchange = std::move(exchange);
    return true;
}

void ConnectionMonitor::requestEnds(HttpConnection &connection)
{
    const absl::MutexLock lock(&mutex_);
    connection.exchange = nullptr;
    connection.endSeen = false;
    connection.readDeadline = clock_->now() + idleTimeout_ + requestTimeout_;
}

// The mutex is never held while libmicrohttpd is called to resume a connection: its callbacks
// take the mutex as well.
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
    while (waitForTurn()) {
        closeSlowSenders();
        for (const std::shared_ptr<HttpExchange> &exchange : findEnded())
            exchange->noteCallerLeft();
    }
}

bool ConnectionMonitor::waitForTurn()
{
    const absl::MutexLock lock(&mutex_);
    mutex_.AwaitWithTimeout(absl::Condition(&stopping_), Interval);
    return !stopping_;
}

void ConnectionMonitor::closeSlowSenders()
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

// POLLRDHUP shows a closed sending side even when unread bytes wait before it.
ConnectionMonitor::Exchanges ConnectionMonitor::findEnded()
{
    std::vector<pollfd> sockets;
    std::vector<HttpConnection *> watched;
    Exchanges left;
    const absl::MutexLock lock(&mutex_);
    for (HttpConnection *connection : connections_) {
        if (connection->exchange != nullptr && connection->exchange->callerDisconnected())
            continue;
        sockets.push_back({ connection->socket, POLLRDHUP, 0 });
        watched.push_back(connection);
    }
    if (sockets.empty() || poll(sockets.data(), sockets.size(), 0) <= 0)
        return left;
    for (std::size_t i = 0; i < sockets.size(); ++i) {
        if ((sockets[i].revents & (POLLRDHUP | POLLHUP | POLLERR)) == 0)
            continue;
        if (watched[i]->exchange != nullptr)
            left.push_back(watched[i]->exchange);
        else
            closeEndedSender(*watched[i]);
    }
    return left;
}

// libmicrohttpd would wait for the rest of a request until its idle timeout. What is not whole
// one turn after the end was seen, with no byte left to read, can't become whole.
void ConnectionMonitor::closeEndedSender(HttpConnection &connection)
{
    int unread = 0;
    const bool allRead = ioctl(connection.socket, FIONREAD, &unread) == 0 && unread == 0;
    if (connection.endSeen && allRead)
        shutdown(connection.socket, SHUT_RDWR);
    connection.endSeen = allRead;
}

} // namespace zinniadoor::adapters::detail
