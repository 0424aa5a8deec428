#include <boost/test/unit_test.hpp>

#include "zinniadoor/serving/request_arrivals.hpp"

namespace {

using zinniadoor::serving::RequestArrivals;

BOOST_AUTO_TEST_SUITE(RequestArrivalsTest)

// Guards against charging the budget for attempts that no endpoint has seen.
BOOST_AUTO_TEST_CASE(next_afterUnconnectedAttempts_isFreeUntilOneArrives)
{
    RequestArrivals arrivals;
    for (int i = 0; i < 2; ++i) {
        arrivals.noteSent();
        arrivals.noteUnconnected();
        BOOST_TEST(!arrivals.nextIsExtra());
    }
    arrivals.noteSent();
    BOOST_TEST(arrivals.nextIsExtra());
}

// Guards against charging twice for one arrival.
BOOST_AUTO_TEST_CASE(next_chargedAttemptDidNotArrive_isPaidFor)
{
    RequestArrivals arrivals;
    arrivals.noteSent();
    arrivals.noteCharged();
    arrivals.noteSent();
    BOOST_TEST(arrivals.nextIsExtra());
    arrivals.noteUnconnected();
    BOOST_TEST(!arrivals.nextIsExtra());
}

// Guards against endless attempts: both kinds have limits of their own.
BOOST_AUTO_TEST_CASE(limits_unconnectedAndArrived_areSeparate)
{
    RequestArrivals arrivals;
    for (std::uint32_t i = 0; i < RequestArrivals::MaxUnconnected; ++i) {
        BOOST_TEST(!arrivals.connectionsUsedUp());
        arrivals.noteSent();
        arrivals.noteUnconnected();
    }
    BOOST_TEST(arrivals.connectionsUsedUp());
    BOOST_TEST(!arrivals.arrivalsUsedUp());
    for (std::uint32_t i = 0; i < RequestArrivals::MaxArrivals; ++i)
        arrivals.noteSent();
    BOOST_TEST(arrivals.arrivalsUsedUp());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
