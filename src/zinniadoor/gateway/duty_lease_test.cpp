#include <deque>
#include <random>

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

#include "zinniadoor/gateway/duty_lease.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::gateway;

const LeaseOptions Options { absl::Milliseconds(3000), absl::Milliseconds(450) };

/// Appends that the store has not carried out yet, and their writers.
struct PendingAppend
{
    LeaseRecord record;
    LogOffset expectedEnd = 0;
    std::size_t writer = 0;
    absl::Time at;
    bool answered = true;
};

struct Instance
{
    DutyLease lease;
    absl::Time frozenUntil;
    absl::Time nextRead;
    absl::Time lastAppend = absl::InfinitePast();
    bool waiting = false;
    std::uint64_t nonce = 0;
};

/// Several instances around one log under a virtual clock: appends are late, lost or left without
/// an answer, instances freeze and lose the store. Steps are those of spec/lease.pml.
class LeaseWorld
{
public:
    /// With `releases` holders give the lease up now and then, and may claim it again.
    LeaseWorld(std::uint32_t seed, bool releases)
        : random_(seed)
        , releases_(releases)
    {
        for (std::size_t i = 0; i < InstanceCount; ++i)
            instances_.push_back({ DutyLease(nameOf(i), Options), now_, now_ });
    }

    void run()
    {
        for (int tick = 0; tick < Ticks; ++tick) {
            now_ += absl::Milliseconds(50);
            carryOut();
            for (std::size_t i = 0; i < instances_.size(); ++i)
                step(i);
            check(tick);
        }
    }

    bool broken() const { return !fault_.empty(); }
    const std::string &fault() const { return fault_; }
    std::size_t holders() const { return holders_; }

private:
    static constexpr std::size_t InstanceCount = 5;
    static constexpr int Ticks = 1200;

    static ProcessName nameOf(std::size_t i) { return { absl::StrCat("i", i), 1 }; }
    bool chance(double p) { return std::bernoulli_distribution(p)(random_); }
    absl::Duration upTo(int milliseconds)
    {
        return absl::Milliseconds(std::uniform_int_distribution<>(0, milliseconds)(random_));
    }

    void carryOut()
    {
        for (auto it = pending_.begin(); it != pending_.end();) {
            if (it->at > now_) {
                ++it;
                continue;
            }
            const PendingAppend append = *it;
            it = pending_.erase(it);
            const bool fits = append.expectedEnd == log_.size();
            if (fits)
                log_.push_back(append.record);
            Instance &writer = instances_[append.writer];
            if (!append.answered || writer.frozenUntil > now_)
                continue;
            writer.waiting = false;
            if (fits)
                writer.lease.apply(append.record, append.expectedEnd, now_);
            else
                writer.nextRead = now_;
        }
    }

    void step(std::size_t i)
    {
        Instance &instance = instances_[i];
        if (chance(0.001))
            instance.frozenUntil = now_ + upTo(9000);
        if (instance.frozenUntil > now_)
            return;
        if (instance.waiting && now_ - instance.lastAppend > absl::Milliseconds(800)) {
            instance.waiting = false; // No answer in time: the log tells.
            instance.nextRead = now_;
        }
        if (instance.waiting)
            return;
        if (now_ >= instance.nextRead) {
            instance.nextRead = now_ + absl::Seconds(1);
            if (!chance(0.1))
                readAll(instance);
            return;
        }
        const bool holds = instance.lease.isHolder() && !instance.lease.mayClaim(now_);
        if (holds && releases_ && chance(0.02))
            append(i, LeaseRecordKind::Release);
        else if (holds && now_ - instance.lastAppend >= absl::Seconds(1))
            append(i, LeaseRecordKind::Renewal);
        else if (!holds && instance.lease.mayClaim(now_))
            append(i, LeaseRecordKind::Claim);
    }

    void readAll(Instance &instance)
    {
        for (LogOffset offset = instance.lease.end(); offset < log_.size(); ++offset)
            instance.lease.apply(log_[offset], offset, now_);
        instance.lease.noteRead(log_.size(), now_);
    }

    void append(std::size_t i, LeaseRecordKind kind)
    {
        Instance &instance = instances_[i];
        PendingAppend append;
        append.record.kind = kind;
        append.record.holder = nameOf(i);
        append.record.fencingNumber = instance.lease.fencingNumber();
        append.record.nonce = ++instance.nonce;
        append.expectedEnd = instance.lease.end();
        append.writer = i;
        append.at = now_ + (chance(0.15) ? upTo(6000) : upTo(100));
        append.answered = !chance(0.15);
        instance.lastAppend = now_;
        instance.waiting = true;
        instance.lease.noteSending(append.record.nonce, now_);
        if (kind == LeaseRecordKind::Release)
            instance.lease.noteSuperseded(); // Acts end before the release can be read.
        if (!chance(0.05))
            pending_.push_back(append);
    }

