#include <deque>
#include <random>

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

#include "zinniadoor/gateway/quota.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::gateway;

const base::OrganisationId Org("org");

ConfigurationPtr configurationOf(double rate, double burst, QuotaUnit unit = QuotaUnit::Tokens)
{
    Configuration::Parts parts;
    Organisation organisation;
    organisation.id = Org;
    organisation.unit = unit;
    organisation.ratePerSecond = rate;
    organisation.burst = burst;
    parts.organisations.push_back(organisation);
    return std::make_shared<const Configuration>(std::move(parts));
}

struct SimulationOptions
{
    std::size_t instances = 8;
    double rate = 47000;
    double maxCost = 9000;
    bool faults = true;
    double load = 3; ///< Demand as a multiple of the rate.
    double lossRate = 0; ///< Fraction of lost messages.
    bool restartAll = false; ///< All instances restart at half of the run.
    bool loadStep = false; ///< A seventh of the load during the first third of the run.
};

/// Simulates instances under skewed load that receive each other's counts late, are partitioned in
/// one or both directions, freeze and restart.
class QuotaSimulation
{
public:
    static constexpr double Slack = 190000;
    static constexpr double WindowSeconds = 8;
    static constexpr double Overage = 0.1;
    static constexpr int Ticks = 600;

    QuotaSimulation(std::uint32_t seed, const SimulationOptions &options)
        : random_(seed)
        , options_(options)
        , count_(options.instances)
        , rate_(options.rate)
        , burst_(options.rate)
        , faults_(options.faults)
    {
        for (std::size_t i = 0; i < count_; ++i)
            start(i);
        share_.resize(count_);
        double sum = 0;
        for (double &share : share_)
            sum += share = std::uniform_real_distribution<>(0.1, 1)(random_);
        for (double &share : share_)
            share /= sum;
    }

    void run()
    {
        for (tick_ = 0; tick_ < Ticks; ++tick_) {
            now_ += absl::Milliseconds(50);
            for (std::size_t i = 0; i < count_ && options_.restartAll && tick_ == Ticks / 2; ++i)
                start(i);
            for (std::size_t i = 0; i < count_; ++i)
                step(i);
        }
    }

    /// Maximum consumption in any window beyond what the quota grants.
    double worstExcess() const
    {
        double worst = 0;
        double sum = 0;
        std::size_t first = 0;
        for (const auto &[at, cost] : consumed_) {
            sum += cost;
            while (at - consumed_[first].first > absl::Seconds(WindowSeconds))
                sum -= consumed_[first++].second;
            const double granted = (rate_ * WindowSeconds + burst_) * (1 + Overage) + Slack;
            worst = std::max(worst, sum - granted);
        }
        return worst;
    }
    double admittedShare() const { return admitted_ / std::max(demanded_, 1.0); }

private:
    void start(std::size_t i)
    {
        quotas_.resize(count_);
        incarnation_[i] = static_cast<std::uint64_t>(absl::ToUnixMicros(now_)) + i;
        QuotaOptions options;
        options.slack = Slack;
        options.startBurstShare = 0;
        options.startQuotaShare = 0.25;
        options.start = { incarnation_[i], now_ };
        quotas_[i] = std::make_unique<Quota>(options);
        quotas_[i]->configure(*configurationOf(rate_, burst_));
        lastReceived_[i].clear();
    }

    /// Shortly after its start an instance has not received the membership yet.
    bool isStarting(std::size_t i) const
    {
        const auto age = absl::ToUnixMicros(now_) - static_cast<std::int64_t>(incarnation_.at(i));
        return age < 100000;
    }

    bool chance(double p) { return std::bernoulli_distribution(p)(random_); }

    void step(std::size_t i)
    {
        if (faults_ && chance(0.002))
            frozenUntil_[i] = now_ + absl::Milliseconds(3000);
        if (faults_ && chance(0.002))
            partitionedUntil_[i * count_
                              + std::uniform_int_distribution<std::size_t>(0, count_ - 1)(random_)]
                = now_ + absl::Seconds(5);
        if (faults_ && chance(0.001))
            start(i);
        if (frozenUntil_[i] > now_)
            return;
        if (!isStarting(i))
            receiveCounts(i);
        // Requests of some thousand tokens each, up to the configured load.
        const bool isReduced = options_.loadStep && tick_ < Ticks / 3;
        const double load = options_.load * (isReduced ? 1.0 / 7 : 1);
        double due = rate_ * load * share_[i] * 0.05 + carriedDemand_[i];
        while (due > 0) {
            const double cost = std::uniform_real_distribution<>(500, options_.maxCost)(random_);
            if (due < cost) {
                break;
            }
            due -= cost;
            demanded_ += cost;
            if (!quotas_[i]->tryConsume(Org, cost, now_)) {
                consumed_.emplace_back(now_, cost);
                admitted_ += cost;
            }
        }
        carriedDemand_[i] = due;
    }

