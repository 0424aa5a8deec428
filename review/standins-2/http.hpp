#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

// A small blocking HTTP/1.1 server and client for the stand-ins. Loopback addresses only.

namespace review {

using Clock = std::chrono::steady_clock;

inline std::int64_t elapsedMs()
{
    static const Clock::time_point start = Clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start).count();
}

inline void sleepMs(std::int64_t milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

using Fields = std::vector<std::pair<std::string, std::string>>;

inline std::string fieldOf(const Fields &fields, const std::string &name)
{
    for (const auto &[key, value] : fields) {
        if (strcasecmp(key.c_str(), name.c_str()) == 0)
            return value;
    }
    return "";
}

/// A request or a response.
struct Message
{
    std::string firstLine;
    Fields fields;
    std::string body;
    bool complete = false;

    std::string field(const std::string &name) const { return fieldOf(fields, name); }
    std::string method() const { return firstLine.substr(0, firstLine.find(' ')); }
    std::string target() const
    {
        const std::size_t start = firstLine.find(' ') + 1;
        return firstLine.substr(start, firstLine.find(' ', start) - start);
    }
    int status() const
    {
        const std::size_t blank = firstLine.find(' ');
        return blank == std::string::npos ? 0 : std::atoi(firstLine.c_str() + blank + 1);
    }
};

/// A connected socket with the bytes that were read and not parsed yet.
class Connection
{
public:
    explicit Connection(int descriptor)
        : descriptor_(descriptor)
    {
        const int on = 1;
        setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection() { close(); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    bool send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count
                = ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Reads one message until `deadline`. Returns whether its head was read.
    bool read(Message &message, bool isResponse, Clock::time_point deadline)
    {
        message = Message {};
        std::size_t end = std::string::npos;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!receive(deadline))
                return false;
        }
        parseHead(buffer_.substr(0, end), message);
        buffer_.erase(0, end + 4);
        if (isResponse && message.status() / 100 == 1)
            return read(message, isResponse, deadline);
        message.complete = readBody(message, isResponse, deadline);
        return true;
    }

    /// Whether the other side has closed the connection.
    bool isClosedByPeer() const
    {
        char byte = 0;
        const ssize_t got = recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    /// Closes with a reset.
    void reset()
    {
        const linger option { 1, 0 };
        setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &option, sizeof option);
        close();
    }
    void close()
    {
        if (descriptor_ >= 0)
            ::close(descriptor_);
        descriptor_ = -1;
    }

private:
    static void parseHead(const std::string &head, Message &message)
    {
        std::size_t at = head.find("\r\n");
        message.firstLine = head.substr(0, at);
        while (at != std::string::npos) {
            const std::size_t start = at + 2;
            at = head.find("\r\n", start);
            const std::string line = head.substr(start, at == std::string::npos ? at : at - start);
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            std::size_t value = colon + 1;
            while (value < line.size() && line[value] == ' ')
                ++value;
            message.fields.emplace_back(line.substr(0, colon), line.substr(value));
        }
    }

    bool readBody(Message &message, bool isResponse, Clock::time_point deadline)
    {
        if (message.field("Transfer-Encoding") == "chunked")
            return readChunks(message, deadline);
        const std::string length = message.field("Content-Length");
        if (length.empty()) {
            if (!isResponse || message.status() == 204)
                return true;
            while (receive(deadline)) { }
            message.body = std::exchange(buffer_, "");
            return endedByPeer_;
        }
        return take(std::strtoull(length.c_str(), nullptr, 10), message.body, deadline);
    }

    bool readChunks(Message &message, Clock::time_point deadline)
    {
        for (;;) {
            std::size_t end = std::string::npos;
            while ((end = buffer_.find("\r\n")) == std::string::npos) {
                if (!receive(deadline))
                    return false;
            }
            const std::size_t size = std::strtoull(buffer_.c_str(), nullptr, 16);
            buffer_.erase(0, end + 2);
            std::string ignored;
            if (!take(size, message.body, deadline) || !take(2, ignored, deadline))
                return false;
            if (size == 0)
                return true;
        }
    }

    bool take(std::size_t size, std::string &to, Clock::time_point deadline)
    {
        while (buffer_.size() < size) {
            if (receive(deadline))
                continue;
            to += std::exchange(buffer_, "");
            return false;
        }
        to += buffer_.substr(0, size);
        buffer_.erase(0, size);
        return true;
    }

    bool receive(Clock::time_point deadline)
    {
        const auto left
            = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now())
                  .count();
        pollfd waited { descriptor_, POLLIN, 0 };
        if (left <= 0 || poll(&waited, 1, static_cast<int>(left)) <= 0)
            return false;
        char bytes[16384];
        const ssize_t got = recv(descriptor_, bytes, sizeof bytes, 0);
        endedByPeer_ = got == 0;
        if (got <= 0)
            return false;
        buffer_.append(bytes, static_cast<std::size_t>(got));
        return true;
    }

    int descriptor_;
    std::string buffer_;
    bool endedByPeer_ = false;
};

