#include <memory>
#include <set>
#include <thread>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

#include "gateway_process.hpp"
#include "http_client.hpp"
#include "standins/fleet_standin.hpp"

namespace {

using namespace zinniadoor;
using e2e::GatewayProcess;
using e2e::HttpAnswer;
using e2e::HttpCall;
using e2e::waitUntil;
using Json = nlohmann::json;

struct GatewayFixture
{
    GatewayFixture()
    {
        platform.addEndpoint("p1", "plain", "ready");
        platform.addEndpoint("p2", "plain", "ready");
        publish(1, { "key-1", "key-2" });
        for (const char *name : { "gw-0", "gw-1" })
            gateways.push_back(std::make_unique<GatewayProcess>(name, platform.storeAddress(),
                                                                platform.dutiesAddress()));
        for (const auto &gateway : gateways)
            BOOST_REQUIRE(waitUntil([&] { return gateway->ready() == 200; }));
    }

    void publish(int version, const std::vector<std::string> &keys)
    {
        Json routes = Json::array();
        for (const char *path : { "/once/", "/again/", "/stream/" }) {
            const std::string type = path[1] == 'o' ? "non_idempotent"
                : path[1] == 'a'                    ? "idempotent"
                                                    : "streaming";
            routes.push_back({ { "Name", path },
                               { "Host", "h" },
                               { "PathPrefix", path },
                               { "RouteType", type },
                               { "TimeoutMs", 20000 },
                               { "TargetLatencyMs", 20000 },
                               { "MaxAttempts", 2 },
                               { "Service", "plain" } });
        }
        const Json configuration
            = { { "Version", version },
                { "Routes", routes },
                { "Services", Json::array({ { { "Name", "plain" } } }) },
                { "Tenants", Json::array({ { { "Name", "shop" }, { "ApiKeys", keys } } }) } };
        platform.publish(configuration.dump());
    }

    HttpAnswer ask(std::size_t gateway, const std::string &path, const std::string &key = "key-1")
    {
        HttpCall request;
        request.method = "POST";
        request.url = gateways[gateway]->url(path);
        request.headers = { "Host: h", absl::StrCat("X-Zinniadoor-Request-Id: r", ++requests),
                            absl::StrCat("Authorization: Bearer ", key) };
        request.body = "question";
        return e2e::call(request);
    }

    /// Requests that usage reports name for the organisation; nothing if a window was reported
    /// with two figures.
    std::optional<std::uint64_t> reported()
    {
        std::map<std::uint64_t, std::string> windows;
        std::uint64_t sum = 0;
        for (const standins::DutyCall &call : platform.dutyCalls()) {
            if (call.path != "/usage")
                continue;
            const Json body = Json::parse(call.body);
            const std::string counts = body["Counts"].dump();
            const auto [it, inserted] = windows.try_emplace(body["WindowId"], counts);
            if (it->second != counts)
                return std::nullopt;
            if (inserted)
                sum += body["Counts"].value("shop", 0);
        }
        return sum;
    }

