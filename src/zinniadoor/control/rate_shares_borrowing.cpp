#include <algorithm>
#include <cmath>

#include "zinniadoor/control/rate_shares.hpp"
#include "zinniadoor/control/token_bucket.hpp"

// The borrower's side of RateShares.

namespace zinniadoor::control {

namespace {

constexpr double AskedPerNeeded = 1.5;
constexpr double TopUpSeconds = 0.1;
constexpr absl::Duration FirstEmptyPause = absl::Milliseconds(20);
constexpr absl::Duration FirstCollectorPause = absl::Milliseconds(5);
constexpr absl::Duration LongestEmptyPause = absl::Seconds(1);
constexpr absl::Duration SilentPeerPause = absl::Seconds(1);
constexpr absl::Duration HeardIsFresh = absl::Seconds(3);

/// Parts with room for fewer tokens are lent to one owner, unless the rate would make the asks to
/// that owner too many.
constexpr double LeastPartBurst = 4;
constexpr double MostConcentratedRate = 50;

/// Less than this, in cost per second, is no demand.
constexpr double LeastDemand = 0.01;

/// Share loans are not asked for or returned for less than this part of the whole.
constexpr std::int64_t LeastLoanFraction = 64;

} // namespace

/// Slot owners that could lend, without this instance.
std::vector<base::InstanceId> RateShares::owners(const Entry &entry) const
{
    std::set<base::InstanceId> found;
    for (const std::uint32_t slot : entry.slots) {
        const auto owner = slotOwners_.find(slot);
        if (owner == slotOwners_.end() || owner->second == options_.instance)
            continue;
        if (lost_.count(owner->second) == 0)
            found.insert(owner->second);
    }
    return { found.begin(), found.end() };
}

/// Fraction of the organisation's whole that `peer` owns.
double RateShares::partOf(const Entry &entry, const base::InstanceId &peer) const
{
    double slots = 0;
    for (const std::uint32_t slot : entry.slots) {
        const auto owner = slotOwners_.find(slot);
        slots += owner != slotOwners_.end() && owner->second == peer ? 1 : 0;
    }
    return slots / static_cast<double>(entry.slots.size());
}

bool RateShares::hasPendingTokens(const Entry &entry) const
{
    return std::any_of(pending_.begin(), pending_.end(), [&](const auto &one) {
        return one.second.kind == LoanKind::Tokens && one.second.organisation == entry.id
            && !one.second.overdue;
    });
}

double RateShares::pendingTokens(const Entry &entry, absl::Time now) const
{
    double tokens = 0;
    for (const auto &[id, asked] : pending_) {
        const bool counts = asked.kind == LoanKind::Tokens && asked.organisation == entry.id
            && now - asked.askedAt < options_.askPatience;
        tokens += counts ? asked.needed : 0;
    }
    return tokens;
}

/// What a peer can give: by its last report and its refill since, or by its part.
double RateShares::expectedTokens(const Entry &entry, const base::InstanceId &peer,
                                  absl::Time now) const
{
    const double part = isCollector(entry, peer) ? 1 : partOf(entry, peer);
    const auto view = entry.peers.find(peer);
    if (view == entry.peers.end() || now - view->second.heardAt >= HeardIsFresh)
        return part * entry.account.totalBurst() / 2;
    const double age = absl::ToDoubleSeconds(now - view->second.heardAt);
    const double refill = part * entry.account.totalRate() / 2 * age;
    return std::min(part * entry.account.totalBurst(), view->second.spareTokens + refill);
}

// The random factor keeps instances from asking the same peer at once.
std::vector<RateShares::Candidate> RateShares::tokenCandidates(const Entry &entry, absl::Time now)
{
    std::uniform_real_distribution<double> factor(0.5, 1.0);
    std::vector<Candidate> candidates;
    for (const base::InstanceId &peer : owners(entry)) {
        const auto view = entry.peers.find(peer);
        const bool pauses = view != entry.peers.end() && now < view->second.emptyUntil;
        if (pauses || entry.asked.count(peer) > 0)
            continue;
        const double amount = expectedTokens(entry, peer, now) * factor(random_);
        candidates.push_back(Candidate { peer, amount });
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &a, const Candidate &b) { return a.amount > b.amount; });
    return candidates;
}

