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

/// What a world is made of.
struct WorldOptions
{
    std::size_t instances = 8;
    double rate = 47000;
    double largestCost = 9000;
    bool faults = true;
    double load = 3; ///< Demand as a part of the rate.
    double lost = 0; ///< Share of messages.
    bool herdRestart = false; ///< All end and start anew at half of the time.
    bool suddenly = false; ///< A seventh of the load before a third of the time has passed.
};

/// Instances that hear late what the others have taken, are cut from each other in one or both
/// directions, freeze and restart, under traffic that is skewed.
class QuotaWorld
{
public:
    static constexpr double Slack = 190000;
    static constexpr double WindowSeconds = 8;
    static constexpr double Overage = 0.1;
    static constexpr int Ticks = 600;

    QuotaWorld(std::uint32_t seed, const WorldOptions &options)
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
            for (std::size_t i = 0; i < count_ && options_.herdRestart && tick_ == Ticks / 2; ++i)
                start(i);
            for (std::size_t i = 0; i < count_; ++i)
                step(i);
        }
    }

    /// Most that any window took beyond what the quota grants it.
    double worstExcess() const
    {
        double worst = 0;
        double sum = 0;
        std::size_t first = 0;
        for (const auto &[at, cost] : taken_) {
            sum += cost;
            while (at - taken_[first].first > absl::Seconds(WindowSeconds))
                sum -= taken_[first++].second;
            const double granted = (rate_ * WindowSeconds + burst_) * (1 + Overage) + Slack;
            worst = std::max(worst, sum - granted);
        }
        return worst;
    }
    double admittedShare() const { return admitted_ / std::max(asked_, 1.0); }

private:
    void start(std::size_t i)
    {
        quotas_.resize(count_);
        incarnation_[i] = static_cast<std::uint64_t>(absl::ToUnixMicros(now_)) + i;
        QuotaOptions options;
        options.slack = Slack;
        options.startShare = 0;
        options.startGroup = 0.25;
        options.start = { incarnation_[i], now_ };
        quotas_[i] = std::make_unique<Quota>(options);
        quotas_[i]->configure(*configurationOf(rate_, burst_));
        heard_[i].clear();
    }

    /// After its start an instance has not read yet who the others are.
    bool isBlind(std::size_t i) const
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
            cut_[i * count_ + std::uniform_int_distribution<std::size_t>(0, count_ - 1)(random_)]
                = now_ + absl::Seconds(5);
        if (faults_ && chance(0.001))
            start(i);
        if (frozenUntil_[i] > now_)
            return;
        if (!isBlind(i))
            hear(i);
        // Requests of some thousand tokens, as many as the load asks for.
        const bool calm = options_.suddenly && tick_ < Ticks / 3;
        const double load = options_.load * (calm ? 1.0 / 7 : 1);
        double due = rate_ * load * share_[i] * 0.05 + left_[i];
        while (due > 0) {
            const double cost
                = std::uniform_real_distribution<>(500, options_.largestCost)(random_);
            if (due < cost) {
                break;
            }
            due -= cost;
            asked_ += cost;
            if (!quotas_[i]->take(Org, cost, now_)) {
                taken_.emplace_back(now_, cost);
                admitted_ += cost;
            }
        }
        left_[i] = due;
    }

    void hear(std::size_t i)
    {
        Membership membership;
        membership.known = static_cast<std::uint32_t>(count_);
        for (std::size_t peer = 0; peer < count_; ++peer) {
            if (peer == i)
                continue;
            const bool reaches
                = frozenUntil_[peer] <= now_ && cut_[peer * count_ + i] <= now_ && !isBlind(peer);
            if (reaches && !chance(options_.lost)) {
                heard_[i][peer] = now_;
                quotas_[i]->notePeer({ absl::StrCat(peer), incarnation_[peer] },
                                     quotas_[peer]->ownTaken(), now_);
            }
            const auto last = heard_[i].find(peer);
            if (last != heard_[i].end() && now_ - last->second <= absl::Milliseconds(1500))
                ++membership.heard;
        }
        quotas_[i]->setMembership(membership, now_);
    }

    std::mt19937 random_;
    WorldOptions options_;
    const std::size_t count_;
    const double rate_;
    const double burst_;
    bool faults_;
    int tick_ = 0;
    absl::Time now_ = absl::FromUnixSeconds(1000);
    std::vector<std::unique_ptr<Quota>> quotas_;
    std::vector<double> share_;
    std::map<std::size_t, std::map<std::size_t, absl::Time>> heard_;
    std::map<std::size_t, std::uint64_t> incarnation_;
    std::map<std::size_t, absl::Time> frozenUntil_;
    std::map<std::size_t, absl::Time> cut_;
    std::map<std::size_t, double> left_;
    std::deque<std::pair<absl::Time, double>> taken_;
    double asked_ = 0;
    double admitted_ = 0;
};

