#include "zinniadoor/serving/crash_evidence.hpp"

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

#include "crash_fleet.hpp"
#include "zinniadoor/serving/engine_view.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::serving;
using serving::test::Fleet;
using serving::test::FleetOptions;
using serving::test::Step;

/// One organisation's requests: all begin with the same part, two more are of a common set.
std::vector<PromptSegment> promptOf(Fleet &fleet, const std::string &first, int own)
{
    return { { first, 4000 },
             { absl::StrCat("common", fleet.draw(10)), 500 },
             { absl::StrCat("common", fleet.draw(10)), 500 },
             { absl::StrCat("own", own), 100 } };
}

/// Sound requests at 40/s and, while `crashing`, others with the part "crash" at 2/s, at any
/// instance and behind any of the shared parts.
struct Incident
{
    explicit Incident(std::uint32_t seed, const FleetOptions &options = {})
        : fleet(seed, options)
    { }

    std::size_t anyInstance() { return fleet.draw(8); }
    bool isDue(double perSecond) { return fleet.chance(perSecond * absl::ToDoubleSeconds(Step)); }
    void sendSound(const std::string &first)
    {
        if (!fleet.request(anyInstance(), promptOf(fleet, first, ++own), false))
            ++refused;
    }

    void run(absl::Duration time)
    {
        fleet.run(time, [this] {
            if (isDue(40 - soundPerSecond))
                sendSound("other");
            if (isDue(soundPerSecond))
                sendSound("first");
            if (!crashing || !isDue(2))
                return;
            std::vector<PromptSegment> prompt = promptOf(fleet, "first", ++own);
            prompt.insert(prompt.begin() + 1 + fleet.draw(3), PromptSegment { "crash", 300 });
            fleet.request(anyInstance(), prompt, true);
        });
    }

    std::size_t soundRefused() const { return refused + fleet.soundRefused(); }

    Fleet fleet;
    bool crashing = false;
    double soundPerSecond = 40; ///< Of requests with the same first part as the crashing ones.
    std::size_t refused = 0;
    int own = 0;
};

struct EvidenceFixture
{
    std::vector<SuspectKey> part { 7 };
    CrashEvidence list { CrashEvidenceOptions {} };
    absl::Time now = absl::FromUnixSeconds(1000);

    /// Each crash is of another request and endpoint, half a second after the one before.
    void crash(CrashEvidence &to, const std::vector<SuspectKey> &parts, int times)
    {
        for (int i = 0; i < times; ++i) {
            now += absl::Milliseconds(500);
            ++crashes;
            to.noteCrash(parts, crashes, base::EndpointId(absl::StrCat("e", crashes)), now);
        }
    }
    bool isRefused(const CrashEvidence &in) const { return in.refusedKey(part, now).has_value(); }

    std::uint64_t crashes = 0;
};

BOOST_FIXTURE_TEST_SUITE(CrashEvidenceTest, EvidenceFixture)

BOOST_AUTO_TEST_CASE(sharedPartKeys_sameIdBehindOtherParts_hasSameKeyWithoutLastPart)
{
    const auto keys = sharedPartKeys({ { "a", 1 }, { "b", 2 }, { "a", 1 }, { "own", 3 } });
    BOOST_TEST(keys.size() == 2u);
    const auto moved = sharedPartKeys({ { "c", 9 }, { "b", 4 }, { "b", 1 } });
    BOOST_TEST(moved.size() == 2u);
    BOOST_TEST(moved[1] == keys[1]);
    BOOST_TEST(keys[0] == stableDigest("a"));
    BOOST_TEST(sharedPartKeys({ { "own", 1 } }).empty());
    BOOST_TEST(sharedPartKeys({}).empty());
}

BOOST_AUTO_TEST_CASE(part_crashedThreeEndpoints_isRefused)
{
    crash(list, part, 2);
    BOOST_TEST(!isRefused(list));
    crash(list, part, 1);
    BOOST_TEST(isRefused(list));
    BOOST_TEST((list.refusedKey({ 1, 7, 9 }, now) == std::optional<SuspectKey>(7)));
    BOOST_TEST(!list.refusedKey({ 1, 9 }, now).has_value());
}

