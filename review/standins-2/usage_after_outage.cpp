// The platform's interface for duties executes a usage report without answering it and is then out
// for longer than the store keeps its history. The machines that follow the lease lose power.
// Checks the rule ONE on usage reports from what the platform accepted.

#include "world.hpp"

using namespace review;

namespace {

constexpr double KeepSeconds = 20; // "20 s of history".
constexpr std::int64_t OutageMs = 27000;
constexpr std::int64_t PowerLossMs = 19500; // After the start of the outage.

const char *const Zones[] = { "accra-a", "tema-b", "kasoa-c" };

/// The platform's interface for duties. It compares fencing tokens (RequireFencing).
class Duties
{
public:
    explicit Duties(Record &record)
        : record_(record)
        , server_([this](const Message &request, Connection &connection) {
            return serve(request, connection);
        })
    { }

    std::string address() const { return server_.address(); }

    /// From the next usage report on, which is executed, calls get no answer.
    void beginOutage() { isEnding_ = true; }
    bool isOut() const { return isOut_; }
    void endOutage() { isEnding_ = isOut_ = false; }

    /// Windows that were accepted with different counts.
    std::vector<std::uint64_t> conflicts()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return { conflicts_.begin(), conflicts_.end() };
    }

private:
    bool serve(const Message &request, Connection &connection)
    {
        const std::string call = request.target() + " of "
            + request.field("X-Zinniadoor-Lease-Holder") + ", fencing token "
            + request.field("X-Zinniadoor-Fencing-Token") + ", " + request.body;
        if (isOut_) {
            record_.line("out: " + call);
            waitForEnd(connection);
            return false;
        }
        const bool isLast = isEnding_ && request.target() == "/usage" && !isOut_.exchange(true);
        const int status = accept(request);
        record_.line(std::to_string(status) + (isLast ? ", not answered: " : ": ") + call);
        if (!isLast)
            return connection.send(response(status));
        waitForEnd(connection);
        return false;
    }

    static void waitForEnd(const Connection &connection)
    {
        while (!connection.isClosedByPeer())
            sleepMs(50);
    }

    int accept(const Message &request)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto fence
            = std::strtoull(request.field("X-Zinniadoor-Fencing-Token").c_str(), nullptr, 10);
        if (fence < highestFence_)
            return 409;
        highestFence_ = fence;
        if (request.target() != "/usage")
            return 200;
        const Json body = Json::parse(request.body);
        const std::uint64_t window = body["WindowId"];
        const auto [known, isNew] = counts_.try_emplace(window, body["Counts"]);
        if (!isNew && known->second != body["Counts"])
            conflicts_.insert(window);
        return 200;
    }

    Record &record_;
    std::mutex mutex_;
    std::uint64_t highestFence_ = 0;
    std::map<std::uint64_t, Json> counts_;
    std::set<std::uint64_t> conflicts_;
    std::atomic<bool> isEnding_ { false };
    std::atomic<bool> isOut_ { false };
    HttpServer server_;
};

class Trial
{
public:
    explicit Trial(const std::string &folder)
        : record_(folder + "/record.txt")
        , store_(KeepSeconds)
        , duties_(record_)
    {
        deployment_.folder = temporaryFolder();
        deployment_.store = store_.address();
        deployment_.duties = duties_.address();
        for (int i = 0; i < 3; ++i) {
            servers_.push_back(std::make_unique<Server>(
                store_, "i-" + std::to_string(i), "perch-app", Zones[i],
                [this](Server &server, const Message &request, Connection &connection) {
                    record_.line("server " + server.id() + " runs "
                                 + request.field("X-Zinniadoor-Request-Id"));
                    return connection.send(response(200, server.signedFields(request), "{}"));
                }));
        }
        publish();
        // In the order in which the instances rank each other, so that the first two are those that
        // follow the lease.
        for (int i = 0; i < 4; ++i)
            names_.push_back("frontend-" + std::string(Zones[i % 3]) + "-"
                             + std::to_string(i / 3 + 1));
        std::sort(names_.begin(), names_.end(), [](const std::string &a, const std::string &b) {
            return std::hash<std::string> {}(a) < std::hash<std::string> {}(b);
        });
    }

