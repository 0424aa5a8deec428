#include <boost/test/unit_test.hpp>

#include "support/event_loop.hpp"
#include "support/memory_log_store.hpp"
#include "zinniadoor/base/codec.hpp"
#include "zinniadoor/base/events.hpp"
#include "zinniadoor/gateway/usage_duty.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::gateway;

/// A clock that the tests advance. The duty's own timer is short and uses real time.
class ManualClock : public base::Clock
{
public:
    absl::Time now() const override { return time; }
    absl::Time wallTime() const override { return time; }
    absl::Time time = absl::FromUnixSeconds(1000);
};

class NoDuties : public DutyClient
{
public:
    void reportUsage(const UsageReport &, const DutyPermitPtr &,
                     std::function<void(base::Outcome<DutyAnswer>)>) override
    { }
    void orderFleet(const FleetOrder &, const DutyPermitPtr &,
                    std::function<void(base::Outcome<DutyAnswer>)>) override
    { }
};

/// Holds back reads of the journal, or their answers, until they are released.
class HeldStore : public test::MemoryLogStore
{
public:
    void read(LogName name, LogPosition from, absl::Duration wait,
              std::function<void(base::Outcome<LogRecords>)> done) override
    {
        if (name == LogName::Journal && holdsAnswers) {
            test::MemoryLogStore::read(name, from, wait, [this, done](const auto &answer) {
                held.push_back([answer, done] { done(answer); });
            });
            return;
        }
        if (!holds || name != LogName::Journal) {
            test::MemoryLogStore::read(name, from, wait, std::move(done));
            return;
        }
        held.push_back(
            [this, name, from, wait, done] { test::MemoryLogStore::read(name, from, wait, done); });
    }
    void release()
    {
        holds = holdsAnswers = false;
        releaseHeld();
    }
    void releaseHeld()
    {
        for (const auto &call : std::exchange(held, {}))
            call();
    }
    bool holds = false;
    bool holdsAnswers = false;
    std::vector<std::function<void()>> held;
};

/// The duty of an instance that does not hold the lease.
struct UsageDutyFixture
{
    UsageDutyFixture()
    {
        base::LogOptions quiet;
        quiet.level = base::EventLevel::Error;
        base::startLogging(quiet);
        duty->start();
    }

    /// Counts of the window according to the journal; nothing without a record.
    std::optional<UsageCounts> written(WindowNumber window)
    {
        for (const std::string &bytes : store.logs[LogName::Journal]) {
            const auto record = base::decode<JournalRecord>(bytes);
            if (record && record->kind == JournalRecordKind::Usage && record->window == window)
                return record->counts;
        }
        return std::nullopt;
    }

    /// Figures of the window that the holder has committed; nothing without a record.
    std::optional<UsageCounts> committed(WindowNumber window)
    {
        for (const std::string &bytes : store.logs[LogName::Lease]) {
            const auto record = base::decode<LeaseRecord>(bytes);
            if (record && record->kind == LeaseRecordKind::UsageFigures && record->window == window)
                return record->counts;
        }
        return std::nullopt;
    }

    bool hasStarted()
    {
        for (const std::string &bytes : store.logs[LogName::Journal]) {
            const auto record = base::decode<JournalRecord>(bytes);
            if (record && record->kind == JournalRecordKind::Started && record->process == self)
                return true;
        }
        return false;
    }

    bool until(const std::function<bool()> &condition) { return test::runUntil(io, condition); }

    boost::asio::io_context io;
    ManualClock clock;
    HeldStore store;
    NoDuties platform;
    const ProcessName self { "a", 1 };
    PeerTable peers { self };
    UsageWindowCounter counter { absl::Seconds(5) };
    ClusterTime clusterTime { clock.now(), clock.wallTime() };
    std::unique_ptr<LeaseRunner> lease = makeLeaseRunner(
        io, store, clock, self, { absl::Milliseconds(3000), absl::Milliseconds(450) }, peers);
    std::unique_ptr<UsageDuty> duty
        = makeUsageDuty(io, { store, platform, *lease, counter, peers, clusterTime, clock },
                        { self, "10.0.0.1:7000", "dc", absl::Seconds(10) });
};

BOOST_FIXTURE_TEST_SUITE(UsageDutyTest, UsageDutyFixture)

BOOST_AUTO_TEST_CASE(journal_lostByRestore_startAndCountsAreWrittenAgain)
{
    const WindowNumber window = counter.windowAt(clock.now());
    counter.count(base::OrganisationId("org"), clock.now());
    clock.time += absl::Seconds(9);
    BOOST_REQUIRE(until([&] { return written(window).has_value(); }));
    store.restoreEmpty();
    BOOST_TEST(until([&] { return hasStarted() && written(window).has_value(); }));
    BOOST_TEST(written(window)->at("org") == 1u);
}

BOOST_AUTO_TEST_CASE(journal_peerHasWrittenCountsLostByRestore_areWrittenByThisInstance)
{
    const WindowNumber window = counter.windowAt(clock.now());
    counter.count(base::OrganisationId("org"), clock.now());
    UsageWrittenNotice notice;
    notice.window = window;
    notice.processes = { digestOf(self) };
    peers.noteUsageWritten(notice);
    clock.time += absl::Seconds(9);
    BOOST_REQUIRE(until([&] { return hasStarted(); }));
    store.restoreEmpty();
    BOOST_TEST(until([&] { return written(window).has_value(); }));
}