BOOST_AUTO_TEST_CASE(crash_reportedByTwoPeersAndHere_countsOnce)
{
    const base::EndpointId endpoint("e");
    list.noteCrash(part, 1, endpoint, now);
    for (int i = 0; i < 3; ++i) {
        now += absl::Milliseconds(700);
        list.merge({ { { 7, 2 + std::uint64_t(i), endpoint, absl::Milliseconds(100) } }, {} }, now);
    }
    crash(list, part, 1);
    BOOST_TEST(!isRefused(list));
    crash(list, part, 1);
    BOOST_TEST(isRefused(list));
}

// An instance that was frozen reads old messages, whose ages don't include the wait.
BOOST_AUTO_TEST_CASE(crash_reportedAgainMuchLater_countsOnce)
{
    crash(list, part, 2);
    const CrashReports reports = list.entries(now, 8);
    for (int i = 0; i < 5; ++i) {
        now += absl::Seconds(6);
        list.merge(reports, now);
        BOOST_TEST(!isRefused(list));
    }
    BOOST_TEST(list.entries(now, 8).crashes.size() == 2u);
}

BOOST_AUTO_TEST_CASE(endpoint_crashedAgainLater_countsAgain)
{
    for (std::uint64_t request = 1; request <= 3; ++request) {
        BOOST_TEST(!isRefused(list));
        now += absl::Seconds(4);
        list.noteCrash(part, request, base::EndpointId("e"), now);
    }
    BOOST_TEST(isRefused(list));
}

BOOST_AUTO_TEST_CASE(request_retriedAlone_doesNotConvictItsParts)
{
    for (int i = 0; i < 40; ++i) {
        now += absl::Seconds(1);
        list.noteCrash(part, 5, base::EndpointId(absl::StrCat("e", i)), now);
        BOOST_TEST(!isRefused(list));
    }
    now += absl::Seconds(1);
    list.noteCrash(part, 6, base::EndpointId("other"), now);
    BOOST_TEST(isRefused(list));
}

BOOST_AUTO_TEST_CASE(part_answeredBeforeOrAfterCrashes_isNotRefused)
{
    list.noteSuccess(part, now);
    crash(list, part, 9); // Within 5 s after the answer.
    BOOST_TEST(!isRefused(list));
    BOOST_TEST(list.size() == 0u);
    now += absl::Seconds(1);
    crash(list, part, 3);
    BOOST_TEST(list.size() == 1u);
    BOOST_TEST(list.noteSuccess(part, now).successes.size() == 1u);
    BOOST_TEST(list.size() == 0u);
}

BOOST_AUTO_TEST_CASE(part_answeredMinutesAgo_isRefusedAfterMoreCrashes)
{
    list.noteSuccess(part, now);
    now += absl::Minutes(2);
    crash(list, part, 5);
    BOOST_TEST(!isRefused(list));
    crash(list, part, 1);
    BOOST_TEST(isRefused(list));
}

BOOST_AUTO_TEST_CASE(answeredPart_crashesBesideRefusedPart_isNotRefused)
{
    list.noteSuccess(part, now);
    now += absl::Minutes(2);
    crash(list, { 7, 8 }, 6);
    BOOST_TEST(!isRefused(list));
    BOOST_TEST(list.refusedKey({ 8 }, now).has_value());
}

BOOST_AUTO_TEST_CASE(success_ofPartWithoutCrashes_isNotAnnounced)
{
    for (int i = 0; i < 20; ++i) {
        now += absl::Seconds(1);
        BOOST_TEST(list.noteSuccess({ 1, 2, 3 }, now).empty());
    }
}

BOOST_AUTO_TEST_CASE(success_afterCrash_isAnnouncedAgainWithinShortTimeOnly)
{
    crash(list, part, 1);
    std::size_t announced = 0;
    for (int i = 0; i < 6000; ++i) {
        now += absl::Milliseconds(10);
        announced += list.noteSuccess(part, now).successes.size();
    }
    BOOST_TEST(announced >= 2u);
    BOOST_TEST(announced <= 20u);
}

BOOST_AUTO_TEST_CASE(crash_ofTrustedPart_isNotReported)
{
    list.noteSuccess({ 1 }, now);
    now += absl::Seconds(1);
    const CrashReports reports = list.noteCrash({ 1, 7 }, 3, base::EndpointId("e"), now);
    BOOST_REQUIRE(reports.crashes.size() == 1u);
    BOOST_TEST(reports.crashes[0].key == 7u);
    BOOST_TEST(reports.crashes[0].request == 3u);
    BOOST_TEST(reports.successes.empty());
}

