#include <boost/test/unit_test.hpp>

#include "zinniadoor/control/order_controller.hpp"

#include "simulation_test.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::control;
using namespace zinniadoor::control::test;

const base::DataCentreId Centre("a");
constexpr OrderTimeouts Times { absl::Milliseconds(500), absl::Seconds(1) };

/// An engine that checks the order in which orders arrive.
struct Engine
{
    bool fenced = false;
    std::uint64_t lastSlot = 0;
    std::uint64_t highestFencing = 0;
    int accepted = 0;
    bool conflict = false;

    OrderResult receive(const ports::EndpointOrder &order)
    {
        if (fenced && order.fencing < highestFencing)
            return OrderResult::Refused;
        conflict = conflict || order.slot <= lastSlot || order.fencing < highestFencing;
        lastSlot = order.slot;
        highestFencing = order.fencing;
        ++accepted;
        return OrderResult::Done;
    }
};

struct SentOrder
{
    ports::EndpointOrder order;
    Process sender;
    absl::Time arrivesAt;
    absl::Time answerAt;
    bool frozenBeforeSend = false; ///< The sender froze before it sent any data.
    std::optional<OrderResult> result;
};

struct OrderFixture
{
    std::map<std::string, Engine> engines;
    std::map<Process, std::vector<OrderController>> controllers;
    std::vector<SentOrder> sent;

    OrderFixture()
    {
        engines["fenced"].fenced = true;
        engines["unfenced"] = Engine {};
    }

    void onStep(Node &node)
    {
        std::vector<OrderController> &own = controllers[node.self];
        if (own.empty()) {
            for (const auto &[name, engine] : engines)
                own.emplace_back(base::EndpointId(name), Centre, node.self, Times);
        }
        deliverOutcomes(node, own);
        for (OrderController &controller : own)
            act(node, controller);
    }

    void act(Node &node, OrderController &controller)
    {
        Simulation &simulation = node.simulation;
        std::optional<DesiredOrder> desired;
        if (simulation.chance(0.3))
            desired = DesiredOrder { ports::EndpointOrderKind::Role, "decode" };
        const OrderStep step
            = controller.next(node.state(), node.leases.front(), desired, simulation.now);
        if (step.record)
            node.add(*step.record);
        if (!step.send)
            return;
        const absl::Time arrival
            = simulation.now + simulation.duration(absl::ZeroDuration(), Times.sendTimeout);
        // A lost response only delays the outcome: the sender queries the engine later.
        const absl::Duration answer = simulation.duration(absl::ZeroDuration(), absl::Seconds(2));
        SentOrder entry { *step.send, node.self, arrival, arrival + answer, false, std::nullopt };
        if (simulation.chance(0.1)) {
            const absl::Duration frozen = simulation.duration(absl::Seconds(1), absl::Seconds(8));
            entry.frozenBeforeSend = true;
            entry.arrivesAt += frozen;
            entry.answerAt += frozen;
        }
        sent.push_back(entry);
    }

    void deliverOutcomes(Node &node, std::vector<OrderController> &own)
    {
        for (const SentOrder &entry : sent) {
            if (entry.sender != node.self || !entry.result || entry.answerAt > node.simulation.now)
                continue;
            for (OrderController &controller : own) {
                const EndpointSlots *slots = node.state().orders().find(entry.order.endpoint);
                const bool current = slots != nullptr && slots->lastSlot == entry.order.slot;
                if (current && &controller == &own[entry.order.endpoint.str() == "fenced" ? 0 : 1])
                    controller.onOutcome(entry.order.slot, *entry.result);
            }
        }
    }

    void deliver(absl::Time now)
    {
        for (SentOrder &entry : sent) {
            if (!entry.result && entry.arrivesAt <= now)
                entry.result = engines[entry.order.endpoint.str()].receive(entry.order);
        }
    }

    /// Data sent by a process that was killed arrives later than usual.
    void onKill(const Node &node)
    {
        for (SentOrder &entry : sent) {
            if (entry.sender == node.self && !entry.result)
                entry.arrivesAt = entry.frozenBeforeSend
                    ? absl::InfiniteFuture()
                    : entry.arrivesAt + Times.deliveryGracePeriod - Times.sendTimeout;
        }
    }
};

BOOST_FIXTURE_TEST_SUITE(OrderTest, OrderFixture)

BOOST_AUTO_TEST_CASE(slot_openAndSenderMayBeRunning_rejectsTakeover)
{
    State state;
    base::Offset offset = 0;
    const auto apply = [&](const char *name, std::uint64_t sequence, Record record) {
        const base::InstanceId id(name);
        Frame frame { id, 1, sequence, 0, 0, { std::move(record) } };
        if (sequence == 1)
            frame.records.insert(frame.records.begin(),
                                 InstanceStarted { id, 1, Centre, name, {} });
        return state.apply(frame, ++offset).records.back().hasValue();
    };
    const auto claim = [](const char *name, base::Offset supersedes, ClaimBasis basis) {
        return LeaseClaimed { "orders/a", base::InstanceId(name), 1, supersedes, basis };
    };
    const base::EndpointId engine("unfenced");
    const auto role = static_cast<std::uint8_t>(ports::EndpointOrderKind::Role);
    BOOST_TEST(apply("i1", 1, claim("i1", 0, ClaimBasis::Free)));
    BOOST_TEST(apply("i1", 2, OrderOpened { engine, 1, Centre, 1, role, "decode" }));
    BOOST_TEST(!apply("i1", 3, OrderOpened { engine, 2, Centre, 1, role, "prefill" }));
    BOOST_TEST(apply("i2", 1, claim("i2", 3, ClaimBasis::Expired))); // epoch 4
    for (const OrderResult result : { OrderResult::SenderGone, OrderResult::Fenced,
                                      OrderResult::EndpointReplaced, OrderResult::Done })
        BOOST_TEST(!apply("i2", offset, OrderClosed { engine, 1, result }));
    BOOST_TEST(!apply("i2", offset, OrderOpened { engine, 2, Centre, 4, role, "prefill" }));
    BOOST_TEST(apply("i1", offset, OrderClosed { engine, 1, OrderResult::Done }));
    BOOST_TEST(!apply("i1", offset, OrderOpened { engine, 2, Centre, 1, role, "prefill" }));
    BOOST_TEST(apply("i2", offset, OrderOpened { engine, 2, Centre, 4, role, "prefill" }));
}

BOOST_AUTO_TEST_CASE(order_randomSchedules_neverConflict)
{
    constexpr std::uint64_t Schedules = 200;
    constexpr int Ticks = 400;
    int accepted = 0;
    for (std::uint64_t seed = 1; seed <= Schedules; ++seed) {
        OrderFixture run;
        Simulation simulation(seed, Faults {}, { "orders/a" });
        simulation.onKill = [&run](Node &node) { run.onKill(node); };
        for (int i = 0; i < Ticks; ++i) {
            run.deliver(simulation.now);
            simulation.tick([&run](Node &node) { run.onStep(node); });
        }
        for (const auto &[name, engine] : run.engines) {
            BOOST_REQUIRE_MESSAGE(!engine.conflict, "conflict at " << name << ", seed " << seed);
            accepted += engine.accepted;
        }
    }
    BOOST_TEST(accepted > int(Schedules) * 4);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
