#include <deque>
#include <map>
#include <random>

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

#include "log_follower_fixture.hpp"
#include "support/event_loop.hpp"
#include "zinniadoor/base/clock.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::gateway;
using zinniadoor::gateway::followertest::Listener;
using zinniadoor::gateway::followertest::MemoryStore;

/// The system's clock, moved ahead by a test.
class OffsetClock : public base::Clock
{
public:
    absl::Time now() const override { return system_->now() + offset; }
    absl::Time wallTime() const override { return system_->wallTime() + offset; }

    absl::Duration offset;

private:
    std::unique_ptr<base::Clock> system_ = base::systemClock();
};

/// Lets the test answer.
class ManualReads : public SharedReads
{
public:
    void await(LogPosition atLeast,
               std::function<void(const std::optional<NewestRecords> &)> done) override
    {
        ++awaits;
        lastAtLeast = atLeast;
        done_ = std::move(done);
    }
    void ask(LogPosition, std::function<void(const std::optional<NewestRecords> &)>) override { }
    void noteFailure() override { }
    void noteSuccess() override { }
    void cancel() override { done_ = nullptr; }

    void takeTurn()
    {
        const auto done = std::exchange(done_, nullptr);
        done(std::nullopt);
    }

    int awaits = 0;
    LogPosition lastAtLeast;

private:
    std::function<void(const std::optional<NewestRecords> &)> done_;
};

struct LogFollowerFixture
{
    static constexpr absl::Duration ReadWait = absl::Seconds(2);

    /// `name` determines the rank, which decides which of two followers reads.
    std::unique_ptr<LogFollower> follower(MemoryStore &from, Listener &handler,
                                          const std::string &name,
                                          absl::Duration relayTimeout = absl::Hours(1),
                                          bool relaysRecords = true)
    {
        FollowerOptions options;
        options.log = LogName::Endpoints;
        options.self = { name, 1 };
        options.readWait = ReadWait;
        options.readInterval = absl::Milliseconds(2);
        options.retryDelay = absl::Milliseconds(2);
        options.relayTimeout = relayTimeout;
        options.relaysRecords = relaysRecords;
        auto made = makeLogFollower(io, { from, from, *clock, handler, handler }, options);
        made->start();
        return made;
    }

    /// Of two names, the one whose follower yields to the other, or the one that it yields to.
    static std::string nameWhich(bool yields)
    {
        const std::hash<std::string> rankHash;
        const bool aFirst = rankHash("endpointsa") < rankHash("endpointsb");
        return aFirst == yields ? "b" : "a";
    }

    LogPart partOf(LogOffset from, LogOffset to, std::vector<LogPartRecord> records = {}) const
    {
        LogPart part;
        part.sender = { nameWhich(false), 1 };
        part.from = { 0, from };
        part.to = { 0, to };
        part.records = std::move(records);
        return part;
    }

    /// One that yields to the sender of `partOf`.
    std::unique_ptr<LogFollower> followerWith(SharedReads &reads)
    {
        FollowerOptions options;
        options.log = LogName::Endpoints;
        options.self = { nameWhich(true), 1 };
        options.readWait = ReadWait;
        options.retryDelay = absl::Milliseconds(2);
        options.relayTimeout = absl::Hours(1);
        options.startTimeout = absl::Hours(1);
        return makeLogFollower(io, { store, store, *clock, listener, listener, {}, &reads },
                               options);
    }

    bool until(const std::function<bool()> &condition)
    {
        return test::runUntil(io, condition);
    }

