#include "zinniadoor/serving/crash_list.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace zinniadoor;
using namespace zinniadoor::serving;

struct CrashFixture
{
    base::EndpointId a { "a" };
    base::EndpointId b { "b" };
    CrashList list { CrashListOptions {} };
    absl::Time now = absl::FromUnixSeconds(1000);

    void crash(const std::string &body, const base::EndpointId &endpoint)
    {
        list.begin(body, endpoint);
        list.endpointCrashed(endpoint, now);
    }
};

BOOST_FIXTURE_TEST_SUITE(CrashListTest, CrashFixture)

BOOST_AUTO_TEST_CASE(body_onTwoCrashes_isRefusedWithEndpoints)
{
    crash("x", a);
    BOOST_TEST((list.verdict("x", now) == CrashVerdict::Suspect));
    crash("x", b);
    BOOST_TEST((list.verdict("x", now) == CrashVerdict::Refused));
    BOOST_TEST(list.reason("x").text.find("a b") != std::string::npos);
    BOOST_TEST((list.verdict("y", now) == CrashVerdict::Clear));
}

BOOST_AUTO_TEST_CASE(body_endedBeforeCrash_staysClear)
{
    list.begin("x", a);
    BOOST_TEST(list.copiesInFlight("x") == 1);
    list.end("x", a);
    BOOST_TEST(list.endpointCrashed(a, now).empty());
    BOOST_TEST((list.verdict("x", now) == CrashVerdict::Clear));
}

BOOST_AUTO_TEST_CASE(crash_toldByTwoPeers_countsOnce)
{
    list.merge({ { "x", a, absl::Seconds(1) } }, now);
    list.merge({ { "x", a, absl::Seconds(3) } }, now);
    BOOST_TEST((list.verdict("x", now) == CrashVerdict::Suspect));
    list.merge({ { "x", b, absl::Seconds(1) } }, now);
    BOOST_TEST((list.verdict("x", now) == CrashVerdict::Refused));
}

BOOST_AUTO_TEST_CASE(sameEndpoint_crashedAgainLater_countsTwice)
{
    crash("x", a);
    now += absl::Minutes(1);
    crash("x", a);
    BOOST_TEST((list.verdict("x", now) == CrashVerdict::Refused));
}

BOOST_AUTO_TEST_CASE(entries_old_areForgottenAndNotTold)
{
    crash("x", a);
    BOOST_TEST(list.entries(now, 10).size() == 1);
    now += absl::Hours(1);
    BOOST_TEST((list.verdict("x", now) == CrashVerdict::Clear));
    BOOST_TEST(list.entries(now, 10).empty());
    list.expire(now);
    BOOST_TEST(list.size() == 0);
}

BOOST_AUTO_TEST_CASE(list_full_forgetsSuspectsFirst)
{
    CrashListOptions options;
    options.capacity = 2;
    list = CrashList(options);
    crash("bad", a);
    crash("bad", b);
    crash("s1", a);
    now += absl::Minutes(1);
    crash("s2", a);
    BOOST_TEST(list.size() == 2);
    BOOST_TEST((list.verdict("bad", now) == CrashVerdict::Refused));
    BOOST_TEST((list.verdict("s2", now) == CrashVerdict::Suspect));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
