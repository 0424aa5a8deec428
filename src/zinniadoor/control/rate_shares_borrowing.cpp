#include <algorithm>
#include <cmath>

#include "zinniadoor/control/rate_shares.hpp"
#include "zinniadoor/control/token_bucket.hpp"

// The borrower's side of RateShares.

namespace zinniadoor::control {

namespace {

constexpr double RequestOvercommit = 1.5;
constexpr double TopUpSeconds = 0.1;
constexpr absl::Duration InitialBackOff = absl::Milliseconds(20);
constexpr absl::Duration InitialPoolHolderBackOff = absl::Milliseconds(5);
constexpr absl::Duration MaxBackOff = absl::Seconds(1);
constexpr absl::Duration UnresponsivePeerBackOff = absl::Seconds(1);
constexpr absl::Duration MaxReportAge = absl::Seconds(3);

/// Slots whose part of the burst is below MinSlotBurst tokens are pooled, unless the rate would
/// cause too many token requests to the pool holder.
constexpr double MinSlotBurst = 4;
constexpr double MaxPooledRate = 50;

/// Demand up to this cost per second counts as none.
constexpr double MinDemand = 0.01;

/// Share loans smaller than 1/MinLoanDivisor of all units are neither requested nor returned.
constexpr std::int64_t MinLoanDivisor = 64;

} // namespace

/// Slot owners other than this instance that are not lost.
std::vector<base::InstanceId> RateShares::possibleLenders(const Entry &entry) const
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

/// Fraction of the organisation's slots that `peer` owns.
double RateShares::ownedFraction(const Entry &entry, const base::InstanceId &peer) const
{
    double slots = 0;
    for (const std::uint32_t slot : entry.slots) {
        const auto owner = slotOwners_.find(slot);
        slots += owner != slotOwners_.end() && owner->second == peer ? 1 : 0;
    }
    return slots / static_cast<double>(entry.slots.size());
}

bool RateShares::hasPendingTokenRequest(const Entry &entry) const
{
    return std::any_of(pending_.begin(), pending_.end(), [&](const auto &one) {
        return one.second.kind == LoanKind::Tokens && one.second.organisation == entry.id
            && !one.second.overdue;
    });
}

double RateShares::pendingTokens(const Entry &entry, absl::Time now) const
{
    double tokens = 0;
    for (const auto &[id, request] : pending_) {
        const bool counts = request.kind == LoanKind::Tokens && request.organisation == entry.id
            && now - request.sentAt < options_.peerResponseTimeout;
        tokens += counts ? request.needed : 0;
    }
    return tokens;
}

/// Tokens that a peer is expected to lend: from its last report and the refill since, or else from
/// the fraction of slots that it owns.
double RateShares::expectedTokens(const Entry &entry, const base::InstanceId &peer,
                                  absl::Time now) const
{
    const double part = isPoolHolder(entry, peer) ? 1 : ownedFraction(entry, peer);
    const auto view = entry.peers.find(peer);
    if (view == entry.peers.end() || now - view->second.lastReportAt >= MaxReportAge)
        return part * entry.account.totalBurst() / 2;
    const double age = absl::ToDoubleSeconds(now - view->second.lastReportAt);
    const double refill = part * entry.account.totalRate() / 2 * age;
    return std::min(part * entry.account.totalBurst(), view->second.spareTokens + refill);
}

// The random factor keeps instances from all choosing the same lender.
std::vector<RateShares::Candidate> RateShares::tokenCandidates(const Entry &entry, absl::Time now)
{
    std::uniform_real_distribution<double> factor(0.5, 1.0);
    std::vector<Candidate> candidates;
    for (const base::InstanceId &peer : possibleLenders(entry)) {
        const auto view = entry.peers.find(peer);
        const bool backingOff = view != entry.peers.end() && now < view->second.backOffUntil;
        if (backingOff || entry.askedPeers.count(peer) > 0)
            continue;
        const double amount = expectedTokens(entry, peer, now) * factor(random_);
        candidates.push_back(Candidate { peer, amount });
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &a, const Candidate &b) { return a.amount > b.amount; });
    return candidates;
}

