#include <map>

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

#include "zinniadoor/serving/fleet_plan.hpp"
#include "zinniadoor/serving/placement.hpp"
#include "zinniadoor/serving/stage_plan.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::serving;

struct PlacementFixture
{
    static EngineInfo engine(const std::string &id, bool isPrefill)
    {
        EngineInfo info;
        info.id = base::EndpointId(id);
        info.dataCentre = base::DataCentreId("dc");
        info.service = "s";
        info.isPrefillEngine = isPrefill;
        info.slots = 128;
        info.kvTokens = 1000000;
        return info;
    }

    void setEngines(std::size_t prefillCount, std::size_t decodeCount)
    {
        std::vector<EngineInfo> engines;
        for (std::size_t i = 0; i < prefillCount; ++i)
            engines.push_back(engine(absl::StrCat("r", i), true));
        for (std::size_t i = 0; i < decodeCount; ++i)
            engines.push_back(engine(absl::StrCat("w", i), false));
        view.setEngines(engines);
    }

    void setEnginesWithKvTransfer(std::size_t prefillCount, std::size_t decodeCount)
    {
        setEngines(prefillCount, decodeCount);
        std::vector<EngineInfo> engines = view.engines();
        for (EngineInfo &info : engines)
            info.copyTokensPerMs = 760;
        view.setEngines(engines);
    }

    PlacementRequest prompt(const std::string &shared, std::uint32_t sharedTokens,
                            std::uint32_t ownTokens)
    {
        PlacementRequest request;
        request.service = "s";
        request.segments
            = keySegments({ { shared, sharedTokens }, { absl::StrCat("own", ++own), ownTokens } });
        request.promptTokens = sharedTokens + ownTokens;
        return request;
    }

    EnginePlan place(const PlacementRequest &request)
    {
        const auto plan
            = placePrompt(request, view, timings, now, [](const EngineInfo &) { return true; });
        BOOST_REQUIRE(plan.has_value());
        return *plan;
    }

    const absl::Time now = absl::FromUnixSeconds(1000);
    EngineView view;
    EngineTimings timings;
    std::size_t own = 0;
};

BOOST_FIXTURE_TEST_SUITE(PlacementTest, PlacementFixture)

BOOST_AUTO_TEST_CASE(placePrompt_sameSharedPrefix_choosesSameEngineOnAnyInstance)
{
    setEngines(8, 4);
    EngineView other;
    other.setEngines(view.engines());
    for (int i = 0; i < 20; ++i) {
        const PlacementRequest request = prompt(absl::StrCat("part", i), 13000, 4000);
        const EnginePlan here = place(request);
        const auto there
            = placePrompt(request, other, timings, now, [](const EngineInfo &) { return true; });
        BOOST_TEST(here.prefillEngine.value_or(here.decodeEngine).str()
                   == there->prefillEngine.value_or(there->decodeEngine).str());
    }
}

// Load pattern: long prompts with shared prefixes, half of the engines on decode.
BOOST_AUTO_TEST_CASE(placePrompt_manyDecodeEngines_sharedPrefixesGoToPrefillEngines)
{
    setEngines(6, 6);
    for (int i = 0; i < 40; ++i) {
        const EnginePlan plan = place(prompt(absl::StrCat("part", i), 13000, 3700));
        BOOST_TEST(plan.prefillEngine.has_value(),
                   "prefix " << i << " is computed on " << plan.decodeEngine.str());
    }
}

// Load pattern: long prompts occupy the prefill engines while short ones arrive.
BOOST_AUTO_TEST_CASE(placePrompt_highRemoteOverhead_shortPromptsUseLocalPrefill)
{
    setEngines(4, 4);
    timings.localPrefillOverhead = absl::Milliseconds(50);
    timings.remotePrefillOverhead = absl::Milliseconds(350);
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(!place(prompt(absl::StrCat("part", i), 90, 300)).prefillEngine.has_value());
    timings.remotePrefillOverhead = absl::Milliseconds(20);
    for (const char *decodeEngine : { "w0", "w1", "w2", "w3" }) {
        for (int i = 0; i < 30; ++i)
            view.addLoad(base::EndpointId(decodeEngine), EngineLoad::ofRequest(0, 0));
    }
    BOOST_TEST(place(prompt("part", 90, 300)).prefillEngine.has_value());
}

