#include "zinniadoor/serving/plain_choice.hpp"

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::serving;

struct PlainChoiceFixture
{
    PlainChoiceFixture()
    {
        for (const char *id : { "a", "b", "c" }) {
            PlainCandidate candidate;
            candidate.id = base::EndpointId(id);
            candidate.slots = 6;
            candidates.push_back(candidate);
        }
    }

    void answer(const char *endpoint, absl::Duration time)
    {
        const std::uint64_t call = choice.noteStart(base::EndpointId(endpoint), 1, now);
        choice.noteAnswer(call, now + time);
    }

    /// Requests of 300 that choose candidate `index`.
    int countOf(std::size_t index) const
    {
        int count = 0;
        for (int i = 0; i < 300; ++i)
            count += choice.choose(candidates, absl::StrCat("r", i), usual, now)->index == index;
        return count;
    }

    const absl::Duration usual = absl::Milliseconds(30);
    absl::Time now = absl::FromUnixSeconds(1000);
    PlainChoice choice;
    std::vector<PlainCandidate> candidates;
};

BOOST_FIXTURE_TEST_SUITE(PlainChoiceTest, PlainChoiceFixture)

// Guards against all instances choosing the same endpoint.
BOOST_AUTO_TEST_CASE(choose_equalEndpoints_areUsedEvenly)
{
    for (std::size_t i = 0; i < candidates.size(); ++i)
        BOOST_TEST(countOf(i) >= 60);
    candidates[0].ownRequests = 1; // Only a little busier: no longer even, but not all elsewhere.
    BOOST_TEST(countOf(1) <= 200);
}

BOOST_AUTO_TEST_CASE(choose_slowEndpoint_isAvoidedUntilMeasurementIsOld)
{
    answer("a", absl::Milliseconds(75));
    now += absl::Milliseconds(150);
    BOOST_TEST(countOf(0) == 0);
    now += absl::Seconds(2);
    BOOST_TEST(countOf(0) >= 60);
}

// Guards against sending to a slow endpoint until its first slow answer arrives.
BOOST_AUTO_TEST_CASE(choose_callOpenForLong_isEvidenceBeforeItsAnswer)
{
    const std::uint64_t call = choice.noteStart(candidates[0].id, 1, now);
    now += absl::Milliseconds(70);
    BOOST_TEST(countOf(0) == 0);
    choice.noteAbandoned(call, now);
    BOOST_TEST(countOf(0) == 0);
}

BOOST_AUTO_TEST_CASE(choose_fullEndpoint_isAvoidedByFreshReportsOnly)
{
    candidates[0].peerRequests = 24;
    candidates[0].peerAge = absl::ZeroDuration();
    BOOST_TEST(countOf(0) == 0);
    candidates[0].peerRequests = 8;
    candidates[0].peerAge = absl::Milliseconds(500); // The reported queue has been worked off.
    BOOST_TEST(countOf(0) >= 60);
}

BOOST_AUTO_TEST_CASE(choose_lastResort_isUsedOnlyWithoutOthers)
{
    candidates[0].isLastResort = true;
    BOOST_TEST(countOf(0) == 0);
    candidates[1].isLastResort = true;
    candidates[2].ownRequests = 30;
    BOOST_TEST(countOf(2) == 300);
    candidates.resize(1);
    BOOST_TEST(countOf(0) == 300);
    candidates.clear();
    BOOST_TEST(!choice.choose(candidates, "r", usual, now));
}

BOOST_AUTO_TEST_CASE(answerTime_queuedCall_countsWithoutItsQueue)
{
    const std::uint64_t call = choice.noteStart(candidates[0].id, 3, now);
    choice.noteAnswer(call, now + absl::Milliseconds(90));
    now += absl::Milliseconds(90);
    const double ms = absl::ToDoubleMilliseconds(choice.answerTime(candidates[0].id, usual, now));
    BOOST_TEST(ms == 30, boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
