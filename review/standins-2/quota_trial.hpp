#pragma once

#include "world.hpp"

namespace review {

// One tenant sends more than its quota through all machines. Checks the rule QUOTA from what the
// clients sent and what the servers ran.

constexpr std::int64_t TokensPerRequest = 20000;

// Of the tenant, and of the site's sheet.
constexpr double RatePerS = 1000000;
constexpr double Burst = 500000;
constexpr double QuotaWindowS = 8;
constexpr double QuotaOverage = 0.1;
constexpr double QuotaSlack = 190000;

const char *const Zones[] = { "accra-a", "tema-b", "kasoa-c" };

struct QuotaScenario
{
    double keepSeconds = 300; ///< Of the store.
    int machines = 8;
    int added = 0; ///< Machines that start after the quiet time.
    int stopped = 0; ///< Machines that get SIGTERM in turn while the tenant sends, and leave.
    std::int64_t stopGapMs = 0;
    std::int64_t quietMs = 0;
    int clients = 33;
};

struct Run
{
    std::int64_t sent = -1;
    std::int64_t arrived = -1;
};

class QuotaTrial
{
public:
    QuotaTrial(const QuotaScenario &scenario, const std::string &folder)
        : scenario_(scenario)
        , record_(folder + "/record.txt")
        , store_(scenario.keepSeconds)
        , duties_([](const Message &, Connection &connection) {
            return connection.send(response(200));
        })
    {
        deployment_.folder = temporaryFolder();
        deployment_.store = store_.address();
        deployment_.duties = duties_.address();
        for (int i = 0; i < 3; ++i) {
            servers_.push_back(std::make_unique<Server>(
                store_, "i-" + std::to_string(i), "perch-app", Zones[i],
                [this](Server &server, const Message &request, Connection &connection) {
                    noteRun(server, request);
                    sleepMs(5);
                    return connection.send(response(200, server.signedFields(request), "{}"));
                }));
        }
        publish();
    }

