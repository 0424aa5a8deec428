#pragma once

#include <cerrno>
#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <thread>

#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "absl/time/clock.h"
#include "absl/time/time.h"

#include "zinniadoor/adapters/sizes.hpp"

#include "socket_address.hpp"

namespace zinniadoor::adapters::test {

constexpr int TestTimeoutMilliseconds = 20'000; // generous, for loaded machines

/// Polls until `condition` holds; false after the test timeout.
inline bool eventually(const std::function<bool()> &condition)
{
    const absl::Time deadline = absl::Now() + absl::Milliseconds(TestTimeoutMilliseconds);
    while (!condition()) {
        if (absl::Now() > deadline)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return true;
}

/// A blocking TCP connection on loopback.
class TestConnection
{
public:
    /// Takes over an accepted socket.
    explicit TestConnection(int socket = -1)
        : socket_(socket)
    { }
    TestConnection(TestConnection &&other) noexcept
        : socket_(std::exchange(other.socket_, -1))
    { }
    TestConnection &operator=(TestConnection &&other) noexcept
    {
        closeSocket();
        socket_ = std::exchange(other.socket_, -1);
        return *this;
    }
    ~TestConnection() { closeSocket(); }

    static TestConnection to(int port, int receiveBufferBytes = 0)
    {
        TestConnection result(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        if (receiveBufferBytes > 0)
            setsockopt(result.socket_, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes,
                       sizeof(receiveBufferBytes));
        const auto address = detail::parseAddress("127.0.0.1", port);
        if (connect(result.socket_, address->data(), address->length) != 0)
            result.closeSocket();
        return result;
    }

    bool isOpen() const { return socket_ >= 0; }

    bool send(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const ssize_t sent = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    /// Sends up to `limit` bytes until the socket has blocked for 500 ms; returns the bytes sent.
    std::size_t sendUntilBlocked(std::size_t limit) const
    {
        constexpr int QuietMilliseconds = 500;
        const std::string block(64 * KibiByte, 'x');
        std::size_t total = 0;
        pollfd waiting { socket_, POLLOUT, 0 };
        while (total < limit && poll(&waiting, 1, QuietMilliseconds) > 0) {
            const ssize_t sent
                = ::send(socket_, block.data(), block.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            if (sent > 0)
                total += static_cast<std::size_t>(sent);
        }
        return total;
    }

    /// Receives some bytes; empty at the end, on a reset or after the test timeout.
    std::string receive() const
    {
        pollfd waiting { socket_, POLLIN, 0 };
        if (poll(&waiting, 1, TestTimeoutMilliseconds) <= 0)
            return "";
        char buffer[16 * KibiByte];
        const ssize_t got = recv(socket_, buffer, sizeof(buffer), 0);
        return got <= 0 ? "" : std::string(buffer, static_cast<std::size_t>(got));
    }

    /// Receives until `mark` or the end; includes bytes received together with `mark`.
    std::string receiveUntil(const std::string &mark) const
    {
        std::string all;
        while (all.find(mark) == std::string::npos) {
            const std::string more = receive();
            if (more.empty())
                break;
            all += more;
        }
        return all;
    }

    std::string receiveAll() const
    {
        std::string all;
        for (std::string more = receive(); !more.empty(); more = receive())
            all += more;
        return all;
    }

    /// Waits until the other side has closed or reset the connection. Polls repeatedly, since the
    /// kernel may report the socket as readable shortly before it reports the end.
    bool detectsClose() const
    {
        return eventually([this] {
            pollfd waiting { socket_, POLLRDHUP, 0 };
            poll(&waiting, 1, 0);
            return (waiting.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
        });
    }

    /// Receives until the end; true if that is a reset.
    bool detectsReset() const
    {
        char byte = 0;
        pollfd waiting { socket_, POLLIN, 0 };
        while (poll(&waiting, 1, TestTimeoutMilliseconds) > 0) {
            const ssize_t got = recv(socket_, &byte, 1, 0);
            if (got <= 0)
                return got < 0 && errno == ECONNRESET;
        }
        return false;
    }

    /// Number of bytes in the receive buffer.
    std::size_t unreadBytes() const
    {
        int unread = 0;
        ioctl(socket_, FIONREAD, &unread);
        return static_cast<std::size_t>(unread);
    }

    /// True if the receive buffer is not empty.
    bool hasBytes() const
    {
        char byte = 0;
        return recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
    }

    void shutdownSending() const { shutdown(socket_, SHUT_WR); }
    void closeSocket()
    {
        if (socket_ >= 0)
            ::close(std::exchange(socket_, -1));
    }

private:
    int socket_;
};

/// Listening socket whose connections the test serves itself.
class TestListener
{
public:
    TestListener()
        : socket_(*detail::listenTcp(*detail::parseAddress("127.0.0.1", 0)))
    { }
    ~TestListener() { closeSocket(); }
    TestListener(const TestListener &) = delete;
    TestListener &operator=(const TestListener &) = delete;

    int port() const { return detail::boundAddress(socket_).port(); }

    TestConnection accept(int milliseconds = TestTimeoutMilliseconds) const
    {
        pollfd waiting { socket_, POLLIN, 0 };
        if (poll(&waiting, 1, milliseconds) <= 0)
            return TestConnection();
        return TestConnection(accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC));
    }

    void closeSocket()
    {
        if (socket_ >= 0)
            ::close(std::exchange(socket_, -1));
    }

private:
    int socket_;
};

} // namespace zinniadoor::adapters::test
