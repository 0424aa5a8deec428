// Randomized fault soak: runs gateway processes against a stand-in of the platform, injects faults
// into processes, links and the platform, and checks the guarantees of docs/PROMISES.md against the
// records of clients, endpoints and the platform.

#include <array>
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
#include "link_cutter.hpp"
#include "soak/fault_proxy.hpp"
#include "soak/link_cuts.hpp"
#include "soak/soak_clients.hpp"
#include "soak/store_restorations.hpp"
#include "soak/stream_take_ups.hpp"
#include "soak/version_releases.hpp"
#include "standins/fleet_standin.hpp"
#include "standins/unframed_endpoint.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::soak;
using e2e::GatewayProcess;
using Json = nlohmann::json;
using SteadyClock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr std::size_t GatewayCount = 3;
constexpr std::size_t EndpointCount = 3;
constexpr std::size_t ClientCount = 12;
/// With releases: so many that most do not know a stream, also while some are frozen. The faults
/// that are not part of releases hit the first ones only.
constexpr std::size_t ReleaseGatewayCount = 9;
constexpr std::size_t StreamCallerCount = 32;
constexpr int StreamEvents = 5;
constexpr milliseconds EventPause(30);
constexpr milliseconds FaultyVersionTime(300);
constexpr char ReleasedPath[] = "/resume-released/"; // Served by endpoints of several versions.
constexpr char UnframedEndpointId[] = "unframed";
constexpr std::chrono::seconds UsageWindow(2); // As in the instances' settings.
constexpr std::size_t LaterWindows = 2; // Whose reports are awaited after the faults.
constexpr absl::Duration UsageTimeout = absl::Seconds(60);

struct SoakOptions
{
    std::uint32_t seed = 0;
    std::chrono::seconds faultDuration {};
    bool restoresStore = false;
    bool cutsLinks = false;
    bool releasesVersions = false;
    std::chrono::seconds leadIn {}; ///< Time with a single version, before the callers begin.
};

class Soak
{
public:
    explicit Soak(const SoakOptions &options)
        : options_(options)
        , random_(options.seed)
        , unframed_({ StreamEvents, EventPause, true })
        , dutiesProxy_(platform_.dutiesAddress())
    {
        platform_.configureStreams(StreamEvents, EventPause);
        if (options_.cutsLinks)
            links_ = std::make_unique<e2e::LinkCutter>(e2e::OwnerLookup::AtCut);
        endpointStarts_.fill(1);
        for (std::size_t i = 0; i < EndpointCount; ++i) {
            const std::string id = endpointId(i);
            endpointProxies_.push_back(std::make_unique<FaultProxy>(platform_.startEndpoint(id)));
            endpointAddresses_[i] = reachedAt(endpointProxies_[i]->address());
            listEndpoint(i, "ready");
        }
        platform_.startEndpoint(UnframedEndpointId);
        platform_.listEndpoint(UnframedEndpointId, "unframed", "ready",
                               reachedAt(unframed_.address()));
        if (options_.releasesVersions)
            startReleases();
        publish();
        e2e::Deployment deployment;
        if (links_)
            deployment.environment = links_->environment();
        for (std::size_t i = 0; i < gatewayCount(); ++i) {
            if (i >= GatewayCount) // Instances of a data centre get the store's logs together.
                deployment.dataCentre = absl::StrCat("dc-", i / GatewayCount);
            storeProxies_.push_back(std::make_unique<FaultProxy>(platform_.storeAddress()));
            gateways_.push_back(std::make_unique<GatewayProcess>(
                absl::StrCat("gw-", i), storeProxies_[i]->address(), dutiesProxy_.address(),
                deployment));
        }
    }

