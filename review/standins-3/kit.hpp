// Stand-ins of the operators' platform, of servers and of clients, on loopback addresses, and what
// a case needs to run instances of the system. One thread for each connection.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace kit {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline std::int64_t nowMs()
{
    static const auto start = Clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start).count();
}

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// Writes lines with the time since the start to record.txt.
class Record
{
public:
    void open(const std::string &path) { file_ = std::fopen(path.c_str(), "w"); }
    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::FILE *out = file_ ? file_ : stdout;
        std::fprintf(out, "%8.3f ", static_cast<double>(nowMs()) / 1000);
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(out, format, arguments);
        va_end(arguments);
        std::fputc('\n', out);
        std::fflush(out);
    }

private:
    std::mutex mutex_;
    std::FILE *file_ = nullptr;
};

inline Record &record()
{
    static Record instance;
    return instance;
}

inline int listenOn(int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || listen(fd, 1024) != 0) {
        close(fd);
        return -1;
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

/// A port below the ephemeral range that nobody listens on.
inline int freePort()
{
    static std::atomic<int> next { 21000 + static_cast<int>(getpid() % 200) * 50 };
    for (;;) {
        const int port = next++;
        const int fd = listenOn(port);
        if (fd < 0)
            continue;
        close(fd);
        return port;
    }
}

inline std::string lower(std::string text)
{
    for (char &c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

/// A request or a response.
struct Message
{
    std::string first; ///< First line.
    std::map<std::string, std::string> fields; ///< Names in lower case.
    std::string body;
    bool isWhole = false;

    std::string field(const std::string &name) const
    {
        const auto found = fields.find(lower(name));
        return found == fields.end() ? "" : found->second;
    }
    int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const
    {
        const std::size_t from = first.find(' ') + 1;
        return first.substr(from, first.find(' ', from) - from);
    }
};

/// A connection; reads messages from it.
class Stream
{
public:
    explicit Stream(int fd)
        : fd_(fd)
    {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Stream() { close(fd_); }
    Stream(const Stream &) = delete;
    Stream &operator=(const Stream &) = delete;

    int fd() const { return fd_; }
    void resetOnClose()
    {
        const linger option { 1, 0 };
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    }
    bool send(const std::string &bytes)
    {
        std::size_t at = 0;
        while (at < bytes.size()) {
            const ssize_t sent = ::send(fd_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            at += static_cast<std::size_t>(sent);
        }
        return true;
    }
    /// Whether a byte, or the end, comes within the time.
    bool waitReadable(std::int64_t ms)
    {
        if (!buffer_.empty())
            return true;
        pollfd entry { fd_, POLLIN, 0 };
        return poll(&entry, 1, static_cast<int>(std::max<std::int64_t>(0, ms))) > 0;
    }
    /// Reads more; false at the end, at an error, or after the deadline.
    bool fill(std::int64_t deadline)
    {
        pollfd entry { fd_, POLLIN, 0 };
        if (poll(&entry, 1, static_cast<int>(std::max<std::int64_t>(0, deadline - nowMs()))) <= 0)
            return false;
        char bytes[65536];
        const ssize_t got = recv(fd_, bytes, sizeof bytes, 0);
        if (got <= 0) {
            ended_ = true;
            wasReset_ = got < 0;
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(got));
        return true;
    }
    bool hasEnded() const { return ended_; }
    bool wasReset() const { return wasReset_; }

    bool readHead(Message &message, std::int64_t deadline)
    {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(deadline))
                return false;
        }
        std::istringstream head(buffer_.substr(0, end));
        buffer_.erase(0, end + 4);
        std::getline(head, message.first);
        if (!message.first.empty() && message.first.back() == '\r')
            message.first.pop_back();
        for (std::string line; std::getline(head, line);) {
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
        return true;
    }
    bool readBody(Message &message, std::int64_t deadline)
    {
        if (lower(message.field("transfer-encoding")) == "chunked") {
            for (;;) {
                std::size_t end = 0;
                while ((end = buffer_.find("\r\n")) == std::string::npos) {
                    if (!fill(deadline))
                        return false;
                }
                const std::size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
                while (buffer_.size() < end + 2 + size + 2) {
                    if (!fill(deadline))
                        return false;
                }
                message.body.append(buffer_, end + 2, size);
                buffer_.erase(0, end + 2 + size + 2);
                if (size == 0) {
                    message.isWhole = true;
                    return true;
                }
            }
        }
        const std::size_t size = std::strtoul(message.field("content-length").c_str(), nullptr, 10);
        while (buffer_.size() < size) {
            if (!fill(deadline))
                return false;
        }
        message.body = buffer_.substr(0, size);
        buffer_.erase(0, size);
        message.isWhole = true;
        return true;
    }
    bool read(Message &message, std::int64_t deadline)
    {
        message = Message();
        return readHead(message, deadline) && readBody(message, deadline);
    }

private:
    int fd_;
    std::string buffer_;
    bool ended_ = false;
    bool wasReset_ = false;
};

using StreamPtr = std::shared_ptr<Stream>;

inline StreamPtr connectTo(int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        close(fd);
        return nullptr;
    }
    return std::make_shared<Stream>(fd);
}

/// Accepts connections on a port of its own; `serve` runs in a thread for each.
class Listener
{
public:
    explicit Listener(std::function<void(StreamPtr)> serve, int port = 0)
        : fd_(listenOn(port == 0 ? freePort() : port))
        , serve_(std::move(serve))
    {
        port_ = portOf(fd_);
        std::thread([this] { run(); }).detach();
    }
    int port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    void run()
    {
        for (;;) {
            const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            std::thread([this, fd] { serve_(std::make_shared<Stream>(fd)); }).detach();
        }
    }
    int fd_;
    int port_ = 0;
    std::function<void(StreamPtr)> serve_;
};

inline std::string response(int status, const std::string &body,
                            const std::string &fields = "Content-Type: application/json\r\n")
{
    return "HTTP/1.1 " + std::to_string(status)
        + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + fields + "\r\n" + body;
}

inline std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    const std::size_t mark = target.find('?');
    if (mark == std::string::npos)
        return query;
    std::istringstream parts(target.substr(mark + 1));
    for (std::string part; std::getline(parts, part, '&');) {
        const std::size_t equals = part.find('=');
        if (equals != std::string::npos)
            query[part.substr(0, equals)] = part.substr(equals + 1);
    }
    return query;
}

inline std::string base64(const std::string &text)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t value = 0;
        for (std::size_t k = 0; k < 3; ++k)
            value
                = value << 8 | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0);
        for (std::size_t k = 0; k < 4; ++k)
            out.push_back(i + k > text.size() ? '=' : digits[value >> (18 - 6 * k) & 63]);
    }
    return out;
}

