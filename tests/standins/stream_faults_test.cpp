#include <future>

#include <boost/test/unit_test.hpp>

#include "standins_fixture.hpp"

namespace {

using namespace zinniadoor;
using e2e::HttpResponse;
using nlohmann::json;
using standins::Completion;
using standins::eventsOf;
using standins::offsetsOf;

using Offsets = std::vector<std::int64_t>;

struct StreamFaultFixture
{
    StreamFaultFixture() { fleet.addEngine({ "--tokens-per-second", "0" }); }

    HttpResponse completeUnder(json fault)
    {
        fault["path"] = "/v1";
        fault["count"] = 1;
        fleet.engine(0).setFaults(fault);
        Completion completion;
        completion.maxTokens = 4;
        e2e::HttpRequest call = completion.callTo(fleet.engine(0));
        call.timeout = absl::Seconds(2);
        return e2e::call(call);
    }

    json lastCompletion() { return fleet.engine(0).received("/v1")["calls"].back(); }

    e2e::Fleet fleet;
};

BOOST_FIXTURE_TEST_SUITE(StreamFaultTest, StreamFaultFixture)

BOOST_AUTO_TEST_CASE(truncate_midStream_abortsResponse)
{
    const HttpResponse answer = completeUnder({ { "kind", "truncate" }, { "after_tokens", 2 } });
    BOOST_TEST(!answer.complete);
    BOOST_TEST(offsetsOf(answer.body) == (Offsets { 0, 1 }));
    BOOST_TEST(lastCompletion()["end"] == "fault");
    BOOST_TEST(lastCompletion()["fault"] == "truncate");
    BOOST_TEST(standins::isDone(e2e::call(Completion {}.callTo(fleet.engine(0))).body));
}

BOOST_AUTO_TEST_CASE(truncate_clean_completesHttpResponse)
{
    const HttpResponse answer
        = completeUnder({ { "kind", "truncate" }, { "after_tokens", 3 }, { "clean", true } });
    BOOST_TEST(answer.complete);
    BOOST_TEST(!standins::isDone(answer.body));
    BOOST_TEST(offsetsOf(answer.body) == (Offsets { 0, 1, 2 }));
}

BOOST_AUTO_TEST_CASE(cross_midStream_echoesWrongId)
{
    const std::vector<json> events
        = eventsOf(completeUnder({ { "kind", "cross" }, { "after_tokens", 2 } }).body);
    BOOST_REQUIRE_EQUAL(events.size(), 5U);
    BOOST_TEST(events[1]["id"] == "request-1");
    BOOST_TEST(events[2]["id"] != "request-1");
}

BOOST_AUTO_TEST_CASE(gap_midStream_skipsOffset)
{
    const HttpResponse answer = completeUnder({ { "kind", "gap" }, { "after_tokens", 2 } });
    BOOST_TEST(offsetsOf(answer.body) == (Offsets { 0, 1, 3, 4 }));
}

BOOST_AUTO_TEST_CASE(double_midStream_repeatsOffset)
{
    const HttpResponse answer = completeUnder({ { "kind", "double" }, { "after_tokens", 2 } });
    BOOST_TEST(offsetsOf(answer.body) == (Offsets { 0, 1, 1, 2, 3, 4 }));
}

BOOST_AUTO_TEST_CASE(stall_midStream_stopsSending)
{
    const HttpResponse answer = completeUnder({ { "kind", "stall" }, { "after_tokens", 2 } });
    BOOST_TEST(!answer.complete);
    BOOST_TEST(offsetsOf(answer.body) == (Offsets { 0, 1 }));
    BOOST_TEST(e2e::waitUntil([&] { return lastCompletion()["end"] == "left"; }));
}

BOOST_AUTO_TEST_CASE(vanish_midStream_exitsProcess)
{
    const HttpResponse answer = completeUnder({ { "kind", "vanish" }, { "after_tokens", 2 } });
    BOOST_TEST(!answer.complete);
    BOOST_TEST(offsetsOf(answer.body) == (Offsets { 0, 1 }));
    BOOST_TEST(fleet.engine(0).process().wait().has_value());
}

BOOST_AUTO_TEST_CASE(mute_openStream_stopsSendingWhileNewStreamsWork)
{
    fleet.addEngine({ "--tokens-per-second", "50" });
    e2e::StandinProcess &engine = fleet.engine(1);
    Completion open;
    open.maxTokens = 100000;
    e2e::HttpRequest call = open.callTo(engine);
    call.timeout = absl::Seconds(3);
    bool muted = false;
    const HttpResponse answer = e2e::callStreamed(call, [&](std::string_view) {
        if (!muted) {
            engine.setFaults({ { "kind", "mute" } });
            muted = true;
        }
        return true;
    });
    BOOST_TEST(!answer.complete);
    // Tokens sent before the fault was set may still arrive. Without it, 150 tokens would arrive in
    // 3 s at 50 tokens per second.
    BOOST_TEST(eventsOf(answer.body.substr(0, answer.body.rfind("\n\n"))).size() < 50U);
    Completion fresh;
    fresh.id = "fresh";
    BOOST_TEST(standins::isDone(e2e::call(fresh.callTo(engine)).body));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
