#include <cstdint>
#include <map>
#include <string>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "cluster.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::e2e;
using Json = nlohmann::json;

/// Short leases, so that a successor takes over before waits time out.
constexpr const char *ShortTimes
    = "control: {heartbeat: 200ms, lease: 2s, lease_margin: 300ms, vouch: 2s, "
      "peer_heartbeat: 100ms, peer_silence: 600ms}\n";

Cluster::Options usageOptions()
{
    Cluster::Options options;
    options.daemons = 3;
    options.fleet.engines = 2;
    options.fleet.engineArguments = { "--tokens-per-second", "2000" };
    options.extraSettings = ShortTimes;
    options.usageWindowSeconds = 1;
    return options;
}

struct Figures
{
    std::uint64_t requests = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;

    friend bool operator==(const Figures &a, const Figures &b)
    {
        return a.requests == b.requests && a.promptTokens == b.promptTokens
            && a.outputTokens == b.outputTokens;
    }
    friend std::ostream &operator<<(std::ostream &out, const Figures &f)
    {
        return out << f.requests << "/" << f.promptTokens << "/" << f.outputTokens;
    }
};

struct UsageFixture
{
    UsageFixture()
        : cluster(usageOptions())
    {
        BOOST_REQUIRE(cluster.waitUntilReady());
    }

    /// Streams one complete response and adds its usage to `expected`.
    void streamChat(std::size_t daemon, const std::string &prompt, int tokens)
    {
        HttpResponse response;
        BOOST_REQUIRE(waitUntil([&] {
            response = e2e::call(cluster.chat(daemon, 0, prompt, tokens, true));
            return response.status == 200 && response.complete;
        }));
        const std::vector<std::string> events = sseData(response.body);
        const Json finish = Json::parse(events.at(events.size() - 2));
        ++expected.requests;
        expected.promptTokens += finish["usage"]["prompt_tokens"].get<std::uint64_t>();
        expected.outputTokens += finish["usage"]["completion_tokens"].get<std::uint64_t>();
    }

    /// Usage that billing accepted, each window once. Fails on two different reports of one window.
    Figures billed()
    {
        std::map<std::pair<std::string, std::int64_t>, Figures> windows;
        const Json received = cluster.fleet().platform().received();
        for (const Json &report : received["billing_reports"]) {
            BOOST_TEST(report["outcome"] == 200);
            const Figures figures { report["requests"], report["prompt_tokens"],
                                    report["output_tokens"] };
            const std::pair<std::string, std::int64_t> window { report["organisation"],
                                                                report["window"] };
            const auto [place, isNew] = windows.emplace(window, figures);
            BOOST_TEST((isNew || place->second == figures));
        }
        Figures sum;
        for (const auto &[window, figures] : windows) {
            sum.requests += figures.requests;
            sum.promptTokens += figures.promptTokens;
            sum.outputTokens += figures.outputTokens;
        }
        return sum;
    }

    void checkBilledExactly()
    {
        BOOST_TEST(waitUntil([this] { return billed() == expected; }, absl::Seconds(30)));
        BOOST_TEST(billed() == expected);
    }

    Cluster cluster;
    Figures expected;
};

BOOST_FIXTURE_TEST_SUITE(UsageTest, UsageFixture)

BOOST_AUTO_TEST_CASE(usage_acrossInstances_isBilledExactly)
{
    for (int i = 0; i < 30; ++i)
        streamChat(i % 3, "prompt number " + std::to_string(i), 3 + i % 7);
    checkBilledExactly();
}

BOOST_AUTO_TEST_CASE(usage_instanceKilledAfterResponses_isBilledExactly)
{
    for (int i = 0; i < 12; ++i)
        streamChat(i % 3, "before the kill", 4);
    cluster.fleet().platform().setFaults(
        { { "path", "/log/records" }, { "method", "POST" }, { "kind", "refuse" } });
    for (int i = 0; i < 5; ++i)
        streamChat(0, "counted by the dead instance only", 6);
    cluster.daemon(0).process->kill();
    cluster.fleet().platform().clearFaults();
    for (int i = 0; i < 6; ++i)
        streamChat(1 + i % 2, "after the kill", 5);
    checkBilledExactly();
}

BOOST_AUTO_TEST_CASE(usage_appendResponsesLost_isBilledExactly)
{
    cluster.fleet().platform().setFaults({ { "path", "/log/records" },
                                           { "method", "POST" },
                                           { "kind", "drop_answer" },
                                           { "count", 20 } });
    for (int i = 0; i < 15; ++i)
        streamChat(i % 3, "lost answers", 5);
    checkBilledExactly();
}

BOOST_AUTO_TEST_CASE(usage_billingResponsesLost_isNeverReportedWithOtherFigures)
{
    cluster.fleet().platform().setFaults(
        { { "path", "/billing" }, { "kind", "drop_answer" }, { "count", 5 } });
    for (int i = 0; i < 10; ++i)
        streamChat(i % 3, "billing answers lost", 5);
    checkBilledExactly();
}

BOOST_AUTO_TEST_CASE(usage_instancesFrozenInTurn_isNeverReportedWithOtherFigures)
{
    for (std::size_t frozen = 0; frozen < 3; ++frozen) {
        for (int i = 0; i < 6; ++i)
            streamChat(i % 3, "before a freeze", 4);
        cluster.daemon(frozen).process->freeze();
        for (int i = 0; i < 6; ++i)
            streamChat((frozen + 1 + i % 2) % 3, "during a freeze", 4);
        // Successors of the frozen instance must report before it is resumed.
        BOOST_TEST(waitUntil([this] { return billed() == expected; }, absl::Seconds(30)));
        cluster.daemon(frozen).process->thaw();
        BOOST_TEST(cluster.waitUntilReady());
    }
    checkBilledExactly();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
