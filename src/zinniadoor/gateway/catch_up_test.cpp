#include <memory>
#include <optional>

#include <boost/test/unit_test.hpp>

#include "log_follower_fixture.hpp"
#include "support/event_loop.hpp"
#include "zinniadoor/base/clock.hpp"
#include "zinniadoor/gateway/catch_up.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::gateway;
using zinniadoor::gateway::followertest::Listener;
using zinniadoor::gateway::followertest::MemoryStore;

/// A follower that hears nothing of others and reads for silence after an hour.
struct CatchUpFixture
{
    CatchUpFixture()
    {
        store.log = { "e1=1" };
        FollowerOptions options;
        options.log = LogName::Endpoints;
        options.self = { "a", 1 };
        options.retryDelay = absl::Milliseconds(2);
        options.relayTimeout = absl::Hours(1);
        options.startTimeout = absl::Hours(1);
        follower = makeLogFollower(io, { store, store, *clock, listener, listener }, options);
        follower->start();
        BOOST_REQUIRE(until([&] { return listener.current == 1; }));
    }

    bool until(const std::function<bool()> &condition)
    {
        return zinniadoor::test::runUntil(io, condition);
    }

    CatchUpCallback noteEnd()
    {
        return [this](bool current) {
            isCurrent = current;
            value = listener.values["e1"];
        };
    }

    boost::asio::io_context io;
    std::unique_ptr<base::Clock> clock = base::systemClock();
    MemoryStore store { io };
    Listener listener;
    std::unique_ptr<LogFollower> follower;
    std::optional<bool> isCurrent; ///< Once a catch-up has ended.
    std::string value; ///< Then.
};

BOOST_FIXTURE_TEST_SUITE(CatchUpTest, CatchUpFixture)

BOOST_AUTO_TEST_CASE(catchUp_recordsUnknown_appliesThemFirst)
{
    store.log.emplace_back("e1=2");
    follower->catchUp(noteEnd());
    BOOST_REQUIRE(until([&] { return isCurrent.has_value(); }));
    BOOST_TEST(*isCurrent);
    BOOST_TEST(value == "2");
    BOOST_TEST(listener.published.empty()); // Others have a reader.
}

// What a read shows that began before the question may lack what was written since.
BOOST_AUTO_TEST_CASE(catchUp_duringRead_waitsForOneThatBeginsLater)
{
    store.beforeAnswer = [&] {
        store.beforeAnswer = nullptr;
        store.log.emplace_back("e1=2");
        follower->catchUp(noteEnd());
    };
    follower->catchUp([](bool) {});
    BOOST_REQUIRE(until([&] { return isCurrent.has_value(); }));
    BOOST_TEST(*isCurrent);
    BOOST_TEST(value == "2");
}

BOOST_AUTO_TEST_CASE(catchUps_several_shareOneRead)
{
    int ended = 0;
    const int before = store.reads;
    for (int i = 0; i < 5; ++i)
        follower->catchUp([&](bool) { ++ended; });
    BOOST_REQUIRE(until([&] { return ended == 5; }));
    BOOST_TEST(store.reads == before + 1);
}

BOOST_AUTO_TEST_CASE(catchUp_storeDown_fails)
{
    store.down = true;
    follower->catchUp(noteEnd());
    BOOST_REQUIRE(until([&] { return isCurrent.has_value(); }));
    BOOST_TEST(!*isCurrent);
}

// After two failures no catch-up was tried again, though others relayed and the store was back.
BOOST_AUTO_TEST_CASE(catchUp_storeIsBackAfterFailures_succeeds)
{
    store.down = true;
    for (int i = 0; i < 3; ++i) {
        isCurrent.reset();
        follower->catchUp(noteEnd());
        BOOST_REQUIRE(until([&] { return isCurrent.has_value(); }));
        BOOST_TEST(!*isCurrent);
    }
    store.down = false;
    BOOST_TEST(until([&] {
        follower->catchUp(noteEnd());
        return isCurrent.value_or(false);
    }));
}

BOOST_AUTO_TEST_CASE(catchUp_recordsTrimmed_readsNewest)
{
    store.log = { "e1=2", "e1=3" };
    store.firstOffset = 2;
    follower->catchUp(noteEnd());
    BOOST_REQUIRE(until([&] { return isCurrent.has_value(); }));
    BOOST_TEST(*isCurrent);
    BOOST_TEST(value == "3");
}

// The store does not answer: the caller is not held.
BOOST_AUTO_TEST_CASE(catchUpWithin_noAnswer_fails)
{
    store.isSilent = true;
    catchUpWithin(absl::Milliseconds(20), io, *clock, *follower, noteEnd());
    BOOST_REQUIRE(until([&] { return isCurrent.has_value(); }));
    BOOST_TEST(!*isCurrent);
}

BOOST_AUTO_TEST_CASE(catchUpWithin_answerInTime_endsOnce)
{
    int ended = 0;
    catchUpWithin(absl::Milliseconds(200), io, *clock, *follower, [&](bool) { ++ended; });
    BOOST_REQUIRE(until([&] { return ended > 0; }));
    io.restart();
    io.run_for(std::chrono::milliseconds(300));
    BOOST_TEST(ended == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