BOOST_AUTO_TEST_CASE(instance_neverSawSuccess_isCorrectedByPeer)
{
    CrashEvidence peer { CrashEvidenceOptions {} };
    peer.noteSuccess(part, now);
    crash(list, part, 3);
    BOOST_TEST(isRefused(list));
    const CrashReports reply = peer.merge(list.entries(now, 8), now).reply;
    BOOST_REQUIRE(reply.successes.size() == 1u);
    // At most once in a short time.
    BOOST_TEST(peer.merge(list.entries(now, 8), now).reply.empty());
    BOOST_TEST(list.merge(reply, now).reply.empty());
    BOOST_TEST(!isRefused(list));
    BOOST_TEST(list.size() == 0u);
}

BOOST_AUTO_TEST_CASE(restartedInstance_receivedEntries_refuses)
{
    crash(list, part, 3);
    crash(list, { 8 }, 2);
    crash(list, { 9 }, 1);
    CrashEvidence restarted { CrashEvidenceOptions {} };
    now += absl::Minutes(1);
    const CrashReports reports = list.entries(now, 4);
    BOOST_REQUIRE(reports.crashes.size() == 4u);
    for (std::size_t i = 0; i < 3; ++i)
        BOOST_TEST(reports.crashes[i].key == 7u); // The refused part first.
    BOOST_TEST(reports.crashes[3].key == 9u); // Then the newest.
    BOOST_TEST(restarted.merge(reports, now).reply.empty());
    BOOST_TEST(isRefused(restarted));
    BOOST_TEST(!restarted.refusedKey({ 8, 9 }, now).has_value());
}

BOOST_AUTO_TEST_CASE(entries_ofPartAnsweredEarlier_includeItsSuccess)
{
    list.noteSuccess(part, now);
    now += absl::Minutes(1);
    crash(list, part, 3);
    CrashEvidence restarted { CrashEvidenceOptions {} };
    restarted.merge(list.entries(now, 8), now);
    BOOST_TEST(!isRefused(list));
    BOOST_TEST(!isRefused(restarted));
}

BOOST_AUTO_TEST_CASE(conviction_afterRetention_ends)
{
    crash(list, part, 3);
    now += absl::Minutes(10) - absl::Seconds(2);
    BOOST_TEST(isRefused(list));
    now += absl::Seconds(2);
    BOOST_TEST(!isRefused(list));
    BOOST_TEST(list.entries(now, 8).crashes.empty());
    list.expire(now);
    BOOST_TEST(list.size() == 0u);
}

// Without a margin, two instances that report to each other would never forget a crash: each
// receives it with the delay of a message added.
BOOST_AUTO_TEST_CASE(instances_reportToEachOther_forgetAfterRetention)
{
    Fleet fleet(1, {});
    for (std::uint64_t i = 0; i < 3; ++i) {
        fleet.list(0).noteCrash(part, i, base::EndpointId(absl::StrCat("e", i)), fleet.now());
        fleet.run(absl::Seconds(1));
    }
    fleet.run(absl::Seconds(5));
    for (std::size_t i = 0; i < 8; ++i)
        BOOST_TEST(fleet.list(i).refusedKey(part, fleet.now()).has_value());
    fleet.run(absl::Minutes(10), [&] {
        for (std::size_t i = 0; i < 8; ++i)
            fleet.list(i).expire(fleet.now());
    });
    for (std::size_t i = 0; i < 8; ++i)
        BOOST_TEST(fleet.list(i).size() == 0u);
}

BOOST_AUTO_TEST_CASE(list_full_evictsUnrefusedPartsFirst)
{
    CrashEvidenceOptions options;
    options.capacity = 3;
    list = CrashEvidence(options);
    crash(list, part, 3);
    for (SuspectKey other = 100; other < 150; ++other) {
        crash(list, { other }, 2);
        BOOST_TEST(list.size() <= 3u);
        BOOST_TEST(isRefused(list));
    }
    BOOST_TEST(list.entries(now, 100).crashes.size() == 7u);
}

BOOST_AUTO_TEST_CASE(answeredParts_moreThanCapacity_oldestAreForgotten)
{
    CrashEvidenceOptions options;
    options.capacity = 3;
    list = CrashEvidence(options);
    for (const SuspectKey answered : { 7, 1, 2, 1, 3 })
        list.noteSuccess({ answered }, now);
    BOOST_TEST(list.noteCrash({ 1, 2, 3 }, 1, base::EndpointId("e"), now).empty());
    BOOST_TEST(list.noteCrash(part, 1, base::EndpointId("e"), now).crashes.size() == 1u);
}

