// Runs real gateway processes against a stand-in of the platform, injects faults from outside and
// checks the promises of docs/PROMISES.md from what callers, endpoints and the platform saw.

#include <csignal>
#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <set>

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

#include "gateway_process.hpp"
#include "http_client.hpp"
#include "soak/fault_proxy.hpp"
#include "soak/soak_clients.hpp"
#include "standins/fleet_standin.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::soak;
using e2e::GatewayProcess;
using Json = nlohmann::json;
using SteadyClock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr std::size_t Gateways = 3;
constexpr std::size_t Endpoints = 3;
constexpr std::size_t Callers = 12;
constexpr int StreamEvents = 5;

class Soak
{
public:
    Soak(std::uint32_t seed, std::chrono::seconds length)
        : random_(seed)
        , seed_(seed)
        , length_(length)
        , dutiesProxy_(platform_.dutiesAddress())
    {
        platform_.setStream(StreamEvents, milliseconds(30));
        for (std::size_t i = 0; i < Endpoints; ++i) {
            const std::string id = endpointId(i);
            endpointProxies_.push_back(std::make_unique<FaultProxy>(platform_.startEndpoint(id)));
            platform_.listEndpoint(id, "plain", "ready", endpointProxies_[i]->address());
        }
        publish();
        for (std::size_t i = 0; i < Gateways; ++i) {
            storeProxies_.push_back(std::make_unique<FaultProxy>(platform_.storeAddress()));
            gateways_.push_back(std::make_unique<GatewayProcess>(
                absl::StrCat("gw-", i), storeProxies_[i]->address(), dutiesProxy_.address()));
        }
    }

    /// Everything that was found broken.
    std::vector<std::string> run()
    {
        if (!e2e::waitUntil([this] { return allReady(); }))
            return { "the instances did not become ready" };
        std::vector<std::string> addresses;
        for (const auto &gateway : gateways_)
            addresses.push_back(gateway->url("").substr(7)); // Without "http://".
        SoakClients clients(addresses, Callers, seed_);
        const auto end = SteadyClock::now() + length_;
        while (SteadyClock::now() < end) {
            injectFault();
            std::this_thread::sleep_for(milliseconds(100 + random_() % 400));
            runDue(SteadyClock::now());
        }
        runDue(SteadyClock::time_point::max());
        const bool recovered = e2e::waitUntil([this] { return allReady() && allServe(); });
        calls_ = clients.stop();
        if (!recovered)
            noteStuck();
        check();
        return faults_;
    }

    std::size_t callCount() const { return calls_.size(); }
    std::size_t servedCount() const { return served_; }
    std::string log(std::size_t gateway) const
    {
        std::string text;
        for (const std::string &line : gateways_[gateway]->process().output())
            absl::StrAppend(&text, line, "\n");
        return text;
    }

private:
    static std::string endpointId(std::size_t i) { return absl::StrCat("e", i); }

    void publish()
    {
        Json routes = Json::array();
        for (const auto &[path, type] :
             std::map<std::string, std::string> { { "/once/", "non_idempotent" },
                                                  { "/again/", "idempotent" },
                                                  { "/stream/", "streaming" },
                                                  { "/resume/", "streaming" } }) {
            routes.push_back({ { "Name", path },
                               { "Host", "h" },
                               { "PathPrefix", path },
                               { "RouteType", type },
                               { "Resumable", path == "/resume/" },
                               { "TimeoutMs", 4000 },
                               { "TargetLatencyMs", 400 },
                               { "TargetGapMs", 250 },
                               { "MaxAttempts", 2 },
                               { "Service", "plain" } });
        }
        const Json configuration
            = { { "Version", ++version_ },
                { "Routes", routes },
                { "Services", Json::array({ { { "Name", "plain" } } }) },
                { "Tenants",
                  Json::array({ { { "Name", "shop" }, { "ApiKeys", { "key-1" } } } }) } };
        platform_.publish(configuration.dump());
    }

    void later(milliseconds delay, std::function<void()> action)
    {
        due_.emplace(SteadyClock::now() + delay, std::move(action));
    }

    void runDue(SteadyClock::time_point now)
    {
        while (!due_.empty() && due_.begin()->first <= now) {
            const auto action = due_.begin()->second;
            due_.erase(due_.begin());
            action();
        }
    }