    void check(int tick)
    {
        std::size_t acting = 0;
        for (std::size_t i = 0; i < instances_.size(); ++i) {
            const Instance &instance = instances_[i];
            if (!instance.lease.mayAct(now_))
                continue;
            ++acting;
            noteAct(i, tick);
            const std::uint64_t number = instance.lease.fencingNumber();
            const auto [it, inserted]
                = holderOf_.try_emplace(number, instance.lease.holder()->instance);
            holders_ = holderOf_.size();
            if (it->second != instance.lease.holder()->instance)
                fault_ = absl::StrCat("one number, two holders, tick ", tick);
            if (inserted && number < newest_)
                fault_ = absl::StrCat("a number goes back, tick ", tick);
            newest_ = std::max(newest_, number);
        }
        if (acting > 1)
            fault_ = absl::StrCat(acting, " holders act at once, tick ", tick);
    }

    /// Holders must not act in turns (a, b, a) within the length of a lease.
    void noteAct(std::size_t i, int tick)
    {
        const auto own = lastAct_.find(i);
        for (const auto &[other, at] : lastAct_) {
            const bool between = own != lastAct_.end() && other != i && at > own->second;
            if (between && now_ - own->second < Options.lease)
                fault_ = absl::StrCat(i, ", ", other, ", ", i, " in turns, tick ", tick);
        }
        lastAct_[i] = now_;
    }

    std::mt19937 random_;
    bool releases_ = false;
    std::map<std::size_t, absl::Time> lastAct_;
    absl::Time now_ = absl::FromUnixSeconds(1000);
    std::vector<Instance> instances_;
    std::vector<LeaseRecord> log_;
    std::deque<PendingAppend> pending_;
    std::map<std::uint64_t, std::string> holderOf_;
    std::uint64_t newest_ = 0;
    std::size_t holders_ = 0;
    std::string fault_;
};

struct DutyLeaseFixture
{
    LeaseRecord record(LeaseRecordKind kind, const ProcessName &holder, std::uint64_t number = 0)
    {
        LeaseRecord record;
        record.kind = kind;
        record.holder = holder;
        record.fencingNumber = number;
        record.nonce = ++nonce;
        return record;
    }

    absl::Time at(int milliseconds) const { return start + absl::Milliseconds(milliseconds); }

    const ProcessName self { "a", 1 };
    const ProcessName other { "b", 1 };
    const absl::Time start = absl::FromUnixSeconds(1000);
    std::uint64_t nonce = 0;
    DutyLease lease { self, Options };
};

BOOST_FIXTURE_TEST_SUITE(DutyLeaseTest, DutyLeaseFixture)

BOOST_AUTO_TEST_CASE(lease_randomSchedules_oneHolderActsAtATime)
{
    std::size_t holders = 0;
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        LeaseWorld world(seed, false);
        world.run();
        BOOST_REQUIRE_MESSAGE(!world.broken(), "seed " << seed << ": " << world.fault());
        holders += world.holders();
    }
    BOOST_TEST(holders > 200u); // More holders than schedules: the lease does change hands.
}

BOOST_AUTO_TEST_CASE(lease_givenUpOften_holdersNeverTakeTurnsWithinALease)
{
    std::size_t holders = 0;
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        LeaseWorld world(seed, true);
        world.run();
        BOOST_REQUIRE_MESSAGE(!world.broken(), "seed " << seed << ": " << world.fault());
        holders += world.holders();
    }
    BOOST_TEST(holders > 1000u);
}

BOOST_AUTO_TEST_CASE(mayClaim_anotherHeldInBetween_onlyALeaseAfterTheOwnLastAct)
{
    const LeaseRecord claim = record(LeaseRecordKind::Claim, self);
    lease.noteSending(claim.nonce, at(0));
    lease.apply(claim, 0, at(0));
    lease.apply(record(LeaseRecordKind::Release, self, 0), 1, at(500));
    lease.apply(record(LeaseRecordKind::Claim, other), 2, at(600));
    lease.apply(record(LeaseRecordKind::Release, other, 2), 3, at(700));
    lease.noteRead(4, at(700));
    BOOST_TEST(!lease.mayClaim(at(3500)));
    BOOST_TEST(lease.mayClaim(at(3501)));
}

BOOST_AUTO_TEST_CASE(mayClaim_earlierProcessOfTheInstanceHeld_onlyALeaseAfterTheStart)
{
    const ProcessName restarted { "a", 2 };
    DutyLease fresh(restarted, Options);
    fresh.noteStart(at(1000));
    fresh.apply(record(LeaseRecordKind::Claim, self), 0, at(1200));
    fresh.apply(record(LeaseRecordKind::Claim, other), 1, at(1200));
    fresh.apply(record(LeaseRecordKind::Release, other, 1), 2, at(1200));
    fresh.noteRead(3, at(1200));
    BOOST_TEST(!fresh.mayClaim(at(4000)));
    BOOST_TEST(fresh.mayClaim(at(4001)));
}

