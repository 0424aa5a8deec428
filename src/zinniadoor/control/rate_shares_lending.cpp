#include <algorithm>
#include <cmath>

#include "zinniadoor/control/rate_shares.hpp"
#include "zinniadoor/control/stable_hash.hpp"

// The lender's side of RateShares.

namespace zinniadoor::control {

namespace {

/// Smallest token loan.
constexpr double MinTokenLoan = 0.01;

} // namespace

std::int64_t maxMinShare(std::int64_t total, const std::vector<std::int64_t> &demands,
                         std::size_t index)
{
    std::vector<std::int64_t> sorted = demands;
    std::sort(sorted.begin(), sorted.end());
    std::int64_t left = total;
    for (std::size_t i = 0; i < sorted.size(); ++i) {
        const auto sharers = static_cast<std::int64_t>(sorted.size() - i);
        const std::int64_t portion = left / sharers;
        if (sorted[i] > portion)
            return std::min(demands[index], portion);
        left -= sorted[i];
        if (demands[index] == sorted[i])
            return demands[index];
    }
    return demands[index];
}

void RateShares::onLoanRequest(const base::InstanceId &from, const LoanRequest &request,
                               absl::Time now, Outbox &outbox)
{
    if (request.borrower != from)
        return;
    LoanResponse response;
    response.lender = options_.instance;
    response.borrower = request.borrower;
    response.incarnation = request.incarnation;
    for (const LoanRequestItem &item : request.items) {
        Entry *entry = find(item.organisation);
        if (entry == nullptr)
            continue;
        const LoanKey key { from, request.incarnation, item.loan };
        entry->account.advance(now);
        response.items.push_back(item.kind == LoanKind::Tokens ? lendTokens(*entry, key, item, now)
                                                               : lendShare(*entry, key, item, now));
    }
    if (!response.items.empty())
        outbox.others.push_back(OutgoingMessage { from, std::move(response) });
}

/// Tokens that can be lent without delaying the own queue.
double RateShares::spareTokens(const Entry &entry, absl::Time now) const
{
    const double lendable = entry.account.lendableTokens(options_.tokenLoanDuration, now);
    return std::max(0.0, lendable - entry.queuedCost);
}

// Lends what the borrower's queue needs, and beyond that at most half of the spare tokens, so that
// some remain for other borrowers.
LoanResponseItem RateShares::lendTokens(Entry &entry, const LoanKey &key,
                                        const LoanRequestItem &item, absl::Time now)
{
    LoanResponseItem response;
    response.requestId = item.requestId;
    response.loan = item.loan;
    if (isPoolHolder(entry, options_.instance))
        recordDemand(entry, item.neededTokens, now);
    const double spare = spareTokens(entry, now);
    const double wanted = std::max(item.wantedTokens, item.neededTokens);
    const double needed = std::min(item.neededTokens, spare);
    double amount = std::min(wanted, std::max(needed, spare / 2));
    // No other peer has the rest: partial amounts would only lie idle at several borrowers.
    if (isPoolHolder(entry, options_.instance) && spare < item.neededTokens)
        amount = 0;
    if (amount >= MinTokenLoan) {
        const Grant grant = entry.account.lendTokens(key, amount, options_.tokenLoanDuration, now);
        response.tokens = grant.tokens;
        response.milliseconds
            = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(grant.duration));
    }
    response.spareTokens = static_cast<float>(spareTokens(entry, now));
    return response;
}

LoanResponseItem RateShares::lendShare(Entry &entry, const LoanKey &key,
                                       const LoanRequestItem &item, absl::Time now)
{
    LoanResponseItem response;
    response.requestId = item.requestId;
    response.loan = item.loan;
    const bool renews = item.loan != item.requestId;
    // A renewal that arrives after the loan's return must not recreate the loan.
    if (renews && !entry.account.hasLent(key))
        return response;
    entry.borrowerDemands[key.borrower] = BorrowerDemand { item.units, now };
    const std::int64_t size
        = std::min<std::int64_t>(item.units, fairShare(entry, key.borrower, now));
    const absl::Duration time
        = isPooled(entry) ? options_.pooledLoanDuration : options_.shareLoanDuration;
    const Grant grant = entry.account.lendShare(key, size, time, now);
    response.units = static_cast<std::uint32_t>(grant.units);
    response.tokens = grant.tokens;
    response.milliseconds = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(grant.duration));
    return response;
}

/// The borrower's max-min fair share of the own units, beside the own demand and other borrowers.
std::int64_t RateShares::fairShare(Entry &entry, const base::InstanceId &borrower,
                                   absl::Time now) const
{
    const std::int64_t own = entry.account.ownUnits();
    if (isPooled(entry))
        return isPoolHolder(entry, borrower) ? own : 0;
    std::vector<std::int64_t> demands;
    demands.push_back(std::min(own, neededUnits(entry, now) + reservedUnits(entry)));
    std::size_t index = 0;
    for (auto it = entry.borrowerDemands.begin(); it != entry.borrowerDemands.end();) {
        if (now - it->second.at > options_.shareLoanDuration) {
            it = entry.borrowerDemands.erase(it);
            continue;
        }
        if (it->first == borrower)
            index = demands.size();
        demands.push_back(it->second.units);
        ++it;
    }
    return maxMinShare(own, demands, index);
}

void RateShares::onReturn(const base::InstanceId &from, const LoanReturn &message, absl::Time now)
{
    if (message.borrower != from)
        return;
    for (const LoanReturnItem &item : message.items) {
        if (Entry *entry = find(item.organisation)) {
            entry->account.endLoan(LoanKey { from, message.incarnation, item.loan }, item.tokens,
                                   now);
        }
    }
}

void RateShares::onHeartbeat(const base::InstanceId &from, const Heartbeat &message, absl::Time now)
{
    for (const OrganisationLoad &load : message.organisations) {
        const auto name = organisationsByHash_.find(load.organisation);
        if (name == organisationsByHash_.end())
            continue;
        PeerStatus &peer = find(name->second)->peers[from];
        peer.spareTokens = load.spareTokens;
        peer.spareUnits = load.spareUnits;
        peer.lastReportAt = now;
    }
}

std::vector<OrganisationLoad> RateShares::loads(std::size_t maxCount, absl::Time now)
{
    std::vector<OrganisationLoad> result;
    auto it = entries_.lower_bound(nextLoad_);
    for (std::size_t seen = 0; seen < entries_.size() && result.size() < maxCount; ++seen) {
        if (it == entries_.end())
            it = entries_.begin();
        Entry &entry = it->second;
        ++it;
        entry.account.advance(now);
        const double demand = demandOf(entry, now);
        if (entry.account.ownUnits() == 0 && demand <= 0)
            continue;
        OrganisationLoad load;
        load.organisation = shortHash(entry.id.str());
        load.demandPerSecond = static_cast<float>(demand);
        load.spareTokens = static_cast<float>(spareTokens(entry, now));
        load.spareUnits = static_cast<std::uint32_t>(std::max<std::int64_t>(
            0, entry.account.lendableUnits() - neededUnits(entry, now) - reservedUnits(entry)));
        result.push_back(load);
    }
    nextLoad_ = it == entries_.end() ? base::OrganisationId() : it->first;
    return result;
}

} // namespace zinniadoor::control
