#include <atomic>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "cluster.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::e2e;
using Json = nlohmann::json;

constexpr const char *ChatPath = "/v1/chat/completions";
constexpr const char *CrashMarker = "poison";

Cluster::Options streamOptions()
{
    Cluster::Options options;
    options.daemons = 2;
    options.fleet.engines = 4;
    options.fleet.engineArguments = { "--tokens-per-second", "400", "--crash-on", CrashMarker };
    return options;
}

struct StreamFaultsFixture
{
    StreamFaultsFixture()
        : cluster(streamOptions())
    {
        BOOST_REQUIRE(cluster.waitUntilReady());
        BOOST_REQUIRE(waitUntil([this] {
            return e2e::call(cluster.chat(0, 0, "warm", 1, true)).status == 200
                && e2e::call(cluster.chat(1, 0, "warm", 1, true)).status == 200;
        }));
        expected = e2e::Cluster::textOf(e2e::call(cluster.chat(0, 0, Prompt, Tokens, true)));
    }

    void setEngineFaults(const Json &fault)
    {
        for (std::size_t i = 0; i < cluster.fleet().engineCount(); ++i)
            cluster.fleet().engine(i).setFaults(fault);
    }

    /// Checks that a response under `fault` is complete and equal to the one without faults.
    void checkResumedUnder(const Json &fault)
    {
        setEngineFaults(fault);
        const HttpResponse response = e2e::call(cluster.chat(0, 0, Prompt, Tokens, true));
        BOOST_TEST(response.status == 200);
        BOOST_TEST(response.complete);
        BOOST_TEST(Cluster::textOf(response) == expected);
    }

    std::size_t runningEngines()
    {
        std::size_t running = 0;
        for (std::size_t i = 0; i < cluster.fleet().engineCount(); ++i) {
            if (cluster.fleet().engine(i).process().isRunning())
                ++running;
        }
        return running;
    }

    static constexpr int Tokens = 40;
    static constexpr const char *Prompt = "what may a macaw chew";
    Cluster cluster;
    std::string expected;
};

BOOST_FIXTURE_TEST_SUITE(StreamFaultsTest, StreamFaultsFixture)

BOOST_AUTO_TEST_CASE(stream_truncatedOnce_isResumedByteEqual)
{
    checkResumedUnder(
        { { "path", ChatPath }, { "kind", "truncate" }, { "after_tokens", 11 }, { "count", 1 } });
}

BOOST_AUTO_TEST_CASE(stream_endedEarlyWithValidFraming_isResumedByteEqual)
{
    checkResumedUnder({ { "path", ChatPath },
                        { "kind", "truncate" },
                        { "clean", true },
                        { "after_tokens", 7 },
                        { "count", 1 } });
}

BOOST_AUTO_TEST_CASE(stream_withWrongRequestId_neverReachesTheCaller)
{
    checkResumedUnder(
        { { "path", ChatPath }, { "kind", "cross" }, { "after_tokens", 5 }, { "count", 1 } });
}

BOOST_AUTO_TEST_CASE(stream_withGap_isResumedByteEqual)
{
    checkResumedUnder(
        { { "path", ChatPath }, { "kind", "gap" }, { "after_tokens", 9 }, { "count", 1 } });
}

BOOST_AUTO_TEST_CASE(stream_withDuplicatedToken_isResumedByteEqual)
{
    checkResumedUnder(
        { { "path", ChatPath }, { "kind", "double" }, { "after_tokens", 9 }, { "count", 1 } });
}

BOOST_AUTO_TEST_CASE(stream_stalled_isResumedByteEqual)
{
    checkResumedUnder(
        { { "path", ChatPath }, { "kind", "stall" }, { "after_tokens", 9 }, { "count", 1 } });
}

