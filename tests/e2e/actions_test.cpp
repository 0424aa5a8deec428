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
            BOOST_REQUIRE(
                waitUntil([&] { return act(i, "warm-" + std::to_string(i), "w").status == 200; }));
        }
    }

    HttpAnswer act(std::size_t daemon, const std::string &key, const std::string &body,
                   const std::string &query = {})
    {
        HttpCall call;
        call.method = "POST";
        call.url = cluster.daemon(daemon).callersUrl("/crew/orders" + query);
        call.headers = { "Authorization: Bearer " + cluster.organisation(0).key };
        if (!key.empty())
            call.headers.push_back("Idempotency-Key: " + key);
        call.body = body;
        return e2e::call(call);
    }

    int runs(const std::string &key)
    {
        int count = 0;
        for (std::size_t i = 0; i < cluster.fleet().serviceCount(); ++i)
            count += cluster.fleet().service(i).received()["ran_by_key"].value(key, 0);
        return count;
    }

    void setFaultsOnServices(const Json &fault)
    {
        for (std::size_t i = 0; i < cluster.fleet().serviceCount(); ++i)
            cluster.fleet().service(i).setFaults(fault);
    }

    Cluster cluster;
};

BOOST_FIXTURE_TEST_SUITE(ActionsTest, ActionsFixture)

BOOST_AUTO_TEST_CASE(action_withoutKey_isRefusedNotRun)
{
    const HttpAnswer answer = act(0, "", "x");
    BOOST_TEST(answer.status == 400);
    BOOST_TEST(answer.headers.at("zinniadoor-run") == "not-run");
}

BOOST_AUTO_TEST_CASE(action_repeatedAtEveryInstance_runsOnceWithTheSameAnswer)
{
    const HttpAnswer first = act(0, "order-1", "two poles");
    BOOST_REQUIRE(first.status == 200);
    for (std::size_t daemon = 0; daemon < 3; ++daemon) {
        const HttpAnswer again = act(daemon, "order-1", "two poles");
        BOOST_TEST(again.status == 200);
        BOOST_TEST(again.body == first.body);
        BOOST_TEST(again.headers.at("zinniadoor-run") == "ran");
    }
    BOOST_TEST(runs("order-1") == 1);
}

BOOST_AUTO_TEST_CASE(action_sameKeyOtherBody_gives422)
{
    BOOST_REQUIRE(act(0, "order-2", "two poles").status == 200);
    BOOST_TEST(act(1, "order-2", "three poles").status == 422);
    BOOST_TEST(runs("order-2") == 1);
}

BOOST_AUTO_TEST_CASE(action_sentToAllInstancesAtOnce_runsOnce)
{
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < 9; ++i) {
        threads.emplace_back([this, i] { act(i % 3, "order-3", "four poles"); });
    }
    for (std::thread &thread : threads)
        thread.join();
    BOOST_TEST(waitUntil([&] { return act(2, "order-3", "four poles").status == 200; }));
    BOOST_TEST(runs("order-3") == 1);
}

BOOST_AUTO_TEST_CASE(action_answerLostAfterEffect_isUnknownAndNeverRunAgain)
{
    setFaultsOnServices({ { "path", "/crew" }, { "kind", "drop_answer" } });
    const HttpAnswer answer = act(0, "order-4", "x");
    BOOST_TEST(answer.status == 502);
    BOOST_TEST(answer.headers.at("zinniadoor-run") == "unknown");
    setFaultsOnServices({ { "clear", true } });
    BOOST_TEST(waitUntil([&] { return act(1, "order-4", "x").status == 502; }));
    BOOST_TEST(runs("order-4") == 1);
}

BOOST_AUTO_TEST_CASE(action_ownerKilledDuringCall_isNeverRunAgain)
{
    setFaultsOnServices(
        { { "path", "/crew" }, { "kind", "delay" }, { "ms", 60000 }, { "after_effect", true } });
    std::thread caller([this] { act(0, "order-5", "x"); });
    BOOST_TEST(waitUntil([&] { return runs("order-5") == 1; }));
    cluster.daemon(0).process->kill();
    caller.join();
    setFaultsOnServices({ { "clear", true } });
    const HttpAnswer again = act(1, "order-5", "x");
    BOOST_TEST((again.status == 409 || again.status == 502));
    BOOST_TEST(again.headers.at("zinniadoor-run") == "unknown");
    cluster.restartDaemon(0);
    BOOST_TEST(waitUntil([&] { return act(2, "order-5", "x").status == 502; }));
    BOOST_TEST(runs("order-5") == 1);
}

BOOST_AUTO_TEST_CASE(action_withLogOut_isRefusedNotRunAndMayBeRepeated)
{
    cluster.fleet().platform().setFaults({ { "path", "/log" }, { "kind", "refuse" } });
    HttpAnswer answer;
    BOOST_TEST(waitUntil([&] {
        answer = act(1, "order-6", "x");
        return answer.status == 503;
    }));
    BOOST_TEST(answer.headers.at("zinniadoor-run") == "not-run");
    BOOST_TEST(answer.headers.count("retry-after") == 1u);
    cluster.fleet().platform().clearFaults();
    BOOST_TEST(waitUntil([&] { return act(0, "order-6", "x").status == 200; }));
    BOOST_TEST(runs("order-6") == 1);
}

BOOST_AUTO_TEST_CASE(action_claimAnswerLost_runsOnce)
{
    cluster.fleet().platform().setFaults({ { "path", "/log/records" },
                                           { "method", "POST" },
                                           { "kind", "drop_answer" },
                                           { "count", 6 } });
    HttpAnswer answer;
    BOOST_TEST(waitUntil([&] {
        answer = act(0, "order-7", "x");
        return answer.status == 200;
    }));
    BOOST_TEST(runs("order-7") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
