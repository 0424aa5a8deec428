#include <boost/test/unit_test.hpp>

#include "zinniadoor/serving/answer_estimate.hpp"

namespace {

using namespace zinniadoor::serving;

struct AnswerEstimateFixture
{
    void note(int milliseconds, absl::Duration later = absl::Milliseconds(1))
    {
        now += later;
        estimate.note(requests, absl::Milliseconds(milliseconds), now);
    }
    double meanMs() const { return absl::ToDoubleMilliseconds(estimate.mean(requests)); }

    const AnswerClass requests { "s", "r" };
    absl::Time now = absl::FromUnixSeconds(1000000);
    AnswerEstimate estimate;
};

BOOST_FIXTURE_TEST_SUITE(AnswerEstimateTest, AnswerEstimateFixture)

// Guards against a first sample that stays the estimate for the next 20 or more.
BOOST_AUTO_TEST_CASE(mean_firstSampleSlow_followsTheNextOnes)
{
    note(800);
    for (int i = 0; i < 9; ++i)
        note(20);
    BOOST_TEST(meanMs() == 98, boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(mean_oneOutlierAfterManySamples_changesLittle)
{
    for (int i = 0; i < 100; ++i)
        note(20);
    note(800);
    BOOST_TEST(meanMs() < 60);
}

// Guards against samples of before a silence that outweigh those after it.
BOOST_AUTO_TEST_CASE(mean_samplesAreOld_nextOneReplacesThem)
{
    for (int i = 0; i < 100; ++i)
        note(800);
    note(20, absl::Minutes(2));
    BOOST_TEST(meanMs() == 20, boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_CASE(mean_otherRouteOfService_isNotAffected)
{
    note(800);
    BOOST_TEST((estimate.mean({ "s", "other" }) == absl::ZeroDuration()));
}

BOOST_AUTO_TEST_CASE(replace_manySamples_countsAlone)
{
    for (int i = 0; i < 100; ++i)
        note(800);
    estimate.replace(requests, absl::Milliseconds(20), now);
    BOOST_TEST(meanMs() == 20);
    note(40);
    BOOST_TEST(meanMs() == 30, boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