BOOST_AUTO_TEST_CASE(fleet_oneCrashingPart_isRefusedOnAllAndSoundRequestsAreServed)
{
    for (std::uint32_t seed = 1; seed <= 40; ++seed) {
        Incident incident(seed);
        incident.run(absl::Seconds(10));
        incident.crashing = true;
        incident.run(absl::Seconds(20));
        BOOST_TEST(incident.fleet.crashes() >= 3u);
        BOOST_TEST(incident.fleet.lateCrashing() <= 3u, "seed " << seed);
        BOOST_TEST(incident.fleet.isRefusedOnAll({ { "crash", 1 }, { "own", 1 } }));
        BOOST_TEST(incident.soundRefused() == 0u, "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(fleet_instancesRestartDuringIncident_lateCrashingRequestsStayBounded)
{
    for (std::uint32_t seed = 1; seed <= 40; ++seed) {
        FleetOptions options;
        options.copies = 3;
        Incident incident(seed, options);
        incident.run(absl::Seconds(10));
        incident.crashing = true;
        incident.run(absl::Seconds(15));
        for (std::size_t instance = 0; instance < 8; instance += 3) {
            // A restarted instance takes requests once it has heard its peers.
            incident.fleet.restart(instance);
            incident.fleet.list(instance).merge(
                incident.fleet.list(instance + 1).entries(incident.fleet.now(), 8),
                incident.fleet.now());
            incident.run(absl::Seconds(5));
        }
        BOOST_TEST(incident.fleet.lateCrashing() <= 3u, "seed " << seed);
        BOOST_TEST(incident.soundRefused() == 0u, "seed " << seed);
    }
}

// Between two sound requests the first part has more crashes than any part needs to be refused.
BOOST_AUTO_TEST_CASE(fleet_soundRequestsOfCrashingOrganisationAreRare_areServed)
{
    for (std::uint32_t seed = 1; seed <= 40; ++seed) {
        Incident incident(seed);
        incident.soundPerSecond = 1.0 / 7;
        incident.sendSound("first");
        incident.run(absl::Seconds(30));
        incident.crashing = true;
        incident.run(absl::Seconds(60));
        BOOST_TEST(incident.fleet.lateCrashing() <= 3u, "seed " << seed);
        BOOST_TEST(incident.soundRefused() == 0u, "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(fleet_sixEndpointsEndTogether_nothingIsRefused)
{
    for (std::uint32_t seed = 1; seed <= 40; ++seed) {
        FleetOptions options;
        options.endpoints = 12;
        Incident incident(seed, options);
        incident.run(absl::Seconds(seed % 10 + 1));
        for (std::size_t endpoint = 0; endpoint < 6; ++endpoint)
            incident.fleet.endEndpoint(endpoint);
        incident.run(absl::Seconds(10));
        BOOST_TEST(incident.soundRefused() == 0u, "seed " << seed);
    }
}

// Nothing has been answered yet anywhere.
BOOST_AUTO_TEST_CASE(fleet_sixEndpointsEndTogetherAfterStart_nothingIsRefused)
{
    for (std::uint32_t seed = 1; seed <= 40; ++seed) {
        FleetOptions options;
        options.endpoints = 12;
        Incident incident(seed, options);
        incident.run(absl::Milliseconds(280));
        for (std::size_t endpoint = 0; endpoint < 6; ++endpoint)
            incident.fleet.endEndpoint(endpoint);
        incident.run(absl::Seconds(10));
        BOOST_TEST(incident.soundRefused() == 0u, "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(fleet_rareSoundPartLosesEndpoints_isNotRefused)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        Fleet fleet(seed, {});
        std::size_t refused = 0;
        for (int i = 0; i < 86; ++i) { // 10 minutes.
            const std::size_t instance = fleet.draw(8);
            CrashEvidence &served = fleet.list(instance);
            refused += served.refusedKey(part, fleet.now()) ? 1 : 0;
            fleet.run(absl::Seconds(7));
            fleet.serve(instance, part, static_cast<std::uint64_t>(i), fleet.chance(0.1));
        }
        BOOST_TEST(refused == 0u, "seed " << seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