    int run()
    {
        for (int i = 0; i < scenario_.machines; ++i)
            addMachine();
        if (!allReady())
            return 2;
        record_.line("the first machines are ready");
        for (const std::int64_t end = elapsedMs() + scenario_.quietMs; elapsedMs() < end;
             sleepMs(500)) {
            for (const auto &gateway : gateways_)
                call(*gateway);
        }
        if (hasTrouble() && scenario_.added > 0) {
            for (int i = 0; i < scenario_.added; ++i)
                addMachine();
            record_.line("machines are added");
        }
        sleepMs(4000); // ContactMs and more.
        if (!allReady())
            return 2;
        record_.line("the tenant begins to send more than its quota");
        std::thread stops([this] { stopMachines(); });
        load(20000);
        stops.join();
        return judge();
    }

private:
    void publish()
    {
        const Json route = { { "Name", "stock-read" },    { "Host", "shop.example" },
                             { "PathPrefix", "/stock/" }, { "RouteType", "idempotent" },
                             { "TimeoutMs", 1000 },       { "TargetLatencyMs", 150 },
                             { "MaxAttempts", 2 },        { "Priority", 2 },
                             { "Service", "perch-app" } };
        const Json tenant
            = { { "Name", "kwae" }, { "ApiKeys", { "key-1" } }, { "RatePerS", RatePerS },
                { "Burst", Burst }, { "Unit", "token_stream" }, { "UncachedTokens", 200 } };
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
                          { "Tenants", Json::array({ tenant }) },
                          { "Limits", limits } }
                       .dump());
    }

    void addMachine()
    {
        const std::string zone = Zones[gateways_.size() % 3];
        gateways_.push_back(std::make_unique<Gateway>(
            deployment_, "frontend-" + zone + "-" + std::to_string(gateways_.size() / 3 + 1),
            zone));
        gateways_.back()->start();
    }

    bool allReady() const
    {
        return std::all_of(gateways_.begin(), gateways_.end(),
                           [](const auto &gateway) { return gateway->waitUntilReady(10000); });
    }

    void noteRun(const Server &server, const Message &request)
    {
        const std::string id = request.field("X-Zinniadoor-Request-Id");
        record_.line("server " + server.id() + " runs " + id + " for tenant "
                     + request.field("X-Zinniadoor-Tenant"));
        const std::lock_guard<std::mutex> lock(mutex_);
        runs_[id].arrived = elapsedMs();
    }

    void call(const Gateway &gateway)
    {
        std::string id;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            id = "r" + std::to_string(++requests_);
            runs_[id].sent = elapsedMs();
        }
        const Message answer = callOnce(
            gateway.address(), "GET", "/stock/" + id,
            { { "Host", "shop.example" },
              { "Authorization", "Bearer key-1" },
              { "X-Zinniadoor-Request-Id", id },
              { "X-Zinniadoor-Token-Count", std::to_string(TokensPerRequest - 20) + ",20" },
              { "X-Zinniadoor-Deadline-Ms", "1000" } },
            "", 1500);
        record_.line(id + " sent to " + gateway.name() + ": answer "
                     + std::to_string(answer.status()));
    }

    void load(std::int64_t milliseconds)
    {
        const std::int64_t end = elapsedMs() + milliseconds;
        std::vector<std::thread> threads;
        for (std::size_t i = 0; i < static_cast<std::size_t>(scenario_.clients); ++i) {
            threads.emplace_back([this, end, i] {
                for (std::size_t number = i; elapsedMs() < end;) {
                    const std::size_t machine = number % gateways_.size();
                    if (isLeaving_[machine])
                        ++number; // The balancer sends new connections elsewhere.
                    else
                        call(*gateways_[machine]);
                    sleepMs(100);
                }
            });
        }
        for (std::thread &thread : threads)
            thread.join();
    }

    /// Every second machine of the first ones leaves; the balancer notices after two misses.
    void stopMachines()
    {
        for (int i = 0; hasTrouble() && i < scenario_.stopped; ++i) {
            sleepMs(scenario_.stopGapMs);
            const std::size_t machine = static_cast<std::size_t>(2 * i);
            record_.line("SIGTERM to " + gateways_[machine]->name());
            gateways_[machine]->kill(SIGTERM);
            std::thread([this, machine] {
                sleepMs(2000);
                isLeaving_[machine] = true;
            }).detach();
        }
    }

    int judge()
    {
        const double allowed = (RatePerS * QuotaWindowS + Burst) * (1 + QuotaOverage) + QuotaSlack;
        const std::lock_guard<std::mutex> lock(mutex_);
        double most = 0;
        std::int64_t mostAt = 0;
        for (const auto &[firstId, first] : runs_) {
            const std::int64_t begin = first.sent;
            const std::int64_t end = begin + static_cast<std::int64_t>(QuotaWindowS * 1000);
            double tokens = 0;
            for (const auto &[id, run] : runs_) {
                if (run.sent >= begin && run.arrived >= begin && run.arrived <= end)
                    tokens += static_cast<double>(TokensPerRequest);
            }
            if (tokens > most) {
                most = tokens;
                mostAt = begin;
            }
        }
        const std::string result = "QUOTA: " + std::to_string(static_cast<std::int64_t>(most))
            + " tokens in the 8 s from " + std::to_string(mostAt) + " ms, allowed "
            + std::to_string(static_cast<std::int64_t>(allowed));
        record_.end(result);
        return most > allowed ? 1 : 0;
    }

    QuotaScenario scenario_;
    Record record_;
    Store store_;
    HttpServer duties_;
    Deployment deployment_;
    std::vector<std::unique_ptr<Server>> servers_;
    std::vector<std::unique_ptr<Gateway>> gateways_;
    std::array<std::atomic<bool>, 64> isLeaving_ {};
    std::mutex mutex_;
    int requests_ = 0;
    std::map<std::string, Run> runs_;

public:
    void end() { endTrial(deployment_, gateways_); }
};

} // namespace review
