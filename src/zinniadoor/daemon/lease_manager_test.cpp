#include <boost/test/unit_test.hpp>

#include "duty_fixture.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::daemon;

BOOST_FIXTURE_TEST_SUITE(LeaseManagerTest, DutyFixture)

// Releasing the lease of a removed scope could overtake an order already handed to a worker.
BOOST_AUTO_TEST_CASE(scope_removed_staysWithItsHolder)
{
    leases->setScopes({ "orders/dc-0" });
    BOOST_REQUIRE(runUntil([this] { return holds("orders/dc-0"); }));
    const base::Offset epoch = leases->find("orders/dc-0")->epoch();
    leases->setScopes({});
    const base::Offset before = control->lastConfirmedFrame().offset;
    BOOST_REQUIRE(runUntil([&] { return hasConfirmedFramesAfter(before); }));
    BOOST_TEST(isHeldInLog("orders/dc-0"));
    leases->setScopes({ "orders/dc-0" });
    const base::Offset later = control->lastConfirmedFrame().offset;
    BOOST_REQUIRE(runUntil([&] { return hasConfirmedFramesAfter(later); }));
    BOOST_TEST(holds("orders/dc-0"));
    BOOST_TEST(leases->find("orders/dc-0")->epoch() == epoch);
}

// Leases must outlast the work in flight at the workers, and must not be claimed again after their
// release.
BOOST_AUTO_TEST_CASE(stopClaiming_beforeReleaseAll_keepsLeases)
{
    leases->setScopes({ "usage/0" });
    BOOST_REQUIRE(runUntil([this] { return holds("usage/0"); }));
    leases->stopClaiming();
    const base::Offset before = control->lastConfirmedFrame().offset;
    BOOST_REQUIRE(runUntil([&] { return hasConfirmedFramesAfter(before); }));
    BOOST_TEST(holds("usage/0"));
    leases->releaseAll();
    BOOST_TEST(!holds("usage/0"));
    BOOST_TEST(runUntil([this] { return !isHeldInLog("usage/0"); }));
    const base::Offset after = control->lastConfirmedFrame().offset;
    BOOST_REQUIRE(runUntil([&] { return hasConfirmedFramesAfter(after); }));
    BOOST_TEST(!isHeldInLog("usage/0"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
