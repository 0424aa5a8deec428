#include <algorithm>
#include <cstddef>
#include <memory>
#include <random>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

#include "zinniadoor/serving/endpoint_limits.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::serving;

const base::EndpointId Limited("e1");

std::string nameOf(std::size_t instance)
{
    return absl::StrCat("instance-", instance);
}

std::vector<std::string> namesOf(std::size_t instances)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < instances; ++i)
        names.push_back(nameOf(i));
    return names;
}

/// Simulates instances that call one limited endpoint whenever they may. They hear nothing of each
/// other.
struct EndpointLimitsFixture
{
    static constexpr int TicksPerSecond = 100;
    static constexpr int WindowTicks = 4 * TicksPerSecond;
    static constexpr double AllowedOverLimit = 1.5;
    static constexpr double AllowedCalls = 5;

    static absl::Time at(int tick)
    {
        return absl::FromUnixSeconds(1000) + absl::Milliseconds(1000 / TicksPerSecond) * tick;
    }

    void start(std::size_t count, double perSecond, int tick = 0)
    {
        limits.clear();
        for (std::size_t i = 0; i < count; ++i) {
            limits.push_back(std::make_unique<EndpointLimits>());
            limits.back()->setInstances(nameOf(i), namesOf(count), at(tick));
            limits.back()->note(Limited, perSecond, at(tick), at(tick));
        }
    }

    /// In each tick each instance makes all calls that it may make, with this probability.
    void run(int ticks, double perSecond, double demand = 1)
    {
        std::uniform_real_distribution<double> uniform(0, 1);
        for (int i = 0; i < ticks; ++i, ++now) {
            calls.push_back(0);
            for (const auto &limit : limits) {
                if (uniform(random) >= demand)
                    continue;
                while (limit->mayCall(Limited, at(now))) {
                    limit->noteCall(Limited, at(now));
                    limit->note(Limited, perSecond, at(now), at(now));
                    ++calls.back();
                }
            }
        }
    }

    int mostCallsInWindow() const
    {
        int most = 0;
        for (std::size_t from = 0; from < calls.size(); ++from) {
            int sum = 0;
            for (std::size_t i = from; i < calls.size() && i < from + WindowTicks; ++i)
                sum += calls[i];
            most = std::max(most, sum);
        }
        return most;
    }

    static double allowed(double perSecond)
    {
        return AllowedOverLimit * perSecond * WindowTicks / TicksPerSecond + AllowedCalls;
    }

    std::vector<std::unique_ptr<EndpointLimits>> limits;
    std::vector<int> calls; ///< By tick.
    int now = 0;
    std::mt19937 random { 1 };
};

BOOST_FIXTURE_TEST_SUITE(EndpointLimitsTest, EndpointLimitsFixture)

BOOST_AUTO_TEST_CASE(calls_instancesDoNotHearEachOther_stayWithinLimitAndUseIt)
{
    constexpr int Seconds = 20;
    for (const std::size_t instances : { 1u, 9u, 59u, 295u }) {
        for (const double perSecond : { 0.3, 2.0, 7.2, 60.0, 700.0 }) {
            calls.clear();
            now = 0;
            start(instances, perSecond);
            run(Seconds * TicksPerSecond, perSecond);
            BOOST_TEST(mostCallsInWindow() <= allowed(perSecond),
                       instances << " instances, limit " << perSecond);
            int all = 0;
            for (const int count : calls)
                all += count;
            BOOST_TEST(all >= 0.75 * perSecond * Seconds - 2,
                       instances << " instances, limit " << perSecond);
        }
    }
}

BOOST_AUTO_TEST_CASE(calls_burstAfterIdleTime_stayWithinLimit)
{
    for (const std::size_t instances : { 9u, 59u, 295u }) {
        calls.clear();
        now = 0;
        start(instances, 7.2);
        run(20 * TicksPerSecond, 7.2, 0);
        run(5 * TicksPerSecond, 7.2);
        BOOST_TEST(mostCallsInWindow() <= allowed(7.2), instances << " instances");
    }
}

BOOST_AUTO_TEST_CASE(calls_instancesRestartAgainAndAgain_stayWithinLimit)
{
    for (int restart = 0; restart < 10; ++restart) {
        start(9, 7.2, now);
        run(TicksPerSecond, 7.2);
    }
    BOOST_TEST(mostCallsInWindow() <= allowed(7.2));
}

BOOST_AUTO_TEST_CASE(limit_lowered_appliesAtOnce)
{
    start(9, 60);
    run(5 * TicksPerSecond, 60);
    calls.clear();
    for (const auto &limit : limits)
        limit->note(Limited, 5, at(now), at(now));
    run(10 * TicksPerSecond, 5);
    BOOST_TEST(mostCallsInWindow() <= allowed(5) + 9); // One saved call each.
}

BOOST_AUTO_TEST_CASE(endpoint_limitEnded_isCalledFreely)
{
    start(59, 0.1);
    for (const auto &limit : limits)
        limit->note(Limited, std::nullopt, at(10), at(10));
    for (const auto &limit : limits)
        BOOST_TEST(limit->mayCall(Limited, at(10)));
}

BOOST_AUTO_TEST_CASE(report_olderThanKnown_isIgnored)
{
    EndpointLimits limit;
    limit.setInstances(nameOf(0), namesOf(1), at(0));
    limit.note(Limited, 5, at(20), at(20));
    BOOST_TEST(!limit.note(Limited, std::nullopt, at(10), at(30)));
    BOOST_REQUIRE(limit.reports(at(30)).size() == 1u);
    BOOST_TEST(*limit.reports(at(30)).front().perSecond == 5);
}

BOOST_AUTO_TEST_CASE(limit_endedLongAgo_isNotReported)
{
    EndpointLimits limit;
    limit.setInstances(nameOf(0), namesOf(1), at(0));
    limit.note(Limited, 5, at(0), at(0));
    for (int tick = 1; tick < 20 * TicksPerSecond; ++tick) {
        limit.note(Limited, std::nullopt, at(tick), at(tick));
        if (tick < TicksPerSecond)
            BOOST_TEST(limit.reports(at(tick)).size() == 1u);
    }
    BOOST_TEST(limit.reports(at(20 * TicksPerSecond)).empty());
}

BOOST_AUTO_TEST_CASE(endpoint_limitedBeforeInstancesAreKnown_isNotCalled)
{
    EndpointLimits limit;
    limit.note(Limited, 5, at(0), at(0));
    BOOST_TEST(!limit.mayCall(Limited, at(500)));
    limit.setInstances(nameOf(0), namesOf(1), at(500));
    BOOST_TEST(limit.mayCall(Limited, at(600)));
}

BOOST_AUTO_TEST_CASE(endpoint_notAnswering_isProbedAfterLongTime)
{
    start(295, 0.5);
    const int hour = 3600 * TicksPerSecond;
    for (const auto &limit : limits)
        BOOST_TEST(limit->mayCall(Limited, at(hour)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