    /// Returns the violations found.
    std::vector<std::string> run()
    {
        if (!e2e::waitUntil([this] { return allReady(); }))
            return { "instances not ready after start" };
        std::vector<std::string> addresses;
        for (const auto &gateway : gateways_)
            addresses.push_back(gateway->url("").substr(7)); // Without "http://".
        std::this_thread::sleep_for(options_.leadIn);
        SoakClients clients(addresses, ClientCount, options_.seed, paths());
        if (releases_) {
            streamCallers_
                = std::make_unique<StreamCallers>(addresses, StreamCallerCount, options_.seed,
                                                  absl::StrCat(ReleasedPath, "a"), StreamEvents);
        }
        if (options_.restoresStore)
            startRestorations();
        if (links_)
            cuts_ = std::make_unique<LinkCuts>(*links_, gateways_, options_.seed);
        const auto end = SteadyClock::now() + options_.faultDuration;
        while (SteadyClock::now() < end) {
            injectFault();
            std::this_thread::sleep_for(milliseconds(100 + random_() % 400));
            runDueActions(SteadyClock::now());
            stepRestorations();
            if (cuts_)
                cuts_->step();
            if (releases_)
                releases_->step();
        }
        if (restorations_)
            restorations_->stop();
        if (cuts_)
            cuts_->stop();
        if (releases_)
            releases_->stop();
        runDueActions(SteadyClock::time_point::max());
        if (recovers() && restorations_) {
            platform_.copyStore();
            reportsUsage(1);
            restorations_->restore(); // Without other faults, so that no restart hides its effect.
            recovers();
        }
        calls_ = clients.stop();
        if (streamCallers_)
            streams_ = streamCallers_->stop();
        check();
        return violations_;
    }

    std::size_t callCount() const { return calls_.size(); }
    std::size_t servedCount() const { return served_; }
    int cutCount() const { return cuts_ ? cuts_->count() : 0; }
    int releaseCount() const { return releases_ ? releases_->count() : 0; }
    const StreamFigures &streamFigures() const { return streamFigures_; }
    std::size_t gatewayCount() const
    {
        return options_.releasesVersions ? ReleaseGatewayCount : GatewayCount;
    }
    int restorationCount() const { return restorations_ ? restorations_->count() : 0; }
    std::string log(std::size_t gateway) const
    {
        std::string text;
        for (const std::string &line : gateways_[gateway]->process().output())
            absl::StrAppend(&text, line, "\n");
        return text;
    }

private:
    /// Where instances reach this server.
    std::string reachedAt(const std::string &server)
    {
        return links_ ? links_->add(server) : server;
    }

    std::vector<std::string> paths() const
    {
        std::vector<std::string> paths = { "/once/a", "/again/a", "/stream/a", "/resume/a" };
        if (options_.cutsLinks)
            paths.emplace_back("/unframed/a");
        return paths;
    }

    static std::string endpointId(std::size_t i) { return absl::StrCat("e", i); }

    static std::string versionPath(int version) { return absl::StrCat("/version-", version, "/"); }

    static std::string serviceOf(const std::string &path)
    {
        if (path == ReleasedPath)
            return VersionReleases::Service;
        return path == "/unframed/" ? "unframed" : "plain";
    }

    void publish()
    {
        const Json shop = { { "Name", "shop" }, { "ApiKeys", { "key-1" } } };
        configuration_ = nextConfiguration(Json::array({ shop }));
        platform_.publish(configuration_);
    }

    /// Publishes a version without organisations, or with none that can be read, for a while.
    void publishFaulty()
    {
        const Json organisations = version_ % 2 == 0 ? Json(nullptr) : Json::array();
        platform_.publish(nextConfiguration(organisations));
        schedule(FaultyVersionTime, [this] { publish(); });
    }