LoanRequestItem &RateShares::ask(Entry &entry, const base::InstanceId &lender, LoanKind kind,
                            std::uint64_t loan, absl::Time now, Outbox &outbox)
{
    const std::uint64_t id = nextAsk_++;
    LoanRequestItem item;
    item.requestId = id;
    item.loan = loan == 0 ? id : loan;
    item.organisation = entry.id;
    item.kind = kind;
    pending_[id] = PendingAsk { lender, entry.id, kind, item.loan, 0, now, false };
    auto &items = outbox.asks[lender].items;
    items.push_back(std::move(item));
    return items.back();
}

/// Asks the next peers for what the waiting requests lack. False if there is nobody to ask.
bool RateShares::askForTokens(Entry &entry, absl::Time now, Outbox &outbox)
{
    const double missing = entry.waitingCost - entry.account.level() - pendingTokens(entry, now);
    if (missing <= 0)
        return true;
    const double room = std::max(0.0, entry.account.capacity() - entry.account.level());
    const double topUp = std::min(room, demandOf(entry, now) * TopUpSeconds);
    double expected = 0;
    bool asked = false;
    for (const Candidate &candidate : tokenCandidates(entry, now)) {
        if (expected >= missing * AskedPerNeeded)
            break;
        LoanRequestItem &item = ask(entry, candidate.peer, LoanKind::Tokens, 0, now, outbox);
        item.neededTokens = missing;
        item.wantedTokens = missing + topUp;
        pending_[item.requestId].needed = missing;
        if (!isCollector(entry, candidate.peer))
            entry.asked.insert(candidate.peer);
        expected += candidate.amount;
        asked = true;
    }
    return asked;
}

void RateShares::onAnswer(const base::InstanceId &from, const LoanResponse &answer, absl::Time now,
                          Outbox &outbox)
{
    if (answer.lender != from || answer.borrower != options_.instance
        || answer.incarnation != options_.incarnation)
        return;
    for (const LoanResponseItem &item : answer.items) {
        const auto found = pending_.find(item.requestId);
        if (found == pending_.end() || found->second.lender != from
            || found->second.loan != item.loan)
            continue;
        const PendingAsk asked = found->second;
        pending_.erase(found);
        Entry &entry = *find(asked.organisation);
        entry.account.advance(now);
        if (asked.kind == LoanKind::Tokens)
            onTokens(entry, asked, item, now);
        else
            onShare(entry, asked, item, now);
        goOn(entry, now, outbox);
    }
}

void RateShares::onTokens(Entry &entry, const PendingAsk &asked, const LoanResponseItem &item,
                          absl::Time now)
{
    PeerView &peer = entry.peers[asked.lender];
    peer.spareTokens = item.spareTokens;
    peer.heardAt = now;
    if (item.tokens + TokenEpsilon >= asked.needed) {
        peer.emptyPause = absl::ZeroDuration();
    } else {
        // Where all of the rate is used, nobody has much to give: ask less and less often.
        const absl::Duration first
            = isCollector(entry, asked.lender) ? FirstCollectorPause : FirstEmptyPause;
        peer.emptyPause = std::clamp(2 * peer.emptyPause, first, LongestEmptyPause);
        peer.emptyUntil = now + peer.emptyPause;
    }
    const absl::Duration duration = absl::Milliseconds(item.milliseconds);
    const absl::Time until = asked.askedAt + duration - clockMargin(duration);
    if (item.tokens <= 0 || now >= until)
        return;
    entry.account.borrowTokens(item.loan, item.tokens, until, now);
    entry.held[item.loan] = asked.lender;
}

