// A request crashes each server that begins to run it, and comes again at any machine. All machines
// are killed at the same moment, several times. Checks the rule BUDGET on such requests from what
// reached the servers.

#include "world.hpp"

using namespace review;

namespace {

constexpr int Machines = 4;
constexpr int Servers = 6;
constexpr double KeepSeconds = 300;
constexpr std::int64_t DownMs = 2000; // Of a crashed server.
constexpr std::int64_t ContactMs = 3000;
constexpr std::size_t MostRetries = 3;
constexpr int Kills = 3;

const char *const Zones[] = { "accra-a", "tema-b", "kasoa-c" };

class Trial
{
public:
    explicit Trial(const std::string &folder)
        : record_(folder + "/record.txt")
        , store_(KeepSeconds)
        , duties_([](const Message &, Connection &connection) {
            return connection.send(response(200));
        })
    {
        deployment_.folder = temporaryFolder();
        deployment_.store = store_.address();
        deployment_.duties = duties_.address();
        for (int i = 0; i < Servers; ++i) {
            servers_.push_back(std::make_unique<Server>(
                store_, "i-" + std::to_string(i), "perch-app", Zones[i % 3],
                [this](Server &server, const Message &request, Connection &connection) {
                    return serve(server, request, connection);
                }));
        }
        publish();
        for (int i = 0; i < Machines; ++i) {
            const std::string zone = Zones[i % 3];
            gateways_.push_back(std::make_unique<Gateway>(
                deployment_, "frontend-" + zone + "-" + std::to_string(i / 3 + 1), zone));
        }
    }

    int run()
    {
        if (!startAll())
            return 2;
        for (int i = 0; i < 16; ++i)
            startClient(i);
        sleepMs(5000); // ContactMs and more.
        sendHarmful();
        for (int kill = 0; kill < Kills; ++kill) {
            if (hasTrouble()) {
                record_.line("all machines are killed");
                isUp_ = false;
                for (const auto &gateway : gateways_)
                    gateway->kill(SIGKILL);
                sleepMs(1000);
                if (!startAll())
                    return 2;
                record_.line("all machines are ready again");
            }
            sleepMs(5000); // ContactMs and more.
            sendHarmful();
        }
        return judge();
    }

    void end() { endTrial(deployment_, gateways_); }

private:
    void publish()
    {
        const auto route = [](const char *name, const char *prefix, const char *type) {
            return Json { { "Name", name },          { "Host", "shop.example" },
                          { "PathPrefix", prefix },  { "RouteType", type },
                          { "TimeoutMs", 1000 },     { "TargetLatencyMs", 150 },
                          { "MaxAttempts", 2 },      { "Priority", 2 },
                          { "Service", "perch-app" } };
        };
        const Json limits = { { "MaxHeaderBytes", 16384 },
                              { "MaxBodyBytes", 1000000 },
                              { "HeaderTimeoutMs", 5000 },
                              { "IdleTimeoutMs", 30000 } };
        const Json service
            = { { "Name", "perch-app" }, { "HealthPath", "/health" }, { "MaxConnections", 110 } };
        store_.put("keyed.op", "config",
                   Json { { "Version", 1 },
                          { "Routes",
                            Json::array({ route("box-charge", "/charge/", "non_idempotent"),
                                          route("stock-read", "/stock/", "idempotent") }) },
                          { "Services", Json::array({ service }) },
                          { "Tenants",
                            Json::array({ { { "Name", "kwae" }, { "ApiKeys", { "key-1" } } } }) },
                          { "Limits", limits } }
                       .dump());
    }

    bool startAll()
    {
        for (const auto &gateway : gateways_)
            gateway->start();
        const bool areReady
            = std::all_of(gateways_.begin(), gateways_.end(),
                          [](const auto &gateway) { return gateway->waitUntilReady(10000); });
        isUp_ = areReady;
        return areReady;
    }

    bool serve(Server &server, const Message &request, Connection &connection)
    {
        const std::string id = request.field("X-Zinniadoor-Request-Id");
        if (request.target() == "/stock/harmful") {
            record_.line("server " + server.id() + " begins to run " + id + " and crashes");
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                arrivals_.push_back(elapsedMs());
            }
            server.crash(DownMs);
            return false;
        }
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            ran_.insert(id);
        }
        sleepMs(30);
        return connection.send(response(200, server.signedFields(request), "{}"));
    }

    Message call(const Gateway &gateway, const std::string &method, const std::string &target,
                 const std::string &id)
    {
        return callOnce(gateway.address(), method, target,
                        { { "Host", "shop.example" },
                          { "Authorization", "Bearer key-1" },
                          { "X-Zinniadoor-Request-Id", id },
                          { "X-Zinniadoor-Deadline-Ms", "1000" } },
                        method == "POST" ? "{\"box\":\"" + id + "\"}" : "", 1500);
    }

    /// The client of the harmful request tries each machine in turn.
    void sendHarmful()
    {
        for (const auto &gateway : gateways_) {
            const std::string id = "harmful-" + std::to_string(++harmfulSent_);
            const Message answer = call(*gateway, "GET", "/stock/harmful", id);
            record_.line(id + " sent to " + gateway->name() + ": answer "
                         + std::to_string(answer.status()));
            sleepMs(700);
        }
    }

    void startClient(int number)
    {
        std::thread([this, number] {
            for (int i = 0;; ++i) {
                sleepMs(60);
                if (!isUp_)
                    continue;
                const std::string id = "charge-" + std::to_string(number) + "-" + std::to_string(i);
                const Gateway &gateway
                    = *gateways_[static_cast<std::size_t>(number + i) % Machines];
                const Message answer = call(gateway, "POST", "/charge/" + id, id);
                const std::lock_guard<std::mutex> lock(mutex_);
                const bool isLost = isUp_ && ran_.count(id) > 0 && answer.status() != 200;
                if (!isLost)
                    continue;
                ++lost_;
                record_.line(id + " ran and got " + std::to_string(answer.status()));
            }
        }).detach();
    }

    int judge()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::size_t late = 0;
        for (std::size_t i = 3; i < arrivals_.size(); ++i)
            late += arrivals_[i] > arrivals_[2] + ContactMs ? 1 : 0;
        const std::string result = "BUDGET: the harmful request has crashed "
            + std::to_string(arrivals_.size()) + " servers, " + std::to_string(late)
            + " times later than ContactMs after the third, " + std::to_string(MostRetries)
            + " allowed; " + std::to_string(lost_) + " charges ran and were lost";
        record_.end(result);
        return late > MostRetries ? 1 : 0;
    }

    Record record_;
    Store store_;
    HttpServer duties_;
    Deployment deployment_;
    std::vector<std::unique_ptr<Server>> servers_;
    std::vector<std::unique_ptr<Gateway>> gateways_;
    std::atomic<bool> isUp_ { false };
    std::mutex mutex_;
    std::vector<std::int64_t> arrivals_; ///< Of the harmful request at servers.
    std::set<std::string> ran_;
    int harmfulSent_ = 0;
    int lost_ = 0;
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