// Load pattern: more concurrent prompts with one prefix than one engine can prefill.
BOOST_AUTO_TEST_CASE(placePrompt_engineWithPrefixIsBusy_anotherFetchesThePrefix)
{
    setEnginesWithKvTransfer(6, 6);
    const PlacementRequest first = prompt("a", 13000, 3700);
    const base::EndpointId holder = place(first).prefillEngine.value();
    view.recordSegments(holder, first.segments);
    BOOST_TEST(!place(prompt("a", 13000, 3700)).kvSource.has_value());
    view.addLoad(holder, EngineLoad::ofRequest(60000, 0));
    const EnginePlan plan = place(prompt("a", 13000, 3700));
    BOOST_TEST(plan.prefillEngine.value().str() != holder.str());
    BOOST_REQUIRE(plan.kvSource.has_value());
    BOOST_TEST(plan.kvSource->str() == holder.str());
    BOOST_TEST(plan.uncachedTokens == 3700u);
}

// Load pattern: instances that have not received the cache updates of others, and a busy affinity
// engine.
BOOST_AUTO_TEST_CASE(placePrompt_noEngineKnownToHavePrefix_fetchesFromAffinityEngine)
{
    setEnginesWithKvTransfer(6, 6);
    const PlacementRequest request = prompt("a", 13000, 3700);
    const base::EndpointId affinityEngine = place(request).prefillEngine.value();
    view.addLoad(affinityEngine, EngineLoad::ofRequest(100000, 0));
    const EnginePlan plan = place(request);
    BOOST_TEST(plan.prefillEngine.value().str() != affinityEngine.str());
    BOOST_TEST(plan.kvSource.value().str() == affinityEngine.str());
    BOOST_TEST(plan.uncachedTokens == 16700u); // The transfer may fail.
}

BOOST_AUTO_TEST_CASE(placePrompt_enginesWithoutKvTransfer_haveNoKvSource)
{
    setEngines(6, 6);
    const PlacementRequest request = prompt("a", 13000, 3700);
    BOOST_TEST(!place(request).kvSource.has_value());
    view.recordSegments(base::EndpointId("w0"), request.segments);
    BOOST_TEST(!place(prompt("a", 13000, 3700)).kvSource.has_value());
}

// Load pattern: short prompts on many instances that have not received each other's updates.
BOOST_AUTO_TEST_CASE(placePrompt_manyShortPromptsWithoutUpdates_areSpread)
{
    constexpr std::size_t PrefillEngines = 40;
    constexpr std::size_t DecodeEngines = 10;
    constexpr int Prompts = 2000;
    setEngines(PrefillEngines, DecodeEngines);
    std::map<std::string, int> prefills;
    std::map<std::string, int> decodes;
    for (int i = 0; i < Prompts; ++i) {
        const EnginePlan plan = place(prompt(absl::StrCat("part", i % 400), 140, 1100));
        if (plan.prefillEngine)
            ++prefills[plan.prefillEngine->str()];
        ++decodes[plan.decodeEngine.str()];
    }
    for (const auto &[id, count] : prefills)
        BOOST_TEST(count < 3 * Prompts / static_cast<int>(PrefillEngines),
                   id << " prefills " << count);
    for (const auto &[id, count] : decodes)
        BOOST_TEST(count < 2 * Prompts / static_cast<int>(DecodeEngines),
                   id << " decodes " << count);
}