    milliseconds upTo(std::uint32_t most) { return milliseconds(100 + random_() % most); }

    void disturb(FaultProxy &proxy)
    {
        const LinkState states[]
            = { LinkState::Slow, LinkState::DropRequests, LinkState::DropAnswers, LinkState::Silent,
                LinkState::Refusing };
        proxy.set(states[random_() % 5]);
        later(upTo(3000), [&proxy] {
            proxy.set(LinkState::Good);
            proxy.resetOpenConnections(); // Bytes were lost: the streams cannot go on.
        });
    }

    void injectFault()
    {
        GatewayProcess &gateway = *gateways_[random_() % Gateways];
        const std::size_t endpoint = random_() % Endpoints;
        const std::uint32_t kind = random_() % 12;
        if (kind <= 2 && !gateway.process().isRunning())
            return; // Has ended; its next start is due.
        switch (kind) {
        case 0:
            if (!frozen_.insert(&gateway).second)
                break;
            gateway.process().freeze();
            later(upTo(4000), [this, &gateway] {
                frozen_.erase(&gateway);
                gateway.process().thaw();
            });
            break;
        case 1:
            gateway.process().thaw();
            gateway.process().kill();
            later(upTo(1000), [&gateway] { gateway.start(); });
            break;
        case 2:
            gateway.process().terminate();
            later(milliseconds(7900), [&gateway] { gateway.start(); });
            break;
        case 3:
        case 4:
            disturb(*storeProxies_[random_() % Gateways]);
            break;
        case 5:
            disturb(dutiesProxy_);
            break;
        case 6:
            disturb(*endpointProxies_[endpoint]);
            break;
        case 7:
            endpointProxies_[endpoint]->silenceOpenConnections();
            break;
        case 8:
            endpointProxies_[endpoint]->resetOpenConnections();
            break;
        case 9:
            platform_.setStoreOut(true);
            later(upTo(2000), [this] { platform_.setStoreOut(false); });
            break;
        case 10:
            platform_.setLostAppends(2);
            later(upTo(2000), [this] { platform_.setLostAppends(0); });
            break;
        default:
            publish();
            platform_.listEndpoint(endpointId(endpoint), "plain", "draining",
                                   endpointProxies_[endpoint]->address());
            later(upTo(2000), [this, endpoint] {
                platform_.listEndpoint(endpointId(endpoint), "plain", "ready",
                                       endpointProxies_[endpoint]->address());
            });
        }
    }

    bool allReady()
    {
        for (const auto &gateway : gateways_) {
            if (gateway->ready() != 200)
                return false;
        }
        return true;
    }

    bool allServe()
    {
        for (const auto &gateway : gateways_) {
            e2e::HttpRequest request;
            request.method = "POST";
            request.url = gateway->url("/again/a");
            request.headers
                = { "Host: h", absl::StrCat("X-Zinniadoor-Request-Id: probe", ++probes_),
                    "Authorization: Bearer key-1" };
            if (e2e::call(request).status != 200)
                return false;
        }
        return true;
    }

    void noteStuck()
    {
        for (std::size_t i = 0; i < Gateways; ++i) {
            GatewayProcess &gateway = *gateways_[i];
            const bool running = gateway.process().isRunning();
            const auto exit = running ? std::nullopt : gateway.process().wait();
            const auto lines = gateway.process().output();
            note(absl::StrCat(
                "gw-", i, " after all faults: ready ", gateway.ready(), ", ",
                running ? "running" : "ended", " ",
                exit ? absl::StrCat("code ", exit->code.value_or(-1), " signal ", exit->signal)
                     : "",
                ", last line: ", lines.empty() ? "" : lines.back()));
        }
    }

    void note(const std::string &fault) { faults_.push_back(fault); }

    void check()
    {
        std::map<std::string, int> runs;
        for (const standins::EndpointCall &call : platform_.endpointCalls()) {
            ++runs[call.requestId];
            const auto tenant = call.fields.find("x-zinniadoor-tenant");
            if (tenant == call.fields.end() || tenant->second != "shop"
                || call.fields.count("authorization") > 0)
                note(
                    absl::StrCat(call.requestId, ": wrong organisation, or the key was passed on"));
        }
        for (const CallRecord &call : calls_)
            checkCall(call, runs[call.id]);
        checkDuties();
    }