LoanRequestItem &RateShares::addRequest(Entry &entry, const base::InstanceId &lender, LoanKind kind,
                                        std::uint64_t loan, absl::Time now, Outbox &outbox)
{
    const std::uint64_t id = nextRequest_++;
    LoanRequestItem item;
    item.requestId = id;
    item.loan = loan == 0 ? id : loan;
    item.organisation = entry.id;
    item.kind = kind;
    pending_[id] = PendingRequest { lender, entry.id, kind, item.loan, 0, now, false };
    auto &items = outbox.requests[lender].items;
    items.push_back(std::move(item));
    return items.back();
}

/// Requests the tokens missing for the queue from further peers. False if no peer is available.
bool RateShares::requestTokens(Entry &entry, absl::Time now, Outbox &outbox)
{
    const double missing = entry.queuedCost - entry.account.level() - pendingTokens(entry, now);
    if (missing <= 0)
        return true;
    const double room = std::max(0.0, entry.account.capacity() - entry.account.level());
    const double topUp = std::min(room, demandOf(entry, now) * TopUpSeconds);
    double expected = 0;
    bool asked = false;
    for (const Candidate &candidate : tokenCandidates(entry, now)) {
        if (expected >= missing * RequestOvercommit)
            break;
        LoanRequestItem &item = addRequest(entry, candidate.peer, LoanKind::Tokens, 0, now, outbox);
        item.neededTokens = missing;
        item.wantedTokens = missing + topUp;
        pending_[item.requestId].needed = missing;
        if (!isPoolHolder(entry, candidate.peer))
            entry.askedPeers.insert(candidate.peer);
        expected += candidate.amount;
        asked = true;
    }
    return asked;
}

void RateShares::onLoanResponse(const base::InstanceId &from, const LoanResponse &response,
                                absl::Time now, Outbox &outbox)
{
    if (response.lender != from || response.borrower != options_.instance
        || response.incarnation != options_.incarnation)
        return;
    for (const LoanResponseItem &item : response.items) {
        const auto found = pending_.find(item.requestId);
        if (found == pending_.end() || found->second.lender != from
            || found->second.loan != item.loan)
            continue;
        const PendingRequest request = found->second;
        pending_.erase(found);
        Entry &entry = *find(request.organisation);
        entry.account.advance(now);
        if (request.kind == LoanKind::Tokens)
            onTokenLoan(entry, request, item, now);
        else
            onShareLoan(entry, request, item, now);
        advanceQueue(entry, now, outbox);
    }
}

void RateShares::onTokenLoan(Entry &entry, const PendingRequest &request,
                             const LoanResponseItem &item, absl::Time now)
{
    PeerStatus &peer = entry.peers[request.lender];
    peer.spareTokens = item.spareTokens;
    peer.lastReportAt = now;
    if (item.tokens + TokenEpsilon >= request.needed) {
        peer.backOff = absl::ZeroDuration();
    } else {
        // When the whole rate is in use, no peer can lend much, so the back-off grows.
        const absl::Duration first
            = isPoolHolder(entry, request.lender) ? InitialPoolHolderBackOff : InitialBackOff;
        peer.backOff = std::clamp(2 * peer.backOff, first, MaxBackOff);
        peer.backOffUntil = now + peer.backOff;
    }
    const absl::Duration duration = absl::Milliseconds(item.milliseconds);
    const absl::Time until = request.sentAt + duration - clockMargin(duration);
    if (item.tokens <= 0 || now >= until)
        return;
    entry.account.borrowTokens(item.loan, item.tokens, until, now);
    entry.tokenLoans[item.loan] = request.lender;
}

// A request may need tokens from several lenders, so token loans are kept until the queue is empty.
// Tokens that fit into the own capacity then stay; the rest are returned, and the lenders release
// the reserved capacity.
void RateShares::returnTokenLoans(Entry &entry, absl::Time now, Outbox &outbox)
{
    for (const auto &[loan, lender] : entry.tokenLoans) {
        const double excess = entry.account.returnLoan(loan, now);
        outbox.returns[lender].items.push_back(LoanReturnItem { loan, entry.id, excess });
    }
    entry.tokenLoans.clear();
}

