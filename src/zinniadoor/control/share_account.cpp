#include "zinniadoor/control/share_account.hpp"

#include <algorithm>
#include <cmath>

#include "zinniadoor/control/token_bucket.hpp"

namespace zinniadoor::control {

absl::Duration clockMargin(absl::Duration duration)
{
    return 2 * MaxClockDrift * duration + absl::Milliseconds(1);
}

void ShareAccount::setLimits(double ratePerSecond, double burst, std::int64_t totalUnits,
                             absl::Time now)
{
    advance(now);
    rate_ = ratePerSecond;
    burst_ = burst;
    totalUnits_ = totalUnits;
    clampLevel();
}

void ShareAccount::setOwnUnits(std::int64_t units, absl::Time until, absl::Time now)
{
    advance(now);
    ownUnits_ = units;
    ownUntil_ = until;
    ownUsable_ = now < until;
    clampLevel();
}

// Refills at the lowest rate since the last call: own and borrowed units that have ended since do
// not count at all, lent units count as lent throughout. An instance that was frozen past the end
// of its authority therefore has its level cut to zero before it spends.
void ShareAccount::advance(absl::Time now)
{
    if (now <= last_)
        return;
    expireBorrowed(now);
    if (now >= ownUntil_)
        ownUsable_ = false;
    const double seconds = absl::ToDoubleSeconds(now - last_) * (1 - MaxClockDrift);
    level_ += ratePerSecond() * seconds;
    clampLevel();
    expireLent(now);
    last_ = now;
}

bool ShareAccount::spend(double cost, absl::Time now)
{
    advance(now);
    if (level_ + TokenEpsilon < cost)
        return false;
    level_ = std::max(0.0, level_ - cost);
    return true;
}

Grant ShareAccount::lendShare(const LoanKey &key, std::int64_t units, absl::Duration duration,
                              absl::Time now)
{
    advance(now);
    const absl::Duration granted = limitToAuthority(duration, now);
    // Loans from units that are to be released shrink at renewal.
    const std::int64_t more = std::min(retainedUnits(), lendableUnits());
    const std::int64_t size = std::min(units, lentUnits(key) + more);
    if (size <= 0 || granted <= absl::ZeroDuration())
        return Grant {};
    const std::int64_t before = unitsInUse();
    double tokens = 0;
    if (!hasLent(key) && before > 0)
        tokens = level_ * static_cast<double>(size) / static_cast<double>(before);
    level_ -= tokens;
    LentLoan &lent = lent_[key];
    lent.grantedTokens += tokens;
    reserve(lent, Reservation { size, 0, now + granted + clockMargin(granted) });
    clampLevel();
    return Grant { size, tokens, granted };
}

Grant ShareAccount::lendTokens(const LoanKey &key, double tokens, absl::Duration duration,
                               absl::Time now)
{
    advance(now);
    const double size = std::min(tokens, lendableTokens(duration, now));
    if (hasLent(key) || size <= 0)
        return Grant {};
    level_ -= size;
    LentLoan &lent = lent_[key];
    lent.grantedTokens = size;
    reserve(lent, Reservation { 0, size, now + duration + clockMargin(duration) });
    clampLevel();
    return Grant { 0, size, duration };
}

void ShareAccount::endLoan(const LoanKey &key, double tokens, absl::Time now)
{
    advance(now);
    const auto found = lent_.find(key);
    if (found == lent_.end())
        return;
    // A duplicated return may meet a newer loan with the same key, made by a duplicated request.
    // The credit is therefore limited to the tokens granted under the current loan.
    level_ += std::min(tokens, found->second.grantedTokens);
    lent_.erase(found);
    sumLent();
    clampLevel();
}

std::int64_t ShareAccount::lentUnits(const LoanKey &key) const
{
    const auto found = lent_.find(key);
    if (found == lent_.end())
        return 0;
    std::int64_t units = 0;
    for (const Reservation &reservation : found->second.reservations)
        units = std::max(units, reservation.units);
    return units;
}

void ShareAccount::borrowShare(std::uint64_t loan, std::int64_t units, double tokens,
                               absl::Time until, absl::Time now)
{
    advance(now);
    if (now >= until)
        return;
    borrowed_[loan] = BorrowedLoan { units, 0, until };
    sumBorrowed();
    level_ += tokens;
    clampLevel();
}

void ShareAccount::borrowTokens(std::uint64_t loan, double tokens, absl::Time until, absl::Time now)
{
    advance(now);
    if (now >= until)
        return;
    borrowed_[loan] = BorrowedLoan { 0, tokens, until };
    sumBorrowed();
    level_ += tokens;
}

bool ShareAccount::mayReturnLoan(std::uint64_t loan, absl::Time now)
{
    advance(now);
    const auto found = borrowed_.find(loan);
    if (found == borrowed_.end() || found->second.units == 0)
        return true;
    const std::int64_t left = unitsInUse() - found->second.units;
    return lentCapacity_ <= capacityOf(left);
}

double ShareAccount::returnLoan(std::uint64_t loan, absl::Time now)
{
    advance(now);
    const auto found = borrowed_.find(loan);
    if (found == borrowed_.end())
        return 0;
    borrowed_.erase(found);
    sumBorrowed();
    return clampLevel();
}

double ShareAccount::clampLevel()
{
    const double excess = std::max(0.0, level_ - capacity());
    level_ -= excess;
    return excess;
}

double ShareAccount::capacity() const
{
    return std::max(0.0, capacityOf(unitsInUse()) - lentCapacity_) + borrowedCapacity_;
}

std::int64_t ShareAccount::lendableUnits() const
{
    if (burst_ <= 0 || borrowedUnits_ > 0)
        return 0;
    const double blocked = std::ceil(lentCapacity_ / burst_ * static_cast<double>(totalUnits_));
    return std::max<std::int64_t>(0, retainedUnits() - static_cast<std::int64_t>(blocked));
}

double ShareAccount::lendableTokens(absl::Duration duration, absl::Time now) const
{
    return std::clamp(capacityUntil(now + duration) - lentCapacity_, 0.0, level_);
}

bool ShareAccount::mayRelease(absl::Time now)
{
    // Longer than any token loan.
    constexpr absl::Duration TokenLoanMargin = absl::Seconds(1);
    advance(now);
    return retainedUnits() >= 0 && lentCapacity_ <= capacityUntil(now + TokenLoanMargin);
}

/// Own units that are neither to be released nor lent; negative if the loans exceed the units kept.
std::int64_t ShareAccount::retainedUnits() const
{
    return ownUnits() - releasingUnits_ - lentUnits_;
}

/// Capacity of the units that remain usable here until `end`.
double ShareAccount::capacityUntil(absl::Time end) const
{
    std::int64_t units = end <= ownUntil_ ? std::max<std::int64_t>(0, retainedUnits()) : 0;
    for (const auto &[loan, borrowed] : borrowed_)
        units += end <= borrowed.until ? borrowed.units : 0;
    return capacityOf(units);
}

double ShareAccount::rateOf(std::int64_t units) const
{
    return totalUnits_ > 0 ? rate_ * static_cast<double>(units) / static_cast<double>(totalUnits_)
                           : 0;
}

double ShareAccount::capacityOf(std::int64_t units) const
{
    return totalUnits_ > 0 ? burst_ * static_cast<double>(units) / static_cast<double>(totalUnits_)
                           : 0;
}

std::int64_t ShareAccount::freeOwnUnits() const
{
    return std::max<std::int64_t>(0, ownUnits() - lentUnits_);
}

// A loan never outlives the lender's authority over its units, so that no loan is still in use when
// another instance claims the slot after that authority has expired.
absl::Duration ShareAccount::limitToAuthority(absl::Duration duration, absl::Time now) const
{
    return ownUsable_ ? std::min(duration, ownUntil_ - now) : absl::ZeroDuration();
}

void ShareAccount::reserve(LentLoan &lent, Reservation reservation)
{
    auto &reservations = lent.reservations;
    reservations.erase(std::remove_if(reservations.begin(), reservations.end(),
                                      [&](const Reservation &old) {
                                          return old.end <= reservation.end
                                              && old.units <= reservation.units
                                              && old.tokens <= reservation.tokens;
                                      }),
                       reservations.end());
    reservations.push_back(reservation);
    sumLent();
}

void ShareAccount::expireBorrowed(absl::Time now)
{
    bool changed = false;
    for (auto it = borrowed_.begin(); it != borrowed_.end();) {
        if (now < it->second.until) {
            ++it;
            continue;
        }
        it = borrowed_.erase(it);
        changed = true;
    }
    if (changed)
        sumBorrowed();
}

void ShareAccount::sumBorrowed()
{
    borrowedUnits_ = 0;
    borrowedCapacity_ = 0;
    for (const auto &[loan, borrowed] : borrowed_) {
        borrowedUnits_ += borrowed.units;
        borrowedCapacity_ += borrowed.capacity;
    }
}

void ShareAccount::expireLent(absl::Time now)
{
    bool changed = false;
    for (auto it = lent_.begin(); it != lent_.end();) {
        auto &reservations = it->second.reservations;
        const std::size_t before = reservations.size();
        reservations.erase(std::remove_if(reservations.begin(), reservations.end(),
                                          [now](const Reservation &one) { return one.end <= now; }),
                           reservations.end());
        changed = changed || reservations.size() != before;
        it = reservations.empty() ? lent_.erase(it) : std::next(it);
    }
    if (changed)
        sumLent();
}

void ShareAccount::sumLent()
{
    lentUnits_ = 0;
    lentCapacity_ = 0;
    for (const auto &[key, lent] : lent_) {
        std::int64_t units = 0;
        double tokens = 0;
        for (const Reservation &reservation : lent.reservations) {
            units = std::max(units, reservation.units);
            tokens = std::max(tokens, reservation.tokens);
        }
        lentUnits_ += units;
        lentCapacity_ += tokens;
    }
}

} // namespace zinniadoor::control