    /// Four followers lose parts while the store changes and is sometimes down; with `restores`, it
    /// also goes back to older copies. Returns whether all reach its final values.
    bool converge(std::uint32_t seed, bool restores)
    {
        std::mt19937 random(seed);
        store.log.clear();
        std::vector<std::unique_ptr<Listener>> listeners;
        std::vector<std::unique_ptr<LogFollower>> followers;
        for (int i = 0; i < 4; ++i)
            listeners.push_back(std::make_unique<Listener>());
        for (std::size_t i = 0; i < listeners.size(); ++i) {
            listeners[i]->publishHook = [&, i](const LogPart &part) {
                for (std::size_t j = 0; j < followers.size(); ++j) {
                    if (j != i && random() % 10 < 6)
                        followers[j]->onPart(part);
                }
            };
            followers.push_back(
                follower(store, *listeners[i], absl::StrCat("i", i), absl::Milliseconds(8)));
        }
        std::map<std::string, std::string> expected;
        auto copy = std::make_pair(store.log, expected);
        for (int step = 0; step < 30; ++step) {
            store.down = random() % 8 == 0;
            if (restores && random() % 8 == 0)
                copy = { store.log, expected };
            if (restores && random() % 8 == 0) {
                ++store.storeEra;
                std::tie(store.log, expected) = copy;
            }
            const std::string key = absl::StrCat("e", random() % 5);
            switch (random() % 3) {
            case 0: // Only the newest record of a key survives: one of a key without a value.
                store.log.push_back(restores ? "e5=~" : key + "=~");
                break;
            case 1:
                store.log.push_back(key);
                expected.erase(key);
                break;
            default:
                expected[key] = std::to_string(step);
                store.log.push_back(absl::StrCat(key, "=", step));
            }
            io.restart();
            io.run_for(std::chrono::milliseconds(random() % 4));
        }
        store.down = false;
        const bool converged = until([&] {
            return std::all_of(listeners.begin(), listeners.end(),
                               [&](const auto &each) { return each->values == expected; });
        });
        followers.clear();
        io.restart();
        io.poll();
        return converged;
    }

    boost::asio::io_context io;
    std::unique_ptr<base::Clock> clock = base::systemClock();
    MemoryStore store { io };
    Listener listener;
};

BOOST_FIXTURE_TEST_SUITE(LogFollowerTest, LogFollowerFixture)

BOOST_AUTO_TEST_CASE(follower_shortPartAfterLongNotice_stillTakesTurns)
{
    store.log = { "e1=1" };
    ManualReads reads;
    const auto passive = followerWith(reads);
    passive->start();
    reads.takeTurn();
    BOOST_REQUIRE(until([&] { return listener.current > 0; }));
    LogPart notice = partOf(1, 2);
    notice.includesRecords = false;
    store.log.push_back("e2=long");
    store.down = true;
    passive->onPart(notice);
    BOOST_REQUIRE(reads.awaits == 2);
    store.log.push_back("e3=short");
    passive->onPart(partOf(2, 3, { { 2, "e3", "short" } }));
    reads.takeTurn();
    BOOST_REQUIRE(until([&] { return listener.failures > 0; }));
    const int before = store.reads;
    test::runBriefly(io);
    BOOST_TEST(reads.awaits == 3);
    BOOST_TEST(store.reads == before); // The record before the short one is as long as it was.
}

BOOST_AUTO_TEST_CASE(follower_missingRecordsAreTrimmed_awaitsThoseThatItLacks)
{
    store.log = { "e1=1" };
    ManualReads reads;
    const auto passive = followerWith(reads);
    passive->start();
    reads.takeTurn();
    BOOST_REQUIRE(until([&] { return listener.current > 0; }));
    store.log.insert(store.log.end(), { "e2=1", "e3=1" });
    store.firstOffset = 3;
    passive->onPart(partOf(2, 3));
    BOOST_REQUIRE(until([&] { return reads.awaits == 2; }));
    BOOST_TEST((reads.lastAtLeast > LogPosition { 0, 1 })); // Others may be as far behind.
}