    void receiveCounts(std::size_t i)
    {
        Membership membership;
        membership.tracked = static_cast<std::uint32_t>(count_);
        for (std::size_t peer = 0; peer < count_; ++peer) {
            if (peer == i)
                continue;
            const bool isReachable = frozenUntil_[peer] <= now_
                && partitionedUntil_[peer * count_ + i] <= now_ && !isStarting(peer);
            if (isReachable && !chance(options_.lossRate)) {
                lastReceived_[i][peer] = now_;
                quotas_[i]->notePeerCounts({ absl::StrCat(peer), incarnation_[peer] },
                                           quotas_[peer]->ownConsumption(), now_);
            }
            const auto last = lastReceived_[i].find(peer);
            if (last != lastReceived_[i].end() && now_ - last->second <= absl::Milliseconds(1500))
                ++membership.reachable;
        }
        quotas_[i]->setMembership(membership, now_);
    }

    std::mt19937 random_;
    SimulationOptions options_;
    const std::size_t count_;
    const double rate_;
    const double burst_;
    bool faults_;
    int tick_ = 0;
    absl::Time now_ = absl::FromUnixSeconds(1000);
    std::vector<std::unique_ptr<Quota>> quotas_;
    std::vector<double> share_;
    std::map<std::size_t, std::map<std::size_t, absl::Time>> lastReceived_;
    std::map<std::size_t, std::uint64_t> incarnation_;
    std::map<std::size_t, absl::Time> frozenUntil_;
    std::map<std::size_t, absl::Time> partitionedUntil_;
    std::map<std::size_t, double> carriedDemand_;
    std::deque<std::pair<absl::Time, double>> consumed_;
    double demanded_ = 0;
    double admitted_ = 0;
};

BOOST_AUTO_TEST_SUITE(QuotaTest)

BOOST_AUTO_TEST_CASE(quota_partitionsFreezesRestarts_noWindowExceedsGrant)
{
    for (std::uint32_t seed = 1; seed <= 40; ++seed) {
        QuotaSimulation simulation(seed, {});
        simulation.run();
        BOOST_TEST(simulation.worstExcess() <= 0,
                   "seed " << seed << ": " << simulation.worstExcess());
    }
}

BOOST_AUTO_TEST_CASE(quota_allRestartedAtOnce_noWindowExceedsGrant)
{
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
        for (const std::size_t instances : { 8, 24 }) {
            SimulationOptions options;
            options.instances = instances;
            options.rate = 800000;
            options.maxCost = 20000;
            options.faults = false;
            options.restartAll = true;
            QuotaSimulation simulation(seed, options);
            simulation.run();
            BOOST_TEST(simulation.worstExcess() <= 0,
                       "seed " << seed << ": " << simulation.worstExcess());
        }
    }
}

BOOST_AUTO_TEST_CASE(quota_withinRateAndAllReachable_isAdmitted)
{
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
        SimulationOptions options;
        options.faults = false;
        options.load = 0.8;
        QuotaSimulation simulation(seed, options);
        simulation.run();
        BOOST_TEST(simulation.admittedShare() >= 0.995,
                   "seed " << seed << ": " << simulation.admittedShare());
    }
}

// Load pattern: the demand of one organisation rises to several times its rate, on many
// instances at once.
BOOST_AUTO_TEST_CASE(quota_manyInstancesAndLoadStep_noWindowExceedsGrant)
{
    for (std::uint32_t seed = 1; seed <= 2; ++seed) {
        SimulationOptions options;
        options.instances = 88;
        options.rate = 2800000;
        options.maxCost = 40000;
        options.load = 4.2;
        options.lossRate = 0.05;
        options.loadStep = true;
        options.faults = false;
        QuotaSimulation simulation(seed, options);
        simulation.run();
        BOOST_TEST(simulation.worstExcess() <= 0,
                   "seed " << seed << ": " << simulation.worstExcess());
        BOOST_TEST(simulation.admittedShare() > 0.2, "seed " << seed);
    }
}

// Load pattern: single requests are large compared with one instance's share of the quota.
BOOST_AUTO_TEST_CASE(quota_manyInstancesAndLargeRequestsWithinRate_areAdmitted)
{
    for (std::uint32_t seed = 1; seed <= 2; ++seed) {
        SimulationOptions options;
        options.instances = 88;
        options.rate = 300000;
        options.maxCost = 40000;
        options.load = 0.8;
        options.faults = false;
        QuotaSimulation simulation(seed, options);
        simulation.run();
        BOOST_TEST(simulation.admittedShare() >= 0.995,
                   "seed " << seed << ": " << simulation.admittedShare());
    }
}

