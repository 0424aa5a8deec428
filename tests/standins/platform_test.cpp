#include <future>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "absl/strings/escaping.h"

#include "standins_fixture.hpp"

namespace {

using namespace zinniadoor;
using e2e::HttpResponse;
using nlohmann::json;

struct PlatformFixture
{
    explicit PlatformFixture(const e2e::Arguments &arguments = {})
        : platform("platform", STANDIN_PLATFORM_PATH, arguments)
    { }

    HttpResponse append(const std::string &record)
    {
        return e2e::post(platform.url("/log/records"), record,
                         { "Content-Type: application/octet-stream" });
    }

    /// An append with a client timeout of 1 s.
    e2e::HttpRequest shortAppend() const
    {
        e2e::HttpRequest call;
        call.method = "POST";
        call.url = platform.url("/log/records");
        call.body = "record";
        call.timeout = absl::Seconds(1);
        return call;
    }

    HttpResponse read(std::uint64_t after, const std::string &rest = {})
    {
        return e2e::get(platform.url("/log/records?after=" + std::to_string(after) + rest));
    }

    HttpResponse report(const std::string &organisation, int window, int outputTokens, int fencing)
    {
        const json body { { "organisation", organisation },
                          { "window", window },
                          { "requests", 1 },
                          { "prompt_tokens", 2 },
                          { "output_tokens", outputTokens },
                          { "fencing", fencing } };
        return e2e::post(platform.url("/billing/reports"), body.dump());
    }

    HttpResponse endpointOrder(const std::string &dataCentre, int fencing)
    {
        const json body { { "kind", "start" },
                          { "data_centre", dataCentre },
                          { "endpoint", "engine-0" },
                          { "fencing", fencing } };
        return e2e::post(platform.url("/endpoint_orders"), body.dump());
    }