BOOST_AUTO_TEST_CASE(reader_heartbeats_areNotRelayed)
{
    store.log = { "e1=1" };
    const auto reader = follower(store, listener, "a");
    BOOST_REQUIRE(until([&] { return !listener.published.empty(); }));
    listener.published.clear();
    store.log.insert(store.log.end(), { "e1=~", "e2=1", "e1=~", "e1" });
    BOOST_REQUIRE(until([&] { return listener.values.count("e1") == 0; }));
    BOOST_REQUIRE(until(
        [&] { return !listener.published.empty() && listener.published.back().to.offset == 5u; }));
    std::vector<LogPartRecord> records;
    for (const LogPart &part : listener.published) {
        BOOST_TEST(part.includesRecords);
        if (part.to.offset == 5u && records.empty())
            records = part.records;
    }
    BOOST_REQUIRE(records.size() == 2u);
    BOOST_TEST(records[0].key == "e2");
    BOOST_TEST(records[0].offset == 2u);
    BOOST_TEST(!records[1].value.has_value());
}

BOOST_AUTO_TEST_CASE(reader_partLost_isRepeatedInNextPart)
{
    const auto reader = follower(store, listener, "a");
    BOOST_REQUIRE(until([&] { return !listener.published.empty(); }));
    listener.published.clear();
    store.log.push_back("e1=1");
    BOOST_REQUIRE(until([&] {
        return listener.published.size() > 1
            && listener.published[listener.published.size() - 2].to.offset == 1u;
    }));
    const auto first = std::find_if(listener.published.begin(), listener.published.end(),
                                    [](const LogPart &part) { return part.to.offset == 1u; });
    const LogPart second = *std::next(first);
    BOOST_TEST(second.from.offset == 0u);
    BOOST_TEST(second.records.size() == 1u);
}

BOOST_AUTO_TEST_CASE(follower_partsReceivedInTime_doesNotRead)
{
    store.log = { "e1=1" };
    const auto passive = follower(store, listener, nameWhich(true));
    BOOST_REQUIRE(until([&] { return listener.current > 0; }));
    passive->onPart(partOf(1, 1));
    BOOST_REQUIRE(until([&] { return listener.current > 1; }));
    test::runBriefly(io); // Completes a read in progress.
    const int before = store.reads;
    passive->onPart(partOf(0, 4, { { 2, "e2", "7" } }));
    BOOST_TEST(listener.values["e2"] == "7");
    test::runBriefly(io);
    BOOST_TEST(store.reads == before);
}

BOOST_AUTO_TEST_CASE(follower_relayTimeout_readsStore)
{
    const auto passive = follower(store, listener, nameWhich(true), absl::Milliseconds(20));
    BOOST_REQUIRE(until([&] { return listener.current > 0; }));
    passive->onPart(partOf(0, 0));
    store.log.push_back("e1=1");
    BOOST_TEST(until([&] { return listener.values.count("e1") == 1; }));
}

BOOST_AUTO_TEST_CASE(follower_partsDelayedBeyondTimeout_readsStore)
{
    const auto passive = follower(store, listener, nameWhich(true), absl::Seconds(30));
    BOOST_REQUIRE(until([&] { return listener.current > 0; }));
    LogPart late = partOf(0, 0);
    late.ageMs = 60000;
    passive->onPart(late);
    store.log.push_back("e1=1");
    BOOST_TEST(until([&] {
        passive->onPart(late);
        return listener.values.count("e1") == 1;
    }));
}

BOOST_AUTO_TEST_CASE(follower_partAfterGap_readsAtOnce)
{
    store.log = { "e1=1" };
    const auto passive = follower(store, listener, nameWhich(true));
    BOOST_REQUIRE(until([&] { return listener.current > 0; }));
    passive->onPart(partOf(1, 1));
    test::runBriefly(io);
    const int before = listener.current;
    store.log.insert(store.log.end(), { "e3=1", "e1", "e2=1" });
    passive->onPart(partOf(3, 4, { { 3, "e2", "1" } }));
    BOOST_TEST(listener.values.count("e2") == 0u);
    BOOST_TEST(listener.current == before);
    BOOST_TEST(until([&] { return listener.values.count("e3") == 1; }));
    BOOST_TEST(listener.values.count("e1") == 0u);
}

