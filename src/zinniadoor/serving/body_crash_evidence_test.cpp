#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

#include "crash_fleet.hpp"
#include "zinniadoor/serving/engine_view.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::serving;
using serving::test::Fleet;
using serving::test::FleetOptions;

/// One request, whose crashes are all its own.
struct BodyFixture
{
    const SuspectKey body = 7;
    CrashEvidence list { CrashEvidenceOptions::ofBodies() };
    absl::Time now = absl::FromUnixSeconds(1000);
    std::uint64_t requests = 0;

    CrashReports crash(CrashEvidence &to, SuspectKey key, const std::string &endpoint)
    {
        return to.noteCrash({ key }, ++requests, base::EndpointId(endpoint), now);
    }
    CrashReports crash(const std::string &endpoint) { return crash(list, body, endpoint); }
    bool isRefused() const { return list.isRefused(body, now); }
};

BOOST_FIXTURE_TEST_SUITE(BodyCrashEvidenceTest, BodyFixture)

BOOST_AUTO_TEST_CASE(body_inFlightOnTwoCrashes_isRefused)
{
    crash("a");
    BOOST_TEST(!isRefused());
    BOOST_TEST(list.isSuspected(body, now));
    crash("b");
    BOOST_TEST(isRefused());
    BOOST_TEST(list.crashedEndpoints(body).size() == 2u);
    BOOST_TEST(!list.isSuspected(8, now));
}

BOOST_AUTO_TEST_CASE(body_answeredBetweenOrAfterCrashes_isNotRefused)
{
    crash("a");
    BOOST_TEST(list.noteSuccess({ body }, now).successes.size() == 1u);
    now += absl::Seconds(6);
    crash("b");
    BOOST_TEST(!isRefused());
    crash("c");
    BOOST_TEST(!isRefused()); // Was answered: more crashes are needed.
    list.noteSuccess({ body }, now);
    BOOST_TEST(list.size() == 0u);
}

// The answer was forgotten before the crashes, which refused the body from then on.
BOOST_AUTO_TEST_CASE(answer_expiresBeforeCrashes_stillCounts)
{
    list.noteSuccess({ body }, now);
    now += absl::Minutes(29);
    crash("a");
    crash("b");
    for (int minute = 0; minute < 30; ++minute) {
        list.expire(now);
        BOOST_TEST(!isRefused());
        now += absl::Minutes(1);
    }
}

BOOST_AUTO_TEST_CASE(answer_forgottenForOthersDuringCrashes_stillCounts)
{
    CrashEvidenceOptions options = CrashEvidenceOptions::ofBodies();
    options.capacity = 3;
    list = CrashEvidence(options);
    list.noteSuccess({ body }, now);
    now += absl::Seconds(10);
    crash("a");
    for (SuspectKey other = 100; other < 110; ++other)
        list.noteSuccess({ other }, now);
    crash("b");
    BOOST_TEST(!isRefused());
    const CrashReports reports = list.entries(now, 10);
    BOOST_TEST(reports.crashes.size() == 2u);
    BOOST_TEST(reports.successes.size() == 1u);
}

// Reported as long as its crashes, it must not be ignored for its age.
BOOST_AUTO_TEST_CASE(answer_olderThanRetention_isToldWithItsCrashes)
{
    list.noteSuccess({ body }, now);
    now += absl::Minutes(25);
    crash("a");
    crash("b");
    now += absl::Minutes(20);
    CrashEvidence started { CrashEvidenceOptions::ofBodies() };
    started.merge(list.entries(now, 10), now);
    BOOST_TEST(started.size() == 1u);
    BOOST_TEST(!started.isRefused(body, now));
}

BOOST_AUTO_TEST_CASE(crash_reportedByTwoPeers_countsOnce)
{
    list.merge({ { { body, 1, base::EndpointId("a"), absl::Seconds(1) } }, {} }, now);
    list.merge({ { { body, 2, base::EndpointId("a"), absl::Seconds(3) } }, {} }, now);
    BOOST_TEST(!isRefused());
    list.merge({ { { body, 3, base::EndpointId("b"), absl::Seconds(1) } }, {} }, now);
    BOOST_TEST(isRefused());
}

