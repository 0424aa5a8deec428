#include <boost/test/unit_test.hpp>

#include "zinniadoor/control/attestation.hpp"
#include "zinniadoor/control/share_slot_controller.hpp"

using namespace zinniadoor;
using namespace zinniadoor::control;

namespace {

struct Fixture
{
    absl::Time start = absl::FromUnixSeconds(1000);
    ShareTiming timing;
    Process holder { base::InstanceId("holder"), 5 };
    base::InstanceId attestorId { "attestor" };
    AttestationController holderController { holder, timing };
    AttestationController attestor { Process { attestorId, 9 }, timing };
    base::Offset offset = 0;
    InstanceTable instances;

    Fixture()
    {
        holderController.setAttestors({ attestorId });
        attestor.setSubjects({ holder }, start);
        attestor.tick(start);
    }

    /// One attestation request and its response.
    void attest(absl::Time requestedAt, absl::Time respondedAt)
    {
        const AttestationEffects effects = holderController.tick(requestedAt);
        for (const OutgoingMessage &request : effects.messages) {
            const OutgoingMessage response = attestor.onRequest(
                holder.instance, std::get<AttestationRequest>(request.message), respondedAt);
            holderController.onResponse(attestorId, std::get<AttestationResponse>(response.message),
                                        respondedAt);
        }
    }