BOOST_AUTO_TEST_CASE(reader_storeRestoredAndOffsetsPassed_readsLostRangeAgain)
{
    store.log = { "e1=1", "e2=1" };
    const auto reader = follower(store, listener, "a");
    BOOST_REQUIRE(until([&] { return listener.current > 1; }));
    store.storeEra = 1;
    store.log = { "e1=1", "e3=1", "e4=1" };
    BOOST_TEST(until([&] { return listener.values.count("e3") == 1; }));
    BOOST_TEST(listener.values.count("e2") == 0u);
    BOOST_TEST(until([&] { return listener.published.back().to == LogPosition({ 1, 3 }); }));
}

BOOST_AUTO_TEST_CASE(follower_partOfLaterEra_readsNewestAtOnce)
{
    store.log = { "e1=1", "e2=1" };
    const auto passive = follower(store, listener, nameWhich(true));
    BOOST_REQUIRE(until([&] { return listener.current > 0; }));
    passive->onPart(partOf(2, 2));
    test::runBriefly(io);
    store.storeEra = 1;
    store.log = { "e3=1" };
    LogPart part = partOf(0, 1, { { 0, "e3", "1" } });
    part.from.era = part.to.era = 1;
    passive->onPart(part);
    BOOST_TEST(until([&] { return listener.values.count("e3") == 1; }));
    BOOST_TEST(listener.values.count("e1") == 0u);
}

BOOST_AUTO_TEST_CASE(follower_partOfEarlierEra_isIgnored)
{
    store.storeEra = 1;
    store.log = { "e1=1" };
    const auto passive = follower(store, listener, nameWhich(true), absl::Milliseconds(20));
    BOOST_REQUIRE(until([&] { return listener.current > 0; }));
    passive->onPart(partOf(1, 3, { { 2, "e2", "7" } }));
    BOOST_TEST(listener.values.count("e2") == 0u);
    store.log.push_back("e3=1");
    BOOST_TEST(until([&] {
        passive->onPart(partOf(9, 9)); // Must not pass for a reader of this era.
        return listener.values.count("e3") == 1;
    }));
}

BOOST_AUTO_TEST_CASE(follower_latePart_restoresNoOldValue)
{
    store.log = { "e1=1", "e1=2" };
    const auto passive = follower(store, listener, nameWhich(true));
    BOOST_REQUIRE(until([&] { return listener.current > 0; }));
    passive->onPart(partOf(0, 1, { { 0, "e1", "1" } }));
    passive->onPart(partOf(0, 2, { { 0, "e1", "1" } }));
    BOOST_TEST(listener.values["e1"] == "2");
}

BOOST_AUTO_TEST_CASE(follower_partWithoutItsRecords_readsAtOnce)
{
    const auto passive = follower(store, listener, nameWhich(true));
    BOOST_REQUIRE(until([&] { return listener.current > 0; }));
    passive->onPart(partOf(0, 0));
    test::runBriefly(io);
    store.log.push_back("e1=1");
    LogPart part = partOf(0, 1);
    part.includesRecords = false;
    passive->onPart(part);
    BOOST_TEST(until([&] { return listener.values.count("e1") == 1; }));
}

BOOST_AUTO_TEST_CASE(follower_readAfterGapFails_isRepeatedWithoutWaitingForSilence)
{
    const auto passive = follower(store, listener, nameWhich(true));
    BOOST_REQUIRE(until([&] { return listener.current > 0; }));
    passive->onPart(partOf(0, 0));
    test::runBriefly(io);
    store.log.push_back("e1=1");
    store.down = true;
    LogPart part = partOf(0, 1);
    part.includesRecords = false;
    passive->onPart(part);
    BOOST_REQUIRE(until([&] { return listener.failures > 0; }));
    store.down = false;
    BOOST_TEST(until([&] { return listener.values.count("e1") == 1; }));
}