BOOST_AUTO_TEST_SUITE(QuotaTest)

BOOST_AUTO_TEST_CASE(quota_cutsFreezesRestarts_noWindowTakesMoreThanGranted)
{
    for (std::uint32_t seed = 1; seed <= 40; ++seed) {
        QuotaWorld world(seed, {});
        world.run();
        BOOST_TEST(world.worstExcess() <= 0, "seed " << seed << ": " << world.worstExcess());
    }
}

BOOST_AUTO_TEST_CASE(quota_allRestartedAtOnce_noWindowTakesMoreThanGranted)
{
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
        for (const std::size_t instances : { 8, 24 }) {
            WorldOptions options;
            options.instances = instances;
            options.rate = 800000;
            options.largestCost = 20000;
            options.faults = false;
            options.herdRestart = true;
            QuotaWorld world(seed, options);
            world.run();
            BOOST_TEST(world.worstExcess() <= 0, "seed " << seed << ": " << world.worstExcess());
        }
    }
}

BOOST_AUTO_TEST_CASE(quota_withinRateAndAllHeard_isAdmitted)
{
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
        WorldOptions options;
        options.faults = false;
        options.load = 0.8;
        QuotaWorld world(seed, options);
        world.run();
        BOOST_TEST(world.admittedShare() >= 0.995,
                   "seed " << seed << ": " << world.admittedShare());
    }
}

// Load pattern: an organisation that suddenly asks for several times its rate, at many instances.
BOOST_AUTO_TEST_CASE(quota_manyInstancesAndAHotOrganisation_noWindowTakesMoreThanGranted)
{
    for (std::uint32_t seed = 1; seed <= 2; ++seed) {
        WorldOptions options;
        options.instances = 88;
        options.rate = 2800000;
        options.largestCost = 40000;
        options.load = 4.2;
        options.lost = 0.05;
        options.suddenly = true;
        options.faults = false;
        QuotaWorld world(seed, options);
        world.run();
        BOOST_TEST(world.worstExcess() <= 0, "seed " << seed << ": " << world.worstExcess());
        BOOST_TEST(world.admittedShare() > 0.2, "seed " << seed);
    }
}

// Load pattern: requests that are large against the part of one of many instances.
BOOST_AUTO_TEST_CASE(quota_manyInstancesAndLargeRequestsWithinRate_areAdmitted)
{
    for (std::uint32_t seed = 1; seed <= 2; ++seed) {
        WorldOptions options;
        options.instances = 88;
        options.rate = 300000;
        options.largestCost = 40000;
        options.load = 0.8;
        options.faults = false;
        QuotaWorld world(seed, options);
        world.run();
        BOOST_TEST(world.admittedShare() >= 0.995,
                   "seed " << seed << ": " << world.admittedShare());
    }
}

BOOST_AUTO_TEST_CASE(take_noLimit_isAlwaysAdmitted)
{
    Quota quota(QuotaOptions {});
    quota.configure(*configurationOf(0, 0));
    for (int i = 0; i < 100; ++i)
        BOOST_TEST(!quota.take(Org, 1e9, absl::FromUnixSeconds(1)).has_value());
}

