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

// Engines far slower than the initial estimate, and few long prompts to sample: a slow average
// would keep the wrong estimate for too long.
BOOST_AUTO_TEST_CASE(notePrefill_firstSample_replacesInitialSpeed)
{
    speeds.notePrefill("s", 16000, 0, absl::Milliseconds(400));
    BOOST_TEST(speeds.engine("s").prefillTokensPerMs == 40, boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(notePrefill_oneOutlierAfterManySamples_speedChangesLittle)
{
    for (int i = 0; i < 100; ++i)
        speeds.notePrefill("s", 16000, 0, absl::Milliseconds(400));
    speeds.notePrefill("s", 16000, 0, absl::Milliseconds(4000));
    BOOST_TEST(speeds.engine("s").prefillTokensPerMs > 37);
}

// At prefill engines, short prompts wait behind chunks of long ones. Their time must not lower the
// estimated speed.
BOOST_AUTO_TEST_CASE(notePrefill_slowShortPrompts_overheadGrowsAndSpeedStays)
{
    const double before = speeds.engine("s").prefillTokensPerMs;
    for (int i = 0; i < 100; ++i)
        speeds.notePrefill("s", 300, 0, absl::Milliseconds(350));
    BOOST_TEST(speeds.engine("s").prefillTokensPerMs == before);
    BOOST_TEST((speeds.engine("s").remotePrefillOverhead > absl::Milliseconds(300)));
    for (int i = 0; i < 100; ++i)
        speeds.notePrefill("s", 300, 0, absl::Milliseconds(30));
    BOOST_TEST((speeds.engine("s").remotePrefillOverhead < absl::Milliseconds(60)));
}

BOOST_AUTO_TEST_CASE(noteLocalPrefill_shortPrompt_overheadExcludesPrefill)
{
    speeds.notePrefill("s", 16000, 0,
                       absl::Milliseconds(400)); // 40 tokens per ms; half of it locally.
    speeds.noteLocalPrefill("s", 400, absl::Milliseconds(60));
    BOOST_TEST((speeds.engine("s").localPrefillOverhead == absl::Milliseconds(40)));
}

BOOST_AUTO_TEST_CASE(noteFirstStep_firstSample_isUsed)
{
    speeds.noteFirstStep("s", absl::Milliseconds(60));
    BOOST_TEST((speeds.engine("s").handoffTime == absl::Milliseconds(60)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