    void checkCall(const CallRecord &call, int runs)
    {
        const bool mayRepeat
            = absl::StartsWith(call.path, "/again") || absl::StartsWith(call.path, "/resume");
        if (!mayRepeat && runs > 1)
            note(absl::StrCat(call.id, " ", call.path, ": ran ", runs, " times"));
        const bool promised = call.status == 503 || call.status == 429;
        if (!mayRepeat && promised && runs > 0)
            note(absl::StrCat(call.id, " ", call.path, ": answered ", call.status, " and ran"));
        if (call.status != 200 || !call.complete)
            return;
        ++served_;
        if (!call.isSigned)
            note(absl::StrCat(call.id, ": a success without a signature"));
        if (absl::StrContains(call.path, "/stream") || absl::StrContains(call.path, "/resume")) {
            std::string expected;
            for (int i = 1; i <= StreamEvents; ++i)
                absl::StrAppend(&expected, "id: ", i, "\ndata: event ", i, "\n\n");
            // A resumed stand-in stream begins anew; the gateway must not pass that on.
            if (call.body != expected)
                note(absl::StrCat(call.id, ": not the whole stream: ", call.body));
        } else if (!absl::EndsWith(call.body, absl::StrCat(" to ", call.id))) {
            note(absl::StrCat(call.id, ": answer of another request: ", call.body));
        }
    }

    void checkDuties()
    {
        std::map<std::uint64_t, std::string> windows;
        std::map<std::uint64_t, std::string> holders;
        std::uint64_t newest = 0;
        for (const standins::DutyCall &call : platform_.dutyCalls()) {
            const auto [holder, firstCall] = holders.try_emplace(call.fencingNumber, call.holder);
            if (holder->second != call.holder)
                note(absl::StrCat("fencing number ", call.fencingNumber, " of two holders"));
            if (call.fencingNumber < newest)
                note("a lower fencing number was taken after a higher one");
            newest = std::max(newest, call.fencingNumber);
            const Json body = Json::parse(call.body);
            const std::string counts = body["Counts"].dump();
            const auto [window, firstReport] = windows.try_emplace(body["WindowId"], counts);
            if (window->second != counts)
                note(absl::StrCat("window ", window->first, " has two figures"));
        }
    }

    std::mt19937 random_;
    std::uint32_t seed_;
    std::chrono::seconds length_;
    standins::FleetStandin platform_;
    FaultProxy dutiesProxy_;
    std::vector<std::unique_ptr<FaultProxy>> endpointProxies_;
    std::vector<std::unique_ptr<FaultProxy>> storeProxies_;
    std::vector<std::unique_ptr<GatewayProcess>> gateways_;
    std::multimap<SteadyClock::time_point, std::function<void()>> due_;
    std::vector<CallRecord> calls_;
    std::vector<std::string> faults_;
    std::size_t served_ = 0;
    std::set<GatewayProcess *> frozen_;
    int version_ = 0;
    int probes_ = 0;
};

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine line("randomized soak of gateway processes", ' ', "1");
    TCLAP::MultiArg<std::uint32_t> seeds("", "seed", "seed of one run", false, "N", line);
    TCLAP::ValueArg<int> seconds("", "seconds", "length of the faults", false, 10, "S", line);
    TCLAP::SwitchArg logs("", "logs", "print the instances' logs of a failed run", line);
    line.parse(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    std::vector<std::uint32_t> all = seeds.getValue();
    if (all.empty())
        all.push_back(std::random_device {}());
    bool failed = false;
    for (const std::uint32_t seed : all) {
        Soak soak(seed, std::chrono::seconds(seconds.getValue()));
        const auto faults = soak.run();
        std::cout << (faults.empty() ? "PASS" : "FAIL") << " seed " << seed << ": "
                  << soak.callCount() << " calls, " << soak.servedCount() << " served whole"
                  << std::endl;
        for (const std::string &fault : faults)
            std::cout << "  " << fault << "\n";
        for (std::size_t i = 0; logs.getValue() && !faults.empty() && i < Gateways; ++i)
            std::cout << soak.log(i);
        failed = failed || !faults.empty();
    }
    return failed ? 1 : 0;
}
