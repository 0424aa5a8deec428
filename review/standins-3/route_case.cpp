// A new version adds a route to a further service, whose sound and idle servers answer within the
// time that its callers wait. Compares how often requests on the old and on the added route are
// served.
#include "kit.hpp"

using namespace kit;

namespace {

constexpr int Instances = 3;
constexpr int ServersPerService = 3;
constexpr std::int64_t ConfigApplyMs = 2000;
constexpr std::int64_t ContactMs = 3000;
constexpr int DeadlineMs = 1000;
constexpr std::int64_t OldWorkMs = 30;
constexpr std::int64_t AddedWorkMs = 600;
constexpr std::int64_t MeasureMs = 20000;

struct Count
{
    std::atomic<int> sent { 0 };
    std::atomic<int> served { 0 };
    std::mutex mutex;
    std::map<int, int> statuses;
};

std::atomic<bool> stopped { false };
std::atomic<int> nextId { 0 };
std::atomic<int> running { 0 };
std::atomic<int> ranAdded { 0 };

Json route(const char *name, const char *prefix, const char *service)
{
    return { { "Name", name },
             { "Host", "shop.example" },
             { "PathPrefix", prefix },
             { "RouteType", "idempotent" },
             { "TimeoutMs", DeadlineMs },
             { "TargetLatencyMs", 150 },
             { "Priority", 2 },
             { "Service", service },
             { "MaxAttempts", 2 },
             { "Public", false },
             { "Sticky", false } };
}

Json configuration(int version, bool isAdded)
{
    Json routes = Json::array({ route("old", "/old/", "app") });
    if (isAdded)
        routes.push_back(route("added", "/added/", "reports"));
    Json services = Json::array();
    for (const char *name : { "app", "reports" })
        services.push_back(
            { { "Name", name }, { "HealthPath", "/health" }, { "MaxConnections", 110 } });
    return { { "Version", version },
             { "Routes", routes },
             { "Services", services },
             { "Limits",
               { { "MaxHeaderBytes", 16384 },
                 { "MaxBodyBytes", 4194304 },
                 { "HeaderTimeoutMs", 3000 },
                 { "IdleTimeoutMs", 15000 } } },
             { "Tenants",
               Json::array({ { { "Name", "shop" }, { "ApiKeys", Json::array({ "key-1" }) } } }) } };
}

/// One request a second; a refused one is sent once more after its Retry-After, as callers do.
void runClient(const Instance &instance, const char *path, Count &count,
               const std::atomic<bool> &isMeasured)
{
    StreamPtr stream;
    while (!stopped) {
        const std::int64_t begin = nowMs();
        int status = 0;
        for (int attempt = 0; attempt < 2; ++attempt) {
            if (!stream)
                stream = connectTo(instance.port());
            Message answer;
            const int left = DeadlineMs - static_cast<int>(nowMs() - begin);
            const bool got = stream
                && stream->send(requestText("GET", path, "r" + std::to_string(++nextId), left, ""))
                && stream->read(answer, nowMs() + left + 500);
            status = got ? answer.status() : 0;
            if (!got || lower(answer.field("connection")) == "close")
                stream = nullptr;
            if (status != 503 || answer.field("retry-after").empty())
                break;
            sleepMs(
                static_cast<std::int64_t>(1000 * std::atof(answer.field("retry-after").c_str())));
        }
        if (isMeasured) {
            ++count.sent;
            count.served += status == 200 ? 1 : 0;
            const std::lock_guard<std::mutex> lock(count.mutex);
            ++count.statuses[status];
        }
        sleepMs(std::max<std::int64_t>(0, 1000 - (nowMs() - begin)));
    }
}

void show(const char *name, Count &count)
{
    std::string statuses;
    for (const auto &[status, times] : count.statuses)
        statuses += " " + std::to_string(status) + " x " + std::to_string(times);
    record().line("%s route: %d requests, %d served; last answers:%s", name, count.sent.load(),
                  count.served.load(), statuses.c_str());
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
    for (const std::string service : { "app", "reports" }) {
        for (int i = 0; i < ServersPerService; ++i) {
            const auto self = std::make_shared<Server *>(nullptr);
            const bool isAdded = service == "reports";
            servers.push_back(std::make_unique<Server>(
                service + "-" + std::to_string(i),
                [self, isAdded](const StreamPtr &stream, const Message &request) {
                    if (isAdded) {
                        ++ranAdded;
                        record().line("%s runs %s, %d running", (*self)->id().c_str(),
                                      request.field("X-Zinniadoor-Request-Id").c_str(), ++running);
                    }
                    sleepMs(isAdded ? AddedWorkMs : OldWorkMs);
                    if (isAdded)
                        --running;
                    return stream->send((*self)->okFor(request, "done"));
                }));
            *self = servers.back().get();
            entries.push_back(
                std::make_unique<Entry>(platform, servers.back()->id(),
                                        Json({ { "Service", service },
                                               { "Address", servers.back()->address() },
                                               { "Zone", "zone-a" },
                                               { "Version", "v1" },
                                               { "Slots", 6 },
                                               { "State", "ready" },
                                               { "ColdRemainingMs", 0 },
                                               { "born", 1700000000000 } })));
        }
    }
    platform.put("keyed.op", "config", configuration(1, false).dump());
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
    sleepMs(ContactMs);
    Count old;
    Count added;
    std::atomic<bool> isMeasured { false };
    std::vector<std::thread> threads;
    for (const auto &instance : instances) {
        for (int i = 0; i < 2; ++i)
            threads.emplace_back([&] { runClient(*instance, "/old/a", old, isMeasured); });
    }
    sleepMs(2000);
    if (isTrouble()) {
        record().line("version 2 adds the route /added/");
        platform.put("keyed.op", "config", configuration(2, true).dump());
        sleepMs(ConfigApplyMs + ContactMs);
        for (const auto &instance : instances) {
            for (int i = 0; i < 2; ++i)
                threads.emplace_back([&] { runClient(*instance, "/added/a", added, isMeasured); });
        }
    }
    isMeasured = true;
    sleepMs(MeasureMs);
    stopped = true;
    for (std::thread &thread : threads)
        thread.join();
    show("old", old);
    show("added", added);
    const double oldShare = old.sent > 0 ? static_cast<double>(old.served) / old.sent : 0;
    const double addedShare = added.sent > 0 ? static_cast<double>(added.served) / added.sent : 0;
    const bool isBroken = added.sent >= 20 && addedShare < 0.25 * oldShare;
    record().line("served: old %.3f, added %.3f; servers of the added route ran %d requests",
                  oldShare, addedShare, ranAdded.load());
    record().line("%s", isBroken ? "rule broken" : "rule held");
    for (const auto &instance : instances)
        instance->kill(SIGKILL);
    std::fflush(nullptr);
    _exit(isBroken ? 1 : 0);
}
