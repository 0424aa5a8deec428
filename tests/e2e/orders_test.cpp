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

/// All engines start with the prefill role and abort their streams at a role change. They accept
/// orders with stale fencing numbers, so that only the senders prevent conflicting orders.
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
            BOOST_REQUIRE(waitUntil([&] { return streamChat(i, 2); }));
        for (std::size_t i = 0; i < 24; ++i)
            callers.emplace_back([this, i] { generateDecodeLoad(i % 3); });
    }

    ~OrdersFixture()
    {
        stopCallers = true;
        for (std::thread &caller : callers)
            caller.join();
    }

    bool streamChat(std::size_t daemon, int tokens)
    {
        HttpRequest request = cluster.chat(daemon, 0, "long answers only", tokens, true);
        request.timeout = absl::Seconds(10);
        const HttpResponse response = e2e::call(request);
        return response.status == 200 && response.complete;
    }

    /// Sends short prompts with long responses, so that decode engines are the bottleneck.
    void generateDecodeLoad(std::size_t daemon)
    {
        while (!stopCallers) {
            if (!streamChat(daemon, 300) && frozenDaemon != static_cast<int>(daemon)
                && !stopCallers)
                ++brokenStreams;
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

    std::size_t completedOrders()
    {
        std::size_t completed = 0;
        for (std::size_t engine = 0; engine < Engines; ++engine) {
            for (const Json &order : ordersOf(engine))
                completed += order["outcome"] == "done" ? 1 : 0;
        }
        return completed;
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
    std::atomic<bool> stopCallers { false };
    std::atomic<int> frozenDaemon { -1 };
    std::atomic<int> brokenStreams { 0 };
    std::vector<std::thread> callers;
};

BOOST_FIXTURE_TEST_SUITE(OrdersTest, OrdersFixture)

BOOST_AUTO_TEST_CASE(roles_underDecodeLoad_changeWithoutBreakingStreams)
{
    BOOST_TEST(waitUntil([this] { return completedOrders() >= 2; }, absl::Seconds(60)));
    checkOrdersNeverConflict();
    BOOST_TEST(brokenStreams == 0);
}

BOOST_AUTO_TEST_CASE(roles_orderSendersFrozenInTurn_engineNeverGetsConflictingOrders)
{
    for (int daemon = 0; daemon < 3; ++daemon) {
        frozenDaemon = daemon;
        cluster.daemon(static_cast<std::size_t>(daemon)).process->freeze();
        absl::SleepFor(absl::Seconds(4)); // Longer than lease and margin: a successor takes over.
        cluster.daemon(static_cast<std::size_t>(daemon)).process->thaw();
        absl::SleepFor(absl::Seconds(2));
        frozenDaemon = -1;
    }
    BOOST_TEST(waitUntil([this] { return completedOrders() >= 2; }, absl::Seconds(60)));
    checkOrdersNeverConflict();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
