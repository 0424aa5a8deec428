#pragma once

#include <algorithm>
#include <array>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <nlohmann/json.hpp>

#include "http.hpp"

// Stand-ins for the platform's store, its interface for duties and the servers, and the processes
// of the deploy file. They follow PROTOCOL.md of the users' pages.

namespace review {

using Json = nlohmann::json;

/// Writes what was sent, answered and run to record.txt.
class Record
{
public:
    explicit Record(const std::string &file)
        : out_(file)
    { }
    void line(const std::string &text)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (isEnded_)
            return;
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f s  ", static_cast<double>(elapsedMs()) / 1000);
        out_ << time << text << std::endl;
    }

    /// Writes the result; what comes later belongs to the end of the processes.
    void end(const std::string &result)
    {
        line(result);
        std::puts(result.c_str());
        const std::lock_guard<std::mutex> lock(mutex_);
        isEnded_ = true;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
    bool isEnded_ = false;
};

inline std::string encodeBigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int i = bytes - 1; i >= 0; --i)
        text.push_back(static_cast<char>(value >> (8 * i) & 0xff));
    return text;
}

inline std::string encodeBase64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8
                | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
        for (std::size_t j = 0; j < 4; ++j)
            text.push_back(i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63] : '=');
    }
    return text;
}

/// The platform's store: a log with topics of one partition. Records expire after `keepSeconds`;
/// the newest record of each key of a keyed topic is retained.
class Store
{
public:
    explicit Store(double keepSeconds)
        : keep_(std::chrono::milliseconds(static_cast<std::int64_t>(keepSeconds * 1000)))
        , server_([this](const Message &request, Connection &connection) {
            return serve(request, connection);
        })
    { }
    std::string address() const { return server_.address(); }

    /// What the operator or a server writes; without a value the key is dropped.
    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        Topic &log = topics_[topic];
        log.records.push_back(
            { std::string(1, static_cast<char>(key.size())) + key + value, Clock::now() });
        if (value.empty())
            log.newest.erase(key);
        else
            log.newest[key] = value;
        changed_.notify_all();
    }

    /// While set, each request is answered with 503: nothing is done.
    std::atomic<bool> down { false };

private:
    struct Entry
    {
        std::string bytes;
        Clock::time_point at;
    };
    struct Topic
    {
        std::uint64_t first = 0;
        std::deque<Entry> records;
        std::map<std::string, std::string> newest;
        std::uint64_t end() const { return first + records.size(); }
    };

    void expire(Topic &topic) const
    {
        while (!topic.records.empty() && Clock::now() - topic.records.front().at > keep_) {
            topic.records.pop_front();
            ++topic.first;
        }
    }

    static std::string queryOf(const std::string &target, const std::string &name)
    {
        std::size_t at = target.find('?');
        while (at != std::string::npos) {
            const std::size_t start = at + 1;
            at = target.find('&', start);
            const std::string pair
                = target.substr(start, at == std::string::npos ? at : at - start);
            if (pair.compare(0, name.size() + 1, name + "=") == 0)
                return pair.substr(name.size() + 1);
        }
        return "";
    }

    bool serve(const Message &request, Connection &connection)
    {
        const std::string target = request.target();
        if (down)
            return connection.send(response(503));
        const std::string topic = queryOf(target, "Topic");
        if (target.compare(0, 11, "/log-append") == 0)
            return connection.send(append(topic, queryOf(target, "At"), request.body));
        if (target.compare(0, 11, "/log-newest") == 0)
            return connection.send(readNewest(topic));
        if (target.compare(0, 9, "/log-read") == 0)
            return connection.send(read(topic,
                                        std::strtoull(queryOf(target, "From").c_str(), nullptr, 10),
                                        std::atoi(queryOf(target, "WaitMs").c_str())));
        return connection.send(response(404));
    }

    std::string append(const std::string &name, const std::string &at, const std::string &body)
    {
        sleepMs(2); // AppendMs
        const std::lock_guard<std::mutex> lock(mutex_);
        Topic &topic = topics_[name];
        expire(topic);
        if (!at.empty() && std::strtoull(at.c_str(), nullptr, 10) != topic.end())
            return response(412, {}, Json { { "EndOffset", topic.end() } }.dump());
        const std::uint64_t first = topic.end();
        for (std::size_t i = 0; i + 4 <= body.size();) {
            std::size_t length = 0;
            for (int j = 0; j < 4; ++j)
                length = length << 8 | static_cast<unsigned char>(body[i++]);
            topic.records.push_back({ body.substr(i, length), Clock::now() });
            i += length;
        }
        changed_.notify_all();
        return response(200, {}, Json { { "Offset", first }, { "EndOffset", topic.end() } }.dump());
    }

    std::string read(const std::string &name, std::uint64_t from, int waitMs)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        const auto deadline = Clock::now() + std::chrono::milliseconds(waitMs);
        while (topics_[name].end() == from
               && changed_.wait_until(lock, deadline) != std::cv_status::timeout) { }
        Topic &topic = topics_[name];
        expire(topic);
        if (from < topic.first)
            return response(410, {}, Json { { "FirstOffset", topic.first } }.dump());
        std::string body = encodeBigEndian(topic.end(), 8) + encodeBigEndian(topic.first, 8);
        for (std::uint64_t i = from; i < topic.end(); ++i) {
            const std::string &bytes = topic.records[i - topic.first].bytes;
            body += encodeBigEndian(bytes.size(), 4) + bytes;
            if (body.size() > 1024 * 1024) // MaxFetchKb
                break;
        }
        return response(200, {}, body);
    }

    std::string readNewest(const std::string &name)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        Topic &topic = topics_[name];
        Json items = Json::array();
        for (const auto &[key, value] : topic.newest)
            items.push_back({ { "Key", key },
                              { "Value", encodeBase64(value) },
                              { "Offset", topic.end() - 1 } });
        return response(
            200, {},
            Json { { "items", items }, { "HasMore", false }, { "EndOffset", topic.end() } }.dump());
    }

    std::chrono::milliseconds keep_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Topic> topics_;
    HttpServer server_;
};