BOOST_AUTO_TEST_CASE(follower_readsAfterGap_doesNotWaitAtStore)
{
    const auto passive = follower(store, listener, nameWhich(true));
    BOOST_REQUIRE(until([&] { return store.reads > 0; }));
    BOOST_TEST(store.lastWait == ReadWait);
    passive->onPart(partOf(0, 0));
    test::runBriefly(io);
    store.log.push_back("e1=1");
    LogPart part = partOf(0, 1);
    part.includesRecords = false;
    passive->onPart(part);
    BOOST_REQUIRE(until([&] { return listener.values.count("e1") == 1; }));
    BOOST_TEST(store.lastWait == absl::ZeroDuration());
}

BOOST_AUTO_TEST_CASE(follower_noticeDuringRead_readsAgain)
{
    const auto passive = follower(store, listener, nameWhich(true));
    BOOST_REQUIRE(until([&] { return listener.current > 0; }));
    passive->onPart(partOf(0, 0));
    test::runBriefly(io);
    LogPart notice = partOf(0, 1);
    notice.includesRecords = false;
    bool added = false;
    store.beforeAnswer = [&] { // The answer was decided before the record was added.
        if (added || listener.values.count("e0") > 0)
            return;
        added = true;
        store.log.push_back("e1=1");
        notice.to.offset = 2;
        passive->onPart(notice);
    };
    store.log.push_back("e0=1");
    passive->onPart(notice); // Causes the read.
    BOOST_REQUIRE(until([&] { return added; }));
    BOOST_TEST(until([&] { return listener.values.count("e1") == 1; }));
}

BOOST_AUTO_TEST_CASE(follower_noticeOfMissingRecords_isReadOnce)
{
    const auto passive = follower(store, listener, nameWhich(true));
    BOOST_REQUIRE(until([&] { return listener.current > 0; }));
    passive->onPart(partOf(0, 0));
    test::runBriefly(io);
    const int before = store.reads;
    LogPart wrong = partOf(0, 9);
    wrong.includesRecords = false;
    passive->onPart(wrong);
    BOOST_REQUIRE(until([&] { return store.reads > before; }));
    test::runBriefly(io);
    BOOST_TEST(store.reads <= before + 2);
}

BOOST_AUTO_TEST_CASE(follower_onlyPartsWithoutRecords_leavesReadingToReader)
{
    auto advancing = std::make_unique<OffsetClock>();
    OffsetClock &offset = *advancing;
    clock = std::move(advancing);
    const auto passive = follower(store, listener, nameWhich(true), absl::Hours(1));
    BOOST_REQUIRE(until([&] { return listener.current > 0; }));
    passive->onPart(partOf(0, 0));
    test::runBriefly(io); // Completes a read in progress.
    const int before = store.reads;
    for (LogOffset end = 1; end <= 5; ++end) {
        offset.offset += absl::Minutes(40);
        store.log.push_back(absl::StrCat("e1=", end));
        LogPart part = partOf(end - 1, end);
        part.includesRecords = false;
        passive->onPart(part);
        BOOST_REQUIRE(until([&] { return listener.values["e1"] == std::to_string(end); }));
        test::runBriefly(io);
    }
    BOOST_TEST(store.reads == before + 5);
}

BOOST_AUTO_TEST_CASE(follower_readsAfterPartWithoutRecords_relaysNothing)
{
    const auto passive = follower(store, listener, nameWhich(true));
    BOOST_REQUIRE(until([&] { return listener.current > 0; }));
    passive->onPart(partOf(0, 0));
    test::runBriefly(io);
    listener.published.clear();
    store.log.push_back("e1=1");
    LogPart part = partOf(0, 1);
    part.includesRecords = false;
    passive->onPart(part);
    BOOST_REQUIRE(until([&] { return listener.values.count("e1") == 1; }));
    BOOST_TEST(listener.published.empty());
}

