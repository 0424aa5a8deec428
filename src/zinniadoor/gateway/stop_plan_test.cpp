#include <boost/test/unit_test.hpp>

#include "zinniadoor/gateway/stop_plan.hpp"

namespace {

using namespace zinniadoor::gateway;

BOOST_AUTO_TEST_SUITE(StopPlanTest)

BOOST_AUTO_TEST_CASE(stop_anyStopTime_requestsAcceptedLastHaveMostOfItToEnd)
{
    for (int ms = 200; ms <= 60000; ms += 200) {
        const absl::Duration stopTime = absl::Milliseconds(ms);
        const StopPlan plan = planStop(stopTime);
        BOOST_TEST((plan.cut - plan.acceptance >= stopTime / 2), ms << " ms");
        BOOST_TEST((plan.cut < stopTime), ms << " ms");
        BOOST_TEST((plan.acceptance > absl::ZeroDuration()), ms << " ms");
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
