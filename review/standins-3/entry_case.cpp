// A server leaves: its entry is removed, and it goes on serving for some seconds. Another writer
// then writes an entry under its id in which fields are missing. Checks which requests reach the
// server.
#include "kit.hpp"

using namespace kit;

namespace {

constexpr int Instances = 2;
constexpr int Servers = 3;
constexpr int Clients = 12;
constexpr std::int64_t DrainMs = 2000;
constexpr std::int64_t LeaveAt = 4000; // After all are in touch.
constexpr std::int64_t OddEntryAfter = 4000; // After the removal, and again every heartbeat.
constexpr std::int64_t HeartbeatMs = 1200;
constexpr std::int64_t ExitAfter = 9000; // After the removal: "at times many seconds".
constexpr std::int64_t EndAfter = 12000;
constexpr std::int64_t WorkMs = 150;

std::mutex mutex;
std::int64_t removedAt = -1;
int reachedInTime = 0;
int reachedLate = 0;
std::atomic<bool> hasExited { false };
std::atomic<bool> stopped { false };
std::map<int, int> statuses;

class App
{
public:
    App(Platform &platform, const std::string &id, bool leaves)
        : platform_(platform)
        , leaves_(leaves)
        , server_(id, [this](const StreamPtr &stream, const Message &request) {
            return serve(stream, request);
        })
    { }
    Json entry() const
    {
        return { { "Service", "app" },
                 { "Address", server_.address() },
                 { "Zone", "zone-a" },
                 { "Slots", 6 },
                 { "State", "ready" } };
    }
    void beat()
    {
        Json whole = entry();
        whole["Version"] = "v1";
        whole["ColdRemainingMs"] = 0;
        whole["born"] = 1700000000000;
        whole["Sequence"] = ++sequence_;
        platform_.put("keyed.servers", server_.id(), whole.dump());
    }
    void remove() { platform_.put("keyed.servers", server_.id(), ""); }
    void writeOdd()
    {
        record().line("another writer: servers/%s = %s", server_.id().c_str(),
                      entry().dump().c_str());
        platform_.put("keyed.servers", server_.id(), entry().dump());
    }

private:
    bool serve(const StreamPtr &stream, const Message &request)
    {
        if (leaves_) {
            if (hasExited)
                return false;
            const std::lock_guard<std::mutex> lock(mutex);
            const std::int64_t since = removedAt < 0 ? -1 : nowMs() - removedAt;
            if (since > DrainMs) {
                ++reachedLate;
                record().line("request %s reaches %s %lld ms after its removal",
                              request.field("X-Zinniadoor-Request-Id").c_str(),
                              server_.id().c_str(), static_cast<long long>(since));
            } else if (since >= 0) {
                ++reachedInTime;
            }
        }
        sleepMs(WorkMs);
        if (leaves_ && hasExited)
            return false;
        return stream->send(server_.okFor(request, "done"));
    }
    Platform &platform_;
    bool leaves_;
    int sequence_ = 0;
    Server server_;
};

void runClient(const Instance &instance, int number)
{
    StreamPtr stream;
    for (int i = 0; !stopped; ++i) {
        if (!stream)
            stream = connectTo(instance.port());
        Message answer;
        const bool got = stream
            && stream->send(requestText("POST", "/charge/a",
                                        "c" + std::to_string(number) + "-" + std::to_string(i),
                                        1000, "body"))
            && stream->read(answer, nowMs() + 2000);
        {
            const std::lock_guard<std::mutex> lock(mutex);
            ++statuses[got ? answer.status() : 0];
            if (!got || answer.status() != 200)
                record().line("c%d-%d is answered %d", number, i, got ? answer.status() : 0);
        }
        if (!got || lower(answer.field("connection")) == "close")
            stream = nullptr;
        sleepMs(30);
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3)
        return 2;
    record().open(std::string(argv[1]) + "/record.txt");
    Platform platform;
    std::vector<std::unique_ptr<App>> apps;
    for (int i = 0; i < Servers; ++i) {
        apps.push_back(std::make_unique<App>(platform, "app-" + std::to_string(i), i == 0));
        apps.back()->beat();
    }
    platform.put("keyed.op", "config",
                 Json({ { "Version", 1 },
                        { "Routes",
                          Json::array({ { { "Name", "charge" },
                                          { "Host", "shop.example" },
                                          { "PathPrefix", "/charge/" },
                                          { "RouteType", "non_idempotent" },
                                          { "TimeoutMs", 1000 },
                                          { "TargetLatencyMs", 300 },
                                          { "Priority", 2 },
                                          { "Service", "app" },
                                          { "MaxAttempts", 1 },
                                          { "Public", false },
                                          { "Sticky", false } } }) },
                        { "Services",
                          Json::array({ { { "Name", "app" },
                                          { "HealthPath", "/health" },
                                          { "MaxConnections", 110 } } }) },
                        { "Limits",
                          { { "MaxHeaderBytes", 16384 },
                            { "MaxBodyBytes", 4194304 },
                            { "HeaderTimeoutMs", 3000 },
                            { "IdleTimeoutMs", 15000 } } },
                        { "Tenants",
                          Json::array({ { { "Name", "shop" },
                                          { "ApiKeys", Json::array({ "key-1" }) } } }) } })
                     .dump());
    std::vector<std::unique_ptr<Instance>> instances;
    for (int i = 0; i < Instances; ++i) {
        instances.push_back(std::make_unique<Instance>("frontend-a-" + std::to_string(i), "zone-a",
                                                       platform, argv[2], 260));
        instances.back()->start();
    }
    for (const auto &instance : instances) {
        if (!instance->waitReady(15000)) {
            record().line("an instance is not ready");
            return 2;
        }
    }
    std::vector<std::thread> threads;
    for (int i = 0; i < Clients; ++i)
        threads.emplace_back(
            [&, i] { runClient(*instances[static_cast<std::size_t>(i % Instances)], i); });
    const std::int64_t start = nowMs();
    std::int64_t nextBeat = 0;
    std::int64_t nextOdd = -1;
    while (removedAt < 0 || nowMs() - removedAt < EndAfter) {
        sleepMs(10);
        const std::int64_t now = nowMs();
        if (now >= nextBeat) {
            nextBeat = now + HeartbeatMs;
            for (std::size_t i = removedAt < 0 ? 0 : 1; i < apps.size(); ++i)
                apps[i]->beat();
        }
        if (removedAt < 0 && now - start >= LeaveAt) {
            const std::lock_guard<std::mutex> lock(mutex);
            apps[0]->remove();
            removedAt = nowMs();
            nextOdd = removedAt + OddEntryAfter;
            record().line("app-0 leaves: its entry is removed");
        }
        if (removedAt >= 0 && isTrouble() && now >= nextOdd && !hasExited) {
            nextOdd = now + HeartbeatMs;
            apps[0]->writeOdd();
        }
        if (removedAt >= 0 && !hasExited && now - removedAt >= ExitAfter) {
            record().line("app-0 exits");
            hasExited = true;
        }
    }
    stopped = true;
    for (std::thread &thread : threads)
        thread.join();
    const std::lock_guard<std::mutex> lock(mutex);
    for (const auto &[status, count] : statuses)
        record().line("answers with %d: %d", status, count);
    record().line("requests that reached app-0 within %d ms of its removal: %d, later: %d",
                  static_cast<int>(DrainMs), reachedInTime, reachedLate);
    record().line("%s", reachedLate > 0 ? "rule broken" : "rule held");
    for (const auto &instance : instances)
        instance->kill(SIGKILL);
    std::fflush(nullptr);
    _exit(reachedLate > 0 ? 1 : 0);
}