BOOST_AUTO_TEST_CASE(reader_readAnsweredLate_partHasAgeOfAnswer)
{
    constexpr absl::Duration Late = absl::Minutes(40);
    auto advancing = std::make_unique<OffsetClock>();
    OffsetClock &offset = *advancing;
    clock = std::move(advancing);
    const auto reader = follower(store, listener, "a", absl::Hours(2));
    BOOST_REQUIRE(until([&] { return !listener.published.empty(); }));
    BOOST_TEST(listener.published.back().ageMs < absl::ToInt64Milliseconds(Late - ReadWait));
    store.beforeAnswer = [&] { offset.offset += Late; };
    listener.published.clear();
    BOOST_REQUIRE(until([&] { return listener.published.size() > 1; }));
    BOOST_TEST(listener.published.back().ageMs >= absl::ToInt64Milliseconds(Late - ReadWait));
}

BOOST_AUTO_TEST_CASE(reader_relaysNoRecords_publishesRangeOnly)
{
    const auto reader = follower(store, listener, "a", absl::Hours(1), false);
    BOOST_REQUIRE(until([&] { return listener.current > 0; }));
    store.log.push_back("e1=1");
    BOOST_REQUIRE(until(
        [&] { return !listener.published.empty() && listener.published.back().to.offset == 1u; }));
    BOOST_TEST(!listener.published.back().includesRecords);
    BOOST_TEST(listener.published.back().records.empty());
}

BOOST_AUTO_TEST_CASE(reader_updateExceedsCapacity_publishesRangeOnly)
{
    const auto reader = follower(store, listener, "a");
    BOOST_REQUIRE(until([&] { return listener.current > 0; }));
    listener.relayCapacity = 100;
    store.log.push_back("e1=" + std::string(500, 'x'));
    BOOST_REQUIRE(until(
        [&] { return !listener.published.empty() && listener.published.back().to.offset == 1u; }));
    BOOST_TEST(!listener.published.back().includesRecords);
}

BOOST_AUTO_TEST_CASE(reader_repetitionExceedsCapacity_isOmitted)
{
    const auto reader = follower(store, listener, "a");
    BOOST_REQUIRE(until([&] { return listener.current > 0; }));
    listener.relayCapacity = 700;
    store.log.push_back("e1=" + std::string(500, 'x'));
    BOOST_REQUIRE(until(
        [&] { return !listener.published.empty() && listener.published.back().to.offset == 1u; }));
    listener.published.clear();
    store.log.push_back("e2=" + std::string(500, 'x'));
    BOOST_REQUIRE(until(
        [&] { return !listener.published.empty() && listener.published.back().to.offset == 2u; }));
    const auto part = std::find_if(listener.published.begin(), listener.published.end(),
                                   [](const LogPart &each) { return each.to.offset == 2u; });
    BOOST_TEST(part->from.offset == 1u);
    BOOST_TEST(part->includesRecords);
}

BOOST_AUTO_TEST_CASE(twoFollowers_bothReading_oneYields)
{
    Listener other;
    MemoryStore view(io); // The same log; counts the reads of the other instance.
    std::unique_ptr<LogFollower> first;
    std::unique_ptr<LogFollower> second;
    listener.publishHook = [&](const LogPart &part) { second->onPart(part); };
    other.publishHook = [&](const LogPart &part) { first->onPart(part); };
    second = follower(view, other, nameWhich(true));
    first = follower(store, listener, nameWhich(false));
    BOOST_REQUIRE(until([&] { return other.current > 20; }));
    const int before = view.reads;
    const int readsBefore = store.reads;
    BOOST_REQUIRE(until([&] { return store.reads > readsBefore + 10; }));
    BOOST_TEST(view.reads == before);
}

BOOST_AUTO_TEST_CASE(severalFollowers_partsLostAndStoreDown_converge)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed)
        BOOST_TEST(converge(seed, false), "seed " << seed);
}

BOOST_AUTO_TEST_CASE(severalFollowers_storeRestored_converge)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed)
        BOOST_TEST(converge(seed, true), "seed " << seed);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
