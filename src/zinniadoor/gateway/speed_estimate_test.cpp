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
    speeds.noteRead("s", 16000, 0, absl::Milliseconds(400));
    BOOST_TEST(speeds.engine("s").prefillTokensPerMs == 40, boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(noteRead_oneSlowPromptAmongMany_changesTheSpeedLittle)
{
    for (int i = 0; i < 100; ++i)
        speeds.noteRead("s", 16000, 0, absl::Milliseconds(400));
    speeds.noteRead("s", 16000, 0, absl::Milliseconds(4000));
    BOOST_TEST(speeds.engine("s").prefillTokensPerMs > 37);
}

// Load pattern: short prompts wait behind the pieces of long ones at engines that read.
BOOST_AUTO_TEST_CASE(noteRead_shortPromptsTakeLong_overheadGrowsAndSpeedStays)
{
    const double before = speeds.engine("s").prefillTokensPerMs;
    for (int i = 0; i < 100; ++i)
        speeds.noteRead("s", 300, 0, absl::Milliseconds(350));
    BOOST_TEST(speeds.engine("s").prefillTokensPerMs == before);
    BOOST_TEST((speeds.engine("s").remotePrefillOverhead > absl::Milliseconds(300)));
    for (int i = 0; i < 100; ++i)
        speeds.noteRead("s", 300, 0, absl::Milliseconds(30));
    BOOST_TEST((speeds.engine("s").remotePrefillOverhead < absl::Milliseconds(60)));
}

BOOST_AUTO_TEST_CASE(noteInPlace_shortPrompts_overheadIsWithoutReading)
{
    speeds.noteRead("s", 16000, 0, absl::Milliseconds(400)); // 40 a millisecond, half in place.
    speeds.noteInPlace("s", 400, absl::Milliseconds(60));
    BOOST_TEST((speeds.engine("s").localPrefillOverhead == absl::Milliseconds(40)));
}

BOOST_AUTO_TEST_CASE(noteFirstStep_firstSample_isTaken)
{
    speeds.noteFirstStep("s", absl::Milliseconds(60));
    BOOST_TEST((speeds.engine("s").handoffTime == absl::Milliseconds(60)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
