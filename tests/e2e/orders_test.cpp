#include <atomic>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "absl/time/clock.h"

#include "cluster.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::e2e;
using Json = nlohmann::json;

constexpr std::size_t Engines = 6;

/// All engines begin with prefill and cut their streams when the role changes; they obey orders
/// with old fencing numbers, so that nothing but the sender keeps conflicting ones away.
Cluster::Options orderOptions()
{
    Cluster::Options options;
    options.daemons = 3;
    options.fleet.engines = Engines;
    options.fleet.engineArguments
        = { "--tokens-per-second", "400",    "--role",           "prefill",
            "--fencing",           "ignore", "--role-change-ms", "150",
            "--role-change-cuts" };
    options.endpointOptions = ", role: prefill";
    options.extraSettings
        = "control: {heartbeat: 200ms, lease: 2s, lease_margin: 300ms, vouch: 2s, "
          "peer_heartbeat: 100ms, peer_silence: 600ms}\n"
          "roles: {change_time: 200ms, dwell: 2s, horizon: 20s}\n";
    return options;
}

struct OrdersFixture
{
    OrdersFixture()
        : cluster(orderOptions())
    {
        BOOST_REQUIRE(cluster.waitUntilReady());
        for (std::size_t i = 0; i < 3; ++i)
            BOOST_REQUIRE(waitUntil([&] { return ask(i, 2); }));
        for (std::size_t i = 0; i < 24; ++i)
            callers.emplace_back([this, i] { demandDecode(i % 3); });
    }

    ~OrdersFixture()
    {
        leave = true;
        for (std::thread &caller : callers)
            caller.join();
    }

    bool ask(std::size_t daemon, int tokens)
    {
        HttpCall call = cluster.chat(daemon, 0, "long answers only", tokens, true);
        call.timeout = absl::Seconds(10);
        const HttpAnswer answer = e2e::call(call);
        return answer.status == 200 && answer.complete;
    }

    /// Short prompts and long answers: the decode role is short of engines.
    void demandDecode(std::size_t daemon)
    {
        while (!leave) {
            if (!ask(daemon, 300) && frozen != static_cast<int>(daemon) && !leave)
                ++cutAnswers;
        }
    }

    Json ordersOf(std::size_t engine)
    {
        Json orders = Json::array();
        const Json received = cluster.fleet().engine(engine).received("/orders");
        for (const Json &call : received["calls"]) {
            if (call.contains("order"))
                orders.push_back(call["order"]);
        }
        return orders;
    }

    std::size_t doneOrders()
    {
        std::size_t done = 0;
        for (std::size_t engine = 0; engine < Engines; ++engine) {
            for (const Json &order : ordersOf(engine))
                done += order["outcome"] == "done" ? 1 : 0;
        }
        return done;
    }

    void checkOrdersNeverConflict()
    {
        for (std::size_t engine = 0; engine < Engines; ++engine) {
            std::uint64_t lastSlot = 0;
            for (const Json &order : ordersOf(engine)) {
                BOOST_TEST(order["overlapped"] == false);
                BOOST_TEST(order["slot"].get<std::uint64_t>() > lastSlot);
                BOOST_TEST(order["open_streams"] == 0);
                lastSlot = order["slot"].get<std::uint64_t>();
            }
        }
    }

    Cluster cluster;
    std::atomic<bool> leave { false };
    std::atomic<int> frozen { -1 };
    std::atomic<int> cutAnswers { 0 };
    std::vector<std::thread> callers;
};

BOOST_FIXTURE_TEST_SUITE(OrdersTest, OrdersFixture)

BOOST_AUTO_TEST_CASE(roles_underDecodeDemand_changeWithoutCuttingStreams)
{
    BOOST_TEST(waitUntil([this] { return doneOrders() >= 2; }, absl::Seconds(60)));
    checkOrdersNeverConflict();
    BOOST_TEST(cutAnswers == 0);
}

BOOST_AUTO_TEST_CASE(roles_orderersFrozenInTurn_engineNeverGetsConflictingOrders)
{
    for (int daemon = 0; daemon < 3; ++daemon) {
        frozen = daemon;
        cluster.daemon(static_cast<std::size_t>(daemon)).process->freeze();
        absl::SleepFor(absl::Seconds(4)); // Longer than lease and margin: successors take over.
        cluster.daemon(static_cast<std::size_t>(daemon)).process->thaw();
        absl::SleepFor(absl::Seconds(2));
        frozen = -1;
    }
    BOOST_TEST(waitUntil([this] { return doneOrders() >= 2; }, absl::Seconds(60)));
    checkOrdersNeverConflict();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
