#include <boost/test/unit_test.hpp>

#include "duty_fixture.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::daemon;

BOOST_FIXTURE_TEST_SUITE(LeaseManagerTest, DutyFixture)

BOOST_AUTO_TEST_CASE(scope_noLongerWanted_staysWithItsHolder)
{
    leases->setScopes({ "orders/dc-0" });
    BOOST_REQUIRE(runUntil([this] { return holds("orders/dc-0"); }));
    const base::Offset epoch = leases->find("orders/dc-0")->epoch();
    leases->setScopes({});
    const base::Offset seen = control->lastSeenFrame().offset;
    BOOST_REQUIRE(runUntil([&] { return sawFramesAfter(seen); }));
    BOOST_TEST(isHeldInLog("orders/dc-0"));
    leases->setScopes({ "orders/dc-0" });
    const base::Offset later = control->lastSeenFrame().offset;
    BOOST_REQUIRE(runUntil([&] { return sawFramesAfter(later); }));
    BOOST_TEST(holds("orders/dc-0"));
    BOOST_TEST(leases->find("orders/dc-0")->epoch() == epoch);
}

BOOST_AUTO_TEST_CASE(stop_beforeReleaseAll_keepsTheLeases)
{
    leases->setScopes({ "usage/0" });
    BOOST_REQUIRE(runUntil([this] { return holds("usage/0"); }));
    leases->stopClaiming();
    const base::Offset seen = control->lastSeenFrame().offset;
    BOOST_REQUIRE(runUntil([&] { return sawFramesAfter(seen); }));
    BOOST_TEST(holds("usage/0"));
    leases->releaseAll();
    BOOST_TEST(!holds("usage/0"));
    BOOST_TEST(runUntil([this] { return !isHeldInLog("usage/0"); }));
    const base::Offset after = control->lastSeenFrame().offset;
    BOOST_REQUIRE(runUntil([&] { return sawFramesAfter(after); }));
    BOOST_TEST(!isHeldInLog("usage/0"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