BOOST_AUTO_TEST_CASE(stopping_holder_neitherActsNorClaims)
{
    const LeaseRecord claim = record(LeaseRecordKind::Claim, self);
    lease.noteSending(claim.nonce, at(0));
    lease.apply(claim, 0, at(10));
    lease.noteStopping();
    BOOST_TEST(!lease.mayAct(at(20)));
    lease.apply(record(LeaseRecordKind::Release, self, 0), 1, at(30));
    lease.noteRead(2, at(30));
    BOOST_TEST(!lease.mayClaim(at(100000)));
}

BOOST_AUTO_TEST_CASE(mayClaim_beforeTheLogWasRead_isFalse)
{
    BOOST_TEST(!lease.mayClaim(at(100000)));
    lease.noteRead(0, at(0));
    BOOST_TEST(lease.mayClaim(at(0)));
}

BOOST_AUTO_TEST_CASE(mayClaim_holderSeen_onlyAfterLeaseAndMarginSinceReading)
{
    lease.apply(record(LeaseRecordKind::Claim, other), 0, at(0));
    lease.noteRead(1, at(0));
    BOOST_TEST(!lease.mayClaim(at(3450)));
    BOOST_TEST(lease.mayClaim(at(3451)));
}

BOOST_AUTO_TEST_CASE(mayActUntil_answerLate_countsFromTheSending)
{
    const LeaseRecord claim = record(LeaseRecordKind::Claim, self);
    lease.noteSending(claim.nonce, at(0));
    lease.apply(claim, 0, at(2000));
    BOOST_TEST((lease.mayActUntil() == at(2550)));
}

BOOST_AUTO_TEST_CASE(mayAct_otherClaimRead_endsAtOnce)
{
    const LeaseRecord claim = record(LeaseRecordKind::Claim, self);
    lease.noteSending(claim.nonce, at(0));
    lease.apply(claim, 0, at(10));
    BOOST_TEST(lease.mayAct(at(20)));
    lease.apply(record(LeaseRecordKind::Claim, other), 1, at(30));
    BOOST_TEST(!lease.mayAct(at(30)));
    BOOST_TEST(lease.fencingNumber() == 1u);
}

BOOST_AUTO_TEST_CASE(renewal_ofAReplacedHolder_changesNothing)
{
    lease.apply(record(LeaseRecordKind::Claim, other), 5, at(0));
    lease.apply(record(LeaseRecordKind::Renewal, { "c", 1 }, 3), 6, at(1000));
    BOOST_TEST(lease.holder()->instance == "b");
    lease.noteRead(7, at(1000));
    BOOST_TEST(lease.mayClaim(at(3500)));
}

BOOST_AUTO_TEST_CASE(earlierProcessOfTheSameName_isAnotherHolder)
{
    lease.apply(record(LeaseRecordKind::Claim, { "a", 0 }), 0, at(0));
    lease.noteRead(1, at(0));
    BOOST_TEST(!lease.mayAct(at(1)));
    BOOST_TEST(!lease.mayClaim(at(100)));
}

BOOST_AUTO_TEST_CASE(release_read_letsOthersClaimAtOnce)
{
    lease.apply(record(LeaseRecordKind::Claim, other), 0, at(0));
    lease.apply(record(LeaseRecordKind::Release, other, 0), 1, at(100));
    lease.noteRead(2, at(100));
    BOOST_TEST(lease.mayClaim(at(100)));
}

BOOST_AUTO_TEST_CASE(superseded_sameNumber_neverActsAgain)
{
    const LeaseRecord claim = record(LeaseRecordKind::Claim, self);
    lease.noteSending(claim.nonce, at(0));
    lease.apply(claim, 0, at(10));
    lease.noteSuperseded();
    const LeaseRecord renewal = record(LeaseRecordKind::Renewal, self, 0);
    lease.noteSending(renewal.nonce, at(20));
    lease.apply(renewal, 1, at(30));
    BOOST_TEST(!lease.mayAct(at(30)));
}

BOOST_AUTO_TEST_CASE(figures_fixedTwice_firstOnesStand)
{
    LeaseRecord first = record(LeaseRecordKind::UsageFigures, other, 0);
    first.window = 7;
    first.counts = { { "org", 3 } };
    LeaseRecord second = first;
    second.counts = { { "org", 4 } };
    lease.apply(first, 0, at(0));
    lease.apply(second, 1, at(0));
    BOOST_TEST(lease.figuresOf(7)->at("org") == 3u);
}

BOOST_AUTO_TEST_CASE(renewal_namesReportedWindows_successorSkipsThem)
{
    LeaseRecord renewal = record(LeaseRecordKind::Renewal, other, 0);
    renewal.window = 9;
    lease.apply(renewal, 0, at(0));
    BOOST_TEST(lease.reportedBefore() == 9u);
    lease.apply(record(LeaseRecordKind::Renewal, other, 0), 1, at(1));
    BOOST_TEST(lease.reportedBefore() == 9u);
}

BOOST_AUTO_TEST_CASE(trimmedLog_renewalAlone_namesTheHolder)
{
    lease.noteTrimmed(40);
    lease.apply(record(LeaseRecordKind::Renewal, other, 12), 40, at(0));
    BOOST_TEST(lease.holder()->instance == "b");
    BOOST_TEST(lease.fencingNumber() == 12u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