void RateShares::onShareLoan(Entry &entry, const PendingRequest &request,
                             const LoanResponseItem &item, absl::Time now)
{
    if (item.units == 0) {
        entry.peers[request.lender].spareUnits = 0;
        return;
    }
    const absl::Duration duration = absl::Milliseconds(item.milliseconds);
    const absl::Time until = request.sentAt + duration - clockMargin(duration);
    if (now >= until)
        return;
    entry.account.borrowShare(item.loan, item.units, item.tokens, until, now);
    entry.shareLoans[request.lender] = ShareLoan { item.loan, item.units, until };
}

/// Backs off from peers that did not answer a token request in time, and drops old requests.
void RateShares::expireRequests(absl::Time now)
{
    for (auto it = pending_.begin(); it != pending_.end();) {
        PendingRequest &request = it->second;
        const absl::Duration age = now - request.sentAt;
        if (request.kind == LoanKind::Tokens && age >= options_.decisionTimeout
            && !request.overdue) {
            request.overdue = true;
            find(request.organisation)->peers[request.lender].backOffUntil
                = now + UnresponsivePeerBackOff;
        }
        const absl::Duration keep = request.kind == LoanKind::Tokens ? options_.tokenLoanDuration
                                                                     : options_.shareLoanDuration;
        it = age >= keep ? pending_.erase(it) : std::next(it);
    }
}

/// Drops pending share requests to `lender`, so that a late response to one of them is ignored.
void RateShares::dropShareRequests(const Entry &entry, const base::InstanceId &lender)
{
    for (auto it = pending_.begin(); it != pending_.end();) {
        const PendingRequest &request = it->second;
        const bool drop = request.kind == LoanKind::Share && request.lender == lender
            && request.organisation == entry.id;
        it = drop ? pending_.erase(it) : std::next(it);
    }
}

bool RateShares::isPooled(const Entry &entry) const
{
    const double slotBurst = entry.account.totalBurst() / static_cast<double>(entry.slots.size());
    return slotBurst < MinSlotBurst && entry.account.totalRate() <= MaxPooledRate;
}

/// The owner of the first slot whose owner is not lost. While instances disagree about lost peers,
/// there may be two pool holders; this can reduce admissions but never exceeds the limits.
std::optional<base::InstanceId> RateShares::poolHolderOf(const Entry &entry) const
{
    for (const std::uint32_t slot : entry.slots) {
        const auto owner = slotOwners_.find(slot);
        if (owner != slotOwners_.end() && lost_.count(owner->second) == 0)
            return owner->second;
    }
    return std::nullopt;
}

bool RateShares::isPoolHolder(const Entry &entry, const base::InstanceId &instance) const
{
    return isPooled(entry) && poolHolderOf(entry) == instance;
}

/// Whether the pool holder, to which all tokens are returned, may be asked again before `deadline`.
bool RateShares::mayRetryPoolHolder(const Entry &entry, absl::Time deadline) const
{
    const std::optional<base::InstanceId> poolHolder = poolHolderOf(entry);
    if (!isPooled(entry) || !poolHolder || *poolHolder == options_.instance)
        return false;
    const auto view = entry.peers.find(*poolHolder);
    return view == entry.peers.end() || view->second.backOffUntil < deadline;
}

/// Own units that are kept even without demand.
std::int64_t RateShares::reservedUnits(const Entry &entry) const
{
    constexpr std::int64_t ReservedDivisor = 32;
    return isPooled(entry) ? 0 : entry.account.ownUnits() / ReservedDivisor;
}

/// Units required by the demand measured here.
std::int64_t RateShares::neededUnits(const Entry &entry, absl::Time now) const
{
    const double rate = entry.account.totalRate();
    if (rate <= 0)
        return 0;
    if (isPooled(entry)) {
        const bool inUse = demandOf(entry, now) > MinDemand;
        return inUse && isPoolHolder(entry, options_.instance) ? entry.account.totalUnits() : 0;
    }
    const double fraction = std::min(1.0, demandOf(entry, now) * options_.headroom / rate);
    return static_cast<std::int64_t>(fraction * static_cast<double>(entry.account.totalUnits()));
}

