#include "zinniadoor/serving/outlier_ejection.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace zinniadoor;
using namespace zinniadoor::serving;

struct EjectionFixture
{
    base::EndpointId a { "a" };
    base::EndpointId b { "b" };
    base::EndpointId c { "c" };
    base::EndpointId d { "d" };
    OutlierEjection ejection { EjectionOptions {} };
    absl::Time now = absl::FromUnixSeconds(1000);

    EjectionFixture() { ejection.setEndpoints({ a, b, c, d }); }

    void fail(const base::EndpointId &endpoint, int times)
    {
        for (int i = 0; i < times; ++i)
            ejection.noteFailure(endpoint, now);
    }
};

BOOST_FIXTURE_TEST_SUITE(OutlierEjectionTest, EjectionFixture)

BOOST_AUTO_TEST_CASE(endpoint_consecutiveFailures_isEjectedAndRampsUp)
{
    fail(a, 2);
    BOOST_TEST(ejection.weight(a, now) == 1.0);
    fail(a, 1);
    BOOST_TEST(ejection.weight(a, now) == 0.0);
    BOOST_TEST(ejection.weight(a, now + absl::Seconds(4)) == 0.0);
    BOOST_TEST(ejection.weight(a, now + absl::Seconds(5)) == 0.1);
    BOOST_TEST(ejection.weight(a, now + absl::Seconds(15)) == 1.0);
}

BOOST_AUTO_TEST_CASE(endpoint_failureDuringRampUp_isEjectedForLonger)
{
    fail(a, 3);
    now += absl::Seconds(6);
    fail(a, 1);
    BOOST_TEST(ejection.weight(a, now + absl::Seconds(9)) == 0.0);
    BOOST_TEST(ejection.weight(a, now + absl::Seconds(11)) > 0.0);
}

BOOST_AUTO_TEST_CASE(endpoints_allFailing_ejectsAtMostHalf)
{
    for (const auto &endpoint : { a, b, c, d })
        fail(endpoint, 20);
    BOOST_TEST(ejection.ejectedCount(now) == 2);
}

BOOST_AUTO_TEST_CASE(endpoint_highLatency_isEjected)
{
    for (int i = 0; i < 30; ++i) {
        ejection.noteSuccess(a, absl::Seconds(3), now);
        for (const auto &endpoint : { b, c, d })
            ejection.noteSuccess(endpoint, absl::Milliseconds(200), now);
    }
    BOOST_TEST(ejection.weight(a, now) == 0.0);
    BOOST_TEST(ejection.weight(b, now) == 1.0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