    std::string nextConfiguration(const Json &organisations)
    {
        ++version_;
        Json routes = Json::array();
        std::map<std::string, std::string> types {
            { "/once/", "non_idempotent" }, { "/again/", "idempotent" },
            { "/stream/", "streaming" },    { "/resume/", "streaming" },
            { "/unframed/", "streaming" },  { versionPath(version_), "idempotent" }
        };
        Json services = Json::array({ { { "Name", "plain" } }, { { "Name", "unframed" } } });
        if (releases_) {
            types[ReleasedPath] = "streaming";
            services.push_back({ { "Name", VersionReleases::Service } });
        }
        for (const auto &[path, type] : types) {
            routes.push_back({ { "Name", path },
                               { "Host", "h" },
                               { "PathPrefix", path },
                               { "RouteType", type },
                               { "Resumable", absl::StartsWith(path, "/resume") },
                               { "TimeoutMs", 4000 },
                               { "TargetLatencyMs", 400 },
                               { "TargetGapMs", 250 },
                               { "MaxAttempts", 2 },
                               { "Service", serviceOf(path) } });
        }
        const Json configuration = { { "Version", version_ },
                                     { "Routes", routes },
                                     { "Services", services },
                                     { "Tenants", organisations } };
        return configuration.dump();
    }

    void listEndpoint(std::size_t endpoint, const std::string &state)
    {
        endpointStates_[endpoint] = state;
        platform_.listEndpoint(endpointId(endpoint), "plain", state, endpointAddresses_[endpoint],
                               endpointStarts_[endpoint]);
    }

    void schedule(milliseconds delay, std::function<void()> action)
    {
        scheduledActions_.emplace(SteadyClock::now() + delay, std::move(action));
    }

    void runDueActions(SteadyClock::time_point now)
    {
        while (!scheduledActions_.empty() && scheduledActions_.begin()->first <= now) {
            const auto action = scheduledActions_.begin()->second;
            scheduledActions_.erase(scheduledActions_.begin());
            action();
        }
    }

    milliseconds randomDelay(std::uint32_t spanMs)
    {
        return milliseconds(100 + random_() % spanMs);
    }

    void startRestorations()
    {
        StoreRestorations::Writers writers;
        writers.writeConfiguration = [this] { platform_.publish(configuration_); };
        for (std::size_t i = 0; i < EndpointCount; ++i)
            writers.writeEndpoint.emplace_back([this, i] { listEndpoint(i, endpointStates_[i]); });
        restorations_
            = std::make_unique<StoreRestorations>(platform_, options_.seed, std::move(writers));
    }

    void startReleases()
    {
        VersionReleases::InstanceFaults faults;
        faults.freeze = [this](std::size_t i, milliseconds time) {
            if (gateways_[i]->process().isRunning())
                freeze(*gateways_[i], time);
        };
        faults.cutFromStore = [this](std::size_t i, milliseconds time) {
            setLinkState(*storeProxies_[i], LinkState::Silent, time);
        };
        releases_ = std::make_unique<VersionReleases>(platform_, ReleaseGatewayCount, GatewayCount,
                                                      options_.seed, std::move(faults));
    }

    void stepRestorations()
    {
        if (restorations_)
            restorations_->step();
    }

    void injectLinkFault(FaultProxy &proxy)
    {
        const LinkState states[]
            = { LinkState::Slow, LinkState::DropRequests, LinkState::DropAnswers, LinkState::Silent,
                LinkState::Refusing };
        const LinkState state = states[random_() % 5];
        setLinkState(proxy, state, randomDelay(3000));
    }

    void setLinkState(FaultProxy &proxy, LinkState state, milliseconds time)
    {
        proxy.set(state);
        schedule(time, [&proxy] {
            proxy.set(LinkState::Good);
            proxy.resetOpenConnections(); // They cannot continue after bytes were discarded.
        });
    }

    /// Does nothing with an instance that is frozen already.
    void freeze(GatewayProcess &gateway, milliseconds time)
    {
        if (!frozen_.insert(&gateway).second)
            return;
        gateway.process().freeze();
        schedule(time, [this, &gateway] {
            frozen_.erase(&gateway);
            gateway.process().thaw();
        });
    }

