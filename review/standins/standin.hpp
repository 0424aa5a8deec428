// Stand-ins for the review's scripts: an HTTP server on loopback, the platform's log store and its
// interface for duties, clients that keep their connections, and gateway processes.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <fcntl.h>

namespace review {

using Clock = std::chrono::steady_clock;

inline double seconds()
{
    static const auto start = Clock::now();
    return std::chrono::duration<double>(Clock::now() - start).count();
}

inline void sleepFor(double s)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(s));
}

/// The record of a run, one line for each event.
class Record
{
public:
    void open(const std::string &file) { out_.open(file); }
    template <typename... Parts>
    void line(const Parts &...parts)
    {
        std::ostringstream text;
        text.precision(3);
        text << std::fixed << seconds() << " s  ";
        (text << ... << parts);
        const std::lock_guard<std::mutex> lock(mutex_);
        out_ << text.str() << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};

inline Record &record()
{
    static Record instance;
    return instance;
}

inline std::string lower(std::string text)
{
    for (char &c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

struct HttpMessage
{
    std::string startLine;
    std::map<std::string, std::string> fields; ///< Names in lower case.
    std::string body;

    std::string field(const std::string &name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? "" : found->second;
    }
    std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    std::string target() const
    {
        const std::size_t from = startLine.find(' ') + 1;
        return startLine.substr(from, startLine.find(' ', from) - from);
    }
    int status() const
    {
        return startLine.size() < 12 ? 0 : std::atoi(startLine.substr(9, 3).c_str());
    }
};

/// A connection with buffered reading.
class Connection
{
public:
    explicit Connection(int fd)
        : fd_(fd)
    { }
    ~Connection() { close(fd_); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    bool write(const std::string &bytes) const
    {
        std::size_t at = 0;
        while (at < bytes.size()) {
            const ssize_t n = send(fd_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            at += static_cast<std::size_t>(n);
        }
        return true;
    }

    /// Reads one message; false if the connection ended before or within it, or at the time limit.
    bool read(HttpMessage &message, double limitS = 3600)
    {
        const double end = seconds() + limitS;
        std::size_t head = 0;
        while ((head = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(end))
                return false;
        }
        message = {};
        std::istringstream lines(buffer_.substr(0, head));
        std::string line;
        std::getline(lines, message.startLine);
        if (!message.startLine.empty() && message.startLine.back() == '\r')
            message.startLine.pop_back();
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            std::size_t value = colon + 1;
            while (value < line.size() && line[value] == ' ')
                ++value;
            message.fields[lower(line.substr(0, colon))] = line.substr(value);
        }
        buffer_.erase(0, head + 4);
        if (lower(message.field("transfer-encoding")) == "chunked")
            return readChunks(message, end);
        const std::size_t length
            = static_cast<std::size_t>(std::atoll(message.field("content-length").c_str()));
        while (buffer_.size() < length) {
            if (!fill(end))
                return false;
        }
        message.body = buffer_.substr(0, length);
        buffer_.erase(0, length);
        return true;
    }

    bool wasClosed() const { return closed_; }

private:
    bool readChunks(HttpMessage &message, double end)
    {
        for (;;) {
            std::size_t eol = 0;
            while ((eol = buffer_.find("\r\n")) == std::string::npos) {
                if (!fill(end))
                    return false;
            }
            const std::size_t size = std::stoul(buffer_.substr(0, eol), nullptr, 16);
            while (buffer_.size() < eol + 2 + size + 2) {
                if (!fill(end))
                    return false;
            }
            message.body += buffer_.substr(eol + 2, size);
            buffer_.erase(0, eol + 2 + size + 2);
            if (size == 0)
                return true;
        }
    }

    bool fill(double end)
    {
        const double left = end - seconds();
        pollfd waiting { fd_, POLLIN, 0 };
        if (left <= 0 || poll(&waiting, 1, static_cast<int>(left * 1000) + 1) <= 0)
            return false;
        char bytes[65536];
        const ssize_t n = recv(fd_, bytes, sizeof bytes, 0);
        if (n <= 0) {
            closed_ = true;
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(n));
        return true;
    }

    int fd_;
    std::string buffer_;
    bool closed_ = false;
};

inline int listenOn(int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (fd < 0 || bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || listen(fd, 256) != 0) {
        std::perror("listen");
        std::exit(2);
    }
    return fd;
}

inline int portOf(int fd)
{
    sockaddr_in address {};
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

/// A free port outside the range from which the kernel takes ports of outgoing connections.
inline int freePort()
{
    static std::atomic<int> next { 21000 + static_cast<int>(getpid() % 90) * 100 };
    for (;;) {
        const int port = next++;
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        const bool isFree = bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
        close(fd);
        if (isFree)
            return port;
    }
}

inline std::shared_ptr<Connection> connectTo(int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        close(fd);
        return nullptr;
    }
    return std::make_shared<Connection>(fd);
}

/// HTTP server with a thread for each connection.
class HttpServer
{
public:
    /// Answers the request; returns whether the connection is kept.
    using Handler = std::function<bool(const HttpMessage &, Connection &)>;

    explicit HttpServer(Handler handler)
        : handler_(std::move(handler))
        , fd_(listenOn(0))
    {
        std::thread([this] { accept(); }).detach();
    }
    int port() const { return portOf(fd_); }
    std::string address() const { return "127.0.0.1:" + std::to_string(port()); }

private:
    void accept()
    {
        for (;;) {
            const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, fd] {
                Connection connection(fd);
                HttpMessage request;
                while (connection.read(request) && handler_(request, connection)) { }
            }).detach();
        }
    }

    Handler handler_;
    int fd_;
};

inline std::string answerText(int status, const std::string &body,
                              const std::string &moreFields = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + moreFields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string base64(const std::string &bytes)
{
    static const char *const Digits
        = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8
                | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0);
        for (std::size_t k = 0; k < 4; ++k)
            text += i + k <= bytes.size() ? Digits[group >> (18 - 6 * k) & 63] : '=';
    }
    return text;
}

inline std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int i = bytes - 1; i >= 0; --i)
        text += static_cast<char>(value >> (8 * i) & 0xff);
    return text;
}

