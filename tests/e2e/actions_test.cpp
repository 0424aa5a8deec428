#include <thread>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "cluster.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::e2e;
using Json = nlohmann::json;

Cluster::Options actionOptions()
{
    Cluster::Options options;
    options.daemons = 3;
    options.fleet.services = 2;
    options.extraBundle
        = "routes:\n"
          "  - {id: crew, prefix: /crew, endpoints: [service-0, service-1], idempotent: false}\n";
    return options;
}

struct ActionsFixture
{
    ActionsFixture()
        : cluster(actionOptions())
    {
        BOOST_REQUIRE(cluster.waitUntilReady());
        for (std::size_t i = 0; i < cluster.daemonCount(); ++i) {
            BOOST_REQUIRE(waitUntil(
                [&] { return sendAction(i, "warm-" + std::to_string(i), "w").status == 200; }));
        }
    }

    HttpResponse sendAction(std::size_t daemon, const std::string &key, const std::string &body,
                            const std::string &query = {})
    {
        HttpRequest request;
        request.method = "POST";
        request.url = cluster.daemon(daemon).callersUrl("/crew/orders" + query);
        request.headers = { "Authorization: Bearer " + cluster.organisation(0).key };
        if (!key.empty())
            request.headers.push_back("Idempotency-Key: " + key);
        request.body = body;
        return e2e::call(request);
    }

    int executions(const std::string &key)
    {
        int count = 0;
        for (std::size_t i = 0; i < cluster.fleet().serviceCount(); ++i)
            count += cluster.fleet().service(i).received()["ran_by_key"].value(key, 0);
        return count;
    }

    void setServiceFaults(const Json &fault)
    {
        for (std::size_t i = 0; i < cluster.fleet().serviceCount(); ++i)
            cluster.fleet().service(i).setFaults(fault);
    }

    Cluster cluster;
};

BOOST_FIXTURE_TEST_SUITE(ActionsTest, ActionsFixture)

BOOST_AUTO_TEST_CASE(action_withoutKey_isRejectedWithoutRunning)
{
    const HttpResponse response = sendAction(0, "", "x");
    BOOST_TEST(response.status == 400);
    BOOST_TEST(response.headers.at("zinniadoor-run") == "not-run");
}

BOOST_AUTO_TEST_CASE(action_repeatedAtEveryInstance_runsOnceWithSameResponse)
{
    const HttpResponse first = sendAction(0, "order-1", "two poles");
    BOOST_REQUIRE(first.status == 200);
    for (std::size_t daemon = 0; daemon < 3; ++daemon) {
        const HttpResponse again = sendAction(daemon, "order-1", "two poles");
        BOOST_TEST(again.status == 200);
        BOOST_TEST(again.body == first.body);
        BOOST_TEST(again.headers.at("zinniadoor-run") == "ran");
    }
    BOOST_TEST(executions("order-1") == 1);
}

BOOST_AUTO_TEST_CASE(action_sameKeyWithOtherBody_returns422)
{
    BOOST_REQUIRE(sendAction(0, "order-2", "two poles").status == 200);
    BOOST_TEST(sendAction(1, "order-2", "three poles").status == 422);
    BOOST_TEST(executions("order-2") == 1);
}

BOOST_AUTO_TEST_CASE(action_sentToAllInstancesConcurrently_runsOnce)
{
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < 9; ++i) {
        threads.emplace_back([this, i] { sendAction(i % 3, "order-3", "four poles"); });
    }
    for (std::thread &thread : threads)
        thread.join();
    BOOST_TEST(waitUntil([&] { return sendAction(2, "order-3", "four poles").status == 200; }));
    BOOST_TEST(executions("order-3") == 1);
}

BOOST_AUTO_TEST_CASE(action_responseLostAfterExecution_isUnknownAndNeverRunAgain)
{
    setServiceFaults({ { "path", "/crew" }, { "kind", "drop_answer" } });
    const HttpResponse response = sendAction(0, "order-4", "x");
    BOOST_TEST(response.status == 502);
    BOOST_TEST(response.headers.at("zinniadoor-run") == "unknown");
    setServiceFaults({ { "clear", true } });
    BOOST_TEST(waitUntil([&] { return sendAction(1, "order-4", "x").status == 502; }));
    BOOST_TEST(executions("order-4") == 1);
}

BOOST_AUTO_TEST_CASE(action_ownerKilledDuringCall_isNeverRunAgain)
{
    setServiceFaults(
        { { "path", "/crew" }, { "kind", "delay" }, { "ms", 60000 }, { "after_effect", true } });
    std::thread caller([this] { sendAction(0, "order-5", "x"); });
    BOOST_TEST(waitUntil([&] { return executions("order-5") == 1; }));
    cluster.daemon(0).process->kill();
    caller.join();
    setServiceFaults({ { "clear", true } });
    const HttpResponse again = sendAction(1, "order-5", "x");
    BOOST_TEST((again.status == 409 || again.status == 502));
    BOOST_TEST(again.headers.at("zinniadoor-run") == "unknown");
    cluster.restartDaemon(0);
    BOOST_TEST(waitUntil([&] { return sendAction(2, "order-5", "x").status == 502; }));
    BOOST_TEST(executions("order-5") == 1);
}

BOOST_AUTO_TEST_CASE(action_logUnavailable_isRejectedNotRunAndMayBeRepeated)
{
    cluster.fleet().platform().setFaults({ { "path", "/log" }, { "kind", "refuse" } });
    HttpResponse response;
    BOOST_TEST(waitUntil([&] {
        response = sendAction(1, "order-6", "x");
        return response.status == 503;
    }));
    BOOST_TEST(response.headers.at("zinniadoor-run") == "not-run");
    BOOST_TEST(response.headers.count("retry-after") == 1u);
    cluster.fleet().platform().clearFaults();
    BOOST_TEST(waitUntil([&] { return sendAction(0, "order-6", "x").status == 200; }));
    BOOST_TEST(executions("order-6") == 1);
}

BOOST_AUTO_TEST_CASE(action_claimResponseLost_runsOnce)
{
    cluster.fleet().platform().setFaults({ { "path", "/log/records" },
                                           { "method", "POST" },
                                           { "kind", "drop_answer" },
                                           { "count", 6 } });
    HttpResponse response;
    BOOST_TEST(waitUntil([&] {
        response = sendAction(0, "order-7", "x");
        return response.status == 200;
    }));
    BOOST_TEST(executions("order-7") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
