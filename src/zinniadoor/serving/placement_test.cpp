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
    static EngineInfo engine(const std::string &id, bool reads)
    {
        EngineInfo info;
        info.id = base::EndpointId(id);
        info.dataCentre = base::DataCentreId("dc");
        info.service = "s";
        info.isPrefillEngine = reads;
        info.slots = 128;
        info.kvTokens = 1000000;
        return info;
    }

    void setEngines(std::size_t readers, std::size_t writers)
    {
        std::vector<EngineInfo> engines;
        for (std::size_t i = 0; i < readers; ++i)
            engines.push_back(engine(absl::StrCat("r", i), true));
        for (std::size_t i = 0; i < writers; ++i)
            engines.push_back(engine(absl::StrCat("w", i), false));
        view.setEngines(engines);
    }

    void setEnginesThatCopy(std::size_t readers, std::size_t writers)
    {
        setEngines(readers, writers);
        std::vector<EngineInfo> engines = view.engines();
        for (EngineInfo &info : engines)
            info.copyTokensPerMs = 760;
        view.setEngines(engines);
    }

    PlacementRequest prompt(const std::string &shared, std::uint32_t sharedTokens,
                            std::uint32_t ownTokens)
    {
        PlacementRequest facts;
        facts.service = "s";
        facts.segments
            = keySegments({ { shared, sharedTokens }, { absl::StrCat("own", ++own), ownTokens } });
        facts.promptTokens = sharedTokens + ownTokens;
        return facts;
    }

    EnginePlan place(const PlacementRequest &facts)
    {
        const auto plan
            = placePrompt(facts, view, speeds, now, [](const EngineInfo &) { return true; });
        BOOST_REQUIRE(plan.has_value());
        return *plan;
    }

    const absl::Time now = absl::FromUnixSeconds(1000);
    EngineView view;
    EngineTimings speeds;
    std::size_t own = 0;
};

BOOST_FIXTURE_TEST_SUITE(PlacementTest, PlacementFixture)

BOOST_AUTO_TEST_CASE(placePrompt_sameSharedPart_goesToTheSameEngineFromAnyInstance)
{
    setEngines(8, 4);
    EngineView other;
    other.setEngines(view.engines());
    for (int i = 0; i < 20; ++i) {
        const PlacementRequest facts = prompt(absl::StrCat("part", i), 13000, 4000);
        const EnginePlan here = place(facts);
        const auto there
            = placePrompt(facts, other, speeds, now, [](const EngineInfo &) { return true; });
        BOOST_TEST(here.prefillEngine.value_or(here.decodeEngine).str()
                   == there->prefillEngine.value_or(there->decodeEngine).str());
    }
}

// Load pattern: long prompts that share their beginnings, half of the engines writing.
BOOST_AUTO_TEST_CASE(placePrompt_manyWriters_sharedBeginningsAreAtHomeWhereNobodyWrites)
{
    setEngines(6, 6);
    for (int i = 0; i < 40; ++i) {
        const EnginePlan plan = place(prompt(absl::StrCat("part", i), 13000, 3700));
        BOOST_TEST(plan.prefillEngine.has_value(),
                   "beginning " << i << " is read at " << plan.decodeEngine.str());
    }
}

// Load pattern: long prompts fill the engines that read, short ones come beside them.
BOOST_AUTO_TEST_CASE(placePrompt_readersAreSlowWithShortPrompts_theyAreReadInPlace)
{
    setEngines(4, 4);
    speeds.localPrefillOverhead = absl::Milliseconds(50);
    speeds.remotePrefillOverhead = absl::Milliseconds(350);
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(!place(prompt(absl::StrCat("part", i), 90, 300)).prefillEngine.has_value());
    speeds.remotePrefillOverhead = absl::Milliseconds(20);
    for (const char *writer : { "w0", "w1", "w2", "w3" }) {
        for (int i = 0; i < 30; ++i)
            view.addLoad(base::EndpointId(writer), EngineLoad::ofRequest(0, 0));
    }
    BOOST_TEST(place(prompt("part", 90, 300)).prefillEngine.has_value());
}