// A report that was received late, and again, seemed to be of a second crash.
BOOST_AUTO_TEST_CASE(crash_reportedAgainMuchLater_countsOnce)
{
    crash("a");
    const CrashReports reports = list.entries(now, 10);
    BOOST_REQUIRE(reports.crashes.size() == 1u);
    CrashEvidence other { CrashEvidenceOptions::ofBodies() };
    BOOST_TEST(other.merge(reports, now).news.crashes.size() == 1u);
    BOOST_TEST(other.merge(reports, now + absl::Minutes(1)).news.empty());
    BOOST_TEST(!other.isRefused(body, now));
    BOOST_TEST(list.merge(other.entries(now, 10), now + absl::Minutes(1)).news.empty());
    BOOST_TEST(!isRefused());
}

BOOST_AUTO_TEST_CASE(crash_observedByTwoInstancesAndReportedLate_countsOnce)
{
    crash("a");
    CrashEvidence other { CrashEvidenceOptions::ofBodies() };
    const CrashReports reports = crash(other, body, "a");
    BOOST_TEST(list.merge(reports, now + absl::Seconds(1)).news.empty());
    BOOST_TEST(list.merge(reports, now + absl::Minutes(1)).news.empty());
    BOOST_TEST(!isRefused());
}

// Instances told each other of a crash again and again, each time just before its end.
BOOST_AUTO_TEST_CASE(report_closeToRetention_isIgnored)
{
    const CrashEvidenceOptions options = CrashEvidenceOptions::ofBodies();
    const absl::Duration age = options.retention - options.reportMargin / 2;
    const CrashReports reports {
        { { body, 1, base::EndpointId("a"), age }, { body, 2, base::EndpointId("b"), age } }, {}
    };
    BOOST_TEST(list.merge(reports, now).news.empty());
    BOOST_TEST(!isRefused());
    BOOST_TEST(list.size() == 0u);
}

BOOST_AUTO_TEST_CASE(entries_moreThanLimit_areOfRefusedBodiesFirst)
{
    crash("a");
    crash("b");
    now += absl::Seconds(10);
    for (SuspectKey beside = 100; beside < 120; ++beside)
        crash(list, beside, "a");
    const CrashReports reports = list.entries(now, 4);
    BOOST_REQUIRE(reports.crashes.size() == 4u);
    BOOST_TEST(reports.crashes[0].key == body);
    BOOST_TEST(reports.crashes[1].key == body);
    BOOST_TEST(reports.crashes[2].key != body);
}

BOOST_AUTO_TEST_CASE(sameEndpoint_crashedAgainLater_countsTwice)
{
    crash("a");
    now += absl::Minutes(1);
    crash("a");
    BOOST_TEST(isRefused());
}

BOOST_AUTO_TEST_CASE(crashes_beyondRetention_areDroppedAndNotReported)
{
    crash("a");
    BOOST_TEST(list.entries(now, 10).crashes.size() == 1u);
    now += absl::Hours(1);
    BOOST_TEST(!list.isSuspected(body, now));
    BOOST_TEST(list.entries(now, 10).crashes.empty());
    list.expire(now);
    BOOST_TEST(list.size() == 0u);
}

BOOST_AUTO_TEST_CASE(list_full_evictsUnrefusedBodiesFirst)
{
    CrashEvidenceOptions options = CrashEvidenceOptions::ofBodies();
    options.capacity = 2;
    list = CrashEvidence(options);
    crash("a");
    crash("b");
    crash(list, 1, "a");
    now += absl::Minutes(1);
    crash(list, 2, "a");
    BOOST_TEST(list.size() == 2u);
    BOOST_TEST(isRefused());
    BOOST_TEST(list.isSuspected(2, now));
}

BOOST_AUTO_TEST_CASE(trial_rests_growWithCrashesUntilRetention)
{
    const CrashEvidenceOptions options = CrashEvidenceOptions::ofBodies();
    crash("a");
    crash("b");
    for (const absl::Duration rest :
         { options.firstRest, options.firstRest * 10, options.retention }) {
        now += rest - absl::Seconds(1);
        BOOST_TEST((!isRefused() || !list.mayTry(body, now)));
        now += absl::Seconds(1);
        if (rest == options.retention)
            break;
        BOOST_TEST(list.mayTry(body, now));
        BOOST_TEST(list.noteTrial(body, now).trials.size() == 1u);
        BOOST_TEST(!list.mayTry(body, now));
        crash(absl::StrCat("trial", requests));
    }
    list.expire(now);
    BOOST_TEST(!isRefused());
}

