#include <boost/test/unit_test.hpp>

#include "simulation_test.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::control;
using namespace zinniadoor::control::test;

struct LeaseFixture
{
    static constexpr std::uint64_t Schedules = 300;
    static constexpr int Ticks = 400;

    State state;
    base::Offset offset = 0;
    std::map<std::string, std::uint64_t> sequences;

    /// Applies one frame of instance `name`. Its first frame also holds its start record.
    ApplyResult apply(const std::string &name, base::Incarnation incarnation,
                      std::vector<Record> records, const std::vector<std::string> &attestors = {})
    {
        std::uint64_t &sequence = sequences[name + "/" + std::to_string(incarnation)];
        if (sequence == 0) {
            InstanceStarted started {
                base::InstanceId(name), incarnation, base::DataCentreId("a"), name + ":1", {}
            };
            for (const std::string &attestor : attestors)
                started.attestors.emplace_back(attestor);
            records.insert(records.begin(), started);
        }
        return state.apply({ base::InstanceId(name), incarnation, ++sequence, 0, 0, records },
                           ++offset);
    }

    static LeaseClaimed claim(const std::string &scope, const std::string &name,
                              base::Offset supersedes, ClaimBasis basis)
    {
        return { scope, base::InstanceId(name), 1, supersedes, basis };
    }

    bool claims(const std::string &scope, const std::string &name, base::Offset supersedes,
                ClaimBasis basis)
    {
        return apply(name, 1, { claim(scope, name, supersedes, basis) }).records.back().hasValue();
    }
};

BOOST_FIXTURE_TEST_SUITE(LeaseTest, LeaseFixture)

BOOST_AUTO_TEST_CASE(lease_twoClaims_firstInLogIsAccepted)
{
    BOOST_TEST(claims("orders/a", "i1", 0, ClaimBasis::Free)); // offset 1
    BOOST_TEST(!claims("orders/a", "i2", 0, ClaimBasis::Free));
    apply("i1", 1, {}); // offset 3
    BOOST_TEST(!claims("orders/a", "i2", 1, ClaimBasis::Expired));
    BOOST_TEST(claims("orders/a", "i2", 3, ClaimBasis::Expired));
    BOOST_TEST(state.leases().find("orders/a")->epoch == 5u);
}

BOOST_AUTO_TEST_CASE(lease_ofStoppedHolder_isFree)
{
    BOOST_TEST(claims("orders/a", "i1", 0, ClaimBasis::Free));
    apply("i1", 1, { InstanceStopped { base::InstanceId("i1"), 1 } }); // offset 2
    BOOST_TEST(!state.leases().find("orders/a")->isHeld());
    BOOST_TEST(!apply("i1", 1, {}).frame.hasValue());
    BOOST_TEST(claims("orders/a", "i2", 2, ClaimBasis::Free));
}

BOOST_AUTO_TEST_CASE(lease_restartedHolder_isSupersededOnlyAfterRestart)
{
    BOOST_TEST(claims("share/0", "i1", 0, ClaimBasis::Free));
    BOOST_TEST(!claims("share/0", "i2", 1, ClaimBasis::Restarted));
    apply("i1", 2, {});
    BOOST_TEST(claims("share/0", "i2", 1, ClaimBasis::Restarted));
}

BOOST_AUTO_TEST_CASE(shareLease_vouchedFor_lapsesOnlyAfterAllWithdrew)
{
    apply("i1", 1, { claim("share/0", "i1", 0, ClaimBasis::Free) }, { "i2", "i3" }); // 1
    BOOST_TEST(!claims("share/0", "i4", 1, ClaimBasis::Expired)); // 2
    BOOST_TEST(apply("i2", 1,
                     { AttestationWithdrawn { base::InstanceId("i2"), base::InstanceId("i1"), 1 } })
                   .records.back()
                   .hasValue()); // 3
    BOOST_TEST(!claims("share/0", "i4", 3, ClaimBasis::Expired)); // 4
    // An instance cannot withdraw another's attestation.
    BOOST_TEST(
        !apply("i4", 1,
               { AttestationWithdrawn { base::InstanceId("i3"), base::InstanceId("i1"), 1 } })
             .records.back()
             .hasValue()); // 5
    apply("i3", 1,
          { AttestationWithdrawn { base::InstanceId("i3"), base::InstanceId("i1"), 1 } }); // 6
    BOOST_TEST(!claims("share/0", "i4", 1, ClaimBasis::Expired)); // Does not cover the withdrawals.
    BOOST_TEST(claims("share/0", "i4", 6, ClaimBasis::Expired));
}

BOOST_AUTO_TEST_CASE(shareLease_attestationLimit_needsHoldersLastFrame)
{
    apply("i1", 1, { claim("share/0", "i1", 0, ClaimBasis::Free) }, { "i2" });
    apply("i1", 1, {});
    BOOST_TEST(!claims("share/0", "i4", 1, ClaimBasis::AttestationLimit));
    BOOST_TEST(claims("share/0", "i4", 2, ClaimBasis::AttestationLimit));
    BOOST_TEST(claims("orders/a", "i1", 0, ClaimBasis::Free));
    BOOST_TEST(!claims("orders/a", "i4", 5, ClaimBasis::AttestationLimit));
}

BOOST_AUTO_TEST_CASE(frame_standingTwice_countsOnce)
{
    apply("i1", 1, { claim("orders/a", "i1", 0, ClaimBasis::Free) });
    const Frame release { base::InstanceId("i1"), 1, 2, 0, 0, { LeaseReleased { "orders/a", 1 } } };
    BOOST_TEST(state.apply(release, ++offset).frame.hasValue());
    BOOST_TEST(!state.apply(release, ++offset).frame.hasValue());
    BOOST_TEST(state.leases().find("orders/a")->releasedAt == 2u);
}

BOOST_AUTO_TEST_CASE(frame_ofUnknownOrOlderProcess_isRejected)
{
    BOOST_TEST(!state.apply({ base::InstanceId("i9"), 1, 1, 0, 0, {} }, ++offset).frame.hasValue());
    apply("i1", 2, {});
    BOOST_TEST(!apply("i1", 1, {}).frame.hasValue());
    const LeaseClaimed byTool = claim("orders/a", "tool/1", 0, ClaimBasis::Free);
    const auto result
        = state.apply({ base::InstanceId("tool/1"), 1, 1, 0, 0, { byTool } }, ++offset);
    BOOST_TEST(!result.records.at(0).hasValue());
}

BOOST_AUTO_TEST_CASE(lease_randomSchedules_neverHasTwoHolders)
{
    std::size_t ticksHeld = 0;
    for (std::uint64_t seed = 1; seed <= Schedules; ++seed) {
        Simulation simulation(seed, Faults {}, { "orders/a", "usage/1", "share/0" });
        for (int i = 0; i < Ticks; ++i) {
            simulation.tick([](Node &) {});
            const std::size_t holders = simulation.maxHolders();
            BOOST_REQUIRE_MESSAGE(holders <= 1, "two holders, seed " << seed << ", tick " << i);
            ticksHeld += holders;
        }
    }
    // Liveness: the schedules must not be safe merely because there is never a holder.
    BOOST_TEST(ticksHeld > Schedules * Ticks / 3);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