BOOST_AUTO_TEST_CASE(tryConsume_noLimit_isAlwaysAdmitted)
{
    Quota quota(QuotaOptions {});
    quota.configure(*configurationOf(0, 0));
    for (int i = 0; i < 100; ++i)
        BOOST_TEST(!quota.tryConsume(Org, 1e9, absl::FromUnixSeconds(1)).has_value());
}

BOOST_AUTO_TEST_CASE(tryConsume_overRate_returnsRetryTime)
{
    Quota quota(QuotaOptions {});
    quota.configure(*configurationOf(10, 10, QuotaUnit::Requests));
    const absl::Time now = absl::FromUnixSeconds(1);
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(!quota.tryConsume(Org, 1, now).has_value());
    const auto later = quota.tryConsume(Org, 1, now);
    BOOST_REQUIRE(later.has_value());
    BOOST_TEST((*later > absl::ZeroDuration()));
    BOOST_TEST(!quota.tryConsume(Org, 1, now + *later + absl::Milliseconds(1)).has_value());
}

BOOST_AUTO_TEST_CASE(configure_lowerLimit_takesEffectAtOnce)
{
    Quota quota(QuotaOptions {});
    quota.configure(*configurationOf(1000, 1000, QuotaUnit::Requests));
    const absl::Time now = absl::FromUnixSeconds(1);
    BOOST_TEST(!quota.tryConsume(Org, 1, now).has_value());
    quota.configure(*configurationOf(5, 5, QuotaUnit::Requests));
    int admitted = 0;
    for (int i = 0; i < 100; ++i)
        admitted += quota.tryConsume(Org, 1, now) ? 0 : 1;
    BOOST_TEST(admitted <= 5);
}

BOOST_AUTO_TEST_CASE(tryConsume_noPeerReachable_getsEqualShare)
{
    Quota quota(QuotaOptions {});
    quota.configure(*configurationOf(80, 80, QuotaUnit::Requests));
    const absl::Time now = absl::FromUnixSeconds(1);
    quota.setMembership({ 8, 1 }, now);
    int admitted = 0;
    for (int i = 0; i < 100; ++i)
        admitted += quota.tryConsume(Org, 1, now) ? 0 : 1;
    BOOST_TEST(admitted == 10);
}

BOOST_AUTO_TEST_CASE(tryConsume_consumedByPeer_isRejected)
{
    Quota quota(QuotaOptions {});
    quota.configure(*configurationOf(10, 10, QuotaUnit::Requests));
    const absl::Time now = absl::FromUnixSeconds(1);
    BOOST_TEST(!quota.tryConsume(Org, 1, now).has_value());
    quota.setMembership({ 2, 2 }, now);
    quota.notePeerCounts({ "p", 1 }, { { "org", 500 } }, now); // Baseline.
    BOOST_TEST(!quota.tryConsume(Org, 1, now).has_value());
    quota.notePeerCounts({ "p", 1 }, { { "org", 508 } }, now);
    quota.notePeerCounts({ "p", 1 }, { { "org", 508 } }, now);
    BOOST_TEST(quota.tryConsume(Org, 1, now).has_value());
    quota.notePeerCounts({ "p", 1 }, { { "org", 507 } }, now); // One was refunded.
    BOOST_TEST(!quota.tryConsume(Org, 1, now).has_value());
}

BOOST_AUTO_TEST_CASE(tryConsume_noStartBurstShare_startsEmpty)
{
    QuotaOptions options;
    options.startBurstShare = 0;
    Quota quota(options);
    quota.configure(*configurationOf(10, 10, QuotaUnit::Requests));
    const absl::Time now = absl::FromUnixSeconds(1);
    BOOST_TEST(quota.tryConsume(Org, 1, now).has_value());
    BOOST_TEST(!quota.tryConsume(Org, 1, now + absl::Milliseconds(101)).has_value());
}

BOOST_AUTO_TEST_CASE(tryConsume_peerSilent_deductsEstimatedConsumption)
{
    Quota quota(QuotaOptions {});
    quota.configure(*configurationOf(10, 10, QuotaUnit::Requests));
    quota.setMembership({ 2, 2 }, absl::FromUnixSeconds(1));
    for (int i = 0; i <= 40; ++i) // 10 per second for 4 s: the full rate.
        quota.notePeerCounts({ "p", 1 }, { { "org", i } },
                             absl::FromUnixSeconds(1) + i * absl::Milliseconds(100));
    const absl::Time silent = absl::FromUnixSeconds(6);
    int admitted = 0;
    for (int i = 0; i < 20; ++i)
        admitted += quota.tryConsume(Org, 1, silent) ? 0 : 1;
    BOOST_TEST(admitted < 5); // Of the 10 refilled since its last report it has consumed most.
}