BOOST_AUTO_TEST_CASE(take_overRate_saysWhenToComeBack)
{
    Quota quota(QuotaOptions {});
    quota.configure(*configurationOf(10, 10, QuotaUnit::Requests));
    const absl::Time now = absl::FromUnixSeconds(1);
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(!quota.take(Org, 1, now).has_value());
    const auto later = quota.take(Org, 1, now);
    BOOST_REQUIRE(later.has_value());
    BOOST_TEST((*later > absl::ZeroDuration()));
    BOOST_TEST(!quota.take(Org, 1, now + *later + absl::Milliseconds(1)).has_value());
}

BOOST_AUTO_TEST_CASE(configure_lowerLimit_bindsAtOnce)
{
    Quota quota(QuotaOptions {});
    quota.configure(*configurationOf(1000, 1000, QuotaUnit::Requests));
    const absl::Time now = absl::FromUnixSeconds(1);
    BOOST_TEST(!quota.take(Org, 1, now).has_value());
    quota.configure(*configurationOf(5, 5, QuotaUnit::Requests));
    int admitted = 0;
    for (int i = 0; i < 100; ++i)
        admitted += quota.take(Org, 1, now) ? 0 : 1;
    BOOST_TEST(admitted <= 5);
}

BOOST_AUTO_TEST_CASE(instance_hearingNobody_hasItsEqualPart)
{
    Quota quota(QuotaOptions {});
    quota.configure(*configurationOf(80, 80, QuotaUnit::Requests));
    const absl::Time now = absl::FromUnixSeconds(1);
    quota.setMembership({ 8, 1 }, now);
    int admitted = 0;
    for (int i = 0; i < 100; ++i)
        admitted += quota.take(Org, 1, now) ? 0 : 1;
    BOOST_TEST(admitted == 10);
}

BOOST_AUTO_TEST_CASE(take_whatAPeerTook_isGone)
{
    Quota quota(QuotaOptions {});
    quota.configure(*configurationOf(10, 10, QuotaUnit::Requests));
    const absl::Time now = absl::FromUnixSeconds(1);
    BOOST_TEST(!quota.take(Org, 1, now).has_value());
    quota.setMembership({ 2, 2 }, now);
    quota.notePeer({ "p", 1 }, { { "org", 500 } }, now); // Before this instance heard it.
    BOOST_TEST(!quota.take(Org, 1, now).has_value());
    quota.notePeer({ "p", 1 }, { { "org", 508 } }, now);
    quota.notePeer({ "p", 1 }, { { "org", 508 } }, now);
    BOOST_TEST(quota.take(Org, 1, now).has_value());
    quota.notePeer({ "p", 1 }, { { "org", 507 } }, now); // One did not run.
    BOOST_TEST(!quota.take(Org, 1, now).has_value());
}

BOOST_AUTO_TEST_CASE(take_newInstanceWithoutStartShare_beginsEmpty)
{
    QuotaOptions options;
    options.startShare = 0;
    Quota quota(options);
    quota.configure(*configurationOf(10, 10, QuotaUnit::Requests));
    const absl::Time now = absl::FromUnixSeconds(1);
    BOOST_TEST(quota.take(Org, 1, now).has_value());
    BOOST_TEST(!quota.take(Org, 1, now + absl::Milliseconds(101)).has_value());
}

BOOST_AUTO_TEST_CASE(take_peerFallsSilent_itsUseIsTakenToGoOn)
{
    Quota quota(QuotaOptions {});
    quota.configure(*configurationOf(10, 10, QuotaUnit::Requests));
    quota.setMembership({ 2, 2 }, absl::FromUnixSeconds(1));
    for (int i = 0; i <= 40; ++i) // 10 a second for 4 s: the whole rate.
        quota.notePeer({ "p", 1 }, { { "org", i } },
                       absl::FromUnixSeconds(1) + i * absl::Milliseconds(100));
    const absl::Time silent = absl::FromUnixSeconds(6);
    int admitted = 0;
    for (int i = 0; i < 20; ++i)
        admitted += quota.take(Org, 1, silent) ? 0 : 1;
    BOOST_TEST(admitted < 5); // 10 have come since it was heard; it is likely to have taken most.
}

