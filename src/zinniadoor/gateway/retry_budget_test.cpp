#include <algorithm>
#include <cstddef>
#include <memory>
#include <random>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "zinniadoor/gateway/retry_budget.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::gateway;

/// Simulates instances whose endpoints reject most requests for some seconds, while instances are
/// killed and start again.
struct RetryBudgetFixture
{
    static constexpr std::size_t Instances = 9;
    static constexpr double RequestsPerSecond = 320; ///< Of all instances together.
    static constexpr double Ratio = 0.2;
    static constexpr double Slack = 58;
    static constexpr int TicksPerSecond = 1000;
    static constexpr int WindowTicks = 10 * TicksPerSecond;
    static constexpr int EndTick = 32 * TicksPerSecond;
    static constexpr int MaxAttempts = 4;
    static constexpr double RejectedShare = 0.7;
    static constexpr const char *Service = "service";

    struct Instance
    {
        std::unique_ptr<RetryBudget> budget;
        int startedAt = 0;
        bool knowsOthers = false;
    };

    static absl::Time at(int tick)
    {
        return absl::FromUnixSeconds(1000) + absl::Milliseconds(tick);
    }

    void start(Instance &instance, int tick) const
    {
        instance.budget = std::make_unique<RetryBudget>(
            RetryBudgetOptions { Ratio, Slack, absl::Milliseconds(WindowTicks), 0 });
        instance.startedAt = tick;
        instance.knowsOthers = false;
    }

    void run(std::uint32_t seed)
    {
        random.seed(seed);
        requests.assign(EndTick, 0);
        retries.assign(EndTick, 0);
        std::vector<Instance> instances(Instances);
        for (Instance &instance : instances)
            start(instance, 0);
        std::uniform_real_distribution<double> uniform(0, 1);
        for (int tick = 0; tick < EndTick; ++tick) {
            if (std::find(killTicks.begin(), killTicks.end(), tick) != killTicks.end()) {
                for (Instance &instance : instances) {
                    if (uniform(random) < killedShare)
                        start(instance, tick);
                }
            }
            for (Instance &instance : instances) {
                if (!instance.knowsOthers && tick - instance.startedAt >= discoveryTicks) {
                    instance.budget->setInstances(Instances);
                    instance.knowsOthers = true;
                }
                if (uniform(random) * TicksPerSecond * Instances < RequestsPerSecond)
                    request(*instance.budget, tick, uniform);
            }
        }
    }

    void request(RetryBudget &budget, int tick, std::uniform_real_distribution<double> &uniform)
    {
        ++requests[tick];
        budget.noteRequest(Service, at(tick));
        const bool faulty = tick >= faultFrom && tick < faultUntil;
        for (int attempt = 1; attempt < MaxAttempts; ++attempt) {
            if (!faulty || uniform(random) >= RejectedShare || !budget.take(Service, at(tick)))
                return;
            ++retries[tick];
        }
    }

    static std::vector<double> sumsBefore(const std::vector<int> &counts)
    {
        std::vector<double> sums { 0 };
        for (const int count : counts)
            sums.push_back(sums.back() + count);
        return sums;
    }

    /// Largest excess of the retries of any window over what is allowed in it.
    double largestExcess() const
    {
        const std::vector<double> requestSums = sumsBefore(requests);
        const std::vector<double> retrySums = sumsBefore(retries);
        double largest = -Slack;
        for (std::size_t from = WindowTicks; from + WindowTicks < retrySums.size(); ++from) {
            const std::size_t until = from + WindowTicks;
            const double counted = std::max(requestSums[until] - requestSums[from],
                                            requestSums[from] - requestSums[from - WindowTicks]);
            largest = std::max(largest, retrySums[until] - retrySums[from] - Ratio * counted);
        }
        return largest - Slack;
    }

    std::mt19937 random;
    std::vector<int> requests; ///< By tick.
    std::vector<int> retries; ///< By tick.
    std::vector<int> killTicks;
    double killedShare = 0.8;
    int discoveryTicks = 0; ///< From the start of an instance until it knows the others.
    int faultFrom = 18 * TicksPerSecond;
    int faultUntil = 28 * TicksPerSecond;
};

BOOST_FIXTURE_TEST_SUITE(RetryBudgetTest, RetryBudgetFixture)

BOOST_AUTO_TEST_CASE(retries_instancesKilledRepeatedly_stayWithinSumOfAllInstances)
{
    killTicks = { 19500, 22500, 25500 };
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        run(seed);
        BOOST_TEST(largestExcess() <= 0, "seed " << seed << ": " << largestExcess());
    }
}

BOOST_AUTO_TEST_CASE(retries_allInstancesKilledAfterFirstRetries_stayWithinSumOfAllInstances)
{
    killedShare = 1;
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        killTicks = { faultFrom + 2000 * static_cast<int>(seed) };
        run(seed);
        BOOST_TEST(largestExcess() <= 0, "seed " << seed << ": " << largestExcess());
    }
}

BOOST_AUTO_TEST_CASE(retries_instancesKnowNoOthers_stayWithinSumOfAllInstances)
{
    discoveryTicks = EndTick;
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        run(seed);
        BOOST_TEST(largestExcess() <= 0, "seed " << seed << ": " << largestExcess());
    }
}

BOOST_AUTO_TEST_CASE(retries_noInstanceKilled_stayWithinSumAndUseMostOfIt)
{
    run(1);
    BOOST_TEST(largestExcess() <= 0);
    const double used = sumsBefore(retries).back();
    const double allowed = Ratio * RequestsPerSecond * WindowTicks / TicksPerSecond + Slack;
    BOOST_TEST(used >= 0.7 * allowed);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