BOOST_AUTO_TEST_CASE(tryConsume_peerRestarted_countsFromZero)
{
    Quota quota(QuotaOptions {});
    quota.configure(*configurationOf(10, 10, QuotaUnit::Requests));
    const absl::Time now = absl::FromUnixSeconds(1);
    BOOST_TEST(!quota.tryConsume(Org, 1, now).has_value());
    quota.notePeerCounts({ "p", 1 }, { { "org", 500 } }, now);
    quota.notePeerCounts({ "p", 2 }, { { "org", 9 } }, now);
    BOOST_TEST(quota.tryConsume(Org, 1, now).has_value());
    quota.notePeerCounts({ "p", 1 }, { { "org", 400 } }, now); // Late.
    BOOST_TEST(quota.tryConsume(Org, 1, now).has_value());
}

BOOST_AUTO_TEST_CASE(notePeerCounts_changedBeforeFullCounts_usesFullCountsAsBaseline)
{
    Quota quota(QuotaOptions {});
    quota.configure(*configurationOf(100, 100, QuotaUnit::Requests));
    const absl::Time now = absl::FromUnixSeconds(1);
    quota.notePeerCounts({ "p", 1 }, { { "another", 7 } }, now, CountsScope::Changed);
    quota.notePeerCounts({ "p", 1 }, { { "org", 5000 }, { "another", 7 } }, now);
    BOOST_TEST(!quota.tryConsume(Org, 90, now).has_value());
    quota.notePeerCounts({ "p", 1 }, { { "org", 5020 } }, now, CountsScope::Changed);
    BOOST_TEST(quota.tryConsume(Org, 11, now).has_value());
}

BOOST_AUTO_TEST_CASE(notePeerCounts_organisationAddedLater_countsFromZero)
{
    Quota quota(QuotaOptions {});
    quota.configure(*configurationOf(100, 100, QuotaUnit::Requests));
    const absl::Time now = absl::FromUnixSeconds(1);
    quota.notePeerCounts({ "p", 1 }, {}, now);
    quota.notePeerCounts({ "p", 1 }, { { "org", 60 } }, now, CountsScope::Changed);
    BOOST_TEST(quota.tryConsume(Org, 41, now).has_value());
}

BOOST_AUTO_TEST_CASE(notePeerCounts_firstReceivedLongAfterStart_isNotChargedForPast)
{
    // As after a change of the leader: its sums started long before its first message here.
    QuotaOptions options;
    options.start = { 5'000'000, absl::FromUnixSeconds(1) };
    Quota quota(options);
    quota.configure(*configurationOf(100, 100, QuotaUnit::Requests));
    const absl::Time now = absl::FromUnixSeconds(60);
    quota.notePeerCounts({ "leader/p", 5'000'000 }, { { "org", 50000 } }, now);
    BOOST_TEST(!quota.tryConsume(Org, 90, now).has_value());
}

BOOST_AUTO_TEST_CASE(retirePeer_afterSilence_chargesOnlyForSilence)
{
    Quota quota(QuotaOptions {});
    quota.configure(*configurationOf(100, 200, QuotaUnit::Requests));
    absl::Time now = absl::FromUnixSeconds(1);
    for (int i = 0; i <= 50; ++i) { // 80 per second.
        now += absl::Milliseconds(100);
        quota.notePeerCounts({ "leader/p", 1 }, { { "org", 8.0 * i } }, now);
    }
    now += absl::Seconds(1);
    quota.retirePeer("leader/p", now);
    BOOST_TEST(!quota.tryConsume(Org, 120, now).has_value()); // 200 less about 70 in that second.
    BOOST_TEST(quota.tryConsume(Org, 30, now).has_value());
    quota.notePeerCounts({ "leader/q", 1 }, { { "org", 5000 } }, now);
    now += absl::Seconds(3);
    BOOST_TEST(!quota.tryConsume(Org, 190, now).has_value());
}

BOOST_AUTO_TEST_CASE(tryConsume_peerSilentForLong_deductsNothing)
{
    Quota quota(QuotaOptions {});
    quota.configure(*configurationOf(100, 100, QuotaUnit::Requests));
    absl::Time now = absl::FromUnixSeconds(1);
    for (int i = 0; i <= 10; ++i) {
        quota.notePeerCounts({ "p", 1 }, { { "org", 10.0 * i } }, now);
        now += absl::Milliseconds(100);
    }
    now += absl::Seconds(30); // Gone; the bucket is full again.
    BOOST_TEST(!quota.tryConsume(Org, 99, now).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
