#include <atomic>
#include <chrono>
#include <future>
#include <mutex>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "standins_fixture.hpp"

namespace {

using namespace zinniadoor;
using e2e::HttpResponse;
using nlohmann::json;
using standins::Completion;
using standins::eventsOf;
using standins::offsetsOf;
using standins::textOf;

constexpr int ManyStreams = 300;

struct EngineFixture
{
    EngineFixture() { fleet.addEngine({ "--tokens-per-second", "0" }); }

    e2e::StandinProcess &engine(std::size_t index = 0) { return fleet.engine(index); }

    HttpResponse complete(const Completion &completion, std::size_t index = 0)
    {
        return e2e::call(completion.callTo(engine(index)));
    }

    HttpResponse order(const json &order, std::size_t index = 0)
    {
        return e2e::post(engine(index).url("/orders"), order.dump());
    }

    json load(std::size_t index = 0)
    {
        return json::parse(e2e::get(engine(index).url("/load")).body);
    }

    /// Requires that the engine received exactly one completion, and returns it.
    json onlyCompletion(std::size_t index = 0)
    {
        const json calls = engine(index).received("/v1/")["calls"];
        BOOST_REQUIRE_EQUAL(calls.size(), 1U);
        return calls[0];
    }

    bool waitForEnd(const std::string &end, std::size_t index = 0)
    {
        return e2e::waitUntil([&] { return onlyCompletion(index)["end"] == end; });
    }

    e2e::Fleet fleet;
};

BOOST_FIXTURE_TEST_SUITE(EngineTest, EngineFixture)

BOOST_AUTO_TEST_CASE(stream_ofCompletion_echoesIdAndOffsets)
{
    const HttpResponse answer = complete({});
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.complete);
    BOOST_TEST(answer.headers.at("content-type") == "text/event-stream");
    BOOST_TEST(standins::isDone(answer.body));
    const std::vector<json> events = eventsOf(answer.body);
    BOOST_REQUIRE_EQUAL(events.size(), 9U);
    for (std::size_t i = 0; i < events.size(); ++i) {
        BOOST_TEST(events[i]["id"] == "request-1");
        BOOST_TEST(events[i]["offset"] == i);
    }
    BOOST_TEST(events.back()["choices"][0]["finish_reason"] == "stop");
    BOOST_TEST(events.back()["usage"]["prompt_tokens"] == 3);
    BOOST_TEST(events.back()["usage"]["completion_tokens"] == 8);
    const json call = onlyCompletion();
    BOOST_TEST(call["finished"] == true);
    BOOST_TEST(call["tokens_sent"] == 8);
    BOOST_TEST(call["headers"]["Zinniadoor-Request"] == "request-1");
}

BOOST_AUTO_TEST_CASE(stream_ofChat_carriesDeltas)
{
    const json body { { "model", "m" },
                      { "stream", true },
                      { "messages", { { { "role", "user" }, { "content", "one two three" } } } } };
    const HttpResponse answer = e2e::post(engine().url("/v1/chat/completions"), body.dump());
    const std::vector<json> events = eventsOf(answer.body);
    BOOST_REQUIRE_EQUAL(events.size(), 17U);
    const std::vector<json> plain = eventsOf(complete({}).body);
    BOOST_TEST(events[0]["choices"][0]["delta"]["content"] == plain[0]["choices"][0]["text"]);
    BOOST_TEST(events[16]["choices"][0]["delta"].empty());
}

BOOST_AUTO_TEST_CASE(stream_resumedOnOtherEngine_isByteEqual)
{
    fleet.addEngine({ "--tokens-per-second", "0" });
    Completion full;
    full.maxTokens = 40;
    const std::string expected = textOf(complete(full).body);
    Completion continuation = full;
    continuation.resumeOffset = 13;
    const HttpResponse answer = complete(continuation, 1);
    BOOST_TEST(offsetsOf(answer.body).front() == 13);
    const std::string end = textOf(answer.body);
    BOOST_REQUIRE(end.size() < expected.size());
    BOOST_TEST(expected.substr(expected.size() - end.size()) == end);
    Completion start = full;
    start.maxTokens = 13;
    BOOST_TEST(textOf(complete(start).body) + end == expected);
}

BOOST_AUTO_TEST_CASE(stream_ofOtherPrompt_differs)
{
    Completion other;
    other.prompt = "four five six";
    BOOST_TEST(textOf(complete({}).body) != textOf(complete(other).body));
}