    int run()
    {
        for (int i = 0; i < 3; ++i)
            addMachine();
        if (!allReady())
            return 2;
        sleepMs(22000);
        addMachine();
        record_.line("a machine was added");
        if (!allReady())
            return 2;
        std::thread([this] { load(); }).detach();
        sleepMs(16000); // Some windows are reported.
        if (hasTrouble()) {
            duties_.beginOutage();
            while (!duties_.isOut())
                sleepMs(10);
            record_.line("the interface for duties is out");
            sleepMs(PowerLossMs);
            for (const std::size_t i :
                 { 0, 1, 3 }) { // The third one of the first machines is left.
                record_.line("power lost: " + gateways_[i]->name());
                isOff_[i] = true;
                gateways_[i]->kill(SIGKILL);
            }
            sleepMs(OutageMs - PowerLossMs);
            duties_.endOutage();
            record_.line("the interface for duties is back");
        } else {
            sleepMs(OutageMs);
        }
        sleepMs(12000);
        return judge();
    }

    void end() { endTrial(deployment_, gateways_); }

private:
    void publish()
    {
        const Json route = { { "Name", "stock-read" },    { "Host", "shop.example" },
                             { "PathPrefix", "/stock/" }, { "RouteType", "idempotent" },
                             { "TimeoutMs", 1000 },       { "TargetLatencyMs", 150 },
                             { "MaxAttempts", 2 },        { "Priority", 2 },
                             { "Service", "perch-app" } };
        const Json limits = { { "MaxHeaderBytes", 16384 },
                              { "MaxBodyBytes", 1000000 },
                              { "HeaderTimeoutMs", 5000 },
                              { "IdleTimeoutMs", 30000 } };
        const Json service
            = { { "Name", "perch-app" }, { "HealthPath", "/health" }, { "MaxConnections", 110 } };
        store_.put("keyed.op", "config",
                   Json { { "Version", 1 },
                          { "Routes", Json::array({ route }) },
                          { "Services", Json::array({ service }) },
                          { "Tenants",
                            Json::array({ { { "Name", "kwae" }, { "ApiKeys", { "key-1" } } } }) },
                          { "Limits", limits } }
                       .dump());
    }

    void addMachine()
    {
        const std::string &name = names_[gateways_.size()];
        const std::string zone = name.substr(9, name.rfind('-') - 9);
        gateways_.push_back(std::make_unique<Gateway>(deployment_, name, zone));
        gateways_.back()->start();
    }

    bool allReady() const
    {
        return std::all_of(gateways_.begin(), gateways_.end(),
                           [](const auto &gateway) { return gateway->waitUntilReady(10000); });
    }

    /// Ten requests a second to each machine.
    void load()
    {
        for (int i = 0;; ++i) {
            for (std::size_t machine = 0; machine < gateways_.size(); ++machine) {
                if (isOff_[machine])
                    continue;
                const auto &gateway = gateways_[machine];
                const std::string id = "r" + std::to_string(i) + "-" + gateway->name();
                const Message answer = callOnce(gateway->address(), "GET", "/stock/" + id,
                                                { { "Host", "shop.example" },
                                                  { "Authorization", "Bearer key-1" },
                                                  { "X-Zinniadoor-Request-Id", id },
                                                  { "X-Zinniadoor-Deadline-Ms", "1000" } },
                                                "", 1500);
                record_.line(id + ": answer " + std::to_string(answer.status()));
            }
            sleepMs(100);
        }
    }

    int judge()
    {
        const auto conflicts = duties_.conflicts();
        std::string result = "ONE: windows accepted with different counts:";
        for (const std::uint64_t window : conflicts)
            result += " " + std::to_string(window);
        result += conflicts.empty() ? " none" : "";
        record_.end(result);
        return conflicts.empty() ? 0 : 1;
    }

    Record record_;
    Store store_;
    Duties duties_;
    Deployment deployment_;
    std::vector<std::string> names_;
    std::vector<std::unique_ptr<Server>> servers_;
    std::vector<std::unique_ptr<Gateway>> gateways_;
    std::array<std::atomic<bool>, 4> isOff_ {};
};

} // namespace

int main(int, char **arguments)
{
    elapsedMs();
    Trial trial(arguments[1]);
    const int result = trial.run();
    trial.end();
    _exit(result);
}