// Load pattern: more prompts of one beginning at a time than one engine reads.
BOOST_AUTO_TEST_CASE(placePrompt_holderIsBusy_anotherReaderCopiesTheBeginning)
{
    setEnginesThatCopy(6, 6);
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

// Load pattern: instances that have not heard what others had read, and a home that is busy.
BOOST_AUTO_TEST_CASE(placePrompt_nobodyKnownToHoldTheBeginning_firstHomeIsAskedForIt)
{
    setEnginesThatCopy(6, 6);
    const PlacementRequest facts = prompt("a", 13000, 3700);
    const base::EndpointId home = place(facts).prefillEngine.value();
    view.addLoad(home, EngineLoad::ofRequest(100000, 0));
    const EnginePlan plan = place(facts);
    BOOST_TEST(plan.prefillEngine.value().str() != home.str());
    BOOST_TEST(plan.kvSource.value().str() == home.str());
    BOOST_TEST(plan.uncachedTokens == 16700u); // Not counted on.
}

BOOST_AUTO_TEST_CASE(placePrompt_enginesThatCannotCopy_haveNoSource)
{
    setEngines(6, 6);
    const PlacementRequest facts = prompt("a", 13000, 3700);
    BOOST_TEST(!place(facts).kvSource.has_value());
    view.recordSegments(base::EndpointId("w0"), facts.segments);
    BOOST_TEST(!place(prompt("a", 13000, 3700)).kvSource.has_value());
}

// Load pattern: short prompts at many instances that have not heard of each other's choices.
BOOST_AUTO_TEST_CASE(placePrompt_manyShortPromptsUnseenByEachOther_areSpread)
{
    constexpr std::size_t Readers = 40;
    constexpr std::size_t Writers = 10;
    constexpr int Prompts = 2000;
    setEngines(Readers, Writers);
    std::map<std::string, int> readers;
    std::map<std::string, int> writers;
    for (int i = 0; i < Prompts; ++i) {
        const EnginePlan plan = place(prompt(absl::StrCat("part", i % 400), 140, 1100));
        if (plan.prefillEngine)
            ++readers[plan.prefillEngine->str()];
        ++writers[plan.decodeEngine.str()];
    }
    for (const auto &[id, count] : readers)
        BOOST_TEST(count < 3 * Prompts / static_cast<int>(Readers), id << " reads " << count);
    for (const auto &[id, count] : writers)
        BOOST_TEST(count < 2 * Prompts / static_cast<int>(Writers), id << " writes " << count);
}

BOOST_AUTO_TEST_CASE(placePrompt_partIsKept_readsOnlyTheRest)
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

BOOST_AUTO_TEST_CASE(placePrompt_homeIsCrowded_goesElsewhere)
{
    setEngines(8, 4);
    const EnginePlan before = place(prompt("a", 13000, 4000));
    const base::EndpointId home = before.prefillEngine.value_or(before.decodeEngine);
    view.addLoad(home, EngineLoad::ofRequest(400000, 0));
    const EnginePlan after = place(prompt("a", 13000, 4000));
    BOOST_TEST(after.prefillEngine.value_or(after.decodeEngine).str() != home.str());
}

BOOST_AUTO_TEST_CASE(placePrompt_lessUrgentWorkWaits_isNotCountedForAnUrgentPrompt)
{
    setEngines(1, 1);
    view.addLoad(base::EndpointId("r0"), EngineLoad::ofRequest(400000, 2));
    PlacementRequest urgent = prompt("a", 13000, 4000);
    urgent.rank = 0;
    PlacementRequest patient = urgent;
    patient.rank = 2;
    BOOST_TEST(place(urgent).prefillEngine.has_value());
    BOOST_TEST((place(urgent).timeToFirstToken < absl::Milliseconds(300)));
    BOOST_TEST(
        !place(patient).prefillEngine.has_value()); // Sooner in place than behind the others.
}

BOOST_AUTO_TEST_CASE(placePrompt_writersAreBusy_longPromptIsReadApart)
{
    setEngines(2, 2);
    for (const char *writer : { "w0", "w1" })
        for (int i = 0; i < 30; ++i)
            view.addLoad(base::EndpointId(writer), EngineLoad::ofRequest(0, 0));
    BOOST_TEST(place(prompt("a", 13000, 4000)).prefillEngine.has_value());
}

// Replays a burst of long prompts with shared beginnings, from all instances at once.
BOOST_AUTO_TEST_CASE(placePrompt_burstOfSharedPrompts_readsLessThanSpreadingByLoad)
{
    const auto tokensRead = [this](bool byLoadAlone) {
        setEngines(12, 6);
        EngineView replay;
        replay.setEngines(view.engines());
        std::uint64_t read = 0;
        for (int i = 0; i < 3000; ++i) {
            PlacementRequest facts = prompt(absl::StrCat("part", i * 7919 % 300), 13000, 4000);
            PlacementRequest placed = facts;
            if (byLoadAlone) // Hides what prompts share.
                placed.segments = keySegments({ { absl::StrCat("x", i), facts.promptTokens } });
            const auto plan
                = placePrompt(placed, replay, speeds, now, [](const EngineInfo &) { return true; });
            const base::EndpointId engine = plan->prefillEngine.value_or(plan->decodeEngine);
            read += facts.promptTokens - replay.cachedTokens(engine, facts.segments);
            replay.recordSegments(engine, facts.segments);
            replay.addLoad(
                engine, EngineLoad::ofRequest(static_cast<std::uint32_t>(plan->uncachedTokens), 0));
            if (i % 17 == 16) { // What was placed before has been done.
                for (const EngineInfo &info : replay.engines())
                    replay.removeLoad(info.id, replay.ownLoad(info.id));
            }
        }
        return read;
    };
    const std::uint64_t byLoad = tokensRead(true);
    const std::uint64_t byPlace = tokensRead(false);
    BOOST_TEST(byPlace * 2 < byLoad, byPlace << " tokens against " << byLoad);
}

BOOST_AUTO_TEST_CASE(load_ofASilentPeer_isDropped)
{
    setEngines(1, 1);
    const base::EndpointId id("w0");
    view.setPeerLoad(base::InstanceId("p"), { { id, EngineLoad::ofRequest(100, 0) } }, now);
    BOOST_TEST(view.load(id, now).tokensAhead(0) == 100u);
    BOOST_TEST(view.load(id, now + absl::Seconds(3)).tokensAhead(0) == 0u);
}

BOOST_AUTO_TEST_CASE(noteParts_beyondMemory_forgetsTheLeastRecentlyUsed)
{
    setEngines(1, 1);
    const base::EndpointId id("w0");
    for (int i = 0; i < 100; ++i)
        view.recordSegments(id, keySegments({ { absl::StrCat("p", i), 20000 } }));
    BOOST_TEST(view.cachedTokens(id, keySegments({ { "p0", 20000 } })) == 0u);
    BOOST_TEST(view.cachedTokens(id, keySegments({ { "p99", 20000 } })) == 20000u);
}

BOOST_AUTO_TEST_CASE(cachedTokens_laterPartWithoutTheEarlier_countsNothing)
{
    setEngines(1, 1);
    const base::EndpointId id("w0");
    view.recordSegments(id, keySegments({ { "a", 10 }, { "b", 10 } }));
    BOOST_TEST(view.cachedTokens(id, keySegments({ { "b", 10 } })) == 0u);
    BOOST_TEST(view.cachedTokens(id, keySegments({ { "a", 10 }, { "c", 10 } })) == 10u);
}

BOOST_AUTO_TEST_CASE(planFleet_regularFleet_keepsItUntilReclaimableOnesServe)
{
    const FleetLimits limits { 1, 12 };
    const FleetPolicy policy; // 2 and 10 of 12.
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
    const FleetPolicy policy; // 2 and 10 of 12.
    for (std::uint32_t regular = 0; regular <= 12; ++regular) {
        for (std::uint32_t reclaimable = 0; reclaimable <= 12; ++reclaimable) {
            for (const bool lacks : { false, true }) {
                const auto plan
                    = planFleet({ { "a", { { regular, reclaimable }, lacks } } }, limits, policy);
                const FleetCounts counts = plan.at("a");
                BOOST_TEST(counts.regular + counts.reclaimable <= limits.maximum);
                BOOST_TEST(counts.regular >= limits.minimum);
            }
        }
    }
}

// Load pattern: the reclaimable engines of a data centre go and none are to be had for a while.
BOOST_AUTO_TEST_CASE(planFleet_noReclaimableToBeHad_regularOnesStandInUntilTheyServe)
{
    const FleetLimits limits { 1, 12 };
    const FleetPolicy policy; // 2 and 10 of 12; regular ones stand in for 4 of 10.
    auto plan = planFleet({ { "a", { { 2, 0 }, true } } }, limits, policy);
    BOOST_TEST((plan["a"] == FleetCounts { 6, 6 }));
    plan = planFleet({ { "a", { { 6, 0 }, true } } }, limits, policy); // They serve.
    BOOST_TEST((plan["a"] == FleetCounts { 6, 6 }));
    plan = planFleet({ { "a", { { 6, 0 }, false } } }, limits, policy); // An order was accepted.
    BOOST_TEST((plan["a"] == FleetCounts { 6, 6 }));
    plan = planFleet({ { "a", { { 6, 6 }, false } } }, limits, policy);
    BOOST_TEST(plan["a"].regular == 2u);
}

// Load pattern: short answers, of which each engine has few slots.
BOOST_AUTO_TEST_CASE(planStages_enginesWithFewSlots_moreOfThemWrite)
{
    for (const auto &[slots, writers] :
         std::map<std::uint32_t, std::size_t> { { 8, 8 }, { 16, 6 }, { 24, 4 }, { 128, 3 } }) {
        std::vector<StagedEngine> engines;
        for (int i = 0; i < 12; ++i)
            engines.push_back({ base::EndpointId(absl::StrCat("e", i)), base::DataCentreId("a"),
                                true, true, slots });
        BOOST_TEST(planStages(engines, {}).size() == writers, slots << " slots");
    }
}

BOOST_AUTO_TEST_CASE(planStages_enoughWriters_regularNewcomersChangeNothing)
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

BOOST_AUTO_TEST_CASE(planStages_mixedEngines_regularOnesWriteAndFewChange)
{
    const StagePolicy usual;
    std::vector<StagedEngine> engines;
    for (int i = 0; i < 12; ++i)
        engines.push_back(
            { base::EndpointId(absl::StrCat("e", i)), base::DataCentreId("a"), i >= 2, true, 128 });
    const auto changes = planStages(engines, usual);
    for (const StageChange &change : changes) {
        for (StagedEngine &engine : engines) {
            if (engine.id == change.engine)
                engine.isPrefillEngine = change.isPrefillEngine;
        }
    }
    std::size_t writers = 0;
    for (const StagedEngine &engine : engines)
        writers += engine.isPrefillEngine ? 0 : 1;
    BOOST_TEST(writers == 3u);
    BOOST_TEST(!engines[0].isPrefillEngine);
    BOOST_TEST(!engines[1].isPrefillEngine);
    BOOST_TEST(planStages(engines, usual).empty());
}

BOOST_AUTO_TEST_CASE(planStages_dataCentreWithOneEngine_itWrites)
{
    const auto changes
        = planStages({ { base::EndpointId("e"), base::DataCentreId("a"), true, true } }, {});
    BOOST_REQUIRE(changes.size() == 1u);
    BOOST_TEST(!changes[0].isPrefillEngine);
}

BOOST_AUTO_TEST_CASE(writers_fewSlots_areNotFilledBeyondThemWhileOthersHaveRoom)
{
    // The load of long prompts and short answers on engines with few slots.
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
    for (const auto &[writer, requests] : running)
        BOOST_TEST(requests <= 16, writer);
    const absl::Duration free = place(prompt("q", 13000, 3000)).timeToFirstToken;
    for (int i = 0; i < 32; ++i)
        view.addLoad(base::EndpointId(absl::StrCat("w", i % 3)), EngineLoad::ofRequest(0, 0));
    BOOST_TEST((place(prompt("q", 13000, 3000)).timeToFirstToken > free)); // It waits for a slot.
}

BOOST_AUTO_TEST_CASE(peerLoads_toldAgainAndGoneSilent_addUpToWhatWasToldLast)
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
    at += absl::Milliseconds(500); // All others have been silent for too long.
    BOOST_TEST(view.load(engine, at).requests == 1u);
    BOOST_TEST(view.load(engine, at).promptTokens[0] == 7u);
    BOOST_TEST(view.load(engine, at + absl::Seconds(10)).requests == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