    void injectFault()
    {
        GatewayProcess &gateway = *gateways_[random_() % GatewayCount];
        const std::size_t endpoint = random_() % EndpointCount;
        const std::uint32_t kind = random_() % 12;
        if (kind <= 2 && !gateway.process().isRunning())
            return; // Not running; its restart is scheduled.
        switch (kind) {
        case 0:
            freeze(gateway, randomDelay(4000));
            break;
        case 1:
            gateway.process().thaw();
            gateway.process().kill();
            schedule(randomDelay(1000), [&gateway] { gateway.start(); });
            break;
        case 2:
            gateway.process().terminate();
            schedule(milliseconds(7900), [&gateway] { gateway.start(); });
            break;
        case 3:
        case 4:
            injectLinkFault(*storeProxies_[random_() % GatewayCount]);
            break;
        case 5:
            injectLinkFault(dutiesProxy_);
            break;
        case 6:
            injectLinkFault(*endpointProxies_[endpoint]);
            break;
        case 7:
            endpointProxies_[endpoint]->silenceOpenConnections();
            break;
        case 8:
            endpointProxies_[endpoint]->resetOpenConnections();
            break;
        case 9:
            platform_.setStoreUnavailable(true);
            schedule(randomDelay(2000), [this] {
                platform_.setStoreUnavailable(restorations_ && restorations_->isStoreAway());
            });
            break;
        case 10:
            platform_.setLostAppendInterval(2);
            schedule(randomDelay(2000), [this] { platform_.setLostAppendInterval(0); });
            break;
        default:
            publishFaulty();
            listEndpoint(endpoint, "draining");
            schedule(randomDelay(2000), [this, endpoint] {
                ++endpointStarts_[endpoint]; // An endpoint that drains does not return otherwise.
                listEndpoint(endpoint, "ready");
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
            if (!serves(*gateway, "/again/") || !serves(*gateway, versionPath(version_)))
                return false;
            if (releases_ && !serves(*gateway, ReleasedPath))
                return false;
            // None of them harms endpoints, whatever happened while it was in flight.
            for (const std::string &question : RepeatedQuestions) {
                if (!serves(*gateway, "/again/", question))
                    return false;
            }
        }
        return true;
    }

    bool serves(const GatewayProcess &gateway, const std::string &path,
                const std::string &question = "")
    {
        e2e::HttpRequest request;
        request.method = "POST";
        request.url = gateway.url(absl::StrCat(path, "a"));
        request.headers = { "Host: h", absl::StrCat("X-Zinniadoor-Request-Id: probe", ++probes_),
                            "Authorization: Bearer key-1" };
        request.body = question;
        return e2e::call(request).status == 200;
    }

    static std::uint64_t currentWindow()
    {
        return static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch()
                                          / UsageWindow);
    }

    /// Windows with usage from `first` on that were reported.
    std::size_t reportedFrom(std::uint64_t first)
    {
        std::set<std::uint64_t> windows;
        for (const standins::DutyCall &call : platform_.dutyCalls()) {
            const Json body = Json::parse(call.body);
            if (body["WindowId"] >= first && body["Counts"].value("shop", 0) > 0)
                windows.insert(body["WindowId"].get<std::uint64_t>());
        }
        return windows.size();
    }

    /// Waits until all instances serve and the duties are done again.
    bool recovers()
    {
        const bool allRecovered = e2e::waitUntil([this] {
            stepRestorations();
            return allReady() && allServe();
        });
        if (!allRecovered)
            reportUnrecovered();
        return allRecovered && reportsUsage(LaterWindows);
    }

    /// Waits for usage reports of windows that have not yet begun.
    bool reportsUsage(std::size_t windows)
    {
        const bool reported = e2e::waitUntil(
            [this, windows, from = currentWindow() + 1] {
                stepRestorations();
                return reportedFrom(from) >= windows;
            },
            UsageTimeout);
        if (!reported)
            reportMissingUsage();
        return reported;
    }

    void reportMissingUsage()
    {
        const auto calls = platform_.dutyCalls();
        reportViolation(absl::StrCat(
            "usage of windows after all faults was not reported; window now ", currentWindow(),
            ", last report: ", calls.empty() ? "none" : calls.back().body));
    }

    void reportUnrecovered()
    {
        for (std::size_t i = 0; i < gatewayCount(); ++i) {
            GatewayProcess &gateway = *gateways_[i];
            const bool running = gateway.process().isRunning();
            const auto exit = running ? std::nullopt : gateway.process().wait();
            const auto lines = gateway.process().output();
            reportViolation(absl::StrCat(
                "gw-", i, ", after all faults: readiness status ", gateway.ready(), ", ",
                serves(gateway, versionPath(version_)) ? "serves" : "does not serve",
                " the newest configuration, ", running ? "running" : "exited", " ",
                exit ? absl::StrCat("code ", exit->code.value_or(-1), " signal ", exit->signal)
                     : "",
                ", last line: ", lines.empty() ? "" : lines.back()));
        }
    }

    void reportViolation(const std::string &violation) { violations_.push_back(violation); }

    void check()
    {
        std::map<std::string, int> runs;
        for (const standins::EndpointCall &call : platform_.endpointCalls()) {
            ++runs[call.requestId];
            const auto tenant = call.fields.find("x-zinniadoor-tenant");
            if (tenant == call.fields.end() || tenant->second != "shop"
                || call.fields.count("authorization") > 0)
                reportViolation(
                    absl::StrCat(call.requestId, ": wrong organisation, or API key forwarded"));
        }
        for (const CallRecord &call : calls_)
            checkCall(call, runs[call.id]);
        if (releases_) {
            for (const std::string &violation :
                 checkStreams(streams_, StreamEvents, platform_.endpointCalls(),
                              releases_->versions(), streamFigures_))
                reportViolation(violation);
        }
        checkDuties();
    }

    void checkCall(const CallRecord &call, int runs)
    {
        const bool repeatable
            = absl::StartsWith(call.path, "/again") || absl::StartsWith(call.path, "/resume");
        if (!repeatable && runs > 1)
            reportViolation(absl::StrCat(call.id, " ", call.path, ": executed ", runs, " times"));
        const bool claimsNotExecuted = call.status == 503 || call.status == 429;
        if (!repeatable && claimsNotExecuted && runs > 0)
            reportViolation(
                absl::StrCat(call.id, " ", call.path, ": response ", call.status, " but executed"));
        if (call.status != 200 || !call.complete)
            return;
        ++served_;
        if (!call.isSigned)
            reportViolation(absl::StrCat(call.id, ": 200 without a signature"));
        if (!absl::StartsWith(call.path, "/once") && !absl::StartsWith(call.path, "/again")) {
            std::string expected;
            for (int i = 1; i <= StreamEvents; ++i)
                absl::StrAppend(&expected, "id: ", i, "\ndata: event ", i, "\n\n");
            // The stand-in restarts a resumed stream from its first event; the gateway must not
            // forward the repeated events.
            if (call.body != expected)
                reportViolation(
                    absl::StrCat(call.id, ": incomplete or altered stream: ", call.body));
        } else if (!absl::EndsWith(call.body, absl::StrCat(" to ", call.id))) {
            reportViolation(absl::StrCat(call.id, ": response of another request: ", call.body));
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
                reportViolation(
                    absl::StrCat("fencing number ", call.fencingNumber, " used by two holders"));
            if (call.fencingNumber < newest)
                reportViolation("lower fencing number accepted after a higher one");
            newest = std::max(newest, call.fencingNumber);
            const Json body = Json::parse(call.body);
            const std::string counts = body["Counts"].dump();
            const auto [window, firstReport] = windows.try_emplace(body["WindowId"], counts);
            if (window->second != counts)
                reportViolation(
                    absl::StrCat("window ", window->first, " reported with different counts"));
        }
    }

    SoakOptions options_;
    std::mt19937 random_;
    /// Draws its own numbers, so that the other faults of a seed do not change.
    std::unique_ptr<StoreRestorations> restorations_;
    standins::FleetStandin platform_;
    standins::UnframedEndpoint unframed_;
    std::unique_ptr<e2e::LinkCutter> links_;
    FaultProxy dutiesProxy_;
    std::vector<std::unique_ptr<FaultProxy>> endpointProxies_;
    std::vector<std::unique_ptr<FaultProxy>> storeProxies_;
    std::vector<std::unique_ptr<GatewayProcess>> gateways_;
    std::unique_ptr<LinkCuts> cuts_; ///< Draws its own numbers, too.
    std::unique_ptr<VersionReleases> releases_; ///< As well.
    std::unique_ptr<StreamCallers> streamCallers_;
    std::vector<StreamRecord> streams_;
    StreamFigures streamFigures_;
    std::multimap<SteadyClock::time_point, std::function<void()>> scheduledActions_;
    std::vector<CallRecord> calls_;
    std::vector<std::string> violations_;
    std::size_t served_ = 0;
    std::set<GatewayProcess *> frozen_;
    std::array<std::string, EndpointCount> endpointStates_;
    std::array<std::string, EndpointCount> endpointAddresses_; ///< As listed.
    std::array<std::uint64_t, EndpointCount> endpointStarts_ {}; ///< Start times, in milliseconds.
    std::string configuration_;
    int version_ = 0;
    int probes_ = 0;
};

void printStreams(const Soak &soak)
{
    const StreamFigures &figures = soak.streamFigures();
    std::cout << ", " << soak.releaseCount() << " releases, " << figures.streams << " streams of "
              << figures.versions << " versions, " << figures.whole << " whole; " << figures.takenUp
              << " taken up, " << figures.goneOn << " gone on, " << figures.rejected << " rejected";
}

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine line("Randomized fault soak of gateway processes.", ' ', "1");
    TCLAP::MultiArg<std::uint32_t> seeds("", "seed", "Seed of a run; may be repeated.", false, "N",
                                         line);
    TCLAP::ValueArg<int> seconds("", "seconds", "Duration of fault injection in seconds.", false,
                                 10, "S", line);
    TCLAP::SwitchArg restorations("", "restorations", "Also restore the store from older copies.",
                                  line);
    TCLAP::SwitchArg cuts("", "cuts", "Also cut instances off from all endpoints.", line);
    TCLAP::SwitchArg versions("", "versions",
                              "Also release versions of endpoints; callers take up streams.", line);
    TCLAP::ValueArg<int> leadIn("", "lead-in", "Seconds with one version before the faults.", false,
                                0, "S", line);
    TCLAP::SwitchArg logs("", "logs", "Print the instances' logs after a failed run.", line);
    line.parse(argc, argv);
    if (versions.getValue() && (restorations.getValue() || cuts.getValue())) {
        std::cerr << "--versions does not go with --restorations or --cuts\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    std::vector<std::uint32_t> all = seeds.getValue();
    if (all.empty())
        all.push_back(std::random_device {}());
    bool failed = false;
    for (const std::uint32_t seed : all) {
        Soak soak({ seed, std::chrono::seconds(seconds.getValue()), restorations.getValue(),
                    cuts.getValue(), versions.getValue(),
                    std::chrono::seconds(leadIn.getValue()) });
        const auto violations = soak.run();
        std::cout << (violations.empty() ? "PASS" : "FAIL") << " seed " << seed << ": "
                  << soak.callCount() << " calls, " << soak.servedCount() << " served whole, "
                  << soak.restorationCount() << " restorations, " << soak.cutCount() << " cuts";
        if (versions.getValue())
            printStreams(soak);
        std::cout << std::endl;
        for (const std::string &violation : violations)
            std::cout << "  " << violation << "\n";
        for (std::size_t i = 0; logs.getValue() && !violations.empty() && i < soak.gatewayCount();
             ++i)
            std::cout << soak.log(i);
        failed = failed || !violations.empty();
    }
    return failed ? 1 : 0;
}
