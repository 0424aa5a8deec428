#include "zinniadoor/serving/drain_plan.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace zinniadoor;
using namespace zinniadoor::serving;

struct DrainFixture
{
    DrainOptions options;
    absl::Time now = absl::FromUnixSeconds(1000);

    static DrainStream stream(const std::string &id, std::uint32_t context, std::uint32_t left)
    {
        DrainStream stream;
        stream.request = base::RequestId(id);
        stream.contextTokens = context;
        stream.tokensLeft = left;
        return stream;
    }
};

BOOST_FIXTURE_TEST_SUITE(DrainPlanTest, DrainFixture)

BOOST_AUTO_TEST_CASE(drain_withoutDeadline_finishesAll)
{
    const auto steps = planDrain({ stream("a", 9000, 9000) }, absl::InfiniteFuture(), options, now);
    BOOST_REQUIRE(steps.size() == 1);
    BOOST_TEST((steps[0].action == DrainAction::Finish));
}

BOOST_AUTO_TEST_CASE(drain_on5SecondsNotice_movesOnlyLongStreams)
{
    // At 50 tokens per second, 225 tokens fit into 4.5 s.
    const auto steps = planDrain({ stream("short", 500, 225), stream("long", 500, 226) },
                                 now + absl::Seconds(5), options, now);
    BOOST_REQUIRE(steps.size() == 2);
    BOOST_TEST((steps[0].action == DrainAction::Finish));
    BOOST_TEST((steps[1].action == DrainAction::MoveKv));
}

BOOST_AUTO_TEST_CASE(drain_exportsExceedNotice_resumesShortContexts)
{
    // In 4.5 s, 450,000 tokens can be exported, less the setup time of each export.
    const auto steps = planDrain({ stream("a", 100000, 9000), stream("b", 400000, 9000) },
                                 now + absl::Seconds(5), options, now);
    BOOST_REQUIRE(steps.size() == 2);
    BOOST_TEST(steps[0].request.str() == "b");
    BOOST_TEST((steps[0].action == DrainAction::MoveKv));
    BOOST_TEST((steps[1].action == DrainAction::Resume));
}

BOOST_AUTO_TEST_CASE(drain_nonResumableCall_isLeftToFinish)
{
    DrainStream call = stream("call", 0, 9000);
    call.isResumable = false;
    const auto steps = planDrain({ call }, now + absl::Seconds(5), options, now);
    BOOST_TEST((steps.at(0).action == DrainAction::Finish));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
