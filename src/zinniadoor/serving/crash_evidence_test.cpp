#include "zinniadoor/serving/crash_evidence.hpp"

#include <algorithm>
#include <functional>
#include <random>
#include <set>

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

#include "zinniadoor/serving/engine_view.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::serving;

constexpr absl::Duration Step = absl::Milliseconds(10);

struct FleetOptions
{
    std::size_t instances = 8;
    std::size_t endpoints = 200;
    double lossRate = 0.2;
    absl::Duration delay = absl::Milliseconds(250);
    int copies = 1; ///< Number of times that each report is sent.
    bool sendsEntries = true; ///< Each instance sends its entries each second.
    std::function<std::vector<SuspectKey>(const std::vector<PromptSegment> &)> keysOf
        = sharedPartKeys;
    CrashEvidenceOptions evidence;
};

/// Simulates instances that exchange reports by datagrams and serve requests on common endpoints,
/// under a virtual clock. An endpoint ends when it begins to answer a request with a crashing part,
/// with all requests in flight on it. Each instance sends a lost request to another endpoint once.
class Fleet
{
public:
    Fleet(std::uint32_t seed, const FleetOptions &options)
        : options_(options)
        , random_(seed)
        , lists_(options.instances, CrashEvidence(options.evidence))
        , usableAt_(options.endpoints, absl::InfinitePast())
    {
        for (std::size_t instance = 0; instance < options.instances; ++instance)
            setInstances(instance);
    }

    absl::Time now() const { return now_; }
    std::uint32_t draw(std::uint32_t below) { return random_() % below; }
    bool chance(double share) { return std::uniform_real_distribution<>()(random_) < share; }
    CrashEvidence &list(std::size_t instance) { return lists_[instance]; }

    /// Returns false if the request is refused.
    bool request(std::size_t instance, const std::vector<PromptSegment> &parts, bool crashes)
    {
        return send({ instance, options_.keysOf(parts), ++requests_, crashes, 0, 0, now_ });
    }

    /// All requests in flight on an endpoint are lost.
    void endEndpoint(std::size_t endpoint)
    {
        if (now_ < usableAt_[endpoint])
            return;
        usableAt_[endpoint] = now_ + absl::Seconds(30);
        const auto isLost = [&](const Request &request) { return request.endpoint == endpoint; };
        const auto lost = std::stable_partition(inFlight_.begin(), inFlight_.end(),
                                                [&](const Request &r) { return !isLost(r); });
        std::vector<Request> retried(lost, inFlight_.end());
        inFlight_.erase(lost, inFlight_.end());
        for (const Request &request : retried) {
            const base::EndpointId id(absl::StrCat("e", endpoint));
            announce(request.instance,
                     lists_[request.instance].noteCrash(request.keys, request.id, id, now_));
        }
        for (Request &request : retried) {
            if (++request.tries < 2 && !send(request) && !request.crashes)
                ++soundRefused_;
        }
    }

    /// A request is answered at once, or its endpoint ends.
    void serve(std::size_t instance, const std::vector<SuspectKey> &keys, std::uint64_t id,
               bool lost)
    {
        const base::EndpointId endpoint(absl::StrCat("e", id));
        announce(instance,
                 lost ? lists_[instance].noteCrash(keys, id, endpoint, now_)
                      : lists_[instance].noteSuccess(keys, now_));
    }

    void restart(std::size_t instance)
    {
        lists_[instance] = CrashEvidence(options_.evidence);
        setInstances(instance);
        const auto isGone = [&](const Request &request) { return request.instance == instance; };
        inFlight_.erase(std::remove_if(inFlight_.begin(), inFlight_.end(), isGone),
                        inFlight_.end());
    }

