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
    CrashList list { CrashEvidenceOptions::ofBodies() };
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

BOOST_AUTO_TEST_CASE(sameEndpoint_crashedAgainLater_countsTwice)
{
    crash("x", a);
    now += absl::Minutes(1);
    crash("x", a);
    BOOST_TEST((list.verdict("x", now) == CrashVerdict::Refused));
}

BOOST_AUTO_TEST_CASE(crashes_beyondRetention_areDropped)
{
    crash("x", a);
    now += absl::Hours(1);
    BOOST_TEST((list.verdict("x", now) == CrashVerdict::Clear));
    list.expire(now);
    BOOST_TEST(list.size() == 0u);
}

// A body that many callers repeat is in flight on most endpoints that crash for other reasons.
BOOST_AUTO_TEST_CASE(body_answeredBeforeTwoCrashes_isNotRefusedAndAnswerIsReported)
{
    list.noteAnswered("x", now);
    BOOST_TEST(list.takeReports().empty());
    now += absl::Minutes(1);
    crash("x", a);
    crash("x", b);
    BOOST_TEST((list.verdict("x", now) == CrashVerdict::Suspect));
    list.noteAnswered("x", now);
    BOOST_TEST((list.verdict("x", now) == CrashVerdict::Clear));
    BOOST_TEST(list.takeReports().successes.size() == 1u);
    BOOST_TEST(list.takeReports().empty());
}

BOOST_AUTO_TEST_CASE(body_answeredAtPeer_isClearedByItsReply)
{
    CrashList peer { CrashEvidenceOptions::ofBodies() };
    peer.noteAnswered("x", now);
    now += absl::Minutes(1);
    crash("x", a);
    crash("x", b);
    BOOST_TEST((list.verdict("x", now) == CrashVerdict::Refused));
    peer.merge({ { "x", a, absl::ZeroDuration() }, { "x", b, absl::ZeroDuration() } }, now);
    list.merge(peer.takeReports(), now);
    BOOST_TEST((list.verdict("x", now) != CrashVerdict::Refused));
    BOOST_TEST((peer.verdict("x", now) != CrashVerdict::Refused));
}

BOOST_AUTO_TEST_CASE(body_refusedAndNeverAnswered_mayBeTriedOnceAfterRest)
{
    crash("x", a);
    crash("x", b);
    BOOST_TEST(!list.mayTry("x", now));
    now += CrashEvidenceOptions::ofBodies().firstRest;
    BOOST_TEST(list.mayTry("x", now));
    list.noteTrial("x", now);
    BOOST_TEST(!list.mayTry("x", now));
    BOOST_TEST(list.takeReports().trials.size() == 1u);
    list.noteAnswered("x", now);
    BOOST_TEST((list.verdict("x", now) == CrashVerdict::Clear));
}

// A client that retries a crashing body on any instance causes at most two crashes, even if an
// endpoint restarts and crashes again. A body in flight beside it once is not refused.
BOOST_AUTO_TEST_CASE(lists_clientRetriesOnAnyInstance_allowAtMostTwoCrashes)
{
    const bool holds = rc::check([] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        std::mt19937 random(seed);
        std::vector<CrashList> instances(4, CrashList(CrashEvidenceOptions::ofBodies()));
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
            restartedAt[endpoint] = at + CrashEvidenceOptions::ofBodies().duplicateWindow;
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
