#include <boost/test/unit_test.hpp>

#include "zinniadoor/control/share_keeper.hpp"
#include "zinniadoor/control/vouching.hpp"

using namespace zinniadoor;
using namespace zinniadoor::control;

namespace {

struct Fixture
{
    absl::Time start = absl::FromUnixSeconds(1000);
    ShareTiming timing;
    Process holder { base::InstanceId("holder"), 5 };
    base::InstanceId voucherId { "voucher" };
    VouchKeeper keeper { holder, timing };
    VouchKeeper voucher { Process { voucherId, 9 }, timing };
    base::Offset offset = 0;
    InstanceTable instances;

    Fixture()
    {
        keeper.setVouchers({ voucherId });
        voucher.setCharges({ holder }, start);
        voucher.tick(start);
    }

    /// One ask and its answer.
    void vouch(absl::Time askedAt, absl::Time answeredAt)
    {
        const VouchEffects effects = keeper.tick(askedAt);
        for (const OutgoingMessage &ask : effects.messages) {
            const OutgoingMessage answer
                = voucher.onAsk(holder.instance, std::get<AttestationRequest>(ask.message), answeredAt);
            keeper.onAnswer(voucherId, std::get<AttestationResponse>(answer.message), answeredAt);
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

BOOST_AUTO_TEST_CASE(holder_logOutButVouched_mayUseFromTheInstantItAsked)
{
    keeper.onOwnFrameSeen(start);
    const absl::Time asked = start + absl::Seconds(60);
    vouch(asked, asked + absl::Seconds(2));
    BOOST_TEST((keeper.mayUseUntil() > asked));
    BOOST_TEST((keeper.mayUseUntil() < asked + timing.vouchTime));
}

BOOST_AUTO_TEST_CASE(holder_longAfterLastLogContact_isNotKeptByVouches)
{
    keeper.onOwnFrameSeen(start);
    const absl::Time late = start + timing.holderLimit;
    vouch(late, late);
    BOOST_TEST((keeper.mayUseUntil() < late));
}

BOOST_AUTO_TEST_CASE(holder_answerOfAnotherInstanceOrIncarnation_countsNothing)
{
    keeper.tick(start);
    AttestationResponse answer { voucherId, holder.instance, holder.incarnation, 1, true };
    keeper.onAnswer(base::InstanceId("other"), answer, start);
    answer.incarnation = 4;
    keeper.onAnswer(voucherId, answer, start);
    BOOST_TEST((keeper.mayUseUntil() == absl::InfinitePast()));
}

BOOST_AUTO_TEST_CASE(voucher_chargeSilent_withdrawsOnceAndNeverVouchesAgain)
{
    int withdrawals = 0;
    for (int i = 1; i <= 10; ++i)
        withdrawals += static_cast<int>(voucher.tick(start + absl::Seconds(i)).withdrawals.size());
    BOOST_TEST(withdrawals == 1);
    const OutgoingMessage answer = voucher.onAsk(
        holder.instance, AttestationRequest { holder.instance, holder.incarnation, 1 }, start);
    BOOST_TEST(!std::get<AttestationResponse>(answer.message).attested);
}

BOOST_AUTO_TEST_CASE(voucher_itselfPaused_countsSilenceAnew)
{
    BOOST_TEST(voucher.tick(start + absl::Minutes(1)).withdrawals.empty());
}

BOOST_AUTO_TEST_CASE(voucher_processThatNeverNamedIt_isRefused)
{
    const OutgoingMessage answer = voucher.onAsk(base::InstanceId("other"),
                                          AttestationRequest { base::InstanceId("other"), 1, 1 }, start);
    BOOST_TEST(!std::get<AttestationResponse>(answer.message).attested);
}

BOOST_AUTO_TEST_CASE(charges_ofSuccessorAtSameAddress_areTakenOver)
{
    startProcess({ voucherId, 1 }, "10.0.0.1:1", {});
    startProcess(holder, "10.0.0.2:1", { voucherId });
    startProcess({ voucherId, 2 }, "10.0.0.1:1", {});
    BOOST_TEST((chargesOf({ voucherId, 2 }, instances) == std::vector<Process> { holder }));
    // A late withdrawal of the ended process does not count; its successor goes on vouching.
    const AttestationWithdrawn late { voucherId, holder.instance, holder.incarnation };
    BOOST_TEST(!instances.apply(late, { voucherId, 1 }, ++offset).hasValue());
}

BOOST_AUTO_TEST_CASE(charges_predecessorMayStillRunElsewhere_areLeftAlone)
{
    startProcess({ voucherId, 1 }, "10.0.0.1:1", {});
    startProcess(holder, "10.0.0.2:1", { voucherId });
    startProcess({ voucherId, 2 }, "10.0.0.3:1", {});
    BOOST_TEST(chargesOf({ voucherId, 2 }, instances).empty());
}

BOOST_AUTO_TEST_CASE(claim_ofHolderStillVouchedFor_waitsForTheVouchLimit)
{
    ShareSlotFacts facts;
    facts.lastFrameReadAt = start;
    const ShareClaim claim = earliestShareClaim(facts, timing);
    BOOST_TEST((claim.basis == ClaimBasis::AttestationLimit));
    BOOST_TEST((claim.notBefore > start + timing.holderLimit));
}

BOOST_AUTO_TEST_CASE(claim_ofHolderWithoutVouches_waitsForLeaseAndVouchTime)
{
    ShareSlotFacts facts;
    facts.lastFrameReadAt = start;
    facts.allAttestationsWithdrawn = true;
    BOOST_TEST((earliestShareClaim(facts, timing).notBefore > start + timing.lease));
    facts.lastWithdrawalReadAt = start + absl::Seconds(5);
    BOOST_TEST((earliestShareClaim(facts, timing).notBefore
                > start + absl::Seconds(5) + timing.vouchTime));
}

BOOST_AUTO_TEST_CASE(claim_ofRestartedHolder_waitsForItsLoans)
{
    ShareSlotFacts facts;
    facts.lastFrameReadAt = start;
    facts.restartReadAt = start;
    const ShareClaim claim = earliestShareClaim(facts, timing);
    BOOST_TEST((claim.basis == ClaimBasis::Restarted));
    BOOST_TEST((claim.notBefore > start + ShareLoanTime));
}

BOOST_AUTO_TEST_CASE(vouchers_ofThreeDataCentres_areInTheOtherTwo)
{
    std::vector<ListedMember> members;
    for (int i = 0; i < 9; ++i) {
        members.push_back({ base::InstanceId("i" + std::to_string(i)), 1,
                            base::DataCentreId("z" + std::to_string(i % 3)) });
    }
    const std::vector<base::InstanceId> chosen = chooseVouchers(members[0], members);
    BOOST_REQUIRE(chosen.size() == VouchersPerInstance);
    const auto zoneOf = [&](const base::InstanceId &id) { return (id.str()[1] - '0') % 3; };
    BOOST_TEST(zoneOf(chosen[0]) + zoneOf(chosen[1]) == 3);
}

BOOST_AUTO_TEST_CASE(slotPlan_eightFreeSlotsAndEightInstances_givesOneEach)
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
