// One tenant sends many times its usual for some seconds, while another one sends bodies of the
// largest allowed size. The platform kills a process that exceeds its memory.
#include "kit.hpp"

#include <random>

using namespace kit;

namespace {

constexpr int MemoryMb = 260; // Of each machine of the small deployments.
constexpr std::size_t LargeBody = 4U * 1024 * 1024; // `MaxBodyBytes`.
constexpr int Servers = 6;
constexpr int LargeClients = 14;
constexpr int LargePerSecond = 22; // 0.75 of the machine's link of 1,000 Mbit/s.
constexpr std::int64_t LargeWorkMs = 30;
constexpr int SmallClients = 100;
constexpr int SmallWorkMinMs = 3000;
constexpr int SmallWorkMaxMs = 5000;

// hot_tenant, x = 7.5, for 6.5 s: 60 of the small clients are the tenant's.
constexpr int HotClients = 390; // In addition.
constexpr std::int64_t HotAt = 5000;
constexpr std::int64_t HotEvery = 13000;
constexpr std::int64_t HotMs = 6500;
constexpr int HotTimes = 6;
constexpr std::int64_t EndAt = 84000;
constexpr std::int64_t HeartbeatMs = 1200;

struct Sent
{
    bool reachedServer = false;
    bool onKept = false;
    bool answered = false;
    bool closed = false;
};

std::mutex mutex;
std::map<std::string, Sent> sentById;
std::atomic<bool> stopped { false };
std::atomic<int> answered { 0 };
std::atomic<int> refused { 0 };
std::atomic<int> nextId { 0 };
std::atomic<int> largeTurn { 0 };

/// One client: a kept connection, requests one after another.
void runClient(const Instance &instance, const char *path, std::size_t bytes,
               const std::function<bool()> &goesOn)
{
    const std::string body(bytes, 'x');
    StreamPtr stream;
    bool kept = false;
    while (goesOn() && !stopped) {
        if (!stream) {
            stream = connectTo(instance.port());
            kept = false;
            if (!stream) {
                sleepMs(100);
                continue;
            }
        }
        const std::string id = "r" + std::to_string(++nextId);
        {
            const std::lock_guard<std::mutex> lock(mutex);
            sentById[id].onKept = kept;
        }
        Message answer;
        const bool sent = stream->send(requestText("POST", path, id, 8000, body));
        const bool got = sent && stream->read(answer, nowMs() + 8500);
        {
            const std::lock_guard<std::mutex> lock(mutex);
            sentById[id].answered = got;
            sentById[id].closed = !got && (stream->hasEnded() || !sent);
        }
        if (got)
            ++(answer.status() == 200 ? answered : refused);
        if (!got || lower(answer.field("connection")) == "close")
            stream = nullptr;
        kept = true;
    }
}

Json route(const char *name, const char *prefix, const char *service)
{
    return { { "Name", name },         { "Host", "shop.example" },
             { "PathPrefix", prefix }, { "RouteType", "idempotent" },
             { "TimeoutMs", 8000 },    { "TargetLatencyMs", 6000 },
             { "Priority", 1 },        { "Service", service },
             { "MaxAttempts", 2 },     { "Public", false },
             { "Sticky", false } };
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3)
        return 2;
    record().open(std::string(argv[1]) + "/record.txt");
    Platform platform;
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<std::unique_ptr<Entry>> entries;
    for (int i = 0; i < Servers; ++i) {
        const auto self = std::make_shared<Server *>(nullptr);
        servers.push_back(std::make_unique<Server>(
            "app-" + std::to_string(i), [self](const StreamPtr &stream, const Message &request) {
                thread_local std::mt19937 random(std::random_device {}());
                {
                    const std::lock_guard<std::mutex> lock(mutex);
                    sentById[request.field("X-Zinniadoor-Request-Id")].reachedServer = true;
                }
                std::uniform_int_distribution<int> work(SmallWorkMinMs, SmallWorkMaxMs);
                sleepMs(request.target() == "/app/large" ? LargeWorkMs : work(random));
                return stream->send((*self)->okFor(request, std::string(800, 'a')));
            }));
        *self = servers.back().get();
        entries.push_back(std::make_unique<Entry>(platform, servers.back()->id(),
                                                  Json({ { "Service", "app" },
                                                         { "Address", servers.back()->address() },
                                                         { "Zone", "zone-a" },
                                                         { "Version", "v1" },
                                                         { "Slots", 128 },
                                                         { "State", "ready" },
                                                         { "ColdRemainingMs", 0 },
                                                         { "born", 1700000000000 } }),
                                                  HeartbeatMs));
    }
    platform.put("keyed.op", "config",
                 Json({ { "Version", 1 },
                        { "Routes", Json::array({ route("app", "/app/", "app") }) },
                        { "Services",
                          Json::array({ { { "Name", "app" },
                                          { "HealthPath", "/health" },
                                          { "MaxConnections", 620 } } }) },
                        { "Limits",
                          { { "MaxHeaderBytes", 16384 },
                            { "MaxBodyBytes", LargeBody },
                            { "HeaderTimeoutMs", 3000 },
                            { "IdleTimeoutMs", 15000 } } },
                        { "Tenants",
                          Json::array({ { { "Name", "shop" },
                                          { "ApiKeys", Json::array({ "key-1" }) } } }) } })
                     .dump());
    Instance instance("frontend-a-1", "zone-a", platform, argv[2], MemoryMb);
    instance.start();
    if (!instance.waitReady(15000)) {
        record().line("the instance is not ready");
        return 2;
    }
    const std::int64_t start = nowMs();
    const auto since = [start] { return nowMs() - start; };
    std::vector<std::thread> threads;
    for (int i = 0; i < SmallClients; ++i)
        threads.emplace_back(
            [&] { runClient(instance, "/app/small", 600, [&] { return since() < EndAt; }); });
    for (int i = 0; i < LargeClients; ++i) {
        threads.emplace_back([&] {
            runClient(instance, "/app/large", LargeBody, [&] { // Together at most `LargePerSecond`.
                const int turn = largeTurn++;
                while (since() < turn * 1000 / LargePerSecond && !stopped)
                    sleepMs(2);
                return since() < EndAt;
            });
        });
    }
    for (int i = 0; isTrouble() && i < HotClients; ++i) {
        threads.emplace_back([&] {
            for (int time = 0; time < HotTimes && !stopped; ++time) {
                const std::int64_t from = HotAt + time * HotEvery;
                while (since() < from && !stopped)
                    sleepMs(20);
                runClient(instance, "/app/small", 600, [&] { return since() < from + HotMs; });
            }
        });
    }
    bool killed = false;
    std::size_t peak = 0;
    std::int64_t shown = 0;
    while (since() < EndAt && !killed) {
        sleepMs(20);
        const std::size_t kb = instance.statusKb("VmRSS");
        peak = std::max(peak, kb);
        if (nowMs() - shown >= 2000) {
            shown = nowMs();
            record().line("resident %zu kB, answered 200: %d, refused or failed: %d", kb,
                          answered.load(), refused.load());
        }
        if (instance.hasEnded()) {
            killed = true;
        } else if (kb > static_cast<std::size_t>(MemoryMb) * 1024) {
            record().line("resident %zu kB: above %d MB, the platform kills the process", kb,
                          MemoryMb);
            instance.kill(SIGKILL);
            killed = true;
        }
    }
    if (killed)
        sleepMs(1000);
    stopped = true;
    for (std::thread &thread : threads)
        thread.join();
    int lost = 0;
    const std::lock_guard<std::mutex> lock(mutex);
    for (const auto &[id, sent] : sentById) {
        if (sent.reachedServer && sent.onKept && sent.closed && !sent.answered) {
            ++lost;
            record().line(
                "lost: %s was at a sound server, its kept connection was closed without an answer",
                id.c_str());
        }
    }
    record().line(
        "peak %zu kB, requests %d, answered 200: %d, refused or failed: %d, lost %d (allowed: 3)",
        peak, nextId.load(), answered.load(), refused.load(), lost);
    const int result = killed && lost > 3 ? 1 : 0;
    record().line("%s", result == 1 ? "rule broken" : "rule held");
    instance.kill(SIGKILL);
    std::fflush(nullptr);
    _exit(result);
}