inline std::string responseHead(int status, const Fields &fields, std::size_t length)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " status\r\n";
    for (const auto &[name, value] : fields)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

inline std::string response(int status, const Fields &fields = {}, const std::string &body = "")
{
    return responseHead(status, fields, body.size()) + body;
}

/// Serves each connection on a thread of its own. `handler` answers a request and returns whether
/// the connection is kept.
class HttpServer
{
public:
    using Handler = std::function<bool(const Message &, Connection &)>;

    explicit HttpServer(Handler handler)
        : handler_(std::move(handler))
    {
        start();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

    /// Ends like a process that crashes: no listener is left and all connections are closed.
    void crash()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        shutdown(listener_, SHUT_RDWR);
        ::close(listener_);
        listener_ = -1;
        for (const int descriptor : open_)
            shutdown(descriptor, SHUT_RDWR);
    }

    /// Listens at the same port again.
    void start()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        listener_ = socket(AF_INET, SOCK_STREAM, 0);
        const int on = 1;
        setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port_));
        socklen_t size = sizeof address;
        if (listener_ < 0 || bind(listener_, reinterpret_cast<sockaddr *>(&address), size) != 0
            || listen(listener_, 512) != 0
            || getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &size) != 0)
            _exit(2);
        port_ = ntohs(address.sin_port);
        std::thread([this, listener = listener_] { accept(listener); }).detach();
    }

private:
    void accept(int listener)
    {
        for (;;) {
            const int descriptor = ::accept(listener, nullptr, nullptr);
            const std::lock_guard<std::mutex> lock(mutex_);
            if (listener != listener_) {
                if (descriptor >= 0)
                    ::close(descriptor);
                return;
            }
            if (descriptor < 0)
                continue;
            open_.insert(descriptor);
            std::thread([this, descriptor] { serve(descriptor); }).detach();
        }
    }

    void serve(int descriptor)
    {
        Connection connection(descriptor);
        Message request;
        while (connection.read(request, false, Clock::now() + std::chrono::minutes(5))
               && request.complete && handler_(request, connection)) { }
        const std::lock_guard<std::mutex> lock(mutex_);
        open_.erase(descriptor);
        connection.close();
    }

    Handler handler_;
    std::mutex mutex_;
    std::set<int> open_;
    int listener_ = -1;
    int port_ = 0;
};

inline int connectTo(const std::string &address)
{
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    target.sin_port
        = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + address.find(':') + 1)));
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    if (connect(descriptor, reinterpret_cast<sockaddr *>(&target), sizeof target) == 0)
        return descriptor;
    ::close(descriptor);
    return -1;
}

/// Sends one request on a new connection. The status is 0 if there is no response.
inline Message callOnce(const std::string &address, const std::string &method,
                        const std::string &target, Fields fields, const std::string &body,
                        std::int64_t timeoutMs)
{
    const int descriptor = connectTo(address);
    if (descriptor < 0)
        return {};
    Connection connection(descriptor);
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    if (!body.empty() || method == "POST")
        fields.emplace_back("Content-Length", std::to_string(body.size()));
    for (const auto &[name, value] : fields)
        text += name + ": " + value + "\r\n";
    Message answer;
    if (connection.send(text + "\r\n" + body))
        connection.read(answer, true, Clock::now() + std::chrono::milliseconds(timeoutMs));
    return answer;
}

} // namespace review