BOOST_AUTO_TEST_CASE(request_malformed_isRejected)
{
    const std::string url = engine().url("/v1/completions");
    BOOST_TEST(e2e::post(url, "{").status == 400);
    BOOST_TEST(e2e::post(url, R"({"model": "m", "prompt": 5, "stream": true})").status == 400);
    BOOST_TEST(e2e::post(url, R"({"model": 5, "prompt": "p", "stream": true})").status == 400);
    BOOST_TEST(e2e::post(url, R"({"model": "m", "prompt": "p"})").status == 400);
    BOOST_TEST(e2e::get(engine().url("/nothing")).status == 404);
}

BOOST_AUTO_TEST_CASE(request_forUnknownModel_isRejectedUntilLoaded)
{
    fleet.addEngine({ "--models", "a,b" });
    BOOST_TEST(complete({}, 1).status == 404);
    const json load {
        { "kind", "load_model" }, { "argument", "m" }, { "fencing", 1 }, { "slot", 1 }
    };
    BOOST_TEST(order(load, 1).status == 200);
    BOOST_TEST(complete({}, 1).status == 200);
}

BOOST_AUTO_TEST_CASE(stream_clientDisconnected_endsAsLeft)
{
    fleet.addEngine({ "--tokens-per-second", "50" });
    Completion completion;
    completion.maxTokens = 100000;
    const HttpResponse answer = e2e::callAndDisconnect(completion.callTo(engine(1)), 1);
    BOOST_TEST(!answer.complete);
    BOOST_TEST(waitForEnd("left", 1));
    BOOST_TEST(onlyCompletion(1)["finished"] == false);
    BOOST_TEST(e2e::waitUntil([&] { return load(1)["running"] == 0; }));
}

BOOST_AUTO_TEST_CASE(stream_cancelled_endsAsCancelled)
{
    fleet.addEngine({ "--tokens-per-second", "50" });
    Completion completion;
    completion.maxTokens = 100000;
    auto answer = std::async(std::launch::async, [&] { return complete(completion, 1); });
    BOOST_REQUIRE(e2e::waitUntil([&] { return load(1)["running"] == 1; }));
    e2e::post(engine(1).url("/cancel"), R"({"request": "request-1"})");
    BOOST_TEST(!answer.get().complete);
    BOOST_TEST(waitForEnd("cancelled", 1));
}

BOOST_AUTO_TEST_CASE(streams_manyConcurrent_allFinish)
{
    fleet.addEngine({ "--slots", std::to_string(ManyStreams), "--tokens-per-second", "20" });
    std::atomic<int> started { 0 };
    std::atomic<int> completed { 0 };
    std::vector<std::thread> clients;
    for (int i = 0; i < ManyStreams; ++i) {
        clients.emplace_back([&, i] {
            Completion completion;
            completion.id = "request-" + std::to_string(i);
            completion.maxTokens = 60;
            bool first = true;
            const HttpResponse answer
                = e2e::callStreamed(completion.callTo(engine(1)), [&](std::string_view) {
                      started += first ? 1 : 0;
                      first = false;
                      return true;
                  });
            completed
                += standins::isDone(answer.body) && eventsOf(answer.body)[0]["id"] == completion.id
                ? 1
                : 0;
        });
    }
    const bool allRan = e2e::waitUntil([&] { return load(1)["running"] == ManyStreams; });
    for (std::thread &client : clients)
        client.join();
    BOOST_TEST(allRan);
    BOOST_TEST(started == ManyStreams);
    BOOST_TEST(completed == ManyStreams);
}

BOOST_AUTO_TEST_CASE(queuedRequest_urgent_runsBeforeDeferable)
{
    fleet.addEngine({ "--slots", "1", "--tokens-per-second", "50" });
    Completion first;
    first.id = "first";
    first.maxTokens = 100000;
    Completion deferable;
    deferable.id = "deferable";
    deferable.headers = { "Zinniadoor-Priority: deferable" };
    deferable.maxTokens = 10; // Two clients read the ends, which must not be close together.
    Completion urgent = deferable;
    urgent.id = "urgent";
    urgent.headers = { "Zinniadoor-Priority: urgent" };
    std::vector<std::string> ended;
    std::mutex mutex;
    const auto run = [&](const Completion &completion) {
        return std::async(std::launch::async, [&, completion] {
            e2e::callStreamed(completion.callTo(engine(1)), [&](std::string_view data) {
                const std::lock_guard lock(mutex);
                if (data.find("[DONE]") != std::string_view::npos)
                    ended.push_back(completion.id);
                return true;
            });
        });
    };
    auto running = run(first);
    BOOST_REQUIRE(e2e::waitUntil([&] { return load(1)["running"] == 1; }));
    auto waitingDeferable = run(deferable);
    BOOST_REQUIRE(e2e::waitUntil([&] { return load(1)["waiting"] == 1; }));
    auto waitingUrgent = run(urgent);
    BOOST_REQUIRE(e2e::waitUntil([&] { return load(1)["waiting"] == 2; }));
    e2e::post(engine(1).url("/cancel"), R"({"request": "first"})");
    running.wait();
    waitingUrgent.wait();
    waitingDeferable.wait();
    BOOST_TEST(ended == (std::vector<std::string> { "urgent", "deferable" }));
}