BOOST_AUTO_TEST_CASE(placePrompt_prefixIsCached_computesOnlyTheRest)
{
    setEngines(8, 4);
    const PlacementRequest first = prompt("a", 13000, 4000);
    const EnginePlan plan = place(first);
    view.recordSegments(plan.prefillEngine.value_or(plan.decodeEngine), first.segments);
    const EnginePlan next = place(prompt("a", 13000, 3000));
    BOOST_TEST(next.prefillEngine.value_or(next.decodeEngine).str()
               == plan.prefillEngine.value_or(plan.decodeEngine).str());
    BOOST_TEST(next.uncachedTokens == 3000u);
}

BOOST_AUTO_TEST_CASE(placePrompt_affinityEngineIsBusy_choosesAnother)
{
    setEngines(8, 4);
    const EnginePlan before = place(prompt("a", 13000, 4000));
    const base::EndpointId affinityEngine = before.prefillEngine.value_or(before.decodeEngine);
    view.addLoad(affinityEngine, EngineLoad::ofRequest(400000, 0));
    const EnginePlan after = place(prompt("a", 13000, 4000));
    BOOST_TEST(after.prefillEngine.value_or(after.decodeEngine).str() != affinityEngine.str());
}

BOOST_AUTO_TEST_CASE(placePrompt_lessUrgentWorkQueued_doesNotDelayUrgentPrompt)
{
    setEngines(1, 1);
    view.addLoad(base::EndpointId("r0"), EngineLoad::ofRequest(400000, 2));
    PlacementRequest urgent = prompt("a", 13000, 4000);
    urgent.rank = 0;
    PlacementRequest deferable = urgent;
    deferable.rank = 2;
    BOOST_TEST(place(urgent).prefillEngine.has_value());
    BOOST_TEST((place(urgent).timeToFirstToken < absl::Milliseconds(300)));
    BOOST_TEST(!place(deferable).prefillEngine.has_value()); // Local prefill avoids the queue.
}

BOOST_AUTO_TEST_CASE(placePrompt_decodeEnginesAreBusy_longPromptUsesRemotePrefill)
{
    setEngines(2, 2);
    for (const char *decodeEngine : { "w0", "w1" })
        for (int i = 0; i < 30; ++i)
            view.addLoad(base::EndpointId(decodeEngine), EngineLoad::ofRequest(0, 0));
    BOOST_TEST(place(prompt("a", 13000, 4000)).prefillEngine.has_value());
}

// Replays a burst of long prompts with shared prefixes from all instances at once.
BOOST_AUTO_TEST_CASE(placePrompt_burstOfSharedPrefixes_computesLessThanBalancingByLoad)
{
    const auto tokensComputed = [this](bool byLoadAlone) {
        setEngines(12, 6);
        EngineView replay;
        replay.setEngines(view.engines());
        std::uint64_t computed = 0;
        for (int i = 0; i < 3000; ++i) {
            PlacementRequest request = prompt(absl::StrCat("part", i * 7919 % 300), 13000, 4000);
            PlacementRequest placed = request;
            if (byLoadAlone) // Hides the shared prefixes.
                placed.segments = keySegments({ { absl::StrCat("x", i), request.promptTokens } });
            const auto plan = placePrompt(placed, replay, timings, now,
                                          [](const EngineInfo &) { return true; });
            const base::EndpointId engine = plan->prefillEngine.value_or(plan->decodeEngine);
            computed += request.promptTokens - replay.cachedTokens(engine, request.segments);
            replay.recordSegments(engine, request.segments);
            replay.addLoad(
                engine, EngineLoad::ofRequest(static_cast<std::uint32_t>(plan->uncachedTokens), 0));
            if (i % 17 == 16) { // The requests placed so far have finished.
                for (const EngineInfo &info : replay.engines())
                    replay.removeLoad(info.id, replay.ownLoad(info.id));
            }
        }
        return computed;
    };
    const std::uint64_t byLoad = tokensComputed(true);
    const std::uint64_t byPrefix = tokensComputed(false);
    BOOST_TEST(byPrefix * 2 < byLoad, byPrefix << " tokens against " << byLoad);
}