/// The platform: its store (a log), and the interface for duties.
class Platform
{
public:
    Platform()
        : store_([this](const StreamPtr &stream) { serveStore(stream); })
        , duties_([this](const StreamPtr &stream) { serveDuties(stream); })
    { }
    std::string storeAddress() const { return store_.address(); }
    std::string dutiesAddress() const { return duties_.address(); }

    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::string bytes(1, static_cast<char>(key.size()));
        topics_[topic].records.push_back(bytes + key + value);
        changed_.notify_all();
    }

    /// Called with path, holder, fencing token and body; returns the status, or 0 for no answer.
    std::function<int(const Message &)> onDuty = [](const Message &) { return 200; };

    /// Called before a call to the store is carried out; false: nothing is done or answered.
    std::function<bool(const Message &)> onStore = [](const Message &) { return true; };

private:
    struct Topic
    {
        std::vector<std::string> records;
    };

    static std::string lengthOf(std::size_t size, int bytes)
    {
        std::string out;
        for (int i = bytes - 1; i >= 0; --i)
            out.push_back(static_cast<char>(static_cast<std::uint64_t>(size) >> (8 * i) & 0xff));
        return out;
    }

    void serveStore(const StreamPtr &stream)
    {
        for (Message request; stream->read(request, nowMs() + 120000);) {
            if (!onStore(request))
                return;
            sleepMs(2);
            if (!stream->send(answerOf(request)))
                return;
        }
    }

    std::string answerOf(const Message &request)
    {
        const std::string target = request.target();
        const std::string path = target.substr(0, target.find('?'));
        auto query = queryOf(target);
        const std::string name = query["Topic"] + "/" + query["part"];
        const std::string topicName = query["part"] == "0" ? query["Topic"] : name;
        std::unique_lock<std::mutex> lock(mutex_);
        Topic &topic = topics_[topicName];
        if (path == "/log-append") {
            if (query.count("At") > 0 && std::stoull(query["At"]) != topic.records.size())
                return response(412, Json({ { "EndOffset", topic.records.size() } }).dump());
            const std::size_t first = topic.records.size();
            const std::string &body = request.body;
            for (std::size_t at = 0; at + 4 <= body.size();) {
                std::size_t size = 0;
                for (int i = 0; i < 4; ++i)
                    size = size << 8
                        | static_cast<unsigned char>(body[at + static_cast<std::size_t>(i)]);
                topic.records.push_back(body.substr(at + 4, size));
                at += 4 + size;
            }
            changed_.notify_all();
            return response(
                200, Json({ { "Offset", first }, { "EndOffset", topic.records.size() } }).dump());
        }
        if (path == "/log-read") {
            const std::size_t from = std::stoull(query["From"]);
            const std::int64_t wait = query.count("WaitMs") > 0 ? std::stoll(query["WaitMs"]) : 0;
            changed_.wait_for(lock, std::chrono::milliseconds(wait),
                              [&] { return topic.records.size() > from; });
            std::string body = lengthOf(topic.records.size(), 8) + lengthOf(0, 8);
            for (std::size_t i = from; i < topic.records.size() && body.size() < (1U << 20); ++i)
                body += lengthOf(topic.records[i].size(), 4) + topic.records[i];
            return response(200, body, "Content-Type: application/octet-stream\r\n");
        }
        if (path == "/log-newest") {
            std::map<std::string, std::pair<std::string, std::size_t>> newest;
            for (std::size_t i = 0; i < topic.records.size(); ++i) {
                const std::string &bytes = topic.records[i];
                const auto length = static_cast<unsigned char>(bytes[0]);
                const std::string key = bytes.substr(1, length);
                if (bytes.size() > 1U + length)
                    newest[key] = { bytes.substr(1U + length), i };
                else
                    newest.erase(key);
            }
            Json items = Json::array();
            for (const auto &[key, entry] : newest) {
                if (query.count("after") == 0 || key > query["after"])
                    items.push_back({ { "Key", key },
                                      { "Value", base64(entry.first) },
                                      { "Offset", entry.second } });
            }
            return response(200,
                            Json({ { "items", items },
                                   { "HasMore", false },
                                   { "EndOffset", topic.records.size() } })
                                .dump());
        }
        return response(200, "{}");
    }

    void serveDuties(const StreamPtr &stream)
    {
        for (Message request; stream->read(request, nowMs() + 120000);) {
            const int status = onDuty(request);
            if (status == 0 || !stream->send(response(status, "{}")))
                return;
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Topic> topics_;
    Listener store_;
    Listener duties_;
};

/// A server of a service. `serve` gets each request that names this server, or none.
class Server
{
public:
    using Serve = std::function<bool(const StreamPtr &, const Message &)>; ///< False: close.

    Server(std::string id, Serve serve)
        : id_(std::move(id))
        , serve_(std::move(serve))
        , listener_([this](const StreamPtr &stream) { run(stream); })
    { }
    const std::string &id() const { return id_; }
    std::string address() const { return listener_.address(); }

    std::string okFor(const Message &request, const std::string &body) const
    {
        return response(200, body,
                        "X-Zinniadoor-Request-Id: " + request.field("X-Zinniadoor-Request-Id")
                            + "\r\nX-Zinniadoor-Server-Signature: " + id_ + "."
                            + request.field("X-Zinniadoor-Request-Id")
                            + "\r\nKeep-Alive: timeout=" + std::to_string(idleSeconds) + "\r\n");
    }

    int idleSeconds = 15;

private:
    void run(const StreamPtr &stream)
    {
        for (Message request;;) {
            if (!stream->waitReadable(idleSeconds * 1000))
                return;
            if (!stream->read(request, nowMs() + 60000))
                return;
            const std::string expected = request.field("X-Zinniadoor-Expect-Instance");
            if (!expected.empty() && expected != id_) {
                stream->send(response(
                    421, "{}",
                    "X-Zinniadoor-Not-Executed: 1\r\nX-Zinniadoor-Instance-Id: " + id_ + "\r\n"));
                continue;
            }
            if (!serve_(stream, request))
                return;
        }
    }
    std::string id_;
    Serve serve_;
    Listener listener_;
};

/// Keeps the entry of a server in the store, with a heartbeat.
class Entry
{
public:
    Entry(Platform &platform, std::string key, Json entry, std::int64_t heartbeatMs = 1200)
        : platform_(platform)
        , key_(std::move(key))
        , entry_(std::move(entry))
    {
        write();
        std::thread([this, heartbeatMs] {
            for (;;) {
                sleepMs(heartbeatMs);
                write();
            }
        }).detach();
    }

private:
    void write()
    {
        entry_["Sequence"] = ++sequence_;
        platform_.put("keyed.servers", key_, entry_.dump());
    }
    Platform &platform_;
    std::string key_;
    Json entry_;
    std::uint64_t sequence_ = 0;
};

/// An instance of the system, started with the command of the deploy file.
class Instance
{
public:
    Instance(std::string name, std::string zone, const Platform &platform,
             const std::string &folder, int memoryMb, const std::string &more = "")
        : name_(std::move(name))
        , file_(folder + "/" + name_ + ".yaml")
        , log_(folder + "/" + name_ + ".log")
    {
        for (int &port : ports_)
            port = freePort();
        std::ofstream out(file_);
        out << "instance: {id: \"" << name_ << "\", data_centre: \"" << zone << "\"}\n"
            << "listen:\n  callers: \"" << address(0) << "\"\n  readiness: \"" << address(1)
            << "\"\n  peers: \"" << address(2) << "\"\n  metrics: \"" << address(3) << "\"\n"
            << "store:\n  address: \"" << platform.storeAddress()
            << "\"\n  configuration_notice: 2000ms\n  leaving_notice: 2000ms\n"
            << "duties:\n  address: \"" << platform.dutiesAddress()
            << "\"\n  lease: 3000ms\n  usage_window: 5s\n  usage_due: 10s\n"
            << "stop:\n  time: 8s\nretries:\n  ratio: 0.2\n  slack: 56\n  window: 10s\n"
            << "memory: {limit: " << memoryMb << " }\nquota: {slack_tokens: 190000 }\n"
            << "regions:\n  \"" << zone << "\": \"region\"\n"
            << more;
    }
    ~Instance() { kill(SIGKILL); }
    Instance(const Instance &) = delete;
    Instance &operator=(const Instance &) = delete;

    void start()
    {
        const char *program = std::getenv("ZINNIADOORD");
        if (!program)
            program = "target/src/zinniadoor/daemon/zinniadoord";
        const pid_t child = fork();
        if (child == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // Ends with the case.
            const int out = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            execl(program, program, "--gateway", "--config", file_.c_str(), nullptr);
            _exit(127);
        }
        pid_ = child;
    }
    void signal(int number) const
    {
        if (pid_ > 0)
            ::kill(pid_, number);
    }
    void kill(int number)
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, number);
        int status = 0;
        waitpid(pid_, &status, 0);
        pid_ = -1;
    }
    /// Whether the process has ended by itself.
    bool hasEnded()
    {
        int status = 0;
        if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_) {
            record().line("%s ended by itself, status %d", name_.c_str(), status);
            pid_ = -1;
        }
        return pid_ <= 0;
    }
    bool isReady() const
    {
        const StreamPtr stream = connectTo(ports_[1]);
        Message answer;
        return stream && stream->send("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            && stream->read(answer, nowMs() + 1000) && answer.status() == 200;
    }
    bool waitReady(std::int64_t ms) const
    {
        for (const std::int64_t end = nowMs() + ms; nowMs() < end; sleepMs(50)) {
            if (isReady())
                return true;
        }
        return false;
    }
    /// Kilobytes of a line of /proc/PID/status; 0 if there is none.
    std::size_t statusKb(const std::string &line) const
    {
        std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
        for (std::string text; std::getline(in, text);) {
            if (text.compare(0, line.size() + 1, line + ":") == 0)
                return std::strtoul(text.c_str() + line.size() + 1, nullptr, 10);
        }
        return 0;
    }
    std::string metrics() const
    {
        const StreamPtr stream = connectTo(ports_[3]);
        Message answer;
        if (stream && stream->send("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))
            stream->read(answer, nowMs() + 2000);
        return answer.body;
    }
    const std::string &name() const { return name_; }
    int port() const { return ports_[0]; }
    int pid() const { return pid_; }
    std::string address(int index) const { return "127.0.0.1:" + std::to_string(ports_[index]); }

private:
    std::string name_;
    std::string file_;
    std::string log_;
    int ports_[4] = {};
    pid_t pid_ = -1;
};

inline bool isTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

inline std::string requestText(const std::string &method, const std::string &path,
                               const std::string &id, int deadlineMs, const std::string &body,
                               const std::string &more = "")
{
    return method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Zinniadoor-Request-Id: " + id
        + "\r\nX-Zinniadoor-Deadline-Ms: " + std::to_string(deadlineMs)
        + "\r\nAuthorization: Bearer key-1\r\n" + more
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace kit
