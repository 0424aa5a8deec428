#include "zinniadoor/serving/role_plan.hpp"

#include <map>
#include <random>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace {

using namespace zinniadoor;
using namespace zinniadoor::serving;
using control::Role;

struct RolePlanFixture
{
    RoleInputs inputs;
    absl::Time now = absl::FromUnixSeconds(1000);

    RolePlanFixture()
    {
        for (int i = 0; i < 20; ++i) {
            PlannedEngine engine;
            engine.id = base::EndpointId("e" + std::to_string(i));
            engine.dataCentre = base::DataCentreId("dc" + std::to_string(i % 3));
            engine.role = i < 4 ? Role::Prefill : Role::Decode;
            inputs.engines.push_back(engine);
        }
        setDemand(3, 13);
    }

    /// Sets the demands, in engines.
    void setDemand(double prefill, double decode)
    {
        inputs.prefillDemand = prefill * inputs.enginePrefillRate;
        inputs.decodeDemand = decode * inputs.engineDecodeRate;
    }

    int countPrefill() const
    {
        int count = 0;
        for (const PlannedEngine &engine : inputs.engines)
            count += engine.role == Role::Prefill ? 1 : 0;
        return count;
    }

    /// Runs a planner for `seconds` with immediate role changes. Returns the number of changes.
    int run(RolePlanner &planner, int seconds, double noise = 0)
    {
        std::mt19937 random(7);
        std::uniform_real_distribution<double> factor(1 - noise, 1 + noise);
        const RoleInputs base = inputs;
        int changes = 0;
        for (int second = 0; second < seconds; ++second) {
            now += absl::Seconds(1);
            inputs.prefillDemand = base.prefillDemand * factor(random);
            inputs.decodeDemand = base.decodeDemand * factor(random);
            for (const RoleOrder &order : planner.plan(inputs, now)) {
                ++changes;
                for (PlannedEngine &engine : inputs.engines) {
                    if (engine.id == order.endpoint)
                        engine.role = order.role;
                }
            }
        }
        return changes;
    }
};

BOOST_FIXTURE_TEST_SUITE(RolePlanTest, RolePlanFixture)

BOOST_AUTO_TEST_CASE(forecast_matchingSplitWithNoise_changesNothing)
{
    const auto planner = forecastRolePlanner({});
    BOOST_TEST(run(*planner, 600, 0.2) == 0);
}

BOOST_AUTO_TEST_CASE(forecast_demandShiftsAndReverts_followsBothTimes)
{
    const auto planner = forecastRolePlanner({});
    run(*planner, 30);
    setDemand(8, 9);
    const int forward = run(*planner, 90);
    BOOST_TEST(countPrefill() >= 9);
    setDemand(3, 13);
    const int back = run(*planner, 90);
    BOOST_TEST(countPrefill() <= 5);
    BOOST_TEST(forward + back <= 14);
}

BOOST_AUTO_TEST_CASE(static_demandShifts_changesNothing)
{
    setDemand(8, 9);
    BOOST_TEST(run(*staticRolePlanner(), 60) == 0);
}

BOOST_AUTO_TEST_CASE(threshold_demandShifts_follows)
{
    setDemand(8, 9);
    BOOST_TEST(run(*thresholdRolePlanner({}), 90) > 0);
    BOOST_TEST(countPrefill() > 6);
}

// For any demand, engines change role only after their dwell time, the limit of concurrent changes
// per data centre holds, and each role keeps an engine.
BOOST_AUTO_TEST_CASE(planners_anyDemand_respectDwellAndLimits)
{
    const bool holds = rc::check([] {
        const bool isForecast = *rc::gen::arbitrary<bool>();
        const RolePlanOptions options;
        const auto planner
            = isForecast ? forecastRolePlanner(options) : thresholdRolePlanner(options);
        RolePlanFixture fixture;
        std::map<std::string, absl::Time> changedAt;
        std::map<std::string, absl::Time> busyUntil;
        const auto demands
            = *rc::gen::container<std::vector<std::pair<std::uint8_t, std::uint8_t>>>(
                rc::gen::arbitrary<std::pair<std::uint8_t, std::uint8_t>>());
        for (const auto &[prefill, decode] : demands) {
            fixture.now += absl::Seconds(1);
            fixture.setDemand(prefill / 10.0, decode / 10.0);
            for (PlannedEngine &engine : fixture.inputs.engines)
                engine.isChanging = fixture.now < busyUntil[engine.id.str()];
            std::map<std::string, std::uint32_t> changing;
            for (const PlannedEngine &engine : fixture.inputs.engines)
                changing[engine.dataCentre.str()] += engine.isChanging ? 1 : 0;
            for (const RoleOrder &order : planner->plan(fixture.inputs, fixture.now)) {
                const std::string id = order.endpoint.str();
                const auto before = changedAt.find(id);
                RC_ASSERT(before == changedAt.end()
                          || fixture.now - before->second >= options.dwell);
                changedAt[id] = fixture.now;
                busyUntil[id] = fixture.now + absl::Seconds(5);
                RC_ASSERT(++changing[order.dataCentre.str()] <= options.maxChangingPerDataCentre);
                for (PlannedEngine &engine : fixture.inputs.engines) {
                    if (engine.id == order.endpoint)
                        engine.role = order.role;
                }
            }
            const int prefillCount = fixture.countPrefill();
            RC_ASSERT(prefillCount >= 1);
            RC_ASSERT(prefillCount < 20);
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