BOOST_AUTO_TEST_CASE(order_withStaleFencing_isRejected)
{
    BOOST_TEST(
        order({ { "kind", "role" }, { "argument", "decode" }, { "fencing", 7 }, { "slot", 1 } })
            .status
        == 200);
    BOOST_TEST(
        order({ { "kind", "role" }, { "argument", "prefill" }, { "fencing", 6 }, { "slot", 2 } })
            .status
        == 409);
    const json calls = engine().received("/orders")["calls"];
    BOOST_REQUIRE_EQUAL(calls.size(), 2U);
    BOOST_TEST(calls[0]["order"]["outcome"] == "done");
    BOOST_TEST(calls[1]["order"]["outcome"] == "refused");
    BOOST_TEST(calls[1]["order"]["fencing"] == 6);
    BOOST_TEST(calls[1]["order"]["slot"] == 2);
    BOOST_TEST(engine().received()["role"] == "decode");
}

BOOST_AUTO_TEST_CASE(order_withStaleFencingAndFencingIgnored_takesEffect)
{
    fleet.addEngine({ "--fencing", "ignore" });
    const json newer { { "kind", "role" }, { "argument", "decode" }, { "fencing", 7 } };
    const json older { { "kind", "role" }, { "argument", "prefill" }, { "fencing", 6 } };
    BOOST_TEST(order(newer, 1).status == 200);
    BOOST_TEST(order(older, 1).status == 200);
    BOOST_TEST(engine(1).received()["role"] == "prefill");
}

BOOST_AUTO_TEST_CASE(roleChange_inProgress_rejectsNewRequestsAndKeepsStreams)
{
    fleet.addEngine({ "--role-change-ms", "300", "--tokens-per-second", "50" });
    Completion open;
    open.maxTokens = 100000;
    auto stream = std::async(std::launch::async, [&] { return complete(open, 1); });
    BOOST_REQUIRE(e2e::waitUntil([&] { return load(1)["running"] == 1; }));
    const json role {
        { "kind", "role" }, { "argument", "prefill" }, { "fencing", 1 }, { "slot", 1 }
    };
    BOOST_REQUIRE_EQUAL(order(role, 1).status, 200);
    const json firstOrder = engine(1).received("/orders")["calls"][0]["order"];
    BOOST_TEST(firstOrder["open_streams"] == 1);
    Completion probe;
    probe.maxTokens = 1;
    HttpResponse refused;
    // Under load the role change may finish before the probe arrives; retry then.
    const bool seen = e2e::waitUntil([&] {
        auto change = std::async(std::launch::async, [&] { return order(role, 1); });
        while (refused.status != 503
               && change.wait_for(std::chrono::milliseconds(0)) != std::future_status::ready)
            refused = complete(probe, 1);
        return change.get().status == 200 && refused.status == 503;
    });
    BOOST_TEST(seen);
    BOOST_TEST(refused.headers.count("retry-after") == 1U);
    probe.id = "after";
    BOOST_TEST(complete(probe, 1).status == 200);
    BOOST_TEST(load(1)["running"] == 1);
    BOOST_TEST(engine(1).received()["role"] == "prefill");
    e2e::post(engine(1).url("/cancel"), R"({"request": "request-1"})");
    BOOST_TEST(!stream.get().complete);
}

BOOST_AUTO_TEST_CASE(orders_concurrent_areMarkedOverlapped)
{
    fleet.addEngine({ "--role-change-ms", "300" });
    const json role { { "kind", "role" }, { "argument", "prefill" }, { "fencing", 1 } };
    const bool seen = e2e::waitUntil([&] {
        auto other = std::async(std::launch::async, [&] { return order(role, 1); });
        order(role, 1);
        other.wait();
        const json calls = engine(1).received("/orders")["calls"];
        for (const json &call : calls) {
            if (call["order"]["overlapped"] == true)
                return true;
        }
        return false;
    });
    BOOST_TEST(seen);
}

