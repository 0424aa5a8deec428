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
    settle();
}

void ShareAccount::setOwn(std::int64_t units, absl::Time until, absl::Time now)
{
    advance(now);
    ownUnits_ = units;
    ownUntil_ = until;
    ownUsable_ = now < until;
    settle();
}

// Refills at the lowest rate that held since the last call: what ended meanwhile does not count
// as own or borrowed for that time, and what was lent counts as lent for all of it. An instance
// that was frozen past the end of its authority therefore finds its level cut to nothing before
// it spends.
void ShareAccount::advance(absl::Time now)
{
    if (now <= last_)
        return;
    endBorrowed(now);
    if (now >= ownUntil_)
        ownUsable_ = false;
    const double seconds = absl::ToDoubleSeconds(now - last_) * (1 - MaxClockDrift);
    level_ += ratePerSecond() * seconds;
    settle();
    endLent(now);
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
    const absl::Duration granted = withinAuthority(duration, now);
    // A part that is about to be released makes its loans shrink as they are renewed.
    const std::int64_t more = std::min(stayingUnits(), lendableUnits());
    const std::int64_t size = std::min(units, lentUnits(key) + more);
    if (size <= 0 || granted <= absl::ZeroDuration())
        return Grant {};
    const std::int64_t before = unitsInUse();
    double tokens = 0;
    if (!hasLent(key) && before > 0)
        tokens = level_ * static_cast<double>(size) / static_cast<double>(before);
    level_ -= tokens;
    Lent &lent = lent_[key];
    lent.givenTokens += tokens;
    block(lent, Blocked { size, 0, now + granted + clockMargin(granted) });
    settle();
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
    Lent &lent = lent_[key];
    lent.givenTokens = size;
    block(lent, Blocked { 0, size, now + duration + clockMargin(duration) });
    settle();
    return Grant { 0, size, duration };
}

void ShareAccount::takeBack(const LoanKey &key, double tokens, absl::Time now)
{
    advance(now);
    const auto found = lent_.find(key);
    if (found == lent_.end())
        return;
    // A doubled return may meet a later loan of the same name, made by a doubled ask: what comes
    // back is never more than was given under the loan that stands.
    level_ += std::min(tokens, found->second.givenTokens);
    lent_.erase(found);
    sumLent();
    settle();
}

std::int64_t ShareAccount::lentUnits(const LoanKey &key) const
{
    const auto found = lent_.find(key);
    if (found == lent_.end())
        return 0;
    std::int64_t units = 0;
    for (const Blocked &blocked : found->second.blocked)
        units = std::max(units, blocked.units);
    return units;
}

void ShareAccount::borrowShare(std::uint64_t loan, std::int64_t units, double tokens,
                               absl::Time until, absl::Time now)
{
    advance(now);
    if (now >= until)
        return;
    borrowed_[loan] = Borrowed { units, 0, until };
    sumBorrowed();
    level_ += tokens;
    settle();
}

void ShareAccount::borrowTokens(std::uint64_t loan, double tokens, absl::Time until, absl::Time now)
{
    advance(now);
    if (now >= until)
        return;
    borrowed_[loan] = Borrowed { 0, tokens, until };
    sumBorrowed();
    level_ += tokens;
}

bool ShareAccount::mayGiveBack(std::uint64_t loan, absl::Time now)
{
    advance(now);
    const auto found = borrowed_.find(loan);
    if (found == borrowed_.end() || found->second.units == 0)
        return true;
    const std::int64_t left = unitsInUse() - found->second.units;
    return lentRoom_ <= capacityOf(left);
}

double ShareAccount::giveBack(std::uint64_t loan, absl::Time now)
{
    advance(now);
    const auto found = borrowed_.find(loan);
    if (found == borrowed_.end())
        return 0;
    borrowed_.erase(found);
    sumBorrowed();
    return settle();
}

double ShareAccount::settle()
{
    const double excess = std::max(0.0, level_ - capacity());
    level_ -= excess;
    return excess;
}

double ShareAccount::capacity() const
{
    return std::max(0.0, capacityOf(unitsInUse()) - lentRoom_) + borrowedRoom_;
}

std::int64_t ShareAccount::lendableUnits() const
{
    if (burst_ <= 0 || borrowedUnits_ > 0)
        return 0;
    const double blocked = std::ceil(lentRoom_ / burst_ * static_cast<double>(totalUnits_));
    return std::max<std::int64_t>(0, stayingUnits() - static_cast<std::int64_t>(blocked));
}

double ShareAccount::lendableTokens(absl::Duration duration, absl::Time now) const
{
    return std::clamp(lastingCapacity(now + duration) - lentRoom_, 0.0, level_);
}

bool ShareAccount::mayRelease(absl::Time now)
{
    constexpr absl::Duration LongerThanTokenLoans = absl::Seconds(1);
    advance(now);
    return stayingUnits() >= 0 && lentRoom_ <= lastingCapacity(now + LongerThanTokenLoans);
}

/// Own units that stay and are not lent; negative if what stays cannot carry the loans.
std::int64_t ShareAccount::stayingUnits() const
{
    return ownUnits() - leavingUnits_ - lentUnits_;
}

/// Capacity of those units that will still be in use here at `end`.
double ShareAccount::lastingCapacity(absl::Time end) const
{
    std::int64_t units = end <= ownUntil_ ? std::max<std::int64_t>(0, stayingUnits()) : 0;
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

// A loan never outlives the lender's authority over the part, so that whoever claims the part
// after that authority has lapsed finds no loan of it still in use.
absl::Duration ShareAccount::withinAuthority(absl::Duration duration, absl::Time now) const
{
    return ownUsable_ ? std::min(duration, ownUntil_ - now) : absl::ZeroDuration();
}

void ShareAccount::block(Lent &lent, Blocked blocked)
{
    auto &all = lent.blocked;
    all.erase(std::remove_if(all.begin(), all.end(),
                             [&](const Blocked &old) {
                                 return old.end <= blocked.end && old.units <= blocked.units
                                     && old.tokens <= blocked.tokens;
                             }),
              all.end());
    all.push_back(blocked);
    sumLent();
}

void ShareAccount::endBorrowed(absl::Time now)
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
    borrowedRoom_ = 0;
    for (const auto &[loan, borrowed] : borrowed_) {
        borrowedUnits_ += borrowed.units;
        borrowedRoom_ += borrowed.room;
    }
}

void ShareAccount::endLent(absl::Time now)
{
    bool changed = false;
    for (auto it = lent_.begin(); it != lent_.end();) {
        auto &all = it->second.blocked;
        const std::size_t before = all.size();
        all.erase(std::remove_if(all.begin(), all.end(),
                                 [now](const Blocked &one) { return one.end <= now; }),
                  all.end());
        changed = changed || all.size() != before;
        it = all.empty() ? lent_.erase(it) : std::next(it);
    }
    if (changed)
        sumLent();
}

void ShareAccount::sumLent()
{
    lentUnits_ = 0;
    lentRoom_ = 0;
    for (const auto &[key, lent] : lent_) {
        std::int64_t units = 0;
        double tokens = 0;
        for (const Blocked &blocked : lent.blocked) {
            units = std::max(units, blocked.units);
            tokens = std::max(tokens, blocked.tokens);
        }
        lentUnits_ += units;
        lentRoom_ += tokens;
    }
}

} // namespace zinniadoor::control