BOOST_AUTO_TEST_CASE(trial_atPeer_delaysOwn)
{
    const absl::Duration rest = CrashEvidenceOptions::ofBodies().firstRest;
    CrashEvidence other { CrashEvidenceOptions::ofBodies() };
    crash("a");
    crash("b");
    other.merge(list.entries(now, 10), now);
    now += rest;
    const CrashReports reports = list.noteTrial(body, now);
    BOOST_TEST(other.mayTry(body, now));
    BOOST_TEST(other.merge(reports, now).news.trials.size() == 1u);
    BOOST_TEST(other.merge(reports, now).news.empty());
    BOOST_TEST(!other.mayTry(body, now));
    CrashEvidence started { CrashEvidenceOptions::ofBodies() };
    started.merge(other.entries(now, 10), now);
    BOOST_TEST(started.isRefused(body, now));
    BOOST_TEST(!started.mayTry(body, now));
    now += rest;
    BOOST_TEST(started.mayTry(body, now));
}

struct BodyIncident
{
    static FleetOptions options()
    {
        FleetOptions options;
        options.copies = 3;
        options.evidence = CrashEvidenceOptions::ofBodies();
        options.keysOf = [](const std::vector<PromptSegment> &parts) {
            return std::vector<SuspectKey> { stableDigest(parts.front().id) };
        };
        return options;
    }
};

// Retries at any instance, messages that are late or lost, and instances that restart.
BOOST_AUTO_TEST_CASE(fleet_harmfulBodyComesAgain_reachesFewEndpoints)
{
    for (std::uint32_t seed = 1; seed <= 4; ++seed) {
        Fleet fleet(seed, BodyIncident::options());
        std::size_t restarted = 0;
        for (int i = 0; i < 450; ++i) {
            fleet.run(absl::Milliseconds(200 + fleet.draw(1500)));
            fleet.request(fleet.draw(8), { { "harmful", 1 } }, true);
            if (i % 60 != 59)
                continue;
            const std::size_t instance = restarted++ % 8;
            fleet.restart(instance);
            fleet.list(instance).merge(fleet.list((instance + 1) % 8).entries(fleet.now(), 60),
                                       fleet.now());
        }
        BOOST_TEST(fleet.crashes() >= 3u);
        BOOST_TEST(fleet.lateCrashing(3) <= 3u, "seed " << seed);
    }
}

// Endpoints that end for other reasons, at once or apart, while callers repeat a lookup.
BOOST_AUTO_TEST_CASE(fleet_repeatedLookupLosesEndpoints_isServed)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        FleetOptions options = BodyIncident::options();
        options.endpoints = 24;
        Fleet fleet(seed, options);
        std::size_t refused = 0;
        const auto look = [&] {
            if (fleet.chance(0.2) && !fleet.request(fleet.draw(8), { { "item", 1 } }, false))
                ++refused;
        };
        for (std::size_t i = 0; i < 6; ++i) {
            fleet.run(absl::Seconds(seed % 5 + 3), look);
            fleet.endEndpoint(2 * i);
            if (seed % 2 == 0)
                fleet.run(absl::Seconds(5), look);
            fleet.endEndpoint(2 * i + 1);
        }
        fleet.run(absl::Seconds(20), look);
        BOOST_TEST(refused + fleet.soundRefused() == 0u, "seed " << seed);
    }
}

// Nothing has been answered when the endpoints end; the answers of the other copies come later.
BOOST_AUTO_TEST_CASE(fleet_firstLookupsLoseEndpoints_areServedSoon)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        FleetOptions options = BodyIncident::options();
        options.endpoints = 6;
        Fleet fleet(seed, options);
        std::size_t refused = 0;
        const auto look = [&] {
            if (fleet.chance(0.2) && !fleet.request(fleet.draw(8), { { "item", 1 } }, false))
                ++refused;
        };
        fleet.run(absl::Milliseconds(280), look);
        for (std::size_t i = 0; i < 3; ++i)
            fleet.endEndpoint(i);
        fleet.run(absl::Seconds(60), look);
        refused = 0;
        fleet.run(absl::Seconds(20), look);
        BOOST_TEST(refused == 0u, "seed " << seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
