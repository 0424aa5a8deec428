#include "zinniadoor/serving/burn.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace zinniadoor;
using namespace zinniadoor::serving;

struct BurnFixture
{
    BurnCounter counter;
    base::OrganisationId organisation { "feathercraft" };
    absl::Time start = absl::FromUnixSeconds(1699999200);

    void add(int good, int bad, absl::Time at)
    {
        for (int i = 0; i < good + bad; ++i)
            counter.add(organisation, "chat", i < good, at);
    }

    GoodTotal window(std::size_t index, absl::Time now) const
    {
        return counter.rows(now).at(0).windows.at(index);
    }
};

BOOST_FIXTURE_TEST_SUITE(BurnTest, BurnFixture)

// Worked example with objective 95%, so the error budget is 5% of requests:
//   t = 0        90 good, 10 bad
//   t = 30 min  100 good,  0 bad
//   t = 58 min   40 good, 10 bad
// At t = 59 min: 5 min window 40 of 50, 20% bad, 20 / 5 = 4.0;
// 1 h window 230 of 250, 8% bad, 8 / 5 = 1.6. At t = 2 h: the 1 h window is empty, 6 h as 1.6.
BOOST_AUTO_TEST_CASE(burn_workedExample_matchesExpectedRates)
{
    add(90, 10, start);
    add(100, 0, start + absl::Minutes(30));
    add(40, 10, start + absl::Minutes(58));
    const absl::Time now = start + absl::Minutes(59);
    BOOST_TEST(window(0, now).total == 50);
    BOOST_TEST(burnRate(window(0, now), 0.95) == 4.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(window(1, now).good == 230);
    BOOST_TEST(burnRate(window(1, now), 0.95) == 1.6, boost::test_tools::tolerance(1e-9));
    const absl::Time later = start + absl::Hours(2);
    BOOST_TEST(burnRate(window(1, later), 0.95) == 0.0);
    BOOST_TEST(burnRate(window(2, later), 0.95) == 1.6, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(burn_after3Days_isDropped)
{
    add(0, 10, start);
    BOOST_TEST(window(3, start + absl::Hours(71)).total == 10);
    BOOST_TEST(window(3, start + absl::Hours(72)).total == 0);
}

BOOST_AUTO_TEST_CASE(burn_lateCounts_doNotReplaceNewerBuckets)
{
    add(5, 0, start + absl::Hours(72));
    add(0, 7, start);
    BOOST_TEST(window(3, start + absl::Hours(72)).total == 5);
}

BOOST_AUTO_TEST_CASE(rows_ofTwoInstances_areSummed)
{
    add(9, 1, start);
    const auto rows = counter.rows(start);
    const auto sum = sumRows({ rows, rows });
    BOOST_REQUIRE(sum.size() == 1);
    BOOST_TEST(sum[0].windows[0].good == 18);
    BOOST_TEST(sum[0].windows[0].total == 20);
}

BOOST_AUTO_TEST_CASE(pairs_beyondLimit_countAsOther)
{
    BurnCounter small(1);
    small.add(base::OrganisationId("a"), "chat", true, start);
    small.add(base::OrganisationId("b"), "chat", true, start);
    small.add(base::OrganisationId("c"), "chat", true, start);
    BOOST_TEST(small.rows(start).size() == 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
