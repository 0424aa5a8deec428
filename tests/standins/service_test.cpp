#include <csignal>
#include <future>

#include <boost/test/unit_test.hpp>

#include "standins_fixture.hpp"

namespace {

using namespace zinniadoor;
using e2e::HttpResponse;
using nlohmann::json;

struct ServiceFixture
{
    HttpResponse charge(const std::string &key)
    {
        return e2e::post(service.url("/charges"), "a body", { "Idempotency-Key: " + key });
    }

    e2e::StandinProcess service { "service", STANDIN_SERVICE_PATH, { "--id", "crew-orders" } };
};

BOOST_FIXTURE_TEST_SUITE(ServiceTest, ServiceFixture)

BOOST_AUTO_TEST_CASE(action_executed_isCountedByKey)
{
    const json first = json::parse(charge("k1").body);
    BOOST_TEST(first["service"] == "crew-orders");
    BOOST_TEST(first["ran"] == 1);
    BOOST_TEST(first["echo"] == "a body");
    charge("k1");
    charge("k2");
    e2e::get(service.url("/anything"));
    const json received = service.received();
    BOOST_TEST(received["ran"] == 4);
    BOOST_TEST(received["ran_by_key"]["k1"] == 2);
    BOOST_TEST(received["ran_by_key"]["k2"] == 1);
    BOOST_REQUIRE_EQUAL(received["calls"].size(), 4U);
    BOOST_TEST(received["calls"][0]["headers"]["Idempotency-Key"] == "k1");
    BOOST_TEST(received["calls"][0]["body"] == "a body");
    BOOST_TEST(received["calls"][0]["at_ms"] <= received["calls"][3]["at_ms"]);
}

BOOST_AUTO_TEST_CASE(action_underFaults_countsOnlyExecutions)
{
    service.setFaults({ { "path", "/charges" }, { "kind", "refuse" }, { "count", 1 } });
    BOOST_TEST(charge("refused").status == 503);
    service.setFaults({ { "path", "/charges" }, { "kind", "drop_answer" }, { "count", 1 } });
    BOOST_TEST(charge("lost").status == 0);
    const json received = service.received();
    BOOST_TEST(received["ran_by_key"].count("refused") == 0U);
    BOOST_TEST(received["ran_by_key"]["lost"] == 1);
    BOOST_TEST(received["calls"][0]["fault"] == "refuse");
    BOOST_TEST(received["calls"][0]["status"] == 503);
    BOOST_TEST(received["calls"][1]["status"] == 0);
}

BOOST_AUTO_TEST_CASE(slowCall_frozenProcess_answersAfterThaw)
{
    auto slow
        = std::async(std::launch::async, [this] { return e2e::get(service.url("/slow?ms=300")); });
    BOOST_REQUIRE(e2e::waitUntil([&] { return service.received()["ran"] == 1; }));
    service.process().freeze();
    e2e::HttpRequest call;
    call.url = service.url("/received");
    call.timeout = absl::Milliseconds(300);
    BOOST_TEST(e2e::call(call).status == 0);
    BOOST_TEST(service.process().isRunning());
    service.process().thaw();
    BOOST_TEST(slow.get().status == 200);
}

BOOST_AUTO_TEST_CASE(process_terminated_exitsWithZero)
{
    service.process().terminate();
    const auto exit = service.process().wait();
    BOOST_REQUIRE(exit.has_value());
    BOOST_TEST(exit->code.value_or(-1) == 0);
}

BOOST_AUTO_TEST_CASE(process_stdinClosed_exitsWithZero)
{
    service.process().closeInput();
    const auto exit = service.process().wait();
    BOOST_REQUIRE(exit.has_value());
    BOOST_TEST(exit->code.value_or(-1) == 0);
}

BOOST_AUTO_TEST_CASE(process_killed_endsBySignal)
{
    service.process().kill();
    const auto exit = service.process().wait();
    BOOST_REQUIRE(exit.has_value());
    BOOST_TEST(exit->signal == SIGKILL);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