/// A server of a service, with its entry in the store.
class Server
{
public:
    using Handler = std::function<bool(Server &, const Message &, Connection &)>;

    Server(Store &store, std::string id, std::string service, std::string zone, Handler handler)
        : store_(store)
        , id_(std::move(id))
        , service_(std::move(service))
        , zone_(std::move(zone))
        , handler_(std::move(handler))
        , born_(nowMs())
        , http_([this](const Message &request, Connection &connection) {
            const std::string expected = request.field("X-Zinniadoor-Expect-Instance");
            if (!expected.empty() && expected != id_)
                return connection.send(response(
                    421,
                    { { "X-Zinniadoor-Instance-Id", id_ },
                      { "X-Zinniadoor-Not-Executed", "1" },
                      { "X-Zinniadoor-Request-Id", request.field("X-Zinniadoor-Request-Id") } }));
            return handler_(*this, request, connection);
        })
    {
        std::thread([this] {
            for (;;) {
                if (registered)
                    heartbeat();
                sleepMs(1200); // HeartbeatMs
            }
        }).detach();
    }

    const std::string &id() const { return id_; }

    /// Ends, and starts again under its id after `downMs`.
    void crash(std::int64_t downMs)
    {
        if (!registered.exchange(false))
            return;
        http_.crash();
        std::thread([this, downMs] {
            sleepMs(downMs);
            born_ = nowMs();
            sequence_ = 0;
            http_.start();
            registered = true;
            heartbeat();
        }).detach();
    }

    void heartbeat()
    {
        store_.put("keyed.servers", id_,
                   Json { { "Service", service_ },
                          { "Address", http_.address() },
                          { "Zone", zone_ },
                          { "Version", "1" },
                          { "Slots", 8 },
                          { "State", "ready" },
                          { "ColdRemainingMs", 0 },
                          { "born", born_.load() },
                          { "Sequence", ++sequence_ } }
                       .dump());
    }

    /// The whole answer of a sound server.
    Fields signedFields(const Message &request) const
    {
        return { { "X-Zinniadoor-Request-Id", request.field("X-Zinniadoor-Request-Id") },
                 { "X-Zinniadoor-Server-Signature", "signed." + id_ },
                 { "Content-Type", "application/json" } };
    }

    std::atomic<bool> registered { true };

private:
    static std::int64_t nowMs()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
    }

    Store &store_;
    std::string id_;
    std::string service_;
    std::string zone_;
    Handler handler_;
    std::atomic<std::int64_t> born_;
    std::atomic<std::uint64_t> sequence_ { 0 };
    HttpServer http_;
};

