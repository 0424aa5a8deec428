#include <algorithm>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "absl/time/clock.h"

#include "cluster.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::e2e;
using Json = nlohmann::json;

constexpr double Rate = 40;
constexpr double Burst = 20;

Cluster::Options rateOptions()
{
    Cluster::Options options;
    options.daemons = 3;
    options.fleet.services = 1;
    options.organisations = { { "noisy", Rate, Burst }, { "calm", 1000, 1000 } };
    options.extraBundle = "routes:\n  - {id: fit, prefix: /fit, endpoints: [service-0]}\n";
    options.extraSettings
        = "control: {heartbeat: 200ms, lease: 2s, lease_margin: 300ms, vouch: 2s, "
          "peer_heartbeat: 100ms, peer_silence: 600ms}\n";
    return options;
}

struct RateFixture
{
    RateFixture()
        : cluster(rateOptions())
    {
        BOOST_REQUIRE(cluster.waitUntilReady());
        for (std::size_t i = 0; i < cluster.daemonCount(); ++i)
            BOOST_REQUIRE(waitUntil([&] { return sendRequest(i).status == 200; }));
    }

    HttpResponse sendRequest(std::size_t daemon)
    {
        HttpRequest request;
        request.url = cluster.daemon(daemon).callersUrl("/fit/box");
        request.headers = { "Authorization: Bearer " + cluster.organisation(0).key };
        request.timeout = absl::Seconds(2);
        return e2e::call(request);
    }

    /// Sends requests to all instances as fast as they respond, for `duration`.
    void flood(absl::Duration duration)
    {
        std::vector<std::thread> threads;
        const absl::Time end = absl::Now() + duration;
        for (std::size_t i = 0; i < 6; ++i) {
            threads.emplace_back([this, i, end] {
                while (absl::Now() < end)
                    sendRequest(i % 3);
            });
        }
        for (std::thread &thread : threads)
            thread.join();
    }

    /// Sorted times in seconds at which the service received requests.
    std::vector<double> arrivals()
    {
        std::vector<double> times;
        const Json received = cluster.fleet().service(0).received("/fit");
        for (const Json &call : received["calls"])
            times.push_back(call["at_ms"].get<double>() / 1000);
        std::sort(times.begin(), times.end());
        return times;
    }

    /// Checks that no interval between two arrivals has more than rate x t + burst requests.
    /// `slack`: by how much varying delay between admission and arrival may shorten an interval.
    void checkBound(double slack)
    {
        const std::vector<double> times = arrivals();
        BOOST_TEST(times.size() > Burst);
        double largestExcess = 0;
        for (std::size_t first = 0; first < times.size(); ++first) {
            for (std::size_t last = first; last < times.size(); ++last) {
                const double count = static_cast<double>(last - first + 1);
                const double allowed = Rate * (times[last] - times[first] + slack) + Burst;
                largestExcess = std::max(largestExcess, count - allowed);
            }
        }
        BOOST_TEST(largestExcess <= 0);
    }

    Cluster cluster;
};

BOOST_FIXTURE_TEST_SUITE(RateTest, RateFixture)

BOOST_AUTO_TEST_CASE(rate_floodedAtAllInstances_isNeverExceeded)
{
    flood(absl::Seconds(4));
    checkBound(0.25);
}

BOOST_AUTO_TEST_CASE(rate_floodedWhileAnInstanceIsKilledAndRestarted_isNeverExceeded)
{
    std::thread traffic([this] { flood(absl::Seconds(6)); });
    absl::SleepFor(absl::Seconds(1));
    cluster.daemon(2).process->kill();
    absl::SleepFor(absl::Seconds(1));
    cluster.restartDaemon(2);
    traffic.join();
    checkBound(0.25);
}

BOOST_AUTO_TEST_CASE(rate_floodedWithLogUnavailable_isNeverExceeded)
{
    cluster.fleet().platform().setFaults({ { "path", "/log" }, { "kind", "refuse" } });
    flood(absl::Seconds(5));
    checkBound(0.25);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
