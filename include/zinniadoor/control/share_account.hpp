#pragma once

#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"

namespace zinniadoor::control {

/// A share slot of an organisation counts as this many units; loans are whole units, so that
/// sums of fractions are exact.
constexpr std::int64_t UnitsPerSlot = 1 << 16;

/// The most that a clock may gain or lose against another one, as a fraction.
constexpr double MaxClockDrift = 0.001;

/// What a deadline of `duration` is moved by, so that two clocks agree on which side ends first.
absl::Duration clockMargin(absl::Duration duration);

/// Names a loan at its lender.
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

/// What a lender gave; nothing if both amounts are 0.
struct Grant
{
    std::int64_t units = 0;
    double tokens = 0;
    absl::Duration duration; ///< At most what was asked, and never past the lender's own authority.
};

/// What one instance may spend of one organisation's rate and burst: its own parts, less what it
/// has lent, plus what it has borrowed, as one token bucket.
///
/// Over all instances, the sum of rates never exceeds the organisation's rate, the sum of
/// capacities never its burst, and each level never its capacity; tokens that move are taken out
/// before they are put in. Therefore no interval t sees more than rate × t + burst.
class ShareAccount
{
public:
    explicit ShareAccount(absl::Time now)
        : last_(now)
    { }

    /// `totalUnits`: all parts of the organisation together.
    void setLimits(double ratePerSecond, double burst, std::int64_t totalUnits, absl::Time now);

    /// Own parts, usable before `until`. New parts bring no tokens.
    void setOwn(std::int64_t units, absl::Time until, absl::Time now);

    /// Own parts of this size are to be released: they are no longer lent.
    void setLeaving(std::int64_t units) { leavingUnits_ = units; }

    /// True if what is lent fits into the own parts that stay.
    bool mayRelease(absl::Time now);

    /// Ends what has ended and refills for the time that passed. All other calls do so first.
    void advance(absl::Time now);

    bool spend(double cost, absl::Time now);

    /// Lends up to `units` and the tokens that belong to them, or renews a loan with this size.
    /// Blocks the larger of old and new until the old one's end.
    Grant lendShare(const LoanKey &key, std::int64_t units, absl::Duration duration,
                    absl::Time now);

    /// Gives away up to `tokens` and blocks their room until the return. They may come from what
    /// was borrowed, if that lasts as long. A loan of that name that stands gives nothing.
    Grant lendTokens(const LoanKey &key, double tokens, absl::Duration duration, absl::Time now);

    /// Ends a loan early and takes back `tokens`; a loan that has ended already is ignored.
    void takeBack(const LoanKey &key, double tokens, absl::Time now);

    bool hasLent(const LoanKey &key) const { return lent_.count(key) > 0; }
    std::int64_t lentUnits(const LoanKey &key) const;

    /// Units borrowed under `loan` become `units` until `until`.
    void borrowShare(std::uint64_t loan, std::int64_t units, double tokens, absl::Time until,
                     absl::Time now);

    /// False while tokens lent on still need the room that comes with the loan.
    bool mayGiveBack(std::uint64_t loan, absl::Time now);

    /// Stops using a loan of either kind. Returns the tokens that no longer fit and may go back.
    double giveBack(std::uint64_t loan, absl::Time now);

    /// Takes in tokens of a token loan with room for them until `until`.
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
    /// Units and room that a loan blocks until `end`.
    struct Blocked
    {
        std::int64_t units = 0;
        double tokens = 0;
        absl::Time end;
    };
    struct Lent
    {
        std::vector<Blocked> blocked;
        double givenTokens = 0;
    };
    struct Borrowed
    {
        std::int64_t units = 0;
        double room = 0;
        absl::Time until;
    };

    double settle();
    double rateOf(std::int64_t units) const;
    double capacityOf(std::int64_t units) const;
    std::int64_t freeOwnUnits() const;
    std::int64_t stayingUnits() const;
    double lastingCapacity(absl::Time end) const;
    absl::Duration withinAuthority(absl::Duration duration, absl::Time now) const;
    void block(Lent &lent, Blocked blocked);
    void sumBorrowed();
    void endBorrowed(absl::Time now);
    void endLent(absl::Time now);
    void sumLent();

    double rate_ = 0;
    double burst_ = 0;
    std::int64_t totalUnits_ = 0;
    std::int64_t ownUnits_ = 0;
    std::int64_t leavingUnits_ = 0;
    absl::Time ownUntil_ = absl::InfinitePast();
    bool ownUsable_ = false;
    double level_ = 0;
    absl::Time last_;
    std::map<LoanKey, Lent> lent_;
    std::int64_t lentUnits_ = 0;
    double lentRoom_ = 0;
    std::map<std::uint64_t, Borrowed> borrowed_;
    std::int64_t borrowedUnits_ = 0;
    double borrowedRoom_ = 0;
};

} // namespace zinniadoor::control