BOOST_AUTO_TEST_CASE(roleChange_withCuts_abortsOpenStreams)
{
    fleet.addEngine({ "--role-change-cuts", "--tokens-per-second", "50" });
    Completion open;
    open.maxTokens = 100000;
    auto stream = std::async(std::launch::async, [&] { return complete(open, 1); });
    BOOST_REQUIRE(e2e::waitUntil([&] { return load(1)["running"] == 1; }));
    order({ { "kind", "role" }, { "argument", "prefill" }, { "fencing", 1 }, { "slot", 1 } }, 1);
    BOOST_TEST(!stream.get().complete);
    BOOST_TEST(waitForEnd("cut", 1));
}

BOOST_AUTO_TEST_CASE(prompt_withCrashMarker_exitsProcess)
{
    fleet.addEngine({ "--crash-on", "poison" });
    Completion marked;
    marked.prompt = "a poisonous prompt";
    const HttpResponse answer = complete(marked, 1);
    BOOST_TEST(answer.status == 0);
    const auto exit = engine(1).process().wait();
    BOOST_REQUIRE(exit.has_value());
    BOOST_TEST(exit->code.value_or(0) == 70);
}

BOOST_AUTO_TEST_CASE(load_withLag_isStale)
{
    fleet.addEngine({ "--load-lag-ms", "60000", "--tokens-per-second", "50" });
    Completion open;
    open.maxTokens = 100000;
    bool looked = false;
    e2e::callStreamed(open.callTo(engine(1)), [&](std::string_view) {
        const json report = load(1);
        BOOST_TEST(report["running"] == 0);
        BOOST_TEST(report["age_ms"] == 60000);
        looked = true;
        return false;
    });
    BOOST_TEST(looked);
}

BOOST_AUTO_TEST_CASE(cacheEvents_withGapEvery_skipSequenceNumbers)
{
    fleet.addEngine({ "--page-tokens", "2", "--kv-pages", "100", "--cache-event-gap-every", "3" });
    Completion completion;
    completion.prompt = "a b c d e f g h i";
    complete(completion, 1);
    const auto eventsAfter = [&](int after) {
        return json::parse(
            e2e::get(engine(1).url("/cache_events?after=" + std::to_string(after))).body);
    };
    const json all = eventsAfter(0);
    BOOST_REQUIRE_EQUAL(all["events"].size(), 3U);
    BOOST_TEST(all["events"][0]["sequence"] == 1);
    BOOST_TEST(all["events"][0]["kind"] == "stored");
    BOOST_TEST(all["events"][2]["sequence"] == 4);
    BOOST_TEST(all["last"] == 4);
    BOOST_TEST(eventsAfter(1)["events"].size() == 2U);
}

BOOST_AUTO_TEST_CASE(cache_beyondCapacity_evicts)
{
    fleet.addEngine({ "--page-tokens", "2", "--kv-pages", "6" });
    Completion completion;
    completion.prompt = "a b c d";
    completion.maxTokens = 0;
    complete(completion, 1);
    completion.prompt = "e f g h i j k l";
    complete(completion, 1);
    const json events
        = json::parse(e2e::get(engine(1).url("/cache_events?after=0")).body)["events"];
    BOOST_TEST(events[0]["kind"] == "stored");
    BOOST_TEST(events.back()["kind"] == "evicted");
    BOOST_TEST(load(1)["kv_pages"] == 6);
}

BOOST_AUTO_TEST_CASE(kvCache_importedByOtherEngine_skipsPrefill)
{
    fleet.addEngine({ "--prefill-tokens-per-second", "1" });
    complete({});
    const HttpResponse kv = e2e::get(engine(0).url("/kv?request=request-1"));
    BOOST_REQUIRE_EQUAL(kv.status, 200);
    e2e::HttpRequest put;
    put.method = "PUT";
    put.url = engine(1).url("/kv?request=request-1");
    put.body = kv.body;
    BOOST_TEST(e2e::call(put).status == 200);
    Completion continuation;
    continuation.prompt = "one two three";
    continuation.resumeOffset = 4;
    // Without the KV cache, prefill alone would take 7 s.
    e2e::HttpRequest resumed = continuation.callTo(engine(1));
    resumed.timeout = absl::Seconds(5);
    BOOST_TEST(standins::isDone(e2e::call(resumed).body));
    BOOST_TEST(e2e::get(engine(1).url("/kv?request=unknown")).status == 404);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
