#pragma once

#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"

namespace zinniadoor::control {

/// Units per share slot of an organisation. Loans are whole units, so that sums are exact.
constexpr std::int64_t UnitsPerSlot = 1 << 16;

/// Maximum drift rate assumed of a clock, as a fraction.
constexpr double MaxClockDrift = 0.001;

/// Safety margin for a deadline of `duration` that two clocks measure: a borrower ends earlier and
/// a lender later by this much, so that the borrower always ends first.
absl::Duration clockMargin(absl::Duration duration);

/// Identifies a loan at its lender.
struct LoanKey
{
    base::InstanceId borrower;
    base::Incarnation incarnation = 0;
    std::uint64_t loan = 0;

    friend bool operator<(const LoanKey &a, const LoanKey &b)
    {
        return std::tie(a.borrower, a.incarnation, a.loan)
            < std::tie(b.borrower, b.incarnation, b.loan);
    }
};

/// The result of a loan request; rejected if both amounts are 0.
struct Grant
{
    std::int64_t units = 0;
    double tokens = 0;
    absl::Duration duration; ///< At most as requested, and within the lender's authority.
};

/// Token bucket for one instance's part of one organisation's rate and burst: its own units, minus
/// those lent, plus those borrowed.
///
/// Invariants over all instances: the sum of rates does not exceed the organisation's rate, the sum
/// of capacities does not exceed its burst, and no level exceeds its capacity. Tokens are withdrawn
/// at the lender before they are added at the borrower. In any interval t, at most
/// rate × t + burst is therefore admitted.
class ShareAccount
{
public:
    explicit ShareAccount(absl::Time now)
        : last_(now)
    { }

    /// `totalUnits`: units of all the organisation's slots together.
    void setLimits(double ratePerSecond, double burst, std::int64_t totalUnits, absl::Time now);

    /// Sets the own units, usable before `until`. New units add no tokens.
    void setOwnUnits(std::int64_t units, absl::Time until, absl::Time now);

    /// Sets how many own units are to be released; they are no longer lent.
    void setReleasingUnits(std::int64_t units) { releasingUnits_ = units; }

    /// Whether the loans fit into the own units that are not to be released.
    bool mayRelease(absl::Time now);

    /// Expires loans and refills for the elapsed time. All other calls do so first.
    void advance(absl::Time now);

    bool spend(double cost, absl::Time now);

    /// Lends up to `units` with a proportional part of the level, or renews a loan with this size.
    /// On renewal, the larger of the two sizes stays reserved until the old loan's end.
    Grant lendShare(const LoanKey &key, std::int64_t units, absl::Duration duration,
                    absl::Time now);

    /// Lends up to `tokens` and reserves their capacity until they are returned. Borrowed
    /// capacity may be lent on if it lasts as long. Lends nothing if the key already has a loan.
    Grant lendTokens(const LoanKey &key, double tokens, absl::Duration duration, absl::Time now);

    /// Ends a loan early and credits the returned `tokens`; ignored if the loan has ended.
    void endLoan(const LoanKey &key, double tokens, absl::Time now);

    bool hasLent(const LoanKey &key) const { return lent_.count(key) > 0; }
    std::int64_t lentUnits(const LoanKey &key) const;

    /// Sets the units borrowed under `loan` to `units` until `until`, and adds `tokens`.
    void borrowShare(std::uint64_t loan, std::int64_t units, double tokens, absl::Time until,
                     absl::Time now);

    /// False while tokens lent on still need the loan's capacity.
    bool mayReturnLoan(std::uint64_t loan, absl::Time now);

    /// Stops using a loan of either kind. Returns the excess tokens, which may be returned.
    double returnLoan(std::uint64_t loan, absl::Time now);

    /// Adds borrowed tokens, and capacity for them until `until`.
    void borrowTokens(std::uint64_t loan, double tokens, absl::Time until, absl::Time now);

    double level() const { return level_; }
    double ratePerSecond() const { return rateOf(unitsInUse()); }
    double capacity() const;
    double totalRate() const { return rate_; }
    double totalBurst() const { return burst_; }
    std::int64_t totalUnits() const { return totalUnits_; }
    std::int64_t unitsInUse() const { return freeOwnUnits() + borrowedUnits_; }
    std::int64_t borrowedUnits() const { return borrowedUnits_; }
    std::int64_t ownUnits() const { return ownUsable_ ? ownUnits_ : 0; }
    std::int64_t lendableUnits() const;
    double lendableTokens(absl::Duration duration, absl::Time now) const;
    absl::Time ownUntil() const { return ownUntil_; }

private:
    /// Units and tokens of capacity that a loan reserves until `end`.
    struct Reservation
    {
        std::int64_t units = 0;
        double tokens = 0;
        absl::Time end;
    };
    struct LentLoan
    {
        std::vector<Reservation> reservations;
        double grantedTokens = 0;
    };
    struct BorrowedLoan
    {
        std::int64_t units = 0;
        double capacity = 0;
        absl::Time until;
    };

    double clampLevel();
    double rateOf(std::int64_t units) const;
    double capacityOf(std::int64_t units) const;
    std::int64_t freeOwnUnits() const;
    std::int64_t retainedUnits() const;
    double capacityUntil(absl::Time end) const;
    absl::Duration limitToAuthority(absl::Duration duration, absl::Time now) const;
    void reserve(LentLoan &lent, Reservation reservation);
    void sumBorrowed();
    void expireBorrowed(absl::Time now);
    void expireLent(absl::Time now);
    void sumLent();

    double rate_ = 0;
    double burst_ = 0;
    std::int64_t totalUnits_ = 0;
    std::int64_t ownUnits_ = 0;
    std::int64_t releasingUnits_ = 0;
    absl::Time ownUntil_ = absl::InfinitePast();
    bool ownUsable_ = false;
    double level_ = 0;
    absl::Time last_;
    std::map<LoanKey, LentLoan> lent_;
    std::int64_t lentUnits_ = 0;
    double lentCapacity_ = 0;
    std::map<std::uint64_t, BorrowedLoan> borrowed_;
    std::int64_t borrowedUnits_ = 0;
    double borrowedCapacity_ = 0;
};

} // namespace zinniadoor::control