    void startProcess(const Process &process, const std::string &address,
                      std::vector<base::InstanceId> attestors)
    {
        const InstanceStarted record { process.instance, process.incarnation,
                                       base::DataCentreId("a"), address, std::move(attestors) };
        Frame frame;
        frame.writer = process.instance;
        frame.incarnation = process.incarnation;
        frame.sequence = 1;
        frame.records.emplace_back(record);
        BOOST_TEST(instances.admit(frame, ++offset).hasValue());
        BOOST_TEST(instances.apply(record, process, offset).hasValue());
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(VouchingTest, Fixture)

BOOST_AUTO_TEST_CASE(holder_attestedDuringLogOutage_mayUseFromRequestTime)
{
    holderController.onOwnFrameConfirmed(start);
    const absl::Time requested = start + absl::Seconds(60);
    attest(requested, requested + absl::Seconds(2));
    BOOST_TEST((holderController.mayUseUntil() > requested));
    BOOST_TEST((holderController.mayUseUntil() < requested + timing.attestationDuration));
}

BOOST_AUTO_TEST_CASE(holder_lastFrameOlderThanAttestationLimit_isNotExtended)
{
    holderController.onOwnFrameConfirmed(start);
    const absl::Time late = start + timing.attestationLimit;
    attest(late, late);
    BOOST_TEST((holderController.mayUseUntil() < late));
}

BOOST_AUTO_TEST_CASE(holder_responseFromOtherInstanceOrIncarnation_isIgnored)
{
    holderController.tick(start);
    AttestationResponse response { attestorId, holder.instance, holder.incarnation, 1, true };
    holderController.onResponse(base::InstanceId("other"), response, start);
    response.incarnation = 4;
    holderController.onResponse(attestorId, response, start);
    BOOST_TEST((holderController.mayUseUntil() == absl::InfinitePast()));
}

BOOST_AUTO_TEST_CASE(attestor_subjectUnresponsive_withdrawsOnceAndNeverAttestsAgain)
{
    int withdrawals = 0;
    for (int i = 1; i <= 10; ++i)
        withdrawals += static_cast<int>(attestor.tick(start + absl::Seconds(i)).withdrawals.size());
    BOOST_TEST(withdrawals == 1);
    const OutgoingMessage response = attestor.onRequest(
        holder.instance, AttestationRequest { holder.instance, holder.incarnation, 1 }, start);
    BOOST_TEST(!std::get<AttestationResponse>(response.message).attested);
}

BOOST_AUTO_TEST_CASE(attestor_afterOwnPause_restartsTheTimeout)
{
    BOOST_TEST(attestor.tick(start + absl::Minutes(1)).withdrawals.empty());
}

BOOST_AUTO_TEST_CASE(attestor_requestOfUnlistedProcess_isRejected)
{
    const OutgoingMessage response = attestor.onRequest(
        base::InstanceId("other"), AttestationRequest { base::InstanceId("other"), 1, 1 }, start);
    BOOST_TEST(!std::get<AttestationResponse>(response.message).attested);
}

BOOST_AUTO_TEST_CASE(subjects_attestorRestartedAtSameAddress_areTakenOver)
{
    startProcess({ attestorId, 1 }, "10.0.0.1:1", {});
    startProcess(holder, "10.0.0.2:1", { attestorId });
    startProcess({ attestorId, 2 }, "10.0.0.1:1", {});
    BOOST_TEST(
        (attestationSubjects({ attestorId, 2 }, instances) == std::vector<Process> { holder }));
    // A late withdrawal by the ended process is rejected; its successor continues to attest.
    const AttestationWithdrawn late { attestorId, holder.instance, holder.incarnation };
    BOOST_TEST(!instances.apply(late, { attestorId, 1 }, ++offset).hasValue());
}

BOOST_AUTO_TEST_CASE(subjects_predecessorMayStillRunElsewhere_areEmpty)
{
    startProcess({ attestorId, 1 }, "10.0.0.1:1", {});
    startProcess(holder, "10.0.0.2:1", { attestorId });
    startProcess({ attestorId, 2 }, "10.0.0.3:1", {});
    BOOST_TEST(attestationSubjects({ attestorId, 2 }, instances).empty());
}

BOOST_AUTO_TEST_CASE(claim_holderStillAttested_waitsForClaimLimit)
{
    ShareSlotFacts facts;
    facts.lastFrameReadAt = start;
    const ShareClaim claim = earliestShareClaim(facts, timing);
    BOOST_TEST((claim.basis == ClaimBasis::AttestationLimit));
    BOOST_TEST((claim.notBefore > start + timing.attestationLimit));
}

BOOST_AUTO_TEST_CASE(claim_allAttestationsWithdrawn_waitsForLeaseAndAttestationDuration)
{
    ShareSlotFacts facts;
    facts.lastFrameReadAt = start;
    facts.allAttestationsWithdrawn = true;
    BOOST_TEST((earliestShareClaim(facts, timing).notBefore > start + timing.lease));
    facts.lastWithdrawalReadAt = start + absl::Seconds(5);
    BOOST_TEST((earliestShareClaim(facts, timing).notBefore
                > start + absl::Seconds(5) + timing.attestationDuration));
}

BOOST_AUTO_TEST_CASE(claim_holderRestarted_waitsForItsLoans)
{
    ShareSlotFacts facts;
    facts.lastFrameReadAt = start;
    facts.restartReadAt = start;
    const ShareClaim claim = earliestShareClaim(facts, timing);
    BOOST_TEST((claim.basis == ClaimBasis::Restarted));
    BOOST_TEST((claim.notBefore > start + MaxShareLoanDuration));
}

BOOST_AUTO_TEST_CASE(attestors_threeDataCentres_areChosenInTheOtherTwo)
{
    std::vector<ListedMember> members;
    for (int i = 0; i < 9; ++i) {
        members.push_back({ base::InstanceId("i" + std::to_string(i)), 1,
                            base::DataCentreId("z" + std::to_string(i % 3)) });
    }
    const std::vector<base::InstanceId> chosen = chooseAttestors(members[0], members);
    BOOST_REQUIRE(chosen.size() == AttestorsPerInstance);
    const auto zoneOf = [&](const base::InstanceId &id) { return (id.str()[1] - '0') % 3; };
    BOOST_TEST(zoneOf(chosen[0]) + zoneOf(chosen[1]) == 3);
}

BOOST_AUTO_TEST_CASE(slotPlan_eightFreeSlotsAndEightInstances_assignsOneEach)
{
    std::set<base::InstanceId> live;
    std::map<std::uint32_t, ShareSlotView> slots;
    for (std::uint32_t i = 0; i < 8; ++i) {
        live.insert(base::InstanceId("i" + std::to_string(i)));
        slots[i].claimableSince = start;
    }
    std::set<std::uint32_t> claimed;
    for (const base::InstanceId &self : live) {
        const ShareSlotPlan plan = planShareSlots(self, live, slots, start);
        BOOST_TEST(plan.claim.size() == 1);
        claimed.insert(plan.claim.begin(), plan.claim.end());
    }
    BOOST_TEST(claimed.size() == 8);
}

BOOST_AUTO_TEST_CASE(slotPlan_oneHoldsTwoMoreThanAnother_releasesOne)
{
    const base::InstanceId a("a");
    const base::InstanceId b("b");
    std::map<std::uint32_t, ShareSlotView> slots;
    for (std::uint32_t i = 0; i < 3; ++i)
        slots[i].holder = a;
    BOOST_TEST(planShareSlots(a, { a, b }, slots, start).release.size() == 1);
    BOOST_TEST(planShareSlots(b, { a, b }, slots, start).release.empty());
    slots[0].holder = b;
    BOOST_TEST(planShareSlots(a, { a, b }, slots, start).release.empty());
}

BOOST_AUTO_TEST_SUITE_END()