    standins::FleetStandin platform;
    std::vector<std::unique_ptr<GatewayProcess>> gateways;
    int requests = 0;
};

BOOST_FIXTURE_TEST_SUITE(GatewayProcessTest, GatewayFixture)

BOOST_AUTO_TEST_CASE(request_throughEachInstance_isServedAndSigned)
{
    for (std::size_t i = 0; i < 2; ++i) {
        const HttpAnswer answer = ask(i, "/once/a");
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(answer.complete);
        BOOST_TEST(answer.headers.count("x-zinniadoor-server-signature") == 1u);
    }
    for (const standins::EndpointCall &call : platform.endpointCalls()) {
        BOOST_TEST(call.fields.at("x-zinniadoor-tenant") == "shop");
        BOOST_TEST(call.fields.count("authorization") == 0u);
    }
    BOOST_TEST(gateways[0]->metrics().find("zinniadoor_requests_total") != std::string::npos);
    BOOST_TEST(gateways[0]->logged("request_ended"));
}

BOOST_AUTO_TEST_CASE(usage_holderKilled_isReportedWholeAndNeverTwice)
{
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(ask(i % 2, "/again/a").status == 200);
    BOOST_TEST(waitUntil([&] { return reported() == 20u; }));
    const auto calls = platform.dutyCalls();
    BOOST_REQUIRE(!calls.empty());
    const std::size_t holder = calls.back().holder == "gw-0" ? 0 : 1;
    gateways[holder]->process().kill();
    BOOST_REQUIRE(gateways[holder]->process().wait().has_value());
    for (int i = 0; i < 7; ++i)
        BOOST_TEST(ask(1 - holder, "/again/a").status == 200);
    BOOST_TEST(waitUntil([&] { return reported() == 27u; }));
    std::map<std::uint64_t, std::set<std::string>> holders;
    for (const standins::DutyCall &call : platform.dutyCalls())
        holders[call.fencingNumber].insert(call.holder);
    BOOST_TEST(holders.size() >= 2u);
    for (const auto &[number, names] : holders)
        BOOST_TEST(names.size() == 1u, "fencing number " << number);
}

BOOST_AUTO_TEST_CASE(storeOut_requests_areStillServed)
{
    platform.setStoreUnavailable(true);
    BOOST_TEST(waitUntil([&] { return gateways[0]->logged("dependency_lost"); }));
    BOOST_TEST(ask(0, "/once/a").status == 200);
    BOOST_TEST(gateways[0]->ready() == 200);
    platform.setStoreUnavailable(false);
    BOOST_TEST(waitUntil([&] { return gateways[0]->logged("dependency_regained"); }));
}

BOOST_AUTO_TEST_CASE(startWithStoreOut_instance_isNotReadyAndRefuses)
{
    platform.setStoreUnavailable(true);
    gateways[0]->process().kill();
    BOOST_REQUIRE(gateways[0]->process().wait().has_value());
    gateways[0]->start();
    BOOST_REQUIRE(waitUntil([&] { return gateways[0]->ready() == 503; }));
    const HttpAnswer answer = ask(0, "/once/a");
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(answer.headers.count("retry-after") == 1u);
}

BOOST_AUTO_TEST_CASE(key_withdrawn_stopsWorkingAtEachInstance)
{
    BOOST_TEST(ask(0, "/again/a", "key-2").status == 200);
    publish(2, { "key-1" });
    for (std::size_t i = 0; i < 2; ++i)
        BOOST_TEST(waitUntil([&] { return ask(i, "/again/a", "key-2").status == 401; }));
    publish(1, { "key-1", "key-2" }); // An older version never comes back into force.
    publish(3, { "key-1" });
    BOOST_TEST(waitUntil([&] { return gateways[0]->logged("\"version\":\"3\""); }));
    BOOST_TEST(ask(0, "/again/a", "key-2").status == 401);
}

BOOST_AUTO_TEST_CASE(endpoint_leaving_getsNoNewWork)
{
    platform.listEndpoint("p1", "plain", "draining");
    BOOST_TEST(waitUntil([&] { return gateways[0]->logged("\"leaving\":\"1\""); }));
    const std::size_t before = platform.endpointCalls().size();
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(ask(0, "/once/a").status == 200);
    const auto calls = platform.endpointCalls();
    for (std::size_t i = before; i < calls.size(); ++i)
        BOOST_TEST(calls[i].endpoint == "p2");
}

BOOST_AUTO_TEST_CASE(plannedStop_streamUnderWay_endsWhole)
{
    platform.configureStreams(40, std::chrono::milliseconds(25));
    HttpAnswer answer;
    std::thread caller([&] { answer = ask(0, "/stream/a"); });
    BOOST_REQUIRE(waitUntil([&] { return !platform.endpointCalls().empty(); }));
    gateways[0]->process().terminate();
    BOOST_TEST(waitUntil([&] { return gateways[0]->ready() != 200; }));
    caller.join();
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.complete);
    BOOST_TEST(answer.body.find("event 40") != std::string::npos);
    const auto exit = gateways[0]->process().wait();
    BOOST_REQUIRE(exit.has_value());
    BOOST_TEST((exit->code == 0));
}

BOOST_AUTO_TEST_CASE(plannedStop_requestLongAfterTheSignal_isRefusedAsNotRun)
{
    platform.configureStreams(60, std::chrono::milliseconds(100)); // Keeps the instance up for 6 s.
    HttpAnswer answer;
    std::thread caller([&] { answer = ask(0, "/stream/a"); });
    BOOST_REQUIRE(waitUntil([&] { return !platform.endpointCalls().empty(); }));
    gateways[0]->process().terminate();
    BOOST_TEST(waitUntil([&] { return ask(0, "/again/a").status == 503; }));
    const std::size_t before = platform.endpointCalls().size();
    const HttpAnswer late = ask(0, "/again/a");
    BOOST_TEST(late.status == 503);
    BOOST_TEST(late.headers.count("retry-after") == 1u);
    BOOST_TEST(platform.endpointCalls().size() == before);
    caller.join();
    BOOST_TEST(answer.complete);
}

BOOST_AUTO_TEST_CASE(plannedStop_usageOfTheOpenWindow_isReported)
{
    for (int i = 0; i < 5; ++i)
        BOOST_TEST(ask(0, "/again/a").status == 200);
    gateways[0]->process().terminate();
    BOOST_REQUIRE(gateways[0]->process().wait().has_value());
    BOOST_TEST(waitUntil([&] { return reported() == 5u; }));
}

BOOST_AUTO_TEST_CASE(changedSettings_withFaults_leaveTheOldInForce)
{
    gateways[0]->writeSettings("instance: {id: other}\n");
    ::kill(gateways[0]->process().pid(), SIGHUP);
    BOOST_TEST(waitUntil([&] { return gateways[0]->logged("settings_reload_failed"); }));
    gateways[0]->writeSettings(gateways[0]->settings());
    ::kill(gateways[0]->process().pid(), SIGHUP);
    BOOST_TEST(waitUntil([&] { return gateways[0]->logged("settings_reloaded"); }));
    BOOST_TEST(ask(0, "/once/a").status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
