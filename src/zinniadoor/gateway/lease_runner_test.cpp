#include <vector>

#include <boost/test/unit_test.hpp>

#include "support/event_loop.hpp"
#include "zinniadoor/base/codec.hpp"
#include "zinniadoor/base/events.hpp"
#include "zinniadoor/gateway/lease_runner.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::gateway;
using test::runUntil;

/// A clock that tests move by hand; the runner's own pauses are short and real.
class ManualClock : public base::Clock
{
public:
    absl::Time now() const override { return time; }
    absl::Time wallTime() const override { return time; }
    absl::Time time = absl::FromUnixSeconds(1000);
};

/// A log in memory that answers at once, unless it is held.
class MemoryStore : public LogStore
{
public:
    void append(LogName, const std::vector<std::string> &records,
                std::optional<LogOffset> expectedEnd,
                std::function<void(base::Outcome<AppendResult>)> done) override
    {
        const bool fits = !expectedEnd || *expectedEnd == log.size();
        const LogOffset first = log.size();
        if (fits)
            log.insert(log.end(), records.begin(), records.end());
        done(AppendResult { fits, first, log.size() });
    }
    void read(LogName, LogOffset from, absl::Duration,
              std::function<void(base::Outcome<LogRecords>)> done) override
    {
        LogRecords result;
        result.first = from;
        result.end = log.size();
        result.records.assign(log.begin() + static_cast<std::ptrdiff_t>(from), log.end());
        done(result);
    }
    void readNewest(LogName, std::function<void(base::Outcome<NewestRecords>)>) override { }

    std::size_t count(LeaseRecordKind kind) const
    {
        std::size_t found = 0;
        for (const std::string &bytes : log) {
            const auto record = base::decode<LeaseRecord>(bytes);
            found += record && record->kind == kind ? 1 : 0;
        }
        return found;
    }

    std::vector<std::string> log;
};

struct LeaseRunnerFixture
{
    LeaseRunnerFixture()
    {
        base::LogOptions quiet;
        quiet.level = base::EventLevel::Error;
        base::startLogging(quiet);
        runner->start();
    }

    bool holds()
    {
        return runUntil(io, [&] {
            clock.time += absl::Milliseconds(5);
            return runner->lease().mayAct(clock.time);
        });
    }

    /// Lets the runner take several steps.
    void pass()
    {
        const std::chrono::milliseconds severalSteps(350);
        io.restart();
        io.run_for(severalSteps);
    }

    boost::asio::io_context io;
    ManualClock clock;
    MemoryStore store;
    const ProcessName self { "a", 1 };
    PeerTable peers { self };
    std::unique_ptr<LeaseRunner> runner = makeLeaseRunner(
        io, store, clock, self, { absl::Milliseconds(3000), absl::Milliseconds(450) }, peers);
};

BOOST_FIXTURE_TEST_SUITE(LeaseRunnerTest, LeaseRunnerFixture)

BOOST_AUTO_TEST_CASE(stop_holder_actsNoMoreAtOnceAndGivesTheLeaseUp)
{
    BOOST_REQUIRE(holds());
    runner->stop();
    BOOST_TEST(!runner->lease().mayAct(clock.time));
    BOOST_TEST(!runner->permit());
    BOOST_TEST(runUntil(io, [&] { return store.count(LeaseRecordKind::Release) == 1; }));
    pass();
    BOOST_TEST(store.count(LeaseRecordKind::Release) == 1u);
}

BOOST_AUTO_TEST_CASE(stop_callUnderWay_leaseIsGivenUpOnlyAfterItsEnd)
{
    BOOST_REQUIRE(holds());
    DutyPermitPtr call = runner->permit();
    BOOST_REQUIRE(call);
    runner->stop();
    BOOST_TEST(!call->isValid()); // What is not written yet stays here.
    pass();
    BOOST_TEST(store.count(LeaseRecordKind::Release) == 0u);
    call.reset();
    BOOST_TEST(runUntil(io, [&] { return store.count(LeaseRecordKind::Release) == 1; }));
}

BOOST_AUTO_TEST_CASE(stop_callOutlivesTheLease_leaseLapsesByItself)
{
    BOOST_REQUIRE(holds());
    DutyPermitPtr call = runner->permit();
    runner->stop();
    clock.time += absl::Seconds(4);
    call.reset();
    pass();
    BOOST_TEST(store.count(LeaseRecordKind::Release) == 0u);
}

BOOST_AUTO_TEST_CASE(permit_leaseOver_isNotValid)
{
    BOOST_REQUIRE(holds());
    const DutyPermitPtr call = runner->permit();
    BOOST_REQUIRE(call->isValid());
    BOOST_TEST((call->timeLeft() <= absl::Milliseconds(2550)));
    clock.time += absl::Seconds(3); // Frozen.
    BOOST_TEST(!call->isValid());
    BOOST_TEST((call->timeLeft() == absl::ZeroDuration()));
}

BOOST_AUTO_TEST_CASE(permit_newerHolderRead_isNotValid)
{
    BOOST_REQUIRE(holds());
    const DutyPermitPtr call = runner->permit();
    runner->noteSuperseded();
    BOOST_TEST(!call->isValid());
    BOOST_TEST(!runner->permit());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
