#include "zinniadoor/serving/crash_list.hpp"

#include <map>
#include <random>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

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
        list.noteAccepted(body, endpoint);
        list.endpointCrashed(endpoint, now);
    }
};

BOOST_FIXTURE_TEST_SUITE(CrashListTest, CrashFixture)

BOOST_AUTO_TEST_CASE(body_inFlightOnTwoCrashes_isRefusedNamingEndpoints)
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
    list.noteAccepted("x", a);
    list.end("x", a, true);
    BOOST_TEST(list.endpointCrashed(a, now).empty());
    BOOST_TEST((list.verdict("x", now) == CrashVerdict::Clear));
}

BOOST_AUTO_TEST_CASE(body_sentButNotAccepted_staysClear)
{
    list.begin("x", a);
    list.begin("y", a);
    list.noteAccepted("y", a);
    BOOST_TEST(list.endpointCrashed(a, now).size() == 1u);
    BOOST_TEST((list.verdict("x", now) == CrashVerdict::Clear));
    BOOST_TEST((list.verdict("y", now) == CrashVerdict::Suspect));
    BOOST_TEST(list.copiesInFlight("x") == 1u);
}

BOOST_AUTO_TEST_CASE(body_acceptedCopyEndedBeforeCrash_otherCopyStaysClear)
{
    list.begin("x", a);
    list.begin("x", a);
    list.noteAccepted("x", a);
    list.end("x", a, true);
    BOOST_TEST(list.endpointCrashed(a, now).empty());
    BOOST_TEST(list.copiesInFlight("x") == 1u);
}

BOOST_AUTO_TEST_CASE(crash_reportedByTwoPeers_countsOnce)
{
    list.merge({ { "x", a, absl::Seconds(1) } }, now);
    list.merge({ { "x", a, absl::Seconds(3) } }, now);
    BOOST_TEST((list.verdict("x", now) == CrashVerdict::Suspect));
    list.merge({ { "x", b, absl::Seconds(1) } }, now);
    BOOST_TEST((list.verdict("x", now) == CrashVerdict::Refused));
}

// A report that was received late, and again, seemed to be of a second crash.
BOOST_AUTO_TEST_CASE(crash_reportedAgainMuchLater_countsOnce)
{
    crash("x", a);
    const std::vector<CrashEntry> reports = list.entries(now, 10);
    BOOST_REQUIRE(reports.size() == 1u);
    CrashList other { CrashListOptions {} };
    BOOST_TEST(other.merge(reports, now).size() == 1u);
    BOOST_TEST(other.merge(reports, now + absl::Minutes(1)).empty());
    BOOST_TEST((other.verdict("x", now) == CrashVerdict::Suspect));
    BOOST_TEST(list.merge(other.entries(now, 10), now + absl::Minutes(1)).empty());
    BOOST_TEST((list.verdict("x", now) == CrashVerdict::Suspect));
}

BOOST_AUTO_TEST_CASE(crash_observedByTwoInstancesAndReportedLate_countsOnce)
{
    CrashList other { CrashListOptions {} };
    other.begin("x", a);
    other.noteAccepted("x", a);
    crash("x", a);
    const auto reports = other.endpointCrashed(a, now + absl::Milliseconds(200));
    BOOST_TEST(list.merge(reports, now + absl::Seconds(1)).empty());
    BOOST_TEST(list.merge(reports, now + absl::Minutes(1)).empty());
    BOOST_TEST((list.verdict("x", now) == CrashVerdict::Suspect));
}

// Instances told each other of a crash again and again, each time just before its end.
BOOST_AUTO_TEST_CASE(report_closeToRetention_isIgnored)
{
    const CrashListOptions options;
    const absl::Duration age = options.retention - options.reportMargin / 2;
    BOOST_TEST(list.merge({ { "x", a, age, 1 }, { "x", b, age, 2 } }, now).empty());
    BOOST_TEST((list.verdict("x", now) == CrashVerdict::Clear));
}

BOOST_AUTO_TEST_CASE(entries_moreThanLimit_areOfRefusedBodiesFirst)
{
    crash("bad", a);
    crash("bad", b);
    now += absl::Seconds(10);
    for (int i = 0; i < 20; ++i)
        crash("beside" + std::to_string(i), a);
    const std::vector<CrashEntry> entries = list.entries(now, 4);
    BOOST_REQUIRE(entries.size() == 4u);
    BOOST_TEST(entries[0].bodyDigest == "bad");
    BOOST_TEST(entries[1].bodyDigest == "bad");
    BOOST_TEST(entries[2].bodyDigest != "bad");
}

BOOST_AUTO_TEST_CASE(sameEndpoint_crashedAgainLater_countsTwice)
{
    crash("x", a);
    now += absl::Minutes(1);
    crash("x", a);
    BOOST_TEST((list.verdict("x", now) == CrashVerdict::Refused));
}

BOOST_AUTO_TEST_CASE(entries_beyondRetention_areDroppedAndNotReported)
{
    crash("x", a);
    BOOST_TEST(list.entries(now, 10).size() == 1);
    now += absl::Hours(1);
    BOOST_TEST((list.verdict("x", now) == CrashVerdict::Clear));
    BOOST_TEST(list.entries(now, 10).empty());
    list.expire(now);
    BOOST_TEST(list.size() == 0);
}

BOOST_AUTO_TEST_CASE(list_full_evictsSuspectsFirst)
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

// A client that retries a crashing body on any instance causes at most two crashes, even if an
// endpoint restarts and crashes again. A body in flight beside it once is not refused.
BOOST_AUTO_TEST_CASE(lists_clientRetriesOnAnyInstance_allowAtMostTwoCrashes)
{
    const bool holds = rc::check([] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        std::mt19937 random(seed);
        std::vector<CrashList> instances(4, CrashList(CrashListOptions {}));
        absl::Time at = absl::FromUnixSeconds(1000);
        int crashes = 0;
        std::map<base::EndpointId, absl::Time> restartedAt;
        for (int attempt = 0; attempt < 20; ++attempt) {
            at += absl::Milliseconds(random() % 60000);
            CrashList &tried = instances[random() % instances.size()];
            if (tried.verdict("bad", at) == CrashVerdict::Refused)
                continue;
            const base::EndpointId endpoint("e" + std::to_string(random() % 20));
            if (at < restartedAt[endpoint])
                continue;
            restartedAt[endpoint] = at + CrashListOptions {}.duplicateWindow;
            const std::string bystander = "good" + std::to_string(attempt);
            CrashList &other = instances[random() % instances.size()];
            tried.begin("bad", endpoint);
            other.begin(bystander, endpoint);
            tried.noteAccepted("bad", endpoint);
            other.noteAccepted(bystander, endpoint);
            ++crashes;
            for (CrashList &seen : instances) {
                const auto reported = seen.endpointCrashed(endpoint, at);
                for (CrashList &peer : instances)
                    peer.merge(reported, at);
            }
            RC_ASSERT(tried.verdict(bystander, at) == CrashVerdict::Suspect);
        }
        RC_ASSERT(crashes == 2);
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