    e2e::StandinProcess platform;
};

struct RetainingFixture : PlatformFixture
{
    RetainingFixture()
        : PlatformFixture({ "--retain", "3" })
    { }
};

std::vector<std::uint64_t> offsetsIn(const HttpResponse &answer)
{
    std::vector<std::uint64_t> offsets;
    const json page = json::parse(answer.body);
    for (const json &record : page["records"])
        offsets.push_back(record["offset"].get<std::uint64_t>());
    return offsets;
}

BOOST_FIXTURE_TEST_SUITE(PlatformTest, PlatformFixture)

BOOST_AUTO_TEST_CASE(log_empty_hasOffsetsZero)
{
    const json page = json::parse(read(0).body);
    BOOST_TEST(page["first"] == 0);
    BOOST_TEST(page["last"] == 0);
    BOOST_TEST(page["records"].empty());
}

BOOST_AUTO_TEST_CASE(append_binaryRecords_areReadInOrder)
{
    const std::string binary("\x00\xff\x80 bytes\n", 10);
    BOOST_TEST(json::parse(append("first").body)["offset"] == 1);
    BOOST_TEST(json::parse(append(binary).body)["offset"] == 2);
    BOOST_TEST(json::parse(append("").body)["offset"] == 3);
    const HttpResponse answer = read(1);
    BOOST_TEST(offsetsIn(answer) == (std::vector<std::uint64_t> { 2, 3 }));
    std::string data;
    const auto text = json::parse(answer.body)["records"][0]["data"].get<std::string>();
    BOOST_REQUIRE(absl::Base64Unescape(text, &data));
    BOOST_TEST(data == binary);
    BOOST_TEST(offsetsIn(read(0, "&limit=2")) == (std::vector<std::uint64_t> { 1, 2 }));
    BOOST_TEST(platform.received()["appends"] == 3);
}

BOOST_AUTO_TEST_CASE(append_concurrent_offsetsHaveNoGaps)
{
    constexpr int Writers = 8;
    constexpr int PerWriter = 20;
    std::vector<std::future<void>> writers;
    for (int writer = 0; writer < Writers; ++writer) {
        writers.push_back(std::async(std::launch::async, [this] {
            for (int i = 0; i < PerWriter; ++i)
                append("record");
        }));
    }
    for (std::future<void> &writer : writers)
        writer.wait();
    const std::vector<std::uint64_t> offsets = offsetsIn(read(0));
    BOOST_REQUIRE_EQUAL(offsets.size(), std::size_t { Writers } * PerWriter);
    for (std::size_t i = 0; i < offsets.size(); ++i)
        BOOST_TEST(offsets[i] == i + 1);
}

BOOST_AUTO_TEST_CASE(read_longPolling_returnsOnAppend)
{
    auto reader = std::async(std::launch::async, [this] { return read(0, "&wait_ms=20000"); });
    BOOST_REQUIRE(e2e::waitUntil(
        [&] { return platform.received()["counts"].value("GET /log/records", 0) == 1; }));
    append("record");
    BOOST_TEST(offsetsIn(reader.get()) == (std::vector<std::uint64_t> { 1 }));
}

BOOST_AUTO_TEST_CASE(append_underDropAnswerFault_takesEffect)
{
    platform.setFaults({ { "path", "/log" }, { "kind", "drop_answer" }, { "count", 1 } });
    const HttpResponse lost = append("lost");
    BOOST_TEST(lost.status == 0);
    BOOST_TEST(json::parse(append("next").body)["offset"] == 2);
    BOOST_TEST(offsetsIn(read(0)).size() == 2U);
}

BOOST_AUTO_TEST_CASE(append_underRefuseFault_hasNoEffect)
{
    platform.setFaults({ { "path", "/log" }, { "kind", "refuse" } });
    BOOST_TEST(append("record").status == 503);
    BOOST_TEST(read(0).status == 503);
    platform.clearFaults();
    BOOST_TEST(platform.received()["appends"] == 0);
    BOOST_TEST(platform.received()["faults"].empty());
    BOOST_TEST(append("record").status == 200);
}

BOOST_AUTO_TEST_CASE(append_underSilentFault_getsNoResponse)
{
    json fault { { "path", "/log" }, { "kind", "silent" }, { "method", "POST" }, { "count", 1 } };
    platform.setFaults(fault);
    BOOST_TEST(e2e::call(shortAppend()).status == 0);
    BOOST_TEST(read(0).status == 200);
    BOOST_TEST(platform.received()["appends"] == 0);
    fault["after_effect"] = true;
    platform.setFaults(fault);
    BOOST_TEST(e2e::call(shortAppend()).status == 0);
    BOOST_TEST(e2e::waitUntil([&] { return platform.received()["appends"] == 1; }));
}

BOOST_AUTO_TEST_CASE(append_underDelayFault_isDelayedBeforeOrAfterEffect)
{
    // Longer than any test, so that the second half of a delayed call is never executed.
    constexpr int LongDelayMs = 600000;
    json fault { { "path", "/log" }, { "kind", "delay" }, { "ms", LongDelayMs }, { "count", 1 } };
    platform.setFaults(fault);
    HttpResponse unanswered;
    std::thread before([&] { unanswered = e2e::call(shortAppend()); });
    BOOST_TEST(e2e::waitUntil([&] { return platform.received()["faults"].empty(); }));
    BOOST_TEST(json::parse(append("early").body)["offset"] == 1);
    before.join();
    BOOST_TEST(unanswered.status == 0);
    fault["after_effect"] = true;
    platform.setFaults(fault);
    std::thread after([&] { unanswered = e2e::call(shortAppend()); });
    BOOST_TEST(e2e::waitUntil([&] { return platform.received()["appends"] == 2; }));
    after.join();
    BOOST_TEST(unanswered.status == 0);
    fault["ms"] = 10;
    platform.setFaults(fault);
    BOOST_TEST(json::parse(append("slow").body)["offset"] == 3);
}

BOOST_AUTO_TEST_CASE(fault_withStatus_respondsWithStatus)
{
    platform.setFaults({ { "path", "/log" }, { "kind", "refuse" }, { "status", 500 } });
    BOOST_TEST(append("record").status == 500);
}

BOOST_AUTO_TEST_CASE(fault_withSkip_passesFirstCalls)
{
    platform.setFaults({ { "path", "/log" }, { "kind", "refuse" }, { "skip", 1 }, { "count", 1 } });
    BOOST_TEST(append("a").status == 200);
    BOOST_TEST(append("b").status == 503);
    BOOST_TEST(append("c").status == 200);
}

BOOST_AUTO_TEST_CASE(fault_withContains_matchesBody)
{
    platform.setFaults({ { "path", "/log" }, { "kind", "refuse" }, { "contains", "marked" } });
    BOOST_TEST(append("plain").status == 200);
    BOOST_TEST(append("a marked record").status == 503);
}

BOOST_AUTO_TEST_CASE(fault_malformed_isRejected)
{
    BOOST_TEST(e2e::post(platform.url("/faults"), "{").status == 400);
    BOOST_TEST(e2e::post(platform.url("/faults"), R"({"kind": "odd"})").status == 400);
    BOOST_TEST(e2e::post(platform.url("/faults"), R"({"kind": 5})").status == 400);
}

BOOST_AUTO_TEST_CASE(fault_vanish_exitsProcessAndRestartLosesState)
{
    append("record");
    platform.setFaults({ { "path", "/log" }, { "kind", "vanish" }, { "after_effect", true } });
    BOOST_TEST(append("record").status == 0);
    BOOST_REQUIRE(platform.process().wait().has_value());
    const std::uint16_t port = platform.port();
    platform.restart();
    BOOST_TEST(platform.port() == port);
    BOOST_TEST(json::parse(append("record").body)["offset"] == 1);
}

BOOST_AUTO_TEST_CASE(billingReport_withOtherFigures_isRejected)
{
    BOOST_TEST(report("a", 60, 5, 1).status == 200);
    BOOST_TEST(report("a", 60, 5, 2).status == 200);
    BOOST_TEST(report("a", 60, 6, 3).status == 409);
    BOOST_TEST(report("a", 120, 6, 3).status == 200);
    BOOST_TEST(report("b", 60, 6, 3).status == 200);
    const json reports = platform.received()["billing_reports"];
    BOOST_REQUIRE_EQUAL(reports.size(), 5U);
    BOOST_TEST(reports[2]["outcome"] == 409);
    BOOST_TEST(reports[2]["organisation"] == "a");
    BOOST_TEST(reports[2]["output_tokens"] == 6);
    BOOST_TEST(reports[1]["fencing"] == 2);
    BOOST_TEST(e2e::post(platform.url("/billing/reports"), R"({"window": 1})").status == 400);
}

BOOST_AUTO_TEST_CASE(endpointOrder_withStaleFencing_isRejectedPerDataCentre)
{
    BOOST_TEST(endpointOrder("east", 5).status == 200);
    BOOST_TEST(endpointOrder("east", 4).status == 409);
    BOOST_TEST(endpointOrder("west", 4).status == 200);
    const json orders = platform.received()["endpoint_orders"];
    BOOST_REQUIRE_EQUAL(orders.size(), 3U);
    BOOST_TEST(orders[0]["outcome"] == 200);
    BOOST_TEST(orders[1]["outcome"] == 409);
    BOOST_TEST(orders[1]["fencing"] == 4);
    BOOST_TEST(orders[0]["at_ms"] <= orders[1]["at_ms"]);
}

BOOST_AUTO_TEST_CASE(weights_ofModel_haveDefaultSize)
{
    const HttpResponse answer = e2e::get(platform.url("/weights/m"));
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.body.size() == 1024U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(PlatformRetentionTest, RetainingFixture)

BOOST_AUTO_TEST_CASE(read_beyondRetention_returnsGone)
{
    for (int i = 0; i < 5; ++i)
        append("record");
    const HttpResponse gone = read(1);
    BOOST_TEST(gone.status == 410);
    BOOST_TEST(json::parse(gone.body)["first"] == 3);
    BOOST_TEST(json::parse(gone.body)["last"] == 5);
    BOOST_TEST(offsetsIn(read(2)) == (std::vector<std::uint64_t> { 3, 4, 5 }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(PlatformOptionsTest)

BOOST_AUTO_TEST_CASE(instanceList_withLag_isStale)
{
    PlatformFixture lagging({ "--list-lag-ms", "60000" });
    PlatformFixture current;
    const json instances
        = { { { "id", "i-1" }, { "data_centre", "east" }, { "state", "leaving" } } };
    const json body { { "instances", instances } };
    for (PlatformFixture *fixture : { &lagging, &current }) {
        const std::string url = fixture->platform.url("/instances");
        BOOST_TEST(e2e::post(url, body.dump()).status == 200);
    }
    BOOST_TEST(json::parse(e2e::get(lagging.platform.url("/instances")).body)["instances"].empty());
    BOOST_TEST(json::parse(e2e::get(current.platform.url("/instances")).body) == body);
}

BOOST_AUTO_TEST_CASE(append_aboveRate_isRejectedOnceQueueIsFull)
{
    PlatformFixture slow({ "--appends-per-second", "1" });
    std::vector<std::future<int>> writers;
    for (int i = 0; i < 10; ++i)
        writers.push_back(std::async(std::launch::async, [&] { return slow.append("r").status; }));
    int refused = 0;
    int accepted = 0;
    for (std::future<int> &writer : writers) {
        const int status = writer.get();
        refused += status == 429 ? 1 : 0;
        accepted += status == 200 ? 1 : 0;
    }
    BOOST_TEST(refused > 0);
    BOOST_TEST(accepted > 0);
    BOOST_TEST(accepted + refused == 10);
    BOOST_TEST(slow.platform.received()["appends"] == accepted);
}

BOOST_AUTO_TEST_CASE(weights_aboveRate_areRejected)
{
    PlatformFixture slow({ "--weights-per-second", "1" });
    BOOST_TEST(e2e::get(slow.platform.url("/weights/m")).status == 200);
    bool refused = false;
    for (int i = 0; i < 100 && !refused; ++i) {
        const HttpResponse answer = e2e::get(slow.platform.url("/weights/m"));
        refused = answer.status == 429 && answer.headers.count("retry-after") == 1;
    }
    BOOST_TEST(refused);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