BOOST_AUTO_TEST_CASE(firstUncommittedWindow_reportIsDue_isLaterThanItsWindow)
{
    const absl::Duration reportDelay = absl::Seconds(10);
    const WindowNumber window = counter.windowAt(clock.now());
    const absl::Time end = counter.endOf(window);
    BOOST_TEST(firstUncommittedWindow(counter, end, reportDelay) <= window);
    BOOST_TEST(firstUncommittedWindow(counter, end + reportDelay, reportDelay) > window);
}

BOOST_AUTO_TEST_CASE(stop_restoreNotNoticedBefore_lostCountsAreWrittenAgain)
{
    const WindowNumber window = counter.windowAt(clock.now());
    counter.count(base::OrganisationId("org"), clock.now());
    clock.time += absl::Seconds(9);
    BOOST_REQUIRE(until([&] { return written(window).has_value(); }));
    store.restoreEmpty();
    bool stopped = false;
    duty->stop([&] { stopped = true; });
    BOOST_TEST(until([&] { return stopped; }));
    BOOST_TEST(written(window).has_value());
}

BOOST_AUTO_TEST_CASE(journal_readUnderWayAtRestore_recordsBeforeItsOffsetAreRead)
{
    const auto started = [&](const std::string &name) {
        JournalRecord record;
        record.kind = JournalRecordKind::Started;
        record.process = { name, 1 };
        record.address = "10.0.0.2:7000";
        return base::encode(record);
    };
    const auto holdsLease = [&] {
        clock.time += absl::Milliseconds(5);
        return lease->lease().mayAct(clock.now());
    };
    auto &journal = store.logs[LogName::Journal];
    peers.noteJournalRead(clock.now());
    lease->start();
    BOOST_REQUIRE(until(holdsLease));
    for (int i = 0; i < 3; ++i)
        journal.push_back(started("old"));
    clock.time += absl::Milliseconds(2100);
    BOOST_REQUIRE(until([&] { return peers.membership(clock.now()).tracked == 2; }));
    BOOST_REQUIRE(until(holdsLease));
    store.holds = true;
    clock.time += absl::Milliseconds(2100);
    BOOST_REQUIRE(until([&] { return !store.held.empty(); }));
    store.restoreEmpty();
    // Written again in the new era, by another writer first.
    store.logs[LogName::Journal] = { started("new"), started("old"), started("old"), started("old"),
                                     started("old"), started("old"), started("old") };
    test::runUntil(io, [&] { return hasStarted(); }); // The new era is noticed by this append.
    store.release();
    BOOST_TEST(until([&] {
        clock.time += absl::Milliseconds(5);
        return peers.membership(clock.now()).tracked == 3;
    }));
}

// An answer that had lain unread while the process stood still counted as what the journal held
// when it was read, so that a window was reported without the counts of others.
BOOST_AUTO_TEST_CASE(journal_answerLiesUnread_windowIsNotCommittedFromIt)
{
    const auto holdsLease = [&] {
        clock.time += absl::Milliseconds(5);
        return lease->lease().mayAct(clock.now());
    };
    const WindowNumber window = counter.windowAt(clock.now());
    const absl::Time due = counter.endOf(window) + absl::Milliseconds(4500);
    peers.noteJournalRead(clock.now());
    lease->start();
    BOOST_REQUIRE(until(holdsLease));
    while (clock.now() < due - absl::Seconds(6)) {
        clock.time += absl::Milliseconds(1000);
        BOOST_REQUIRE(until(holdsLease));
    }
    store.holdsAnswers = true;
    clock.time += absl::Milliseconds(2100);
    BOOST_REQUIRE(until([&] { return !store.held.empty(); }));
    JournalRecord counts;
    counts.kind = JournalRecordKind::Usage;
    counts.process = { "b", 1 };
    counts.window = window;
    counts.counts["org"] = 7;
    store.logs[LogName::Journal].push_back(base::encode(counts));
    while (clock.now() < due + absl::Seconds(2)) {
        clock.time += absl::Milliseconds(1000);
        BOOST_REQUIRE(until(holdsLease));
    }
    BOOST_REQUIRE(!committed(window).has_value());
    store.releaseHeld();
    BOOST_REQUIRE(until([&] { return !store.held.empty(); })); // The next read.
    BOOST_TEST(!committed(window).has_value());
    store.release();
    BOOST_REQUIRE(until([&] { return holdsLease() && committed(window).has_value(); }));
    BOOST_TEST((committed(window) == counts.counts));
}

BOOST_AUTO_TEST_CASE(journal_notHolder_isNotRead)
{
    store.holds = true;
    BOOST_REQUIRE(until([&] { return hasStarted(); }));
    for (int i = 0; i < 4; ++i) {
        clock.time += absl::Seconds(16);
        io.restart();
        io.run_for(std::chrono::milliseconds(300));
    }
    BOOST_TEST(store.held.empty());
}

BOOST_AUTO_TEST_CASE(journal_twoRestoresInARow_countsAreWrittenAgain)
{
    const WindowNumber window = counter.windowAt(clock.now());
    counter.count(base::OrganisationId("org"), clock.now());
    clock.time += absl::Seconds(9);
    BOOST_REQUIRE(until([&] { return written(window).has_value(); }));
    store.restoreEmpty();
    store.restoreEmpty();
    BOOST_TEST(until([&] { return hasStarted() && written(window).has_value(); }));
    store.restoreEmpty();
    BOOST_TEST(until([&] { return hasStarted() && written(window).has_value(); }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