/// The platform's log store. Records expire after `keepS`; the newest record of each key of a
/// `keyed.` topic is retained.
class Store
{
public:
    explicit Store(double keepS = 300)
        : keepS_(keepS)
        , server_([this](const HttpMessage &request, Connection &connection) {
            return handle(request, connection);
        })
    { }

    std::string address() const { return server_.address(); }

    void putKeyed(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        append(topic, std::string(1, static_cast<char>(key.size())) + key + value);
        if (value.empty())
            newest_[topic].erase(key);
        else
            newest_[topic][key] = value;
        changed_.notify_all();
    }

    /// The partition of this topic is down: its calls are answered 503 and do nothing.
    void setDown(const std::string &topic, bool down)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (down)
            down_.insert(topic);
        else
            down_.erase(topic);
    }

private:
    struct Log
    {
        std::deque<std::pair<double, std::string>> records; ///< With the time of the append.
        std::uint64_t first = 0;
        std::uint64_t end() const { return first + records.size(); }
    };

    void append(const std::string &topic, const std::string &record)
    {
        logs_[topic].records.emplace_back(seconds(), record);
    }

    void expire(Log &log) const
    {
        while (!log.records.empty() && log.records.front().first + keepS_ < seconds()) {
            log.records.pop_front();
            ++log.first;
        }
    }

    static std::map<std::string, std::string> query(const std::string &target)
    {
        std::map<std::string, std::string> result;
        std::istringstream pairs(target.substr(target.find('?') + 1));
        std::string pair;
        while (std::getline(pairs, pair, '&'))
            result[pair.substr(0, pair.find('='))] = pair.substr(pair.find('=') + 1);
        return result;
    }

    bool handle(const HttpMessage &request, Connection &connection)
    {
        const std::string target = request.target();
        auto parameters = query(target);
        const std::string topic = parameters["Topic"];
        std::unique_lock<std::mutex> lock(mutex_);
        if (down_.count(topic) > 0) {
            lock.unlock();
            return connection.write(answerText(503, ""));
        }
        Log &log = logs_[topic];
        expire(log);
        std::string answer;
        if (target.rfind("/log-append", 0) == 0) {
            if (parameters.count("At") > 0 && std::stoull(parameters["At"]) != log.end()) {
                answer = answerText(412, "{\"EndOffset\":" + std::to_string(log.end()) + "}");
            } else {
                const std::uint64_t first = log.end();
                for (std::size_t at = 0; at + 4 <= request.body.size();) {
                    std::size_t length = 0;
                    for (int i = 0; i < 4; ++i)
                        length = length << 8 | static_cast<unsigned char>(request.body[at++]);
                    append(topic, request.body.substr(at, length));
                    at += length;
                }
                answer = answerText(200,
                                    "{\"Offset\":" + std::to_string(first)
                                        + ",\"EndOffset\":" + std::to_string(log.end()) + "}");
                changed_.notify_all();
            }
        } else if (target.rfind("/log-newest", 0) == 0) {
            std::string items;
            for (const auto &[key, value] : newest_[topic])
                items += (items.empty() ? "" : ",") + std::string("{\"Key\":\"") + key
                    + "\",\"Value\":\"" + base64(value) + "\",\"Offset\":0}";
            answer = answerText(200,
                                "{\"items\":[" + items + "],\"HasMore\":false,\"EndOffset\":"
                                    + std::to_string(log.end()) + "}");
        } else {
            const std::uint64_t from = std::stoull(parameters["From"]);
            const double end = seconds() + std::atof(parameters["WaitMs"].c_str()) / 1000;
            while (log.end() <= from && seconds() < end)
                changed_.wait_for(lock, std::chrono::milliseconds(20));
            if (from < log.first) {
                answer = answerText(410, "{\"FirstOffset\":" + std::to_string(log.first) + "}");
            } else {
                std::string body = bigEndian(log.end(), 8) + bigEndian(log.first, 8);
                constexpr std::size_t MaxFetchBytes = 1024 * 1024;
                for (std::uint64_t at = from; at < log.end() && body.size() < MaxFetchBytes; ++at) {
                    const std::string &record = log.records[at - log.first].second;
                    body += bigEndian(record.size(), 4) + record;
                }
                answer = answerText(200, body);
            }
        }
        lock.unlock();
        return connection.write(answer);
    }

    double keepS_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Log> logs_;
    std::map<std::string, std::map<std::string, std::string>> newest_;
    std::set<std::string> down_;
    HttpServer server_;
};