BOOST_AUTO_TEST_CASE(load_peerWithoutUpdates_expires)
{
    setEngines(1, 1);
    const base::EndpointId id("w0");
    view.setPeerLoad(base::InstanceId("p"), { { id, EngineLoad::ofRequest(100, 0) } }, now);
    BOOST_TEST(view.load(id, now).tokensAhead(0) == 100u);
    BOOST_TEST(view.load(id, now + absl::Seconds(3)).tokensAhead(0) == 0u);
}

BOOST_AUTO_TEST_CASE(recordSegments_beyondCapacity_evictsLeastRecentlyUsed)
{
    setEngines(1, 1);
    const base::EndpointId id("w0");
    for (int i = 0; i < 100; ++i)
        view.recordSegments(id, keySegments({ { absl::StrCat("p", i), 20000 } }));
    BOOST_TEST(view.cachedTokens(id, keySegments({ { "p0", 20000 } })) == 0u);
    BOOST_TEST(view.cachedTokens(id, keySegments({ { "p99", 20000 } })) == 20000u);
}

BOOST_AUTO_TEST_CASE(cachedTokens_laterSegmentWithoutEarlier_countsNothing)
{
    setEngines(1, 1);
    const base::EndpointId id("w0");
    view.recordSegments(id, keySegments({ { "a", 10 }, { "b", 10 } }));
    BOOST_TEST(view.cachedTokens(id, keySegments({ { "b", 10 } })) == 0u);
    BOOST_TEST(view.cachedTokens(id, keySegments({ { "a", 10 }, { "c", 10 } })) == 10u);
}

BOOST_AUTO_TEST_CASE(planFleet_regularFleet_isKeptUntilReclaimableEndpointsServe)
{
    const FleetLimits limits { 1, 12 };
    const FleetPolicy policy; // 2 regular and 10 reclaimable of 12.
    auto plan = planFleet({ { "a", { { 6, 0 } } } }, limits, policy);
    BOOST_TEST((plan["a"] == FleetCounts { 6, 6 }));
    plan = planFleet({ { "a", { { 6, 6 } } } }, limits, policy);
    BOOST_TEST(plan["a"].regular == 2u);
    BOOST_TEST(plan["a"].reclaimable >= 6u);
    plan = planFleet({ { "a", { { 2, 6 } } } }, limits, policy);
    BOOST_TEST((plan["a"] == FleetCounts { 2, 10 }));
}