inline int freePort()
{
    static int next = 20000 + getpid() * 131 % 12000;
    for (;; ++next) {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(next));
        bool isFree = true;
        for (const int type : { SOCK_STREAM, SOCK_DGRAM }) {
            const int descriptor = socket(AF_INET, type, 0);
            isFree = isFree
                && bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
            close(descriptor);
        }
        if (isFree)
            return next++;
    }
}

/// What the template platform/settings.yaml.in is filled with.
struct Deployment
{
    std::string program = "target/src/zinniadoor/daemon/zinniadoord";
    std::string folder; ///< For settings and logs; temporary.
    std::string store;
    std::string duties;
    int memoryMb = 260;
    int budgetSlack = 56;
    int quotaSlack = 190000;
};

/// One process of the deploy file's role, with the command of its `run` line.
class Gateway
{
public:
    Gateway(const Deployment &deployment, std::string name, std::string zone)
        : deployment_(deployment)
        , name_(std::move(name))
        , file_(deployment.folder + "/" + name_ + ".yaml")
    {
        for (int &port : ports_)
            port = freePort();
        std::ofstream(file_) << "instance: {id: \"" << name_ << "\", data_centre: \"" << zone
                             << "\"}\n"
                             << "listen:\n  callers: \"" << address(0) << "\"\n  readiness: \""
                             << address(1) << "\"\n  peers: \"" << address(2) << "\"\n  metrics: \""
                             << address(3) << "\"\n"
                             << "store:\n  address: \"" << deployment.store
                             << "\"\n  configuration_notice: 2000ms\n  leaving_notice: 2000ms\n"
                             << "duties:\n  address: \"" << deployment.duties
                             << "\"\n  lease: 3000ms\n  usage_window: 5s\n  usage_due: 10s\n"
                             << "stop:\n  time: 8s\n"
                             << "retries:\n  ratio: 0.2\n  slack: " << deployment.budgetSlack
                             << "\n  window: 10s\n"
                             << "memory: {limit: " << deployment.memoryMb << " }\n"
                             << "quota: {slack_tokens: " << deployment.quotaSlack << " }\n"
                             << "regions:\n  \"" << zone << "\": \"region\"\n";
    }
    ~Gateway() { kill(SIGKILL); }

    void start()
    {
        pid_ = fork();
        if (pid_ != 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = open((deployment_.folder + "/" + name_ + ".log").c_str(),
                             O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, 1);
        dup2(log, 2);
        execl(deployment_.program.c_str(), deployment_.program.c_str(), "--gateway", "--config",
              file_.c_str(), nullptr);
        _exit(127);
    }

    void kill(int signal)
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, signal);
        if (signal != SIGKILL)
            return;
        waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
    bool isRunning()
    {
        if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_)
            pid_ = -1;
        return pid_ > 0;
    }
    pid_t pid() const { return pid_; }

    bool isReady() const
    {
        return callOnce(address(1), "GET", "/ready", { { "Host", "ready" } }, "", 1000).status()
            == 200;
    }
    bool waitUntilReady(std::int64_t timeoutMs) const
    {
        for (const std::int64_t end = elapsedMs() + timeoutMs; elapsedMs() < end; sleepMs(50)) {
            if (isReady())
                return true;
        }
        return false;
    }
    const std::string &name() const { return name_; }
    std::string address(std::size_t index = 0) const
    {
        return "127.0.0.1:" + std::to_string(ports_[index]);
    }

private:
    const Deployment &deployment_;
    std::string name_;
    std::string file_;
    std::array<int, 4> ports_ {};
    pid_t pid_ = -1;
};

/// Ends the trial: kills its processes and removes its temporary folder. The threads of the
/// stand-ins go on until the process exits.
inline void endTrial(const Deployment &deployment,
                     const std::vector<std::unique_ptr<Gateway>> &gateways)
{
    for (const auto &gateway : gateways)
        gateway->kill(SIGKILL);
    std::error_code ignored;
    if (!std::getenv("KEEP_LOGS"))
        std::filesystem::remove_all(deployment.folder, ignored);
    std::fflush(stdout);
}

inline bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

/// A temporary folder for settings and logs.
inline std::string temporaryFolder()
{
    std::string name = "/tmp/review-XXXXXX";
    if (!mkdtemp(name.data()))
        std::exit(2);
    return name;
}

} // namespace review
