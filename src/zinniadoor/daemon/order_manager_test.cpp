#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

#include "duty_fixture.hpp"
#include "zinniadoor/daemon/duty_managers.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::daemon;

constexpr const char *OldAddress = "127.0.0.1:1001";
constexpr const char *NewAddress = "127.0.0.1:1002";

/// Longer than an open order waits for its engine to drain.
constexpr absl::Duration LongestSendDelay = absl::Seconds(4);

/// Orders the decode role for every engine.
class FixedPlanner : public serving::RolePlanner
{
public:
    std::vector<serving::RoleOrder> plan(const serving::RoleInputs &inputs, absl::Time) override
    {
        std::vector<serving::RoleOrder> orders;
        for (const serving::PlannedEngine &engine : inputs.engines) {
            if (!engine.isChanging)
                orders.push_back({ engine.id, engine.dataCentre, control::Role::Decode });
        }
        return orders;
    }
};

class RecordingSender : public OrderSender
{
public:
    bool send(GuardedOrder order) override
    {
        sent.push_back(order.order);
        return true;
    }

    std::vector<ports::EndpointOrder> sent;
};

struct OrderManagerFixture : DutyFixture
{
    OrderManagerFixture()
    {
        leases->setScopes({ "orders/dc-0" });
        publish(OldAddress);
        BOOST_REQUIRE(runUntil([this] { return holds("orders/dc-0") && hasVersion(1); }));
        configure();
    }

    void publish(const std::string &address)
    {
        ++version;
        control::BundlePublished record;
        record.yaml
            = absl::StrCat("version: ", version, "\npredecessor: \"", digest,
                           "\"\noperators: [{id: ama, public_key: ", key.publicKey,
                           "}]\norganisations: []\nmodels: [{id: m, version: \"1\"}]\n"
                           "endpoints: [{id: e, kind: engine, data_centre: dc-0, address: \"",
                           address, "\", role: prefill, models: [m]}]\n");
        digest = control::bundleDigest(record.yaml);
        record.signatures.push_back(*control::signText(record.yaml, "ama", key.secretKey));
        control::Frame frame;
        frame.writer = base::InstanceId(absl::StrCat("tool/", version));
        frame.incarnation = 1;
        frame.sequence = 1;
        frame.records.emplace_back(record);
        MemoryLogPort(log).append(control::encodeFrame(frame));
    }

    bool hasVersion(std::uint64_t expected) const
    {
        return control->state().configuration().version() == expected;
    }

    void configure()
    {
        const control::Bundle &bundle = *control->state().configuration().bundle();
        endpoints.setEndpoints(bundle.endpoints);
        orders.setConfiguration(bundle);
    }

    bool isOpen() const
    {
        const control::EndpointSlots *slots = control->state().orders().find(base::EndpointId("e"));
        return slots != nullptr && slots->open.has_value();
    }

    bool hasSendDelayPassed(absl::Time since) const
    {
        return clock->now() > since + LongestSendDelay;
    }

    void onTick(absl::Time now) override
    {
        serving::LoadReport idle;
        idle.sampledAt = now;
        endpoints.noteReport(base::EndpointId("e"), idle);
        orders.tick({}, now);
    }

    control::KeyPair key = control::generateKeyPair();
    std::uint64_t version = 0;
    std::string digest;
    serving::EndpointTable endpoints;
    FixedPlanner planner;
    RecordingSender sender;
    OrderManager orders { { *control, *leases, sender, endpoints, metrics, planner } };
};

BOOST_FIXTURE_TEST_SUITE(OrderManagerTest, OrderManagerFixture)

// Without the record of orders sent, an endpoint that returns to the configuration would receive
// its open order, whose outcome is unknown, a second time.
BOOST_AUTO_TEST_CASE(openOrder_endpointRemovedAndReadded_isSentOnce)
{
    BOOST_REQUIRE(runUntil([this] { return !sender.sent.empty(); }));
    const base::Reason lost { base::ReasonCode::OutcomeUnknown, "no response" };
    orders.onCompleted({ sender.sent.front(), lost }, clock->now());
    orders.setConfiguration(control::Bundle {});
    orders.setConfiguration(*control->state().configuration().bundle());
    const absl::Time readdedAt = clock->now();
    BOOST_REQUIRE(runUntil([&] { return hasSendDelayPassed(readdedAt); }));
    BOOST_TEST(sender.sent.size() == 1u);
    BOOST_TEST(isOpen());
}

// An order opened for one engine must not reach another that has replaced it in the configuration.
BOOST_AUTO_TEST_CASE(openOrder_endpointAddressChanged_isNotSentToNewAddress)
{
    BOOST_REQUIRE(runUntil([this] { return isOpen(); }));
    publish(NewAddress);
    BOOST_REQUIRE(runUntil([this] { return hasVersion(2); }));
    configure();
    const absl::Time changedAt = clock->now();
    BOOST_REQUIRE(runUntil([&] { return hasSendDelayPassed(changedAt); }));
    for (const ports::EndpointOrder &order : sender.sent)
        BOOST_TEST((order.slot > 1 || order.address == OldAddress));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