// Tokens of several lenders add up for one request, so they are held until nothing waits. What
// fits into the own capacity then stays; the rest goes back, and the lenders get their room back.
void RateShares::returnHeld(Entry &entry, absl::Time now, Outbox &outbox)
{
    for (const auto &[loan, lender] : entry.held) {
        const double excess = entry.account.giveBack(loan, now);
        outbox.returns[lender].items.push_back(LoanReturnItem { loan, entry.id, excess });
    }
    entry.held.clear();
}

void RateShares::onShare(Entry &entry, const PendingAsk &asked, const LoanResponseItem &item,
                         absl::Time now)
{
    if (item.units == 0) {
        entry.peers[asked.lender].spareUnits = 0;
        return;
    }
    const absl::Duration duration = absl::Milliseconds(item.milliseconds);
    const absl::Time until = asked.askedAt + duration - clockMargin(duration);
    if (now >= until)
        return;
    entry.account.borrowShare(item.loan, item.units, item.tokens, until, now);
    entry.loans[asked.lender] = ShareLoan { item.loan, item.units, until };
}

/// Token asks without an answer in time: the peer is left alone for a while.
void RateShares::expireAsks(absl::Time now)
{
    for (auto it = pending_.begin(); it != pending_.end();) {
        PendingAsk &asked = it->second;
        const absl::Duration age = now - asked.askedAt;
        if (asked.kind == LoanKind::Tokens && age >= options_.askWait && !asked.overdue) {
            asked.overdue = true;
            find(asked.organisation)->peers[asked.lender].emptyUntil = now + SilentPeerPause;
        }
        const absl::Duration keep
            = asked.kind == LoanKind::Tokens ? options_.tokenLoanTime : options_.shareLoanTime;
        it = age >= keep ? pending_.erase(it) : std::next(it);
    }
}

/// Forgets share asks to `lender`, so that a late answer to an older one changes nothing.
void RateShares::dropAsks(const Entry &entry, const base::InstanceId &lender)
{
    for (auto it = pending_.begin(); it != pending_.end();) {
        const PendingAsk &asked = it->second;
        const bool drop = asked.kind == LoanKind::Share && asked.lender == lender
            && asked.organisation == entry.id;
        it = drop ? pending_.erase(it) : std::next(it);
    }
}

bool RateShares::isConcentrated(const Entry &entry) const
{
    const double partBurst = entry.account.totalBurst() / static_cast<double>(entry.slots.size());
    return partBurst < LeastPartBurst && entry.account.totalRate() <= MostConcentratedRate;
}

/// The owner of the first slot whose owner is not lost. Where views differ, two may collect for a
/// moment; that costs admissions but breaks nothing.
std::optional<base::InstanceId> RateShares::collectorOf(const Entry &entry) const
{
    for (const std::uint32_t slot : entry.slots) {
        const auto owner = slotOwners_.find(slot);
        if (owner != slotOwners_.end() && lost_.count(owner->second) == 0)
            return owner->second;
    }
    return std::nullopt;
}

bool RateShares::isCollector(const Entry &entry, const base::InstanceId &instance) const
{
    return isConcentrated(entry) && collectorOf(entry) == instance;
}

/// Whether the collector, which all tokens come back to, may be asked again before `deadline`.
bool RateShares::mayAskAgain(const Entry &entry, absl::Time deadline) const
{
    const std::optional<base::InstanceId> collector = collectorOf(entry);
    if (!isConcentrated(entry) || !collector || *collector == options_.instance)
        return false;
    const auto view = entry.peers.find(*collector);
    return view == entry.peers.end() || view->second.emptyUntil < deadline;
}

/// Own units that are not lent even without demand.
std::int64_t RateShares::keptUnits(const Entry &entry) const
{
    constexpr std::int64_t KeptFraction = 32;
    return isConcentrated(entry) ? 0 : entry.account.ownUnits() / KeptFraction;
}

/// Units that the demand measured here calls for.
std::int64_t RateShares::neededUnits(const Entry &entry, absl::Time now) const
{
    const double rate = entry.account.totalRate();
    if (rate <= 0)
        return 0;
    if (isConcentrated(entry)) {
        const bool inUse = demandOf(entry, now) > LeastDemand;
        return inUse && isCollector(entry, options_.instance) ? entry.account.totalUnits() : 0;
    }
    const double fraction = std::min(1.0, demandOf(entry, now) * options_.headroom / rate);
    return static_cast<std::int64_t>(fraction * static_cast<double>(entry.account.totalUnits()));
}

