#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "absl/time/clock.h"

#include "cluster.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::e2e;
using Json = nlohmann::json;

/// The lease is much shorter than the log outages in these tests.
constexpr const char *ShortTimes
    = "control: {heartbeat: 200ms, lease: 2s, lease_margin: 300ms, vouch: 2s, "
      "peer_heartbeat: 100ms, peer_silence: 600ms, isolation: 3s}\n";

Cluster::Options outageOptions()
{
    Cluster::Options options;
    options.daemons = 3;
    options.fleet.engines = 2;
    options.fleet.engineArguments = { "--tokens-per-second", "500" };
    options.extraSettings = ShortTimes;
    return options;
}

struct OutageFixture
{
    OutageFixture()
        : cluster(outageOptions())
    {
        BOOST_REQUIRE(cluster.waitUntilReady());
        for (std::size_t i = 0; i < cluster.daemonCount(); ++i)
            BOOST_REQUIRE(waitUntil([&] { return serves(i); }));
        BOOST_REQUIRE(waitUntil([this] { return heldSlots() == ShareSlots; }));
    }

    bool serves(std::size_t daemon)
    {
        const HttpResponse response
            = e2e::call(cluster.chat(daemon, 0, "is anybody there", 2, false));
        if (response.status != 200)
            lastRejection = std::to_string(response.status) + " " + response.body;
        return response.status == 200;
    }

    Json status(std::size_t daemon)
    {
        return Json::parse(get(cluster.daemon(daemon).adminUrl("/status")).body, nullptr, false);
    }

    std::size_t heldSlots()
    {
        std::size_t held = 0;
        for (std::size_t i = 0; i < cluster.daemonCount(); ++i) {
            const Json one = status(i);
            held += one.is_object() ? one.value("share_slots", 0) : 0;
        }
        return held;
    }

    void makeLogUnavailable()
    {
        cluster.fleet().platform().setFaults({ { "path", "/log" }, { "kind", "refuse" } });
        for (std::size_t i = 0; i < cluster.daemonCount(); ++i)
            BOOST_REQUIRE(cluster.waitForStatus(i, "log_current", "false"));
    }

    static constexpr std::size_t ShareSlots = 8;
    Cluster cluster;
    std::string lastRejection;
};

BOOST_FIXTURE_TEST_SUITE(OutageTest, OutageFixture)

BOOST_AUTO_TEST_CASE(serving_logUnavailableLongerThanTheLease_continues)
{
    makeLogUnavailable();
    const absl::Time end = absl::Now() + absl::Seconds(6);
    int rejected = 0;
    int sent = 0;
    while (absl::Now() < end) {
        for (std::size_t daemon = 0; daemon < 3; ++daemon) {
            ++sent;
            rejected += serves(daemon) ? 0 : 1;
        }
    }
    BOOST_TEST(sent > 10);
    BOOST_TEST_INFO(lastRejection);
    BOOST_TEST(rejected == 0);
    cluster.fleet().platform().clearFaults();
    for (std::size_t i = 0; i < 3; ++i)
        BOOST_TEST(cluster.waitForStatus(i, "log_current", "true"));
    BOOST_TEST(serves(0));
}

BOOST_AUTO_TEST_CASE(instance_restartedWithLogUnavailable_getsVersionFromPeersAndServes)
{
    const std::uint64_t version = cluster.publish();
    BOOST_REQUIRE(cluster.waitUntilReady());
    makeLogUnavailable();
    cluster.restartDaemon(0);
    BOOST_TEST(cluster.waitForStatus(0, "bundle_version", std::to_string(version)));
    BOOST_TEST(waitUntil([this] { return serves(0); }));
    cluster.fleet().platform().clearFaults();
    BOOST_TEST(cluster.waitForStatus(0, "log_current", "true"));
    BOOST_TEST(cluster.waitForStatus(0, "bundle_version", std::to_string(version)));
}

BOOST_AUTO_TEST_CASE(instance_withoutLogAndPeers_rejectsNotRun)
{
    makeLogUnavailable();
    cluster.daemon(1).process->kill();
    cluster.daemon(2).process->kill();
    BOOST_TEST(cluster.waitForStatus(0, "ready", "false"));
    const HttpResponse response = e2e::call(cluster.chat(0, 0, "alone", 2, false));
    BOOST_TEST(response.status == 503);
    BOOST_TEST(response.headers.at("zinniadoor-run") == "not-run");
    BOOST_TEST(get(cluster.daemon(0).adminUrl("/readyz")).status == 503);
}

BOOST_AUTO_TEST_CASE(shareSlots_holderKilled_areClaimedByTheOthers)
{
    cluster.daemon(2).process->kill();
    BOOST_TEST(waitUntil([this] { return heldSlots() == ShareSlots; }, absl::Seconds(40)));
    BOOST_TEST(serves(0));
    BOOST_TEST(serves(1));
}

BOOST_AUTO_TEST_CASE(bundle_publishedByTwoOperators_firstInTheLogStaysInForce)
{
    // Two operators publish successors of the same version; the second one must have no effect.
    const std::uint64_t version = cluster.publish();
    BOOST_REQUIRE(cluster.waitUntilReady());
    const std::string digest = status(0)["bundle_digest"];
    cluster.republishStale();
    cluster.withdrawKey(1);
    BOOST_TEST(
        waitUntil([this] { return e2e::call(cluster.chat(2, 1, "x", 1, false)).status == 401; }));
    for (std::size_t i = 0; i < 3; ++i) {
        BOOST_TEST(status(i)["bundle_version"] == version);
        BOOST_TEST(status(i)["bundle_digest"] == digest);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
