#include <thread>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "cluster.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::e2e;
using Json = nlohmann::json;

Cluster::Options stopOptions()
{
    Cluster::Options options;
    options.daemons = 2;
    options.fleet.engines = 2;
    options.fleet.engineArguments = { "--tokens-per-second", "100" };
    return options;
}

struct PlannedStopFixture
{
    PlannedStopFixture()
        : cluster(stopOptions())
    {
        BOOST_REQUIRE(cluster.waitUntilReady());
        for (std::size_t i = 0; i < 2; ++i) {
            BOOST_REQUIRE(waitUntil(
                [&] { return e2e::call(cluster.chat(i, 0, "warm", 1, false)).status == 200; }));
        }
    }

    /// Sends a streamed request and calls `onFirstData` once, when the response has started.
    HttpResponse streamWithAction(std::size_t daemon, int tokens,
                                  const std::function<void()> &onFirstData)
    {
        bool hasStarted = false;
        std::string body;
        HttpResponse response = callStreamed(cluster.chat(daemon, 0, "a long story", tokens, true),
                                             [&](std::string_view bytes) {
                                                 body.append(bytes);
                                                 if (!hasStarted)
                                                     onFirstData();
                                                 hasStarted = true;
                                                 return true;
                                             });
        response.body = body;
        return response;
    }

    std::size_t callsTo(std::size_t engine)
    {
        return cluster.fleet().engine(engine).received("/v1")["calls"].size();
    }

    Cluster cluster;
};

BOOST_FIXTURE_TEST_SUITE(PlannedStopTest, PlannedStopFixture)

BOOST_AUTO_TEST_CASE(instance_stoppedDuringStream_completesItAndExitsWith0)
{
    const HttpResponse response
        = streamWithAction(0, 150, [this] { cluster.daemon(0).process->terminate(); });
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.complete);
    BOOST_TEST(sseData(response.body).back() == "[DONE]");
    const std::optional<ExitStatus> exit = cluster.daemon(0).process->wait();
    BOOST_REQUIRE(exit.has_value());
    BOOST_REQUIRE(exit->code.has_value());
    BOOST_TEST(*exit->code == 0);
    BOOST_TEST(e2e::call(cluster.chat(1, 0, "and now", 2, false)).status == 200);
}

BOOST_AUTO_TEST_CASE(instance_stopping_isNotReadyAndRejectsNotRun)
{
    HttpResponse rejected;
    HttpResponse ready;
    streamWithAction(0, 200, [&] {
        cluster.daemon(0).process->terminate();
        BOOST_TEST(waitUntil([&] {
            ready = get(cluster.daemon(0).adminUrl("/readyz"));
            return ready.status == 503;
        }));
        rejected = e2e::call(cluster.chat(0, 0, "new work", 2, false));
    });
    BOOST_TEST(rejected.status == 503);
    BOOST_TEST(rejected.headers.at("zinniadoor-run") == "not-run");
}

BOOST_AUTO_TEST_CASE(instance_stoppedWithLogUnavailable_exitsWellBeforeTheDrainTimeout)
{
    cluster.fleet().platform().setFaults({ { "path", "/log" }, { "kind", "refuse" } });
    BOOST_REQUIRE(cluster.waitForStatus(0, "log_current", "false"));
    cluster.daemon(0).process->terminate();
    const std::optional<ExitStatus> exit = cluster.daemon(0).process->wait(absl::Seconds(60));
    BOOST_REQUIRE(exit.has_value());
    BOOST_REQUIRE(exit->code.has_value());
    BOOST_TEST(*exit->code == 0);
}

BOOST_AUTO_TEST_CASE(endpoint_leaving_completesItsStreamsAndGetsNoNewRequests)
{
    const HttpResponse response = streamWithAction(0, 100, [this] {
        cluster.fleet().setInstances(
            { { { "id", "engine-0" }, { "data_centre", "dc-0" }, { "state", "leaving" } } });
    });
    BOOST_TEST(response.complete);
    // When ten requests in a row, over both instances, avoid the engine, both have received the
    // update.
    BOOST_TEST(waitUntil([this] {
        const std::size_t before = callsTo(0);
        for (int i = 0; i < 10; ++i)
            e2e::call(cluster.chat(i % 2, 0, "where to " + std::to_string(i), 1, false));
        return callsTo(0) == before;
    }));
    const std::size_t before = callsTo(0);
    for (int i = 0; i < 30; ++i) {
        const HttpResponse later
            = e2e::call(cluster.chat(i % 2, 0, "and now " + std::to_string(i), 1, false));
        BOOST_TEST(later.status == 200);
    }
    BOOST_TEST(callsTo(0) == before);
}

BOOST_AUTO_TEST_CASE(configuration_removingAnEndpoint_keepsItsStreams)
{
    const HttpResponse response = streamWithAction(0, 120, [this] {
        cluster.publish([](const std::string &text) {
            const std::size_t begin = text.find("  - {id: engine-0");
            return text.substr(0, begin) + text.substr(text.find('\n', begin) + 1);
        });
        BOOST_TEST(cluster.waitForStatus(0, "bundle_version", "2"));
    });
    BOOST_TEST(response.complete);
    BOOST_TEST(sseData(response.body).back() == "[DONE]");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