BOOST_AUTO_TEST_CASE(planFleet_anyCounts_staysWithinLimits)
{
    const FleetLimits limits { 1, 12 };
    const FleetPolicy policy; // 2 regular and 10 reclaimable of 12.
    for (std::uint32_t regular = 0; regular <= 12; ++regular) {
        for (std::uint32_t reclaimable = 0; reclaimable <= 12; ++reclaimable) {
            for (const bool unavailable : { false, true }) {
                const auto plan = planFleet({ { "a", { { regular, reclaimable }, unavailable } } },
                                            limits, policy);
                const FleetCounts counts = plan.at("a");
                BOOST_TEST(counts.regular + counts.reclaimable <= limits.maximum);
                BOOST_TEST(counts.regular >= limits.minimum);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(planFleet_minimumAboveMaximum_staysWithinMaximum)
{
    for (const FleetLimits limits : { FleetLimits { 5, 3 }, FleetLimits { 4294967295, 0 } }) {
        for (const bool unavailable : { false, true }) {
            const auto plan
                = planFleet({ { "a", { { 1, 1 }, unavailable } } }, limits, FleetPolicy {});
            BOOST_TEST(plan.at("a").regular + plan.at("a").reclaimable <= limits.maximum);
        }
    }
}

// Load pattern: a data centre loses its reclaimable engines and the platform has none for a while.
BOOST_AUTO_TEST_CASE(planFleet_reclaimableUnavailable_regularEndpointsReplaceThem)
{
    const FleetLimits limits { 1, 12 };
    const FleetPolicy policy; // 2 and 10 of 12; regular ones replace 4 of 10.
    auto plan = planFleet({ { "a", { { 2, 0 }, true } } }, limits, policy);
    BOOST_TEST((plan["a"] == FleetCounts { 6, 6 }));
    plan = planFleet({ { "a", { { 6, 0 }, true } } }, limits, policy); // The replacements serve.
    BOOST_TEST((plan["a"] == FleetCounts { 6, 6 }));
    plan = planFleet({ { "a", { { 6, 0 }, false } } }, limits,
                     policy); // The platform accepted an order.
    BOOST_TEST((plan["a"] == FleetCounts { 6, 6 }));
    plan = planFleet({ { "a", { { 6, 6 }, false } } }, limits, policy);
    BOOST_TEST(plan["a"].regular == 2u);
}

// Load pattern: short answers on engines with few slots.
BOOST_AUTO_TEST_CASE(planStages_enginesWithFewSlots_assignsMoreToDecode)
{
    for (const auto &[slots, decodeEngines] :
         std::map<std::uint32_t, std::size_t> { { 8, 8 }, { 16, 6 }, { 24, 4 }, { 128, 3 } }) {
        std::vector<StagedEngine> engines;
        for (int i = 0; i < 12; ++i)
            engines.push_back({ base::EndpointId(absl::StrCat("e", i)), base::DataCentreId("a"),
                                true, true, slots });
        BOOST_TEST(planStages(engines, {}).size() == decodeEngines, slots << " slots");
    }
}

BOOST_AUTO_TEST_CASE(planStages_enoughDecodeEngines_newRegularEnginesChangeNothing)
{
    std::vector<StagedEngine> engines;
    for (int i = 0; i < 6; ++i)
        engines.push_back(
            { base::EndpointId(absl::StrCat("w", i)), base::DataCentreId("a"), true, false, 16 });
    for (int i = 0; i < 6; ++i)
        engines.push_back(
            { base::EndpointId(absl::StrCat("r", i)), base::DataCentreId("a"), false, true, 16 });
    BOOST_TEST(planStages(engines, {}).empty());
}

BOOST_AUTO_TEST_CASE(planStages_mixedEngines_regularOnesDecodeAndFewChange)
{
    const StagePolicy policy;
    std::vector<StagedEngine> engines;
    for (int i = 0; i < 12; ++i)
        engines.push_back(
            { base::EndpointId(absl::StrCat("e", i)), base::DataCentreId("a"), i >= 2, true, 128 });
    const auto changes = planStages(engines, policy);
    for (const StageChange &change : changes) {
        for (StagedEngine &engine : engines) {
            if (engine.id == change.engine)
                engine.isPrefillEngine = change.isPrefillEngine;
        }
    }
    std::size_t decodeEngines = 0;
    for (const StagedEngine &engine : engines)
        decodeEngines += engine.isPrefillEngine ? 0 : 1;
    BOOST_TEST(decodeEngines == 3u);
    BOOST_TEST(!engines[0].isPrefillEngine);
    BOOST_TEST(!engines[1].isPrefillEngine);
    BOOST_TEST(planStages(engines, policy).empty());
}

BOOST_AUTO_TEST_CASE(planStages_dataCentreWithOneEngine_assignsItToDecode)
{
    const auto changes
        = planStages({ { base::EndpointId("e"), base::DataCentreId("a"), true, true } }, {});
    BOOST_REQUIRE(changes.size() == 1u);
    BOOST_TEST(!changes[0].isPrefillEngine);
}

BOOST_AUTO_TEST_CASE(decodeEngines_fewSlots_areNotOverfilledWhileOthersHaveRoom)
{
    // Load pattern: long prompts and short answers on engines with few slots.
    std::vector<EngineInfo> engines { engine("r0", true) };
    for (std::size_t i = 0; i < 3; ++i) {
        engines.push_back(engine(absl::StrCat("w", i), false));
        engines.back().slots = 16;
        engines.back().dataCentre = base::DataCentreId(i == 0 ? "dc" : "elsewhere");
    }
    view.setEngines(engines);
    std::map<std::string, int> running;
    for (int i = 0; i < 48; ++i) {
        const EnginePlan plan = place(prompt(absl::StrCat("p", i), 13000, 3000));
        BOOST_REQUIRE(plan.prefillEngine.has_value());
        ++running[plan.decodeEngine.str()];
        view.addLoad(plan.decodeEngine, EngineLoad::ofRequest(0, 0));
    }
    for (const auto &[id, requests] : running)
        BOOST_TEST(requests <= 16, id);
    const absl::Duration free = place(prompt("q", 13000, 3000)).timeToFirstToken;
    for (int i = 0; i < 32; ++i)
        view.addLoad(base::EndpointId(absl::StrCat("w", i % 3)), EngineLoad::ofRequest(0, 0));
    BOOST_TEST(
        (place(prompt("q", 13000, 3000)).timeToFirstToken > free)); // Includes the wait for a slot.
}

BOOST_AUTO_TEST_CASE(peerLoads_updatedAndExpired_sumToLatestReports)
{
    const base::EndpointId engine("w0");
    absl::Time at = now;
    for (int round = 0; round < 5; ++round) {
        for (int peer = 0; peer < 30; ++peer) {
            view.setPeerLoad(base::InstanceId(absl::StrCat("p", peer)),
                             { { engine, EngineLoad::ofRequest(100 * peer, 1) } }, at);
        }
        at += absl::Milliseconds(300);
    }
    view.setPeerLoad(base::InstanceId("p29"), {}, at);
    BOOST_TEST(view.load(engine, at).requests == 29u);
    BOOST_TEST(view.load(engine, at).promptTokens[1] == 100u * 28 * 29 / 2);
    at += absl::Milliseconds(2000);
    view.setPeerLoad(base::InstanceId("p1"), { { engine, EngineLoad::ofRequest(7, 0) } }, at);
    at += absl::Milliseconds(500); // The loads of all other peers have expired.
    BOOST_TEST(view.load(engine, at).requests == 1u);
    BOOST_TEST(view.load(engine, at).promptTokens[0] == 7u);
    BOOST_TEST(view.load(engine, at + absl::Seconds(10)).requests == 0u);
}

// Guards against a request that stays in, or leaves, its data centre being handed over to the
// other.
BOOST_AUTO_TEST_CASE(placePrompt_scope_executesWithinItAndCopiesPrefixFromAnywhere)
{
    setEnginesWithKvTransfer(4, 4);
    std::vector<EngineInfo> engines = view.engines();
    std::map<base::EndpointId, std::string> dataCentres;
    for (std::size_t i = 0; i < engines.size(); ++i) {
        engines[i].dataCentre = base::DataCentreId(i % 2 == 0 ? "dc" : "other");
        dataCentres[engines[i].id] = engines[i].dataCentre.str();
    }
    view.setEngines(engines);
    for (const PlacementScope scope : { PlacementScope::Home, PlacementScope::Elsewhere }) {
        const std::string expected = scope == PlacementScope::Home ? "dc" : "other";
        PlacementRequest request = prompt("shared", 13300, 3700);
        request.dataCentre = base::DataCentreId("dc");
        request.scope = scope;
        const EnginePlan plan = place(request);
        BOOST_REQUIRE(plan.prefillEngine.has_value());
        BOOST_TEST(dataCentres[*plan.prefillEngine] == expected);
        BOOST_TEST(dataCentres[plan.decodeEngine] == expected);
        view.recordSegments(*plan.prefillEngine, request.segments);
    }
    view.clearSegments(base::EndpointId("r0"));
    view.clearSegments(base::EndpointId("r2"));
    PlacementRequest request = prompt("shared", 13300, 3700);
    request.dataCentre = base::DataCentreId("dc");
    request.scope = PlacementScope::Home;
    const EnginePlan plan = place(request);
    BOOST_REQUIRE(plan.kvSource.has_value());
    BOOST_TEST(dataCentres[*plan.kvSource] == "other");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