void RateShares::plan(Entry &entry, absl::Time now, Outbox &outbox)
{
    entry.account.advance(now);
    for (auto it = entry.loans.begin(); it != entry.loans.end();)
        it = now >= it->second.until ? entry.loans.erase(it) : std::next(it);
    const std::int64_t needed = neededUnits(entry, now);
    if (needed == 0 && entry.loans.empty())
        return;
    returnSurplus(entry, needed, now, outbox);
    renewLoans(entry, needed, now, outbox);
    borrowMore(entry, needed, now, outbox);
}

void RateShares::returnSurplus(Entry &entry, std::int64_t needed, absl::Time now, Outbox &outbox)
{
    const std::int64_t least = entry.account.totalUnits() / LeastLoanFraction;
    for (auto it = entry.loans.begin(); it != entry.loans.end();) {
        const std::int64_t surplus = entry.account.unitsInUse() - needed - least;
        if (surplus < it->second.units || !entry.account.mayGiveBack(it->second.loan, now)) {
            ++it;
            continue;
        }
        const double excess = entry.account.giveBack(it->second.loan, now);
        outbox.returns[it->first].items.push_back(LoanReturnItem { it->second.loan, entry.id, excess });
        dropAsks(entry, it->first);
        it = entry.loans.erase(it);
    }
}

/// Renews loans in the second half of their time; what is no longer needed is left out.
void RateShares::renewLoans(Entry &entry, std::int64_t needed, absl::Time now, Outbox &outbox)
{
    const std::int64_t least = entry.account.totalUnits() / LeastLoanFraction;
    std::int64_t surplus = std::max<std::int64_t>(0, entry.account.unitsInUse() - needed - least);
    const absl::Duration renewBefore = isConcentrated(entry) ? options_.concentratedLoanTime * 2 / 3
                                                             : options_.shareLoanTime / 2;
    for (const auto &[lender, loan] : entry.loans) {
        if (loan.until - now > renewBefore || lost_.count(lender) > 0)
            continue;
        const std::int64_t units = std::max(least, loan.units - surplus);
        surplus -= std::min(surplus, loan.units - std::min(loan.units, units));
        dropAsks(entry, lender);
        LoanRequestItem &item = ask(entry, lender, LoanKind::Share, loan.loan, now, outbox);
        item.units = static_cast<std::uint32_t>(units);
    }
}

/// Asks those who reported most to spare, until the demand would be covered.
void RateShares::borrowMore(Entry &entry, std::int64_t needed, absl::Time now, Outbox &outbox)
{
    const std::int64_t least = entry.account.totalUnits() / LeastLoanFraction;
    std::int64_t missing = needed - entry.account.unitsInUse();
    if (missing < least)
        return;
    std::vector<Candidate> candidates;
    for (const base::InstanceId &peer : owners(entry)) {
        const auto view = entry.peers.find(peer);
        if (view != entry.peers.end() && now - view->second.heardAt < HeardIsFresh
            && view->second.spareUnits >= least / 2)
            candidates.push_back(Candidate { peer, static_cast<double>(view->second.spareUnits) });
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &a, const Candidate &b) { return a.amount > b.amount; });
    for (const Candidate &candidate : candidates) {
        if (missing <= 0)
            break;
        const auto units = std::min(missing, static_cast<std::int64_t>(candidate.amount));
        const auto loan = entry.loans.find(candidate.peer);
        const bool grows = loan != entry.loans.end();
        dropAsks(entry, candidate.peer);
        LoanRequestItem &item = ask(entry, candidate.peer, LoanKind::Share,
                               grows ? loan->second.loan : 0, now, outbox);
        item.units = static_cast<std::uint32_t>(units + (grows ? loan->second.units : 0));
        missing -= units;
    }
}

} // namespace zinniadoor::control
