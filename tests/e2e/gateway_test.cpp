#include <set>
#include <thread>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

#include "gateway_fixture.hpp"

namespace {

using namespace zinniadoor;
using e2e::GatewayFixture;
using e2e::HttpResponse;
using e2e::waitUntil;
using Json = nlohmann::json;

BOOST_FIXTURE_TEST_SUITE(GatewayProcessTest, GatewayFixture)

BOOST_AUTO_TEST_CASE(request_throughEachInstance_isServedAndSigned)
{
    for (std::size_t i = 0; i < 2; ++i) {
        const HttpResponse response = sendRequest(i, "/once/a");
        BOOST_TEST(response.status == 200);
        BOOST_TEST(response.complete);
        BOOST_TEST(response.headers.count("x-zinniadoor-server-signature") == 1u);
    }
    for (const standins::EndpointCall &call : platform.endpointCalls()) {
        BOOST_TEST(call.fields.at("x-zinniadoor-tenant") == "shop");
        BOOST_TEST(call.fields.count("authorization") == 0u);
    }
    BOOST_TEST(gateways[0]->metrics().find("zinniadoor_requests_total") != std::string::npos);
    BOOST_TEST(waitUntil([&] { return gateways[0]->logged("request_ended"); }));
}

BOOST_AUTO_TEST_CASE(usage_leaseHolderKilled_isReportedCompletelyAndOnce)
{
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(sendRequest(i % 2, "/again/a").status == 200);
    BOOST_TEST(waitUntil([&] { return reportedUsage() == 20u; }));
    const auto calls = platform.dutyCalls();
    BOOST_REQUIRE(!calls.empty());
    const std::size_t holder = calls.back().holder == "gw-0" ? 0 : 1;
    gateways[holder]->process().kill();
    BOOST_REQUIRE(gateways[holder]->process().wait().has_value());
    for (int i = 0; i < 7; ++i)
        BOOST_TEST(sendRequest(1 - holder, "/again/a").status == 200);
    BOOST_TEST(waitUntil([&] { return reportedUsage() == 27u; }));
    std::map<std::uint64_t, std::set<std::string>> holders;
    for (const standins::DutyCall &call : platform.dutyCalls())
        holders[call.fencingNumber].insert(call.holder);
    BOOST_TEST(holders.size() >= 2u);
    for (const auto &[number, names] : holders)
        BOOST_TEST(names.size() == 1u, "fencing number " << number);
}

BOOST_AUTO_TEST_CASE(requests_storeUnavailable_areStillServed)
{
    platform.setStoreUnavailable(true);
    BOOST_TEST(waitUntil([&] { return gateways[0]->logged("dependency_lost"); }));
    BOOST_TEST(sendRequest(0, "/once/a").status == 200);
    BOOST_TEST(gateways[0]->ready() == 200);
    platform.setStoreUnavailable(false);
    BOOST_TEST(waitUntil([&] { return gateways[0]->logged("dependency_regained"); }));
}

BOOST_AUTO_TEST_CASE(instance_startedWithStoreUnavailable_isNotReadyAndRejects)
{
    platform.setStoreUnavailable(true);
    gateways[0]->process().kill();
    BOOST_REQUIRE(gateways[0]->process().wait().has_value());
    gateways[0]->start();
    BOOST_REQUIRE(waitUntil([&] { return gateways[0]->ready() == 503; }));
    const HttpResponse response = sendRequest(0, "/once/a");
    BOOST_TEST(response.status == 503);
    BOOST_TEST(response.headers.count("retry-after") == 1u);
}

BOOST_AUTO_TEST_CASE(key_withdrawn_isRejectedAtEachInstance)
{
    BOOST_TEST(sendRequest(0, "/again/a", "key-2").status == 200);
    publish(2, { "key-1" });
    for (std::size_t i = 0; i < 2; ++i)
        BOOST_TEST(waitUntil([&] { return sendRequest(i, "/again/a", "key-2").status == 401; }));
    publish(1, { "key-1", "key-2" }); // An older version must not be applied.
    publish(3, { "key-1" });
    BOOST_TEST(waitUntil([&] { return gateways[0]->logged("\"version\":\"3\""); }));
    BOOST_TEST(sendRequest(0, "/again/a", "key-2").status == 401);
}

// Guards against requests with any key, or none, that run once the last organisation is removed.
BOOST_AUTO_TEST_CASE(organisations_lastOneRemoved_allKeysAreRejectedAlsoAfterRestart)
{
    publishWith(2, nlohmann::json::array());
    for (std::size_t i = 0; i < gateways.size(); ++i) {
        BOOST_TEST(waitUntil([&] { return sendRequest(i, "/again/a").status != 200; }));
        gateways[i]->start();
        BOOST_REQUIRE(waitUntil([&] { return gateways[i]->ready() == 200; }));
        for (const char *key : { "key-1", "key-2", "never-issued", "" })
            BOOST_TEST(sendRequest(i, "/once/a", key).status == 401, key);
    }
}

// Guards against a configuration that is read as one without organisations.
BOOST_AUTO_TEST_CASE(organisations_ofAnotherType_configurationInForceIsKept)
{
    publishWith(2, nullptr);
    for (std::size_t i = 0; i < gateways.size(); ++i) {
        BOOST_TEST(waitUntil([&] { return gateways[i]->logged("Tenants of the configuration"); }));
        BOOST_TEST(sendRequest(i, "/once/a").status == 200);
        BOOST_TEST(sendRequest(i, "/once/a", "never-issued").status == 401);
        gateways[i]->start();
        BOOST_TEST(waitUntil([&] { return gateways[i]->logged("Tenants of the configuration"); }));
        BOOST_TEST(sendRequest(i, "/once/a", "never-issued").status == 503);
    }
    publish(3, { "key-2" });
    for (std::size_t i = 0; i < gateways.size(); ++i) {
        BOOST_TEST(waitUntil([&] { return sendRequest(i, "/once/a", "key-2").status == 200; }));
        BOOST_TEST(sendRequest(i, "/once/a").status == 401);
    }
}

BOOST_AUTO_TEST_CASE(endpoint_leaving_getsNoNewRequests)
{
    platform.listEndpoint("p1", "plain", "draining");
    BOOST_TEST(waitUntil([&] { return gateways[0]->logged("\"leaving\":\"1\""); }));
    const std::size_t before = platform.endpointCalls().size();
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(sendRequest(0, "/once/a").status == 200);
    const auto calls = platform.endpointCalls();
    for (std::size_t i = before; i < calls.size(); ++i)
        BOOST_TEST(calls[i].endpoint == "p2");
}

BOOST_AUTO_TEST_CASE(stream_runningAtPlannedStop_endsComplete)
{
    platform.configureStreams(40, std::chrono::milliseconds(25));
    HttpResponse response;
    std::thread caller([&] { response = sendRequest(0, "/stream/a"); });
    BOOST_REQUIRE(waitUntil([&] { return !platform.endpointCalls().empty(); }));
    gateways[0]->process().terminate();
    BOOST_TEST(waitUntil([&] { return gateways[0]->ready() != 200; }));
    caller.join();
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.complete);
    BOOST_TEST(response.body.find("event 40") != std::string::npos);
    const auto exit = gateways[0]->process().wait();
    BOOST_REQUIRE(exit.has_value());
    BOOST_TEST((exit->code == 0));
}

