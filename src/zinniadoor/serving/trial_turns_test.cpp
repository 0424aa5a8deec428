#include "zinniadoor/serving/trial_turns.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace {

using namespace zinniadoor::serving;

struct TurnsFixture
{
    /// Number of instances whose turn it is.
    static std::size_t open(const std::vector<TrialTurns> &instances, absl::Duration waited)
    {
        return static_cast<std::size_t>(
            std::count_if(instances.begin(), instances.end(),
                          [&](const TrialTurns &turns) { return turns.isOpen(waited); }));
    }

    static std::vector<TrialTurns> fleet(std::size_t count)
    {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < count; ++i)
            names.push_back("i" + std::to_string(i));
        std::vector<TrialTurns> instances(count);
        for (std::size_t i = 0; i < count; ++i)
            instances[i].setInstances(names[i], names);
        return instances;
    }

    const TrialTurnsOptions options {};
};

BOOST_FIXTURE_TEST_SUITE(TrialTurnsTest, TurnsFixture)

BOOST_AUTO_TEST_CASE(turn_beforeEndOfWait_isNobodys)
{
    BOOST_TEST(open(fleet(8), -absl::Milliseconds(1)) == 0u);
}

BOOST_AUTO_TEST_CASE(turn_firstStep_isOneInstances)
{
    BOOST_TEST(open(fleet(8), absl::ZeroDuration()) == 1u);
    BOOST_TEST(open(fleet(300), options.step - absl::Milliseconds(1)) == 1u);
}

BOOST_AUTO_TEST_CASE(turn_everyInstance_getsOneInEachRound)
{
    for (const std::size_t count : { 1u, 3u, 8u, 300u }) {
        const auto instances = fleet(count);
        for (const TrialTurns &turns : instances) {
            bool hasTurn = false;
            for (std::size_t second = 0; second < 2 * count; ++second)
                hasTurn = hasTurn || turns.isOpen(absl::Seconds(second));
            BOOST_TEST(hasTurn);
        }
        const auto most = static_cast<std::size_t>(options.length / options.step);
        for (std::size_t second = 0; second < 4 * count; ++second)
            BOOST_TEST(open(instances, absl::Seconds(second)) <= most);
    }
}

BOOST_AUTO_TEST_CASE(instancesUnknown_turn_isOwn)
{
    BOOST_TEST(TrialTurns().isOpen(absl::ZeroDuration()));
    BOOST_TEST(TrialTurns().isOpen(absl::Hours(1)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
