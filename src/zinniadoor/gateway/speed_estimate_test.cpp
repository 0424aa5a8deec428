#include <boost/test/unit_test.hpp>

#include "zinniadoor/gateway/speed_estimate.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::gateway;

struct SpeedEstimateFixture
{
    SpeedEstimate speeds;
};

BOOST_FIXTURE_TEST_SUITE(SpeedEstimateTest, SpeedEstimateFixture)

// Load pattern: engines far slower than assumed, and few long prompts a second to learn from.
BOOST_AUTO_TEST_CASE(noteRead_firstPromptOfSlowEngines_assumedSpeedIsForgotten)
{
    speeds.noteRead("s", 16000, 0, absl::Milliseconds(400), false);
    BOOST_TEST(speeds.engine("s").readTokensPerMs == 40, boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(noteRead_oneSlowPromptAmongMany_changesTheSpeedLittle)
{
    for (int i = 0; i < 100; ++i)
        speeds.noteRead("s", 16000, 0, absl::Milliseconds(400), false);
    speeds.noteRead("s", 16000, 0, absl::Milliseconds(4000), false);
    BOOST_TEST(speeds.engine("s").readTokensPerMs > 37);
}

BOOST_AUTO_TEST_CASE(noteRead_shortPromptOrReadInPlace_isNoSample)
{
    const double before = speeds.engine("s").readTokensPerMs;
    speeds.noteRead("s", 300, 0, absl::Milliseconds(30), false);
    speeds.noteRead("s", 16000, 0, absl::Milliseconds(900), true);
    BOOST_TEST(speeds.engine("s").readTokensPerMs == before);
}

BOOST_AUTO_TEST_CASE(noteFirstStep_firstSample_isTaken)
{
    speeds.noteFirstStep("s", absl::Milliseconds(60));
    BOOST_TEST((speeds.engine("s").firstStep == absl::Milliseconds(60)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
