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

    void setFaultsOnAll(const Json &fault)
    {
        for (std::size_t i = 0; i < cluster.fleet().engineCount(); ++i)
            cluster.fleet().engine(i).setFaults(fault);
    }

    /// The answer must be whole and the same as without faults.
    void checkSurvives(const Json &fault)
    {
        setFaultsOnAll(fault);
        const HttpAnswer answer = e2e::call(cluster.chat(0, 0, Prompt, Tokens, true));
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(answer.complete);
        BOOST_TEST(Cluster::textOf(answer) == expected);
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
    checkSurvives(
        { { "path", ChatPath }, { "kind", "truncate" }, { "after_tokens", 11 }, { "count", 1 } });
}

BOOST_AUTO_TEST_CASE(stream_endedEarlyButCleanly_isResumedByteEqual)
{
    checkSurvives({ { "path", ChatPath },
                    { "kind", "truncate" },
                    { "clean", true },
                    { "after_tokens", 7 },
                    { "count", 1 } });
}

BOOST_AUTO_TEST_CASE(stream_withWrongId_neverReachesTheCaller)
{
    checkSurvives(
        { { "path", ChatPath }, { "kind", "cross" }, { "after_tokens", 5 }, { "count", 1 } });
}

BOOST_AUTO_TEST_CASE(stream_withGap_isResumedByteEqual)
{
    checkSurvives(
        { { "path", ChatPath }, { "kind", "gap" }, { "after_tokens", 9 }, { "count", 1 } });
}

BOOST_AUTO_TEST_CASE(stream_withDoubledToken_isResumedByteEqual)
{
    checkSurvives(
        { { "path", ChatPath }, { "kind", "double" }, { "after_tokens", 9 }, { "count", 1 } });
}

BOOST_AUTO_TEST_CASE(stream_goneSilent_isResumedByteEqual)
{
    checkSurvives(
        { { "path", ChatPath }, { "kind", "stall" }, { "after_tokens", 9 }, { "count", 1 } });
}

BOOST_AUTO_TEST_CASE(connections_allGoneSilent_newOnesServe)
{
    for (std::size_t i = 0; i < cluster.fleet().engineCount(); ++i)
        cluster.fleet().engine(i).setFaults({ { "kind", "mute" } });
    const HttpAnswer answer = e2e::call(cluster.chat(0, 0, Prompt, Tokens, true));
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(Cluster::textOf(answer) == expected);
}

BOOST_AUTO_TEST_CASE(engine_killedMidStream_streamEndsByteEqualElsewhere)
{
    bool killed = false;
    std::string body;
    const HttpAnswer answer
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
    HttpAnswer whole = answer;
    whole.body = body;
    BOOST_TEST(answer.complete);
    BOOST_TEST(Cluster::textOf(whole) == expected);
    BOOST_TEST(runningEngines() == 3u);
}

BOOST_AUTO_TEST_CASE(crashingRequest_sentAgainEverywhere_takesAtMostTwoEngines)
{
    HttpCall call = cluster.chat(0, 0, std::string("a ") + CrashMarker + " prompt", 5, true);
    const HttpAnswer first = e2e::call(call);
    BOOST_TEST(first.status == 403);
    for (int attempt = 0; attempt < 6; ++attempt) {
        HttpCall again
            = cluster.chat(attempt % 2, 0, std::string("a ") + CrashMarker + " prompt", 5, true);
        const HttpAnswer answer = e2e::call(again);
        BOOST_TEST(answer.status == 403);
        BOOST_TEST(answer.headers.at("zinniadoor-run") == "not-run");
    }
    BOOST_TEST(runningEngines() >= 2u);
    BOOST_TEST(Cluster::textOf(e2e::call(cluster.chat(1, 1, Prompt, Tokens, true))) == expected);
}

BOOST_AUTO_TEST_CASE(harmlessRequest_sentToEnginesThatDiedBefore_isNotBlamed)
{
    // The list still names them, so that requests are sent to them and probes find them dead.
    for (std::size_t i = 0; i + 1 < cluster.fleet().engineCount(); ++i) {
        cluster.fleet().engine(i).process().kill();
        BOOST_REQUIRE(cluster.fleet().engine(i).process().wait(absl::Seconds(20)));
    }
    constexpr int Rounds = 4;
    std::vector<std::thread> callers;
    std::atomic<int> blamed { 0 };
    for (int i = 0; i < 2 * Rounds; ++i) {
        callers.emplace_back([&, i] {
            const HttpAnswer answer = e2e::call(cluster.chat(i % 2, 0, Prompt, Tokens, true));
            blamed += answer.status == 403 ? 1 : 0;
        });
    }
    for (std::thread &caller : callers)
        caller.join();
    BOOST_TEST(blamed == 0);
    BOOST_TEST(waitUntil([this] {
        const HttpAnswer answer = e2e::call(cluster.chat(0, 0, Prompt, Tokens, true));
        return answer.status == 200 && Cluster::textOf(answer) == expected;
    }));
}

BOOST_AUTO_TEST_CASE(engines_allRefusing_callerIsToldNotRunAtOnce)
{
    setFaultsOnAll({ { "path", ChatPath }, { "kind", "refuse" } });
    const HttpAnswer answer = e2e::call(cluster.chat(0, 0, Prompt, Tokens, true));
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(answer.headers.at("zinniadoor-run") == "not-run");
    BOOST_TEST(answer.headers.count("retry-after") == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
