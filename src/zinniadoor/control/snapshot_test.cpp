#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

#include "simulation_test.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::control;
using namespace zinniadoor::control::test;

class CountingObserver : public ReplayObserver
{
public:
    void onApplied(const Frame & /*frame*/, base::Offset /*offset*/,
                   const ApplyResult & /*result*/) override
    { }
    void onSnapshotLoaded(const State & /*state*/) override { ++loaded; }

    int loaded = 0;
};

struct SnapshotFixture
{
    static constexpr base::Offset SnapshotEvery = 150;

    Simulation simulation { 7, Faults {}, { SnapshotScope, "orders/a", usageScope(0) } };
    std::map<Process, std::uint64_t> sequences;

    /// Every instance writes a mix of records; the holder of the snapshot scope writes snapshots.
    void onStep(Node &node)
    {
        const std::uint64_t number = ++sequences[node.self];
        if (number % 4 == 0)
            node.add(UsageCounted { node.self.instance,
                                    node.self.incarnation,
                                    { { number, base::OrganisationId("shop"), number, 1 } } });
        if (number % 12 == 0) // Repeats an earlier usage item.
            node.add(UsageCounted { node.self.instance,
                                    node.self.incarnation,
                                    { { number - 8, base::OrganisationId("shop"), 1, 1 } } });
        if (number % 7 == 0)
            node.add(ActionClaimed { base::OrganisationId("shop"), absl::StrCat("k", number), "d",
                                     node.self.instance, node.self.incarnation, number, 1 });
        const bool due = isSnapshotDue(node.state(), SnapshotEvery);
        if (due && node.leases.front().mayAct(simulation.now) && simulation.chance(0.1)) {
            for (SnapshotPart &part : splitSnapshot(node.state()))
                node.add(std::move(part));
        }
    }

    void run(int ticks)
    {
        for (int i = 0; i < ticks; ++i)
            simulation.tick([this](Node &node) { onStep(node); });
    }

    static void readToEnd(Replayer &replayer, const SimulatedLog &log, CountingObserver &observer)
    {
        for (int i = 0; i < 1000; ++i) {
            const ReplayRead read = replayer.nextRead();
            replayer.onPage(preparePage(log.read(read.after, read.limit)), observer);
            if (replayer.atEnd() && replayer.state().appliedThrough() == log.last())
                return;
        }
        BOOST_FAIL("the replay does not reach the end of the log");
    }

    static Replayer replay(const SimulatedLog &log, CountingObserver &observer)
    {
        Replayer replayer;
        readToEnd(replayer, log, observer);
        return replayer;
    }

    State applyAll() const
    {
        State state;
        for (std::size_t i = 0; i < simulation.log.entries().size(); ++i)
            state.apply(*decodeFrame(simulation.log.entries()[i]), i + 1);
        return state;
    }
};

BOOST_FIXTURE_TEST_SUITE(SnapshotTest, SnapshotFixture)

BOOST_AUTO_TEST_CASE(state_restoredAtAnyOffset_endsEqual)
{
    run(600);
    const std::string complete = encodeState(applyAll());
    const auto &entries = simulation.log.entries();
    State before;
    for (std::size_t cut = 0; cut < entries.size(); ++cut) {
        before.apply(*decodeFrame(entries[cut]), cut + 1);
        if (cut % 23 != 0)
            continue;
        auto restored = decodeState(encodeState(before));
        BOOST_REQUIRE(restored.hasValue());
        for (std::size_t i = cut + 1; i < entries.size(); ++i)
            restored->apply(*decodeFrame(entries[i]), i + 1);
        BOOST_REQUIRE(encodeState(*restored) == complete);
    }
}

BOOST_AUTO_TEST_CASE(replay_startOfLogTruncated_startsFromSnapshot)
{
    run(1500);
    const State complete = applyAll();
    BOOST_REQUIRE(complete.snapshots().newest().firstPart != 0);
    simulation.log.truncateBefore(complete.snapshots().newest().through + 1);
    CountingObserver observer;
    const Replayer replayer = replay(simulation.log, observer);
    BOOST_TEST(observer.loaded == 1);
    BOOST_TEST(replayer.caughtUp());
    BOOST_TEST((encodeState(replayer.state()) == encodeState(complete)));
    BOOST_TEST(replayer.recordsRead() < simulation.log.last());
}

BOOST_AUTO_TEST_CASE(replay_readerBehindRetention_loadsSnapshot)
{
    run(300);
    CountingObserver observer;
    Replayer reader = replay(simulation.log, observer);
    run(1500);
    const State complete = applyAll();
    simulation.log.truncateBefore(complete.snapshots().newest().through + 1);
    reader.onLogTruncated();
    BOOST_TEST(!reader.caughtUp());
    readToEnd(reader, simulation.log, observer);
    BOOST_TEST(reader.caughtUp());
    BOOST_TEST((encodeState(reader.state()) == encodeState(complete)));
}

BOOST_AUTO_TEST_CASE(replay_noSnapshotLeft_isNotCaughtUpUntilTheNextOne)
{
    run(200);
    simulation.log.truncateBefore(20);
    CountingObserver observer;
    Replayer reader = replay(simulation.log, observer);
    BOOST_TEST(reader.historyLost());
    BOOST_TEST(!reader.caughtUp());
    run(1500);
    readToEnd(reader, simulation.log, observer);
    BOOST_TEST(reader.caughtUp());
    BOOST_TEST((encodeState(reader.state()) == encodeState(applyAll())));
}

BOOST_AUTO_TEST_CASE(frameWriter_outcomeUnknown_appendsSameFrameOnlyAfterReadingBack)
{
    const absl::Time start = absl::UnixEpoch();
    FrameWriterOptions options;
    options.self = { base::InstanceId("i"), 1 };
    FrameWriter writer(options);
    writer.add(InstanceStopped {});
    const auto frame = writer.next({}, 1, start);
    BOOST_REQUIRE(frame.has_value());
    writer.add(InstanceStopped {});
    const base::Reason unknown { base::ReasonCode::OutcomeUnknown, "" };
    writer.onAppended(frame->sequence, unknown, start + absl::Seconds(1));
    BOOST_TEST(!writer.next({}, 1, start + absl::Seconds(2)).has_value());
    // A read sent before the outcome became unknown is not conclusive.
    writer.onReadToEnd(start, start + absl::Seconds(2));
    BOOST_TEST(!writer.next({}, 1, start + absl::Seconds(3)).has_value());
    writer.onReadToEnd(start + absl::Seconds(2), start + absl::Seconds(3));
    const auto retried = writer.next({}, 1, start + absl::Seconds(4));
    BOOST_REQUIRE(retried.has_value());
    BOOST_TEST(retried->bytes == frame->bytes);
    writer.onRead(retried->sequence, 9);
    BOOST_TEST((writer.lastConfirmed().sentAt == start));
    BOOST_TEST(writer.next({}, 1, start + absl::Seconds(5))->sequence == frame->sequence + 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
