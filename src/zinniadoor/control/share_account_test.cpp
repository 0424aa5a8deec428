#include <boost/test/unit_test.hpp>

#include "zinniadoor/control/rate_shares.hpp"
#include "zinniadoor/control/share_account.hpp"

using namespace zinniadoor;
using namespace zinniadoor::control;

namespace {

constexpr double Rate = 8;
constexpr double Burst = 80;
constexpr std::int64_t Total = 8 * UnitsPerSlot;
constexpr absl::Duration LoanTime = absl::Seconds(8);

/// A lender with one full slot (rate 1, burst 10) and a borrower without slots.
struct Fixture
{
    absl::Time start = absl::FromUnixSeconds(1000);
    ShareAccount lender { start };
    ShareAccount borrower { start };
    LoanKey key { base::InstanceId("borrower"), 1, 7 };

    Fixture()
    {
        lender.setLimits(Rate, Burst, Total, start);
        lender.setOwnUnits(UnitsPerSlot, absl::InfiniteFuture(), start);
        borrower.setLimits(Rate, Burst, Total, start);
        start += absl::Seconds(20);
        lender.advance(start);
        borrower.advance(start);
    }

    double sumOfCapacities() const { return lender.capacity() + borrower.capacity(); }
    double sumOfLevels() const { return lender.level() + borrower.level(); }
};

constexpr double SlotBurst = 10;
constexpr double Tolerance = 1e-6;

bool near(double a, double b)
{
    return std::abs(a - b) < Tolerance;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(ShareAccountTest, Fixture)

BOOST_AUTO_TEST_CASE(slot_newlyOwned_startsEmpty)
{
    borrower.setOwnUnits(UnitsPerSlot, absl::InfiniteFuture(), start);
    BOOST_TEST(borrower.level() == 0);
    BOOST_TEST(!borrower.spend(1, start));
    BOOST_TEST(borrower.spend(1, start + absl::Seconds(1.01)));
}

BOOST_AUTO_TEST_CASE(level_afterFreezePastAuthority_isZero)
{
    lender.setOwnUnits(UnitsPerSlot, start + absl::Seconds(5), start);
    BOOST_TEST(lender.spend(1, start + absl::Seconds(4)));
    BOOST_TEST(!lender.spend(1, start + absl::Seconds(60)));
    lender.setOwnUnits(UnitsPerSlot, start + absl::Seconds(70), start + absl::Seconds(60));
    BOOST_TEST(lender.level() == 0);
}

BOOST_AUTO_TEST_CASE(shareLoan_granted_movesCapacityAndTokensOnce)
{
    const Grant grant = lender.lendShare(key, UnitsPerSlot / 2, LoanTime, start);
    BOOST_TEST(grant.units == UnitsPerSlot / 2);
    BOOST_TEST(near(lender.capacity(), SlotBurst / 2));
    borrower.borrowShare(7, grant.units, grant.tokens, start + LoanTime, start);
    BOOST_TEST(near(sumOfCapacities(), SlotBurst));
    BOOST_TEST(near(sumOfLevels(), SlotBurst));
}

BOOST_AUTO_TEST_CASE(shareLoan_renewedSmaller_reservesLargerSizeUntilOldEnd)
{
    lender.lendShare(key, UnitsPerSlot / 2, LoanTime, start);
    const absl::Time renewed = start + absl::Seconds(4);
    lender.lendShare(key, UnitsPerSlot / 4, LoanTime, renewed);
    BOOST_TEST(near(lender.capacity(), SlotBurst / 2));
    lender.advance(start + LoanTime + absl::Seconds(1));
    BOOST_TEST(near(lender.capacity(), SlotBurst * 3 / 4));
    lender.advance(renewed + LoanTime + absl::Seconds(1));
    BOOST_TEST(near(lender.capacity(), SlotBurst));
}

BOOST_AUTO_TEST_CASE(shareLoan_nearEndOfAuthority_endsWithAuthority)
{
    lender.setOwnUnits(UnitsPerSlot, start + absl::Seconds(3), start);
    const Grant grant = lender.lendShare(key, UnitsPerSlot / 2, LoanTime, start);
    BOOST_TEST((grant.duration <= absl::Seconds(3)));
    const Grant late = lender.lendTokens(key, 1, absl::Milliseconds(100), start + absl::Seconds(3));
    BOOST_TEST(late.tokens == 0);
}

BOOST_AUTO_TEST_CASE(shareLoan_clocksAtDriftLimits_borrowerEndsFirst)
{
    // Relative to true time, the borrower's clock is slow and the lender's clock is fast.
    const Grant grant = lender.lendShare(key, UnitsPerSlot, LoanTime, start);
    const absl::Duration use = grant.duration - clockMargin(grant.duration);
    const absl::Duration trueUse = use / (1 - MaxClockDrift);
    const absl::Duration lenderSees = trueUse * (1 + MaxClockDrift);
    lender.advance(start + lenderSees);
    BOOST_TEST(lender.capacity() == 0);
    // The loan also ends within the lender's authority, on which other instances rely.
    BOOST_TEST((lenderSees <= grant.duration));
}

BOOST_AUTO_TEST_CASE(tokenLoan_returnedTwice_isCreditedOnce)
{
    const Grant grant = lender.lendTokens(key, 4, absl::Milliseconds(100), start);
    BOOST_TEST(near(grant.tokens, 4));
    BOOST_TEST(near(lender.capacity(), SlotBurst - 4));
    lender.endLoan(key, 3, start);
    lender.endLoan(key, 3, start);
    BOOST_TEST(near(lender.level(), SlotBurst - 1));
}

BOOST_AUTO_TEST_CASE(tokenLoan_returnAboveGrant_isLimitedToGrant)
{
    lender.spend(9, start);
    lender.lendTokens(key, 0.5, absl::Milliseconds(100), start);
    lender.endLoan(key, 8, start);
    BOOST_TEST(lender.level() < 1.1);
}

BOOST_AUTO_TEST_CASE(tokenLoan_duplicateRequest_isGrantedOnce)
{
    lender.lendTokens(key, 4, absl::Milliseconds(100), start);
    BOOST_TEST(lender.lendTokens(key, 4, absl::Milliseconds(100), start).tokens == 0);
}

BOOST_AUTO_TEST_CASE(tokenLoans_ofSeveralLenders_addUpUntilReturned)
{
    borrower.borrowTokens(1, 0.6, start + absl::Seconds(1), start);
    borrower.borrowTokens(2, 0.6, start + absl::Seconds(1), start);
    BOOST_TEST(borrower.spend(1, start));
    BOOST_TEST(near(borrower.returnLoan(1, start) + borrower.returnLoan(2, start), 0.2));
    BOOST_TEST(borrower.level() == 0);
}

BOOST_AUTO_TEST_CASE(tokenLoan_fromShareLoanThatEndsEarlier_isRejected)
{
    borrower.borrowShare(7, UnitsPerSlot, 5, start + absl::Milliseconds(50), start);
    const LoanKey other { base::InstanceId("third"), 1, 1 };
    BOOST_TEST(borrower.lendTokens(other, 1, absl::Milliseconds(100), start).tokens == 0);
    borrower.borrowShare(7, UnitsPerSlot, 0, start + absl::Seconds(5), start);
    BOOST_TEST(near(borrower.lendTokens(other, 1, absl::Milliseconds(100), start).tokens, 1));
}

BOOST_AUTO_TEST_CASE(shareLoan_withTokensLentOn_isNotReturned)
{
    borrower.borrowShare(7, UnitsPerSlot, 5, start + absl::Seconds(5), start);
    const LoanKey other { base::InstanceId("third"), 1, 1 };
    borrower.lendTokens(other, 5, absl::Milliseconds(100), start);
    BOOST_TEST(!borrower.mayReturnLoan(7, start));
    borrower.endLoan(other, 0, start);
    BOOST_TEST(borrower.mayReturnLoan(7, start));
}

BOOST_AUTO_TEST_CASE(borrower_withShareLoan_lendsNoShares)
{
    borrower.setOwnUnits(UnitsPerSlot, absl::InfiniteFuture(), start);
    BOOST_TEST(borrower.lendableUnits() == UnitsPerSlot);
    borrower.borrowShare(7, UnitsPerSlot, 5, start + absl::Seconds(5), start);
    BOOST_TEST(borrower.lendableUnits() == 0);
}

BOOST_AUTO_TEST_CASE(release_withLoans_waitsForTheirEnd)
{
    lender.lendShare(key, UnitsPerSlot / 2, LoanTime, start);
    lender.setReleasingUnits(UnitsPerSlot);
    BOOST_TEST(!lender.mayRelease(start + absl::Seconds(1)));
    // Renewals are rejected, so that the wait is bounded.
    BOOST_TEST(lender.lendShare(key, UnitsPerSlot / 2, LoanTime, start).units == 0);
    BOOST_TEST(lender.mayRelease(start + LoanTime + absl::Seconds(1)));
}

BOOST_AUTO_TEST_CASE(maxMinShare_severalDemands_satisfiesSmallestFirst)
{
    BOOST_TEST(maxMinShare(90, { 10, 100, 100 }, 0) == 10);
    BOOST_TEST(maxMinShare(90, { 10, 100, 100 }, 2) == 40);
    BOOST_TEST(maxMinShare(90, { 10, 20, 30 }, 2) == 30);
}

BOOST_AUTO_TEST_SUITE_END()