BOOST_AUTO_TEST_CASE(request_longAfterStopSignal_isRejectedAndNotForwarded)
{
    platform.configureStreams(60,
                              std::chrono::milliseconds(100)); // The stream delays the exit by 6 s.
    HttpResponse response;
    std::thread caller([&] { response = sendRequest(0, "/stream/a"); });
    BOOST_REQUIRE(waitUntil([&] { return !platform.endpointCalls().empty(); }));
    gateways[0]->process().terminate();
    BOOST_TEST(waitUntil([&] { return sendRequest(0, "/again/a").status == 503; }));
    const std::size_t before = platform.endpointCalls().size();
    const HttpResponse late = sendRequest(0, "/again/a");
    BOOST_TEST(late.status == 503);
    BOOST_TEST(late.headers.count("retry-after") == 1u);
    BOOST_TEST(platform.endpointCalls().size() == before);
    caller.join();
    BOOST_TEST(response.complete);
}

BOOST_AUTO_TEST_CASE(usage_ofOpenWindowAtPlannedStop_isReported)
{
    for (int i = 0; i < 5; ++i)
        BOOST_TEST(sendRequest(0, "/again/a").status == 200);
    gateways[0]->process().terminate();
    BOOST_REQUIRE(gateways[0]->process().wait().has_value());
    BOOST_TEST(waitUntil([&] { return reportedUsage() == 5u; }));
}

BOOST_AUTO_TEST_CASE(settingsReload_invalidFile_keepsSettingsInForce)
{
    gateways[0]->writeSettings("instance: {id: other}\n");
    ::kill(gateways[0]->process().pid(), SIGHUP);
    BOOST_TEST(waitUntil([&] { return gateways[0]->logged("settings_reload_failed"); }));
    gateways[0]->writeSettings(gateways[0]->settings());
    ::kill(gateways[0]->process().pid(), SIGHUP);
    BOOST_TEST(waitUntil([&] { return gateways[0]->logged("settings_reloaded"); }));
    BOOST_TEST(sendRequest(0, "/once/a").status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