BOOST_AUTO_TEST_CASE(take_peerRestarted_countsFromZero)
{
    Quota quota(QuotaOptions {});
    quota.configure(*configurationOf(10, 10, QuotaUnit::Requests));
    const absl::Time now = absl::FromUnixSeconds(1);
    BOOST_TEST(!quota.take(Org, 1, now).has_value());
    quota.notePeer({ "p", 1 }, { { "org", 500 } }, now);
    quota.notePeer({ "p", 2 }, { { "org", 9 } }, now);
    BOOST_TEST(quota.take(Org, 1, now).has_value());
    quota.notePeer({ "p", 1 }, { { "org", 400 } }, now); // Late.
    BOOST_TEST(quota.take(Org, 1, now).has_value());
}

BOOST_AUTO_TEST_CASE(peer_firstHeardByAChange_isCountedFromWhatItTellsInFull)
{
    Quota quota(QuotaOptions {});
    quota.configure(*configurationOf(100, 100, QuotaUnit::Requests));
    const absl::Time now = absl::FromUnixSeconds(1);
    quota.notePeer({ "p", 1 }, { { "another", 7 } }, now, CountsTold::Changed);
    quota.notePeer({ "p", 1 }, { { "org", 5000 }, { "another", 7 } }, now);
    BOOST_TEST(!quota.take(Org, 90, now).has_value());
    quota.notePeer({ "p", 1 }, { { "org", 5020 } }, now, CountsTold::Changed);
    BOOST_TEST(quota.take(Org, 11, now).has_value());
}

BOOST_AUTO_TEST_CASE(peer_organisationFirstNamedLater_countsFromZero)
{
    Quota quota(QuotaOptions {});
    quota.configure(*configurationOf(100, 100, QuotaUnit::Requests));
    const absl::Time now = absl::FromUnixSeconds(1);
    quota.notePeer({ "p", 1 }, {}, now);
    quota.notePeer({ "p", 1 }, { { "org", 60 } }, now, CountsTold::Changed);
    BOOST_TEST(quota.take(Org, 41, now).has_value());
}

BOOST_AUTO_TEST_CASE(peer_startedTogetherButFirstHeardLater_isNotChargedItsPast)
{
    // As of a leader that takes over: its sums began long before it was heard here.
    QuotaOptions options;
    options.start = { 5'000'000, absl::FromUnixSeconds(1) };
    Quota quota(options);
    quota.configure(*configurationOf(100, 100, QuotaUnit::Requests));
    const absl::Time now = absl::FromUnixSeconds(60);
    quota.notePeer({ "leader/p", 5'000'000 }, { { "org", 50000 } }, now);
    BOOST_TEST(!quota.take(Org, 90, now).has_value());
}

BOOST_AUTO_TEST_CASE(peer_retired_isChargedForItsSilenceAndNoMore)
{
    Quota quota(QuotaOptions {});
    quota.configure(*configurationOf(100, 200, QuotaUnit::Requests));
    absl::Time now = absl::FromUnixSeconds(1);
    for (int i = 0; i <= 50; ++i) { // 80 a second.
        now += absl::Milliseconds(100);
        quota.notePeer({ "leader/p", 1 }, { { "org", 8.0 * i } }, now);
    }
    now += absl::Seconds(1);
    quota.retirePeer("leader/p", now);
    BOOST_TEST(!quota.take(Org, 120, now).has_value()); // 200 less the 70 or so of that second.
    BOOST_TEST(quota.take(Org, 30, now).has_value());
    quota.notePeer({ "leader/q", 1 }, { { "org", 5000 } }, now);
    now += absl::Seconds(3);
    BOOST_TEST(!quota.take(Org, 190, now).has_value());
}

BOOST_AUTO_TEST_CASE(peer_silentForLong_isNotTakenToGoOn)
{
    Quota quota(QuotaOptions {});
    quota.configure(*configurationOf(100, 100, QuotaUnit::Requests));
    absl::Time now = absl::FromUnixSeconds(1);
    for (int i = 0; i <= 10; ++i) {
        quota.notePeer({ "p", 1 }, { { "org", 10.0 * i } }, now);
        now += absl::Milliseconds(100);
    }
    now += absl::Seconds(30); // Gone for good; the level is full again.
    BOOST_TEST(!quota.take(Org, 99, now).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
