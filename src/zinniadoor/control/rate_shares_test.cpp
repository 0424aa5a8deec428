#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "support/share_simulation.hpp"

using namespace zinniadoor;
using namespace zinniadoor::control;
using namespace zinniadoor::tests;

namespace {

Organisation organisation(const std::string &id, double rate, double burst)
{
    Organisation result;
    result.id = base::OrganisationId(id);
    result.ratePerSecond = rate;
    result.burst = burst;
    return result;
}

struct Fixture
{
    ShareSimulationOptions options;

    Fixture() { options.organisations = { organisation("large", 40, 80) }; }
};

/// Random choices derived from the seed, so that a failing case can be repeated.
class RandomChoice
{
public:
    explicit RandomChoice(std::uint64_t seed)
        : random_(seed)
    { }
    int upTo(int maximum) { return std::uniform_int_distribution<int>(0, maximum)(random_); }
    double fraction() { return std::uniform_real_distribution<double>(0, 1)(random_); }

private:
    std::mt19937_64 random_;
};

constexpr double LargestTestedDrift = 0.95 * MaxClockDrift;
constexpr absl::Duration RunTime = absl::Seconds(60);

void addFault(ShareSimulation &world, RandomChoice &choice, absl::Duration when)
{
    const int instance = choice.upTo(7);
    const int other = choice.upTo(7);
    const absl::Duration length = absl::Seconds(0.1 + 30 * choice.fraction() * choice.fraction());
    switch (choice.upTo(7)) {
    case 0:
        world.at(when, [&world, instance] { world.kill(instance); });
        world.at(when + length / 4, [&world, instance] { world.restart(instance); });
        break;
    case 1:
    case 2:
        world.at(when, [&world, instance, length] { world.freeze(instance, length); });
        break;
    case 3:
        world.at(when, [&world, instance, other] { world.setPartitioned(instance, other, true); });
        world.at(when + length,
                 [&world, instance, other] { world.setPartitioned(instance, other, false); });
        break;
    case 4:
        world.at(when, [&world, instance] { world.setLogPartitioned(instance, true); });
        world.at(when + length, [&world, instance] { world.setLogPartitioned(instance, false); });
        break;
    case 5:
        world.at(when, [&world, instance] { world.stop(instance); });
        world.at(when + length, [&world, instance] { world.restart(instance); });
        break;
    case 6:
        world.at(when, [&world] { world.setLogAvailable(false); });
        world.at(when + length, [&world] { world.setLogAvailable(true); });
        break;
    default:
        world.at(when,
                 [&world, instance] { world.burst(instance, base::OrganisationId("large"), 200); });
        break;
    }
}

ShareSimulationOptions randomOptions(std::uint64_t seed, RandomChoice &choice)
{
    ShareSimulationOptions options;
    options.seed = seed;
    options.step = absl::Milliseconds(20);
    const double rate = 2 + 60 * choice.fraction();
    options.organisations
        = { organisation("large", rate, 5 + 150 * choice.fraction()), organisation("small", 4, 5) };
    options.weights.clear();
    for (int i = 0; i < 8; ++i)
        options.weights.push_back(choice.upTo(3) == 0 ? 8 : 1);
    options.offeredFraction = 0.3 + 3 * choice.fraction();
    options.clockDrift = LargestTestedDrift;
    options.lossProbability = 0.2 * choice.fraction();
    options.duplicationProbability = 0.3 * choice.fraction();
    options.delayProbability = 0.1 * choice.fraction();
    return options;
}

std::string runRandomWorld(std::uint64_t seed, int faults)
{
    RandomChoice choice(seed);
    ShareSimulation world(randomOptions(seed, choice));
    for (int i = 0; i < faults; ++i)
        addFault(world, choice, RunTime * choice.fraction());
    world.runUntil(RunTime);
    return world.violation();
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(RateSharesTest, Fixture)

BOOST_AUTO_TEST_CASE(admissions_randomTrafficAndFaults_neverAboveRateAndBurst)
{
    const bool passed = rc::check("admitted ≤ rate × t + burst in every interval", [] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000'000);
        const auto faults = *rc::gen::inRange(0, 30);
        const std::string violation = runRandomWorld(seed, faults);
        RC_LOG() << "seed " << seed << " faults " << faults << ": " << violation << std::endl;
        RC_ASSERT(violation.empty());
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(skewedTraffic_at80PercentOfRate_isAdmittedLikeBySingleBucket)
{
    for (const double burst : { 5.0, 40.0, 200.0 }) {
        options.organisations = { organisation("large", 40, burst) };
        options.weights = { 8, 1, 1, 1, 1, 1, 1, 1 };
        ShareSimulation world(options);
        world.runUntil(absl::Minutes(2));
        world.takeCounts();
        world.runUntil(absl::Minutes(3));
        const RequestCounts tally = world.takeCounts();
        BOOST_TEST(tally.admitted >= 0.995 * static_cast<double>(tally.admittedByGlobalBucket));
        BOOST_TEST(world.violation() == "");
    }
}

BOOST_AUTO_TEST_CASE(instance_crashed_itsSlotIsReclaimedWithin30Seconds)
{
    ShareSimulation world(options);
    world.runUntil(absl::Minutes(2));
    BOOST_TEST(world.slotsInUse() == 8);
    world.kill(3);
    world.runUntil(absl::Minutes(2) + absl::Seconds(1));
    BOOST_TEST(world.slotsInUse() == 7);
    world.runUntil(absl::Minutes(2) + absl::Seconds(30));
    BOOST_TEST(world.slotsInUse() == 8);
}

BOOST_AUTO_TEST_CASE(log_unavailableForTenMinutes_allSlotsStayInUse)
{
    options.step = absl::Milliseconds(20);
    options.organisations = { organisation("large", 5, 80) };
    ShareSimulation world(options);
    world.runUntil(absl::Minutes(2));
    world.setLogAvailable(false);
    world.runUntil(absl::Minutes(12));
    BOOST_TEST(world.slotsInUse() == 8);
}

BOOST_AUTO_TEST_CASE(poolHolder_lostDuringLogOutage_othersAdmitFromTheirOwnSlots)
{
    options.organisations = { organisation("small", 4, 5) };
    ShareSimulation world(options);
    world.runUntil(absl::Minutes(2));
    world.setLogAvailable(false);
    for (int i = 0; i < 8; ++i) {
        if (world.hasBorrowedMost(i, base::OrganisationId("small")))
            world.kill(i);
    }
    world.runUntil(absl::Minutes(2) + absl::Seconds(15));
    world.takeCounts();
    world.runUntil(absl::Minutes(4));
    const RequestCounts tally = world.takeCounts();
    BOOST_TEST(tally.admitted >= 0.8 * static_cast<double>(tally.admittedByGlobalBucket));
    BOOST_TEST(world.violation() == "");
}

BOOST_AUTO_TEST_CASE(request_unknownOrganisationOrAboveBurst_isRejected)
{
    RateShares shares({ base::InstanceId("one") });
    const absl::Time now = absl::FromUnixSeconds(1000);
    shares.setOrganisations(options.organisations, now);
    const Admission unknown = shares.admit(base::OrganisationId("unknown"), 1, now);
    BOOST_TEST((unknown.verdict == Verdict::Refused));
    const Admission large = shares.admit(base::OrganisationId("large"), 81, now);
    BOOST_TEST((large.verdict == Verdict::Refused));
}

BOOST_AUTO_TEST_SUITE_END()
