#include <algorithm>
#include <cmath>

#include "zinniadoor/control/rate_shares.hpp"
#include "zinniadoor/control/stable_hash.hpp"

// The lender's side of RateShares.

namespace zinniadoor::control {

namespace {

/// Tokens less than this are not worth a message.
constexpr double LeastTokens = 0.01;

} // namespace

std::int64_t maxMinPortion(std::int64_t total, const std::vector<std::int64_t> &wants,
                           std::size_t index)
{
    std::vector<std::int64_t> sorted = wants;
    std::sort(sorted.begin(), sorted.end());
    std::int64_t left = total;
    for (std::size_t i = 0; i < sorted.size(); ++i) {
        const auto sharers = static_cast<std::int64_t>(sorted.size() - i);
        const std::int64_t portion = left / sharers;
        if (sorted[i] > portion)
            return std::min(wants[index], portion);
        left -= sorted[i];
        if (wants[index] == sorted[i])
            return wants[index];
    }
    return wants[index];
}

void RateShares::onAsk(const base::InstanceId &from, const LoanRequest &message, absl::Time now,
                       Outbox &outbox)
{
    if (message.borrower != from)
        return;
    LoanResponse answer;
    answer.lender = options_.instance;
    answer.borrower = message.borrower;
    answer.incarnation = message.incarnation;
    for (const LoanRequestItem &item : message.items) {
        Entry *entry = find(item.organisation);
        if (entry == nullptr)
            continue;
        const LoanKey key { from, message.incarnation, item.loan };
        entry->account.advance(now);
        answer.items.push_back(item.kind == LoanKind::Tokens ? lendTokens(*entry, key, item, now)
                                                             : lendShare(*entry, key, item, now));
    }
    if (!answer.items.empty())
        outbox.others.push_back(OutgoingMessage { from, std::move(answer) });
}

/// What can be given away without making own requests wait.
double RateShares::spareTokens(const Entry &entry, absl::Time now) const
{
    const double lendable = entry.account.lendableTokens(options_.tokenLoanTime, now);
    return std::max(0.0, lendable - entry.waitingCost);
}

// Gives what waiting requests need, and beyond that at most half of the spare, so that one
// borrower in a hurry leaves something for the next.
LoanResponseItem RateShares::lendTokens(Entry &entry, const LoanKey &key, const LoanRequestItem &item,
                                absl::Time now)
{
    LoanResponseItem answer;
    answer.requestId = item.requestId;
    answer.loan = item.loan;
    if (isCollector(entry, options_.instance))
        noteDemand(entry, item.neededTokens, now);
    const double spare = spareTokens(entry, now);
    const double wanted = std::max(item.wantedTokens, item.neededTokens);
    const double needed = std::min(item.neededTokens, spare);
    double amount = std::min(wanted, std::max(needed, spare / 2));
    // Nobody else has the rest: pieces of a request's cost would only lie idle at several askers.
    if (isCollector(entry, options_.instance) && spare < item.neededTokens)
        amount = 0;
    if (amount >= LeastTokens) {
        const Grant grant = entry.account.lendTokens(key, amount, options_.tokenLoanTime, now);
        answer.tokens = grant.tokens;
        answer.milliseconds = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(grant.duration));
    }
    answer.spareTokens = static_cast<float>(spareTokens(entry, now));
    return answer;
}

LoanResponseItem RateShares::lendShare(Entry &entry, const LoanKey &key, const LoanRequestItem &item,
                               absl::Time now)
{
    LoanResponseItem answer;
    answer.requestId = item.requestId;
    answer.loan = item.loan;
    const bool renews = item.loan != item.requestId;
    // A renewal that was overtaken by the loan's return must not bring the loan back.
    if (renews && !entry.account.hasLent(key))
        return answer;
    entry.wants[key.borrower] = Want { item.units, now };
    const std::int64_t size
        = std::min<std::int64_t>(item.units, fairUnits(entry, key.borrower, now));
    const absl::Duration time
        = isConcentrated(entry) ? options_.concentratedLoanTime : options_.shareLoanTime;
    const Grant grant = entry.account.lendShare(key, size, time, now);
    answer.units = static_cast<std::uint32_t>(grant.units);
    answer.tokens = grant.tokens;
    answer.milliseconds = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(grant.duration));
    return answer;
}

/// The portion of own units that is due to `borrower` beside own need and other borrowers.
std::int64_t RateShares::fairUnits(Entry &entry, const base::InstanceId &borrower,
                                   absl::Time now) const
{
    const std::int64_t own = entry.account.ownUnits();
    if (isConcentrated(entry))
        return isCollector(entry, borrower) ? own : 0;
    std::vector<std::int64_t> wants;
    wants.push_back(std::min(own, neededUnits(entry, now) + keptUnits(entry)));
    std::size_t index = 0;
    for (auto it = entry.wants.begin(); it != entry.wants.end();) {
        if (now - it->second.at > options_.shareLoanTime) {
            it = entry.wants.erase(it);
            continue;
        }
        if (it->first == borrower)
            index = wants.size();
        wants.push_back(it->second.units);
        ++it;
    }
    return maxMinPortion(own, wants, index);
}

void RateShares::onReturn(const base::InstanceId &from, const LoanReturn &message, absl::Time now)
{
    if (message.borrower != from)
        return;
    for (const LoanReturnItem &item : message.items) {
        if (Entry *entry = find(item.organisation)) {
            entry->account.takeBack(LoanKey { from, message.incarnation, item.loan }, item.tokens,
                                    now);
        }
    }
}

void RateShares::onHeartbeat(const base::InstanceId &from, const Heartbeat &message, absl::Time now)
{
    for (const OrganisationLoad &load : message.organisations) {
        const auto name = shortNames_.find(load.organisation);
        if (name == shortNames_.end())
            continue;
        PeerView &peer = find(name->second)->peers[from];
        peer.spareTokens = load.spareTokens;
        peer.spareUnits = load.spareUnits;
        peer.heardAt = now;
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
            0, entry.account.lendableUnits() - neededUnits(entry, now) - keptUnits(entry)));
        result.push_back(load);
    }
    nextLoad_ = it == entries_.end() ? base::OrganisationId() : it->first;
    return result;
}

} // namespace zinniadoor::control
