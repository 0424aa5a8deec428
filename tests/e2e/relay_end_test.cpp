// Answers that were cut by the end of a relay looked complete.

#include <thread>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

#include "gateway_process.hpp"
#include "http_client.hpp"
#include "link_cutter.hpp"
#include "standins/fleet_standin.hpp"
#include "standins/unframed_endpoint.hpp"

namespace {

using namespace zinniadoor;
using e2e::CutKind;
using e2e::Deployment;
using e2e::GatewayProcess;
using e2e::HttpResponse;
using e2e::LinkCutter;
using Json = nlohmann::json;

constexpr std::size_t InstanceCount = 3; // The first one is cut off, the others are its relays.

/// Longer than an instance without requests waits before it exits.
constexpr int LongAnswerEvents = 25;
constexpr std::chrono::milliseconds EventPause(200);

struct RelayEndFixture
{
    RelayEndFixture()
    {
        for (const char *id : { "plain-0", "plain-1" })
            platform.listEndpoint(id, "plain", "ready", links.add(platform.startEndpoint(id)));
        platform.startEndpoint("unframed-0");
        platform.listEndpoint("unframed-0", "unframed", "ready", links.add(endpoint.address()));
        platform.startEndpoint("long-0");
        platform.listEndpoint("long-0", "long", "ready", links.add(longAnswers.address()));
        publish();
        for (std::size_t i = 0; i < InstanceCount; ++i) {
            Deployment deployment;
            deployment.environment = links.environment();
            gateways.push_back(
                std::make_unique<GatewayProcess>(absl::StrCat("gw-", i), platform.storeAddress(),
                                                 platform.dutiesAddress(), deployment));
        }
        for (const auto &gateway : gateways)
            BOOST_REQUIRE(e2e::waitUntil([&] { return gateway->ready() == 200; }));
        for (std::size_t i = 1; i < InstanceCount; ++i) {
            const std::string peer = absl::StrCat("\"peer\":\"gw-", i, "\"");
            BOOST_REQUIRE(e2e::waitUntil([&] { return gateways[0]->logged(peer); }));
        }
        links.cut(CutKind::Refuse, { gateways[0]->process().pid() });
        BOOST_REQUIRE(e2e::waitUntil([&] {
            e2e::call(request("/plain/"));
            return gateways[0]->logged("instance_cut_off");
        }));
    }

    void publish()
    {
        Json routes = Json::array();
        for (const char *path : { "/plain/", "/once/", "/stream/", "/long/" }) {
            const std::string name(path);
            routes.push_back({ { "Name", path },
                               { "Host", "h" },
                               { "PathPrefix", path },
                               { "RouteType",
                                 name == "/once/"        ? "non_idempotent"
                                     : name == "/plain/" ? "idempotent"
                                                         : "streaming" },
                               { "TimeoutMs", 8000 },
                               { "TargetLatencyMs", 4000 },
                               { "MaxAttempts", 2 },
                               { "Service",
                                 name == "/plain/"      ? "plain"
                                     : name == "/long/" ? "long"
                                                        : "unframed" } });
        }
        const Json services = Json::array({ { { "Name", "plain" } }, { { "Name", "unframed" } } });
        const Json tenants = Json::array({ { { "Name", "shop" }, { "ApiKeys", { "key-1" } } } });
        const Json configuration = {
            { "Version", 1 }, { "Routes", routes }, { "Services", services }, { "Tenants", tenants }
        };
        platform.publish(configuration.dump());
    }

    e2e::HttpRequest request(const std::string &path)
    {
        e2e::HttpRequest request;
        request.method = "POST";
        request.url = gateways[0]->url(absl::StrCat(path, "a"));
        request.headers = { "Host: h", absl::StrCat("X-Zinniadoor-Request-Id: r", ++requests),
                            "Authorization: Bearer key-1" };
        request.body = absl::StrCat("question ", requests);
        return request;
    }

    /// Sends a request whose answer is under way when `during` is called.
    HttpResponse callWhile(const std::string &path, const std::function<void()> &during)
    {
        const auto &server = path == "/long/" ? longAnswers : endpoint;
        const std::size_t before = server.answersBegun();
        HttpResponse response;
        std::thread caller([&, call = request(path)] { response = e2e::call(call); });
        const bool begun = e2e::waitUntil([&] { return server.answersBegun() > before; });
        during();
        caller.join();
        BOOST_TEST(begun);
        return response;
    }

    void killRelays()
    {
        for (std::size_t i = 1; i < InstanceCount; ++i)
            gateways[i]->process().kill();
    }

    void stopRelays()
    {
        for (std::size_t i = 1; i < InstanceCount; ++i)
            gateways[i]->process().terminate();
    }

    standins::FleetStandin platform;
    standins::UnframedEndpoint endpoint;
    standins::UnframedEndpoint longAnswers { { LongAnswerEvents, EventPause, true } };
    LinkCutter links;
    std::vector<std::unique_ptr<GatewayProcess>> gateways;
    int requests = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RelayEndTest, RelayEndFixture)

BOOST_AUTO_TEST_CASE(stream_relayIsKilled_isNotComplete)
{
    const HttpResponse response = callWhile("/stream/", [&] { killRelays(); });
    BOOST_TEST(!response.complete, response.status << " " << response.body);
}

BOOST_AUTO_TEST_CASE(stream_relayStops_isNotComplete)
{
    const HttpResponse response = callWhile("/stream/", [&] { stopRelays(); });
    BOOST_TEST(!response.complete, response.status << " " << response.body);
}

BOOST_AUTO_TEST_CASE(stream_relayStopsBeforeItsEnd_isComplete)
{
    const HttpResponse response = callWhile("/long/", [&] { stopRelays(); });
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.complete, response.error << " " << response.body);
    for (std::size_t i = 1; i < InstanceCount; ++i)
        BOOST_TEST(gateways[i]->process().wait().has_value());
}

BOOST_AUTO_TEST_CASE(answer_relayIsKilled_isNotDelivered)
{
    const HttpResponse response = callWhile("/once/", [&] { killRelays(); });
    BOOST_TEST(response.status != 200, response.body);
}

BOOST_AUTO_TEST_CASE(relay_passesAnswersOn_isShownByMetricsAndLog)
{
    const auto shows = [](const GatewayProcess &gateway, const std::string &line) {
        return absl::StrContains(gateway.metrics(), line);
    };
    BOOST_TEST(shows(*gateways[0], "zinniadoor_cut_off 1"));
    BOOST_TEST(shows(*gateways[1], "zinniadoor_cut_off 0"));
    callWhile("/stream/", [&] {
        BOOST_TEST((!shows(*gateways[1], "zinniadoor_relayed_connections 0")
                    || !shows(*gateways[2], "zinniadoor_relayed_connections 0")));
        killRelays();
    });
    BOOST_TEST(e2e::waitUntil([&] { return gateways[0]->logged("\"relay\":\"127.0.0.1:"); }));
}

BOOST_AUTO_TEST_CASE(answers_endpointEndsThem_areComplete)
{
    for (const char *path : { "/stream/", "/once/" }) {
        const HttpResponse response = callWhile(path, [&] { endpoint.finishAnswers(); });
        BOOST_TEST(response.status == 200);
        BOOST_TEST(response.complete, response.error);
        BOOST_TEST(response.body == standins::UnframedEndpoint::eventOf(1));
    }
}

BOOST_AUTO_TEST_SUITE_END()
