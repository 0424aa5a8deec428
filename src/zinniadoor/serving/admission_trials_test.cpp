#include <boost/test/unit_test.hpp>

#include "zinniadoor/serving/admission_trials.hpp"

namespace {

using namespace zinniadoor::serving;

struct AdmissionTrialsFixture
{
    /// Rejected requests arrive every 10 ms for this time; returns how many are sent.
    int trialsIn(absl::Duration time, bool mayRepeat = true)
    {
        int sent = 0;
        for (const absl::Time end = now + time; now < end; now += absl::Milliseconds(10))
            sent += trials.takeTrial(requests, mayRepeat, now) <= absl::ZeroDuration() ? 1 : 0;
        return sent;
    }

    const AnswerClass requests { "s", "r" };
    absl::Time now = absl::FromUnixSeconds(1000000);
    AdmissionTrials trials;
};

BOOST_FIXTURE_TEST_SUITE(AdmissionTrialsTest, AdmissionTrialsFixture)

BOOST_AUTO_TEST_CASE(trial_firstRejections_isSentAfterDelay)
{
    BOOST_TEST(trialsIn(absl::Milliseconds(500)) == 0);
    BOOST_TEST(trialsIn(absl::Milliseconds(50)) == 1);
}

// Guards against endpoints that are known to be too slow and get many requests all the same.
BOOST_AUTO_TEST_CASE(trials_allInVain_becomeRare)
{
    trialsIn(absl::Seconds(16));
    BOOST_TEST(trialsIn(absl::Seconds(80)) == 10);
}

BOOST_AUTO_TEST_CASE(trials_oneAnsweredInTime_delayIsShortAgain)
{
    trialsIn(absl::Seconds(30));
    trials.noteAnswer(requests, now);
    BOOST_TEST(trialsIn(absl::Milliseconds(550)) == 1);
}

BOOST_AUTO_TEST_CASE(trial_answersArrive_isNotNeeded)
{
    int sent = 0;
    for (int i = 0; i < 50; ++i) {
        sent += trialsIn(absl::Milliseconds(100));
        trials.noteAnswer(requests, now);
    }
    BOOST_TEST(sent == 0);
}

BOOST_AUTO_TEST_CASE(trial_requestMayRunOnce_waitsForRequestThatMayRepeat)
{
    trialsIn(absl::Milliseconds(10));
    BOOST_TEST(trialsIn(absl::Milliseconds(800), false) == 0);
    BOOST_TEST(trialsIn(absl::Milliseconds(10)) == 1);
}

BOOST_AUTO_TEST_CASE(trial_onlyRequestsThatMayRunOnce_isSentLater)
{
    BOOST_TEST(trialsIn(absl::Milliseconds(1050), false) == 1);
}

BOOST_AUTO_TEST_CASE(wait_untilNextTrial_isReturned)
{
    trials.takeTrial(requests, true, now);
    now += absl::Milliseconds(200);
    BOOST_TEST((trials.takeTrial(requests, true, now) == absl::Milliseconds(300)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