void RateShares::plan(Entry &entry, absl::Time now, Outbox &outbox)
{
    entry.account.advance(now);
    for (auto it = entry.shareLoans.begin(); it != entry.shareLoans.end();)
        it = now >= it->second.until ? entry.shareLoans.erase(it) : std::next(it);
    const std::int64_t needed = neededUnits(entry, now);
    if (needed == 0 && entry.shareLoans.empty())
        return;
    returnSurplusLoans(entry, needed, now, outbox);
    renewLoans(entry, needed, now, outbox);
    borrowMissing(entry, needed, now, outbox);
}

void RateShares::returnSurplusLoans(Entry &entry, std::int64_t needed, absl::Time now,
                                    Outbox &outbox)
{
    const std::int64_t minLoan = entry.account.totalUnits() / MinLoanDivisor;
    for (auto it = entry.shareLoans.begin(); it != entry.shareLoans.end();) {
        const std::int64_t surplus = entry.account.unitsInUse() - needed - minLoan;
        if (surplus < it->second.units || !entry.account.mayReturnLoan(it->second.loan, now)) {
            ++it;
            continue;
        }
        const double excess = entry.account.returnLoan(it->second.loan, now);
        outbox.returns[it->first].items.push_back(
            LoanReturnItem { it->second.loan, entry.id, excess });
        dropShareRequests(entry, it->first);
        it = entry.shareLoans.erase(it);
    }
}

/// Renews loans in the second half of their duration (pooled: in the last two thirds), reduced by
/// the units no longer needed.
void RateShares::renewLoans(Entry &entry, std::int64_t needed, absl::Time now, Outbox &outbox)
{
    const std::int64_t minLoan = entry.account.totalUnits() / MinLoanDivisor;
    std::int64_t surplus = std::max<std::int64_t>(0, entry.account.unitsInUse() - needed - minLoan);
    const absl::Duration renewBefore
        = isPooled(entry) ? options_.pooledLoanDuration * 2 / 3 : options_.shareLoanDuration / 2;
    for (const auto &[lender, loan] : entry.shareLoans) {
        if (loan.until - now > renewBefore || lost_.count(lender) > 0)
            continue;
        const std::int64_t units = std::max(minLoan, loan.units - surplus);
        surplus -= std::min(surplus, loan.units - std::min(loan.units, units));
        dropShareRequests(entry, lender);
        LoanRequestItem &item = addRequest(entry, lender, LoanKind::Share, loan.loan, now, outbox);
        item.units = static_cast<std::uint32_t>(units);
    }
}

/// Requests shares from the peers that reported the most spare units, until demand is covered.
void RateShares::borrowMissing(Entry &entry, std::int64_t needed, absl::Time now, Outbox &outbox)
{
    const std::int64_t minLoan = entry.account.totalUnits() / MinLoanDivisor;
    std::int64_t missing = needed - entry.account.unitsInUse();
    if (missing < minLoan)
        return;
    std::vector<Candidate> candidates;
    for (const base::InstanceId &peer : possibleLenders(entry)) {
        const auto view = entry.peers.find(peer);
        if (view != entry.peers.end() && now - view->second.lastReportAt < MaxReportAge
            && view->second.spareUnits >= minLoan / 2)
            candidates.push_back(Candidate { peer, static_cast<double>(view->second.spareUnits) });
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &a, const Candidate &b) { return a.amount > b.amount; });
    for (const Candidate &candidate : candidates) {
        if (missing <= 0)
            break;
        const auto units = std::min(missing, static_cast<std::int64_t>(candidate.amount));
        const auto loan = entry.shareLoans.find(candidate.peer);
        const bool grows = loan != entry.shareLoans.end();
        dropShareRequests(entry, candidate.peer);
        LoanRequestItem &item = addRequest(entry, candidate.peer, LoanKind::Share,
                                           grows ? loan->second.loan : 0, now, outbox);
        item.units = static_cast<std::uint32_t>(units + (grows ? loan->second.units : 0));
        missing -= units;
    }
}

} // namespace zinniadoor::control