/// The platform's interface for duties: accepts every call.
class Duties
{
public:
    Duties()
        : server_([](const HttpMessage &, Connection &connection) {
            connection.write(answerText(200, "", "Connection: close\r\n"));
            return false;
        })
    { }
    std::string address() const { return server_.address(); }

private:
    HttpServer server_;
};

/// Writes the entry of a server of a plain service into the store, like the server's heartbeat.
inline void listServer(Store &store, const std::string &id, const std::string &service,
                       const std::string &address, int sequence)
{
    static std::mutex mutex;
    static std::map<std::string, long long> starts; // By id: each start has an id of its own.
    long long born = 0;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        born = starts
                   .try_emplace(id,
                                std::chrono::duration_cast<std::chrono::milliseconds>(now).count())
                   .first->second;
    }
    store.putKeyed("keyed.servers", id,
                   "{\"Service\":\"" + service + "\",\"Address\":\"" + address
                       + "\",\"Zone\":\"moka\",\"Version\":1,\"Slots\":64,\"State\":\"ready\","
                         "\"ColdRemainingMs\":0,\"born\":"
                       + std::to_string(born) + ",\"Sequence\":" + std::to_string(sequence) + "}");
}

/// A gateway process, started with the command of the deploy file and the settings of its template.
class Gateway
{
public:
    Gateway(const std::string &program, const std::string &folder, const std::string &name,
            const std::string &store, const std::string &duties)
        : program_(program)
        , folder_(folder)
        , name_(name)
        , file_(folder + "/" + name + ".yaml")
    {
        callers = freePort();
        readiness = freePort();
        const int peers = freePort();
        const int metrics = freePort();
        const auto at = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
        std::ofstream(file_)
            << "instance: {id: \"" << name << "\", data_centre: \"moka\"}\n"
            << "listen:\n  callers: " << at(callers) << "\n  readiness: " << at(readiness)
            << "\n  peers: " << at(peers) << "\n  metrics: " << at(metrics) << "\n"
            << "store:\n  address: \"" << store
            << "\"\n  configuration_notice: 2000ms\n  leaving_notice: 2000ms\n"
            << "duties:\n  address: \"" << duties
            << "\"\n  lease: 3000ms\n  usage_window: 5s\n  usage_due: 10s\n"
            << "stop: {time: 8s }\nretries:\n  ratio: 0.2\n  slack: 58\n  window: 10s\n"
            << "quota: {slack_tokens: 190000 }\n";
    }
    ~Gateway() { kill(); }

    void start()
    {
        const std::string log = folder_ + "/" + name_ + ".log";
        pid_ = fork();
        if (pid_ == 0) {
            const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0666);
            dup2(fd, 1);
            dup2(fd, 2);
            execl(program_.c_str(), program_.c_str(), "--gateway", "--config", file_.c_str(),
                  static_cast<char *>(nullptr));
            _exit(127);
        }
        record().line("started ", name_, ", process ", pid_);
    }

    void kill()
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }

    /// Sends SIGTERM, and SIGKILL if the process has not ended after `graceS`.
    void stop(double graceS)
    {
        ::kill(pid_, SIGTERM);
        const double end = seconds() + graceS;
        while (seconds() < end) {
            if (waitpid(pid_, nullptr, WNOHANG) == pid_) {
                pid_ = -1;
                return;
            }
            sleepFor(0.05);
        }
        kill();
    }

    /// Whether the process has ended by itself; `how` says how.
    bool hasEnded(std::string &how)
    {
        int status = 0;
        if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_)
            return false;
        pid_ = -1;
        how = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                  : "exit code " + std::to_string(WEXITSTATUS(status));
        return true;
    }

    bool waitReady(double limitS = 15) const
    {
        const double end = seconds() + limitS;
        while (seconds() < end) {
            const auto connection = connectTo(readiness);
            HttpMessage answer;
            if (connection && connection->write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                && connection->read(answer, 1) && answer.status() == 200)
                return true;
            sleepFor(0.1);
        }
        return false;
    }

    const std::string &name() const { return name_; }
    pid_t pid() const { return pid_; }
    int callers = 0;
    int readiness = 0;

private:
    std::string program_;
    std::string folder_;
    std::string name_;
    std::string file_;
    pid_t pid_ = -1;
};

} // namespace review