BOOST_AUTO_TEST_CASE(connections_allUnresponsive_newOnesAreOpened)
{
    for (std::size_t i = 0; i < cluster.fleet().engineCount(); ++i)
        cluster.fleet().engine(i).setFaults({ { "kind", "mute" } });
    const HttpResponse response = e2e::call(cluster.chat(0, 0, Prompt, Tokens, true));
    BOOST_TEST(response.status == 200);
    BOOST_TEST(Cluster::textOf(response) == expected);
}

BOOST_AUTO_TEST_CASE(engine_killedMidStream_streamIsResumedByteEqualElsewhere)
{
    bool killed = false;
    std::string body;
    const HttpResponse response
        = callStreamed(cluster.chat(0, 0, Prompt, Tokens, true), [&](std::string_view bytes) {
              body.append(bytes);
              if (killed)
                  return true;
              killed = true;
              for (std::size_t i = 0; i < cluster.fleet().engineCount(); ++i) {
                  const Json load = Json::parse(get(cluster.fleet().engine(i).url("/load")).body,
                                                nullptr, false);
                  if (load.is_object() && load.value("running", 0) > 0) {
                      cluster.fleet().engine(i).process().kill();
                      break;
                  }
              }
              return true;
          });
    HttpResponse streamed = response;
    streamed.body = body;
    BOOST_TEST(response.complete);
    BOOST_TEST(Cluster::textOf(streamed) == expected);
    BOOST_TEST(runningEngines() == 3u);
}

BOOST_AUTO_TEST_CASE(crashingRequest_repeatedAtEveryInstance_crashesAtMostTwoEngines)
{
    HttpRequest request = cluster.chat(0, 0, std::string("a ") + CrashMarker + " prompt", 5, true);
    const HttpResponse first = e2e::call(request);
    BOOST_TEST(first.status == 403);
    for (int attempt = 0; attempt < 6; ++attempt) {
        HttpRequest again
            = cluster.chat(attempt % 2, 0, std::string("a ") + CrashMarker + " prompt", 5, true);
        const HttpResponse response = e2e::call(again);
        BOOST_TEST(response.status == 403);
        BOOST_TEST(response.headers.at("zinniadoor-run") == "not-run");
    }
    BOOST_TEST(runningEngines() >= 2u);
    BOOST_TEST(Cluster::textOf(e2e::call(cluster.chat(1, 1, Prompt, Tokens, true))) == expected);
}

BOOST_AUTO_TEST_CASE(harmlessRequest_sentToEnginesThatCrashedBefore_isNotRejected)
{
    // The crashed engines stay in the endpoint list: requests are sent to them, and probes fail.
    for (std::size_t i = 0; i + 1 < cluster.fleet().engineCount(); ++i) {
        cluster.fleet().engine(i).process().kill();
        BOOST_REQUIRE(cluster.fleet().engine(i).process().wait(absl::Seconds(20)));
    }
    constexpr int Rounds = 4;
    std::vector<std::thread> callers;
    std::atomic<int> rejected { 0 };
    for (int i = 0; i < 2 * Rounds; ++i) {
        callers.emplace_back([&, i] {
            const HttpResponse response = e2e::call(cluster.chat(i % 2, 0, Prompt, Tokens, true));
            rejected += response.status == 403 ? 1 : 0;
        });
    }
    for (std::thread &caller : callers)
        caller.join();
    BOOST_TEST(rejected == 0);
    BOOST_TEST(waitUntil([this] {
        const HttpResponse response = e2e::call(cluster.chat(0, 0, Prompt, Tokens, true));
        return response.status == 200 && Cluster::textOf(response) == expected;
    }));
}

BOOST_AUTO_TEST_CASE(engines_allRefusing_callerGets503NotRun)
{
    setEngineFaults({ { "path", ChatPath }, { "kind", "refuse" } });
    const HttpResponse response = e2e::call(cluster.chat(0, 0, Prompt, Tokens, true));
    BOOST_TEST(response.status == 503);
    BOOST_TEST(response.headers.at("zinniadoor-run") == "not-run");
    BOOST_TEST(response.headers.count("retry-after") == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
