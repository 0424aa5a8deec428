#include "zinniadoor/serving/spill.hpp"

#include <cmath>
#include <deque>
#include <functional>

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

#include "zinniadoor/serving/engine_view.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::serving;

/// Two data centres of 100 instances each. A data centre's waiting time grows with the work that
/// exceeds its capacity; instances see it 0.1 to 0.5 s late.
struct TwoDataCentres
{
    static constexpr int Instances = 100;
    static constexpr double TickMs = 20;

    struct Side
    {
        std::vector<Spill> instances;
        double capacity = 1; ///< Milliseconds of work done per millisecond.
        double queueMs = 0; ///< Of work waiting.
        std::deque<double> history; ///< Waiting times, the newest first.
        double sentAway = 0; ///< Share of requests of the last second.
        std::vector<double> shares;
    };

    TwoDataCentres()
    {
        SpillOptions options;
        options.isEnabled = true;
        for (Side &side : sides) {
            for (int i = 0; i < Instances; ++i)
                side.instances.emplace_back(options, base::InstanceId(absl::StrCat("i", i)));
            side.history.assign(100, 20);
        }
    }

    /// `demand`: offered work per millisecond of a side at a time in seconds.
    void run(double seconds, const std::function<double(int, double)> &demand)
    {
        for (double t = 0; t < seconds; t += TickMs / 1000) {
            now += absl::Milliseconds(TickMs);
            double arriving[2] = { 0, 0 };
            for (int side = 0; side < 2; ++side) {
                for (int i = 0; i < Instances; ++i) {
                    if ((tick + i) % 10 != 0) // Five requests a second from each instance.
                        continue;
                    const double work = demand(side, t) * TickMs * 10 / Instances;
                    const bool leaves = decide(side, i);
                    arriving[leaves ? 1 - side : side] += work;
                }
            }
            for (int side = 0; side < 2; ++side)
                serve(sides[side], arriving[side]);
            ++tick;
        }
    }

    bool decide(int side, int instance)
    {
        const std::size_t late = 5 + instance % 21; // Ticks: 0.1 to 0.5 s.
        SpillFacts facts;
        facts.service = "s";
        facts.request = stableDigest(absl::StrCat(side, "/", instance, "/", tick));
        facts.home = absl::Milliseconds(sides[side].history[late]);
        facts.elsewhere = absl::Milliseconds(sides[1 - side].history[late]);
        const bool leaves = sides[side].instances[instance].decide(facts, now).leaves;
        sides[side].sentAway += ((leaves ? 1 : 0) - sides[side].sentAway) / 500;
        return leaves;
    }

    void serve(Side &side, double work)
    {
        side.queueMs = std::max(0.0, side.queueMs + work - side.capacity * TickMs);
        // Work that would wait longer is refused.
        side.queueMs = std::min(side.queueMs, 400 * side.capacity);
        side.history.push_front(20 + side.queueMs / side.capacity);
        side.history.pop_back();
        side.shares.push_back(side.sentAway);
    }

    /// Number of times that the share sent away turns by more than 0.1.
    static int turns(const std::vector<double> &shares)
    {
        int turns = 0;
        int direction = 1;
        double extreme = 0;
        for (const double share : shares) {
            if ((share - extreme) * direction > 0)
                extreme = share;
            else if ((extreme - share) * direction > 0.1) {
                direction = -direction;
                extreme = share;
                ++turns;
            }
        }
        return turns;
    }

    absl::Time now = absl::FromUnixSeconds(1000);
    int tick = 0;
    Side sides[2];
};

BOOST_FIXTURE_TEST_SUITE(SpillTest, TwoDataCentres)

BOOST_AUTO_TEST_CASE(share_thirdOfTheEngines_settlesAtTheShortage)
{
    sides[0].capacity = 1.0 / 3;
    run(40, [](int, double) { return 0.6; });
    BOOST_TEST_MESSAGE("sent away " << sides[0].sentAway << ", turns " << turns(sides[0].shares));
    BOOST_TEST(sides[0].sentAway > 0.3);
    BOOST_TEST(sides[0].sentAway < 0.7);
    BOOST_TEST(turns(sides[0].shares) <= 4); // Guards against oscillation by stale reports.
    BOOST_TEST(sides[1].sentAway < 0.05);
}

BOOST_AUTO_TEST_CASE(share_shortageEnds_fallsToZero)
{
    sides[0].capacity = 1.0 / 3;
    run(20, [](int, double) { return 0.6; });
    sides[0].capacity = 1;
    run(20, [](int, double) { return 0.6; });
    BOOST_TEST(sides[0].instances[0].share("s") == 0);
    BOOST_TEST(sides[0].sentAway < 0.01);
}

BOOST_AUTO_TEST_CASE(share_wavesInOppositePhase_doesNotSendBothWays)
{
    constexpr double PeriodSeconds = 11;
    double both = 0;
    run(44, [&](int side, double t) {
        both = std::max(both, std::min(sides[0].sentAway, sides[1].sentAway));
        const double wave = 0.27 * std::sin(2 * M_PI * t / PeriodSeconds);
        return 0.9 * (side == 0 ? 1 + wave : 1 - wave);
    });
    BOOST_TEST_MESSAGE("both ways " << both << ", turns " << turns(sides[0].shares));
    BOOST_TEST(both < 0.1);
    BOOST_TEST(turns(sides[0].shares) <= 8); // Two a period.
}

BOOST_AUTO_TEST_CASE(share_priceNotGained_staysZero)
{
    SpillFacts facts { "s", 1, absl::Milliseconds(60), absl::Milliseconds(30), {}, 0 };
    Spill &spill = sides[0].instances[0];
    for (int i = 0; i < 50; ++i) {
        now += absl::Milliseconds(200);
        BOOST_TEST(!spill.decide(facts, now).leaves);
    }
    BOOST_TEST(spill.share("s") == 0);
    facts.home = absl::Milliseconds(130);
    facts.bytes = 4000000; // 80 ms more.
    for (int i = 0; i < 50; ++i)
        spill.decide(facts, now += absl::Milliseconds(200));
    BOOST_TEST(spill.share("s") == 0);
    facts.bytes = 0;
    for (int i = 0; i < 50; ++i)
        spill.decide(facts, now += absl::Milliseconds(200));
    BOOST_TEST(spill.share("s") > 0.5);
}

// An instance that receives nothing, or whose view of a data centre is cut off, sends nothing
// there.
BOOST_AUTO_TEST_CASE(dataCentre_notHeardOf_isUnknown)
{
    Spill &spill = sides[0].instances[0];
    const base::DataCentreId other("dc2");
    BOOST_TEST(!spill.isKnown(other, now));
    spill.noteHeard(other, now);
    BOOST_TEST(spill.isKnown(other, now + absl::Milliseconds(900)));
    BOOST_TEST(!spill.isKnown(other, now + absl::Seconds(2)));
}

BOOST_AUTO_TEST_CASE(decide_notEnabled_neverLeaves)
{
    Spill off(SpillOptions {}, base::InstanceId("i"));
    const SpillFacts facts { "s", 1, absl::Seconds(3), absl::Milliseconds(30), {}, 0 };
    for (int i = 0; i < 100; ++i)
        BOOST_TEST(!off.decide(facts, now += absl::Milliseconds(100)).leaves);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