    void step()
    {
        now_ += Step;
        for (std::size_t i = 0; i < messages_.size(); ++i) {
            if (messages_[i].at > now_)
                continue;
            const Message message = messages_[i];
            messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(i--));
            announce(message.to, lists_[message.to].merge(message.reports, now_).reply);
        }
        for (std::size_t i = 0; i < inFlight_.size(); ++i) {
            if (inFlight_[i].due > now_)
                continue;
            const Request request = inFlight_[i];
            if (request.crashes) {
                crashedAt_.push_back(now_);
                endEndpoint(request.endpoint);
                i = 0;
                continue;
            }
            inFlight_.erase(inFlight_.begin() + static_cast<std::ptrdiff_t>(i--));
            announce(request.instance, lists_[request.instance].noteSuccess(request.keys, now_));
        }
        if (options_.sendsEntries && (now_ - absl::UnixEpoch()) % absl::Seconds(1) < Step) {
            for (std::size_t i = 0; i < lists_.size(); ++i)
                announce(i, lists_[i].entries(now_, 8));
        }
    }

    void run(
        absl::Duration time, const std::function<void()> &atStep = [] {})
    {
        for (const absl::Time end = now_ + time; now_ < end;) {
            step();
            atStep();
        }
    }

    bool isRefusedOnAll(const std::vector<PromptSegment> &parts) const
    {
        return std::all_of(lists_.begin(), lists_.end(), [&](const CrashEvidence &list) {
            return list.refusedKey(options_.keysOf(parts), now_).has_value();
        });
    }

    std::size_t crashes() const { return crashedAt_.size(); }
    std::size_t soundRefused() const { return soundRefused_; }

    /// Crashing requests that were sent to endpoints later than 3 s after a crash, the fifth one if
    /// not said otherwise.
    std::size_t lateCrashing(std::size_t crash = 5) const
    {
        if (crashedAt_.size() < crash)
            return 0;
        const absl::Time limit = crashedAt_[crash - 1] + absl::Seconds(3);
        return static_cast<std::size_t>(
            std::count_if(crashingSentAt_.begin(), crashingSentAt_.end(),
                          [&](absl::Time sent) { return sent > limit; }));
    }

private:
    void setInstances(std::size_t instance)
    {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < lists_.size(); ++i)
            names.push_back(absl::StrCat("i", i));
        lists_[instance].setInstances(names[instance], names);
    }

    struct Request
    {
        std::size_t instance = 0;
        std::vector<SuspectKey> keys;
        std::uint64_t id = 0;
        bool crashes = false;
        std::size_t endpoint = 0;
        int tries = 0;
        absl::Time due;
    };
    struct Message
    {
        std::size_t to = 0;
        CrashReports reports;
        absl::Time at;
    };

    bool send(Request request)
    {
        CrashEvidence &list = lists_[request.instance];
        if (const auto refused = list.refusedKey(request.keys, now_)) {
            if (request.tries > 0 || !list.mayTry(*refused, now_))
                return false;
            announce(request.instance, list.noteTrial(*refused, now_));
        }
        do {
            request.endpoint = draw(static_cast<std::uint32_t>(usableAt_.size()));
        } while (now_ < usableAt_[request.endpoint]);
        if (request.crashes)
            crashingSentAt_.push_back(now_);
        request.due
            = now_ + absl::Milliseconds(request.crashes ? 50 + draw(200) : 300 + draw(2000));
        inFlight_.push_back(request);
        return true;
    }

    void announce(std::size_t from, const CrashReports &reports)
    {
        if (reports.empty())
            return;
        for (std::size_t to = 0; to < lists_.size(); ++to) {
            for (int copy = 0; to != from && copy < options_.copies; ++copy) {
                const absl::Duration wait = options_.delay + copy * absl::Milliseconds(100);
                CrashReports sent = reports;
                for (SuspectCrash &crash : sent.crashes)
                    crash.age += copy * absl::Milliseconds(100);
                for (SuspectAnswer &success : sent.successes)
                    success.age += copy * absl::Milliseconds(100);
                for (SuspectTrial &trial : sent.trials)
                    trial.age += copy * absl::Milliseconds(100);
                if (!chance(options_.lossRate))
                    messages_.push_back({ to, std::move(sent), now_ + wait });
            }
        }
    }

    FleetOptions options_;
    std::mt19937 random_;
    std::vector<CrashEvidence> lists_;
    std::vector<absl::Time> usableAt_;
    absl::Time now_ = absl::UnixEpoch() + absl::Seconds(1000);
    std::uint64_t requests_ = 0;
    std::vector<Request> inFlight_;
    std::vector<Message> messages_;
    std::vector<absl::Time> crashedAt_;
    std::vector<absl::Time> crashingSentAt_;
    std::size_t soundRefused_ = 0;
};

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
