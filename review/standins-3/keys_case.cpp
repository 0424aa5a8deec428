// Operators take the keys of connected clients away, by removing one tenant after the other. Checks
// which requests reach the servers later than ConfigApplyMs after each version.
#include "kit.hpp"

#include <set>

using namespace kit;

namespace {

constexpr int Instances = 3;
constexpr int Servers = 3;
constexpr std::int64_t ConfigApplyMs = 2000;
constexpr std::int64_t SettleMs = ConfigApplyMs + 1500;
constexpr int RequestsPerKey = 10; // At each instance.

std::mutex mutex;
std::map<std::string, int> runs; // By request id.

Json configuration(int version, const std::map<std::string, std::string> &keyOfTenant)
{
    Json tenants = Json::array();
    for (const auto &[name, key] : keyOfTenant)
        tenants.push_back(
            { { "Name", name }, { "ApiKeys", Json::array({ key }) }, { "Priority", 1 } });
    const Json route = { { "Name", "charge" },
                         { "Host", "shop.example" },
                         { "PathPrefix", "/charge/" },
                         { "RouteType", "non_idempotent" },
                         { "TimeoutMs", 1000 },
                         { "TargetLatencyMs", 150 },
                         { "Priority", 2 },
                         { "Service", "app" },
                         { "MaxAttempts", 1 },
                         { "Public", false },
                         { "Sticky", false } };
    return {
        { "Version", version },
        { "Routes", Json::array({ route }) },
        { "Services",
          Json::array(
              { { { "Name", "app" }, { "HealthPath", "/health" }, { "MaxConnections", 110 } } }) },
        { "Limits",
          { { "MaxHeaderBytes", 16384 },
            { "MaxBodyBytes", 4194304 },
            { "HeaderTimeoutMs", 3000 },
            { "IdleTimeoutMs", 15000 } } },
        { "Tenants", tenants }
    };
}

struct Client
{
    const char *who;
    std::string key; ///< Empty: no key.
    std::vector<StreamPtr> streams; ///< Kept, one to each instance.
};

struct Outcome
{
    int sent = 0;
    int ran = 0;
    std::map<int, int> statuses;
};

Outcome sendAll(Client &client, const std::vector<std::unique_ptr<Instance>> &instances)
{
    static int next = 0;
    Outcome outcome;
    client.streams.resize(instances.size());
    for (std::size_t i = 0; i < instances.size(); ++i) {
        for (int k = 0; k < RequestsPerKey; ++k) {
            StreamPtr &stream = client.streams[i];
            if (!stream)
                stream = connectTo(instances[i]->port());
            const std::string id = "r" + std::to_string(++next);
            std::string text
                = "POST /charge/a HTTP/1.1\r\nHost: shop.example\r\nX-Zinniadoor-Request-Id: " + id
                + "\r\nX-Zinniadoor-Deadline-Ms: 1000\r\n";
            if (!client.key.empty())
                text += "Authorization: Bearer " + client.key + "\r\n";
            text += "Content-Length: 4\r\n\r\nbody";
            Message answer;
            const bool got = stream && stream->send(text) && stream->read(answer, nowMs() + 2000);
            ++outcome.sent;
            ++outcome.statuses[got ? answer.status() : 0];
            if (!got || lower(answer.field("connection")) == "close")
                stream = nullptr;
            sleepMs(20);
            const std::lock_guard<std::mutex> lock(mutex);
            outcome.ran += runs[id];
        }
    }
    std::string statuses;
    for (const auto &[status, count] : outcome.statuses)
        statuses += " " + std::to_string(status) + " x " + std::to_string(count);
    record().line("%s: sent %d, run by servers %d, answers:%s", client.who, outcome.sent,
                  outcome.ran, statuses.c_str());
    return outcome;
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
                {
                    const std::lock_guard<std::mutex> lock(mutex);
                    ++runs[request.field("X-Zinniadoor-Request-Id")];
                }
                record().line("%s runs %s, tenant '%s'", (*self)->id().c_str(),
                              request.field("X-Zinniadoor-Request-Id").c_str(),
                              request.field("X-Zinniadoor-Tenant").c_str());
                sleepMs(10);
                return stream->send((*self)->okFor(request, "done"));
            }));
        *self = servers.back().get();
        entries.push_back(std::make_unique<Entry>(platform, servers.back()->id(),
                                                  Json({ { "Service", "app" },
                                                         { "Address", servers.back()->address() },
                                                         { "Zone", "zone-a" },
                                                         { "Version", "v1" },
                                                         { "Slots", 6 },
                                                         { "State", "ready" },
                                                         { "ColdRemainingMs", 0 },
                                                         { "born", 1700000000000 } })));
    }
    platform.put("keyed.op", "config",
                 configuration(1, { { "north", "key-north" }, { "south", "key-south" } }).dump());
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
    sleepMs(3500); // ContactMs: all are in touch.
    Client north { "north's key", "key-north", {} };
    Client south { "south's key", "key-south", {} };
    Client stranger { "a key that no version ever held", "key-of-nobody", {} };
    Client keyless { "no key", "", {} };

    record().line("version 1: tenants north and south");
    if (sendAll(north, instances).ran != Instances * RequestsPerKey
        || sendAll(south, instances).ran != Instances * RequestsPerKey) {
        record().line("the deployment does not serve");
        return 2;
    }
    int unknown = sendAll(stranger, instances).ran;
    int dropped = 0;
    int without = sendAll(keyless, instances).ran;

    record().line("version 2: tenant north is removed, south is left");
    platform.put("keyed.op", "config", configuration(2, { { "south", "key-south" } }).dump());
    sleepMs(SettleMs);
    dropped += sendAll(north, instances).ran;
    unknown += sendAll(stranger, instances).ran;
    without += sendAll(keyless, instances).ran;

    if (isTrouble()) {
        record().line("version 3: tenant south is removed too");
        platform.put("keyed.op", "config", configuration(3, {}).dump());
        sleepMs(SettleMs);
        dropped += sendAll(north, instances).ran + sendAll(south, instances).ran;
        unknown += sendAll(stranger, instances).ran;
        without += sendAll(keyless, instances).ran;
    }
    record().line("run by servers: %d with a key that no version ever held (ROUTE), %d with a key "
                  "that was withdrawn more than %d ms "
                  "before (CONFIG); besides, not counted: %d without a key",
                  unknown, dropped, static_cast<int>(ConfigApplyMs), without);
    const bool isBroken = unknown > 0 || dropped > 0;
    record().line("%s", isBroken ? "rule broken" : "rule held");
    for (const auto &instance : instances)
        instance->kill(SIGKILL);
    std::fflush(nullptr);
    _exit(isBroken ? 1 : 0);
}
