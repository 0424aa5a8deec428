#include "zinniadoor/control/rate_shares.hpp"

#include <algorithm>
#include <cmath>

#include "zinniadoor/control/stable_hash.hpp"

namespace zinniadoor::control {

namespace {

constexpr std::size_t MaxQueuedPerOrganisation = 256;
constexpr absl::Duration MaxRetryAfter = absl::Hours(1);

} // namespace

const char *nameOf(Verdict verdict)
{
    switch (verdict) {
    case Verdict::Admitted:
        return "admitted";
    case Verdict::Refused:
        return "refused";
    case Verdict::Waiting:
        return "waiting";
    }
    return "unknown";
}

std::vector<std::uint32_t> slotsOf(const base::OrganisationId &organisation,
                                   std::uint32_t shareSlots)
{
    std::vector<std::pair<std::uint64_t, std::uint32_t>> weighted;
    for (std::uint32_t slot = 0; slot < shareSlots; ++slot)
        weighted.emplace_back(rendezvousWeight(organisation.str(), std::to_string(slot)), slot);
    std::sort(weighted.rbegin(), weighted.rend());
    if (weighted.size() > MaxSlotsPerOrganisation)
        weighted.resize(MaxSlotsPerOrganisation);
    std::vector<std::uint32_t> slots;
    for (const auto &[weight, slot] : weighted)
        slots.push_back(slot);
    return slots;
}

RateShares::RateShares(RateSharesOptions options)
    : options_(std::move(options))
    , random_(options_.seed)
{ }

const ShareAccount *RateShares::account(const base::OrganisationId &organisation) const
{
    const auto found = entries_.find(organisation);
    return found == entries_.end() ? nullptr : &found->second.account;
}

RateShares::Entry *RateShares::find(const base::OrganisationId &organisation)
{
    const auto found = entries_.find(organisation);
    return found == entries_.end() ? nullptr : &found->second;
}

// An organisation that is removed from the bundle keeps its account with rate and burst 0. Its
// loans expire as usual, so that no share is counted twice if the organisation is added again.
void RateShares::setOrganisations(const std::vector<Organisation> &organisations, absl::Time now)
{
    std::set<base::OrganisationId> present;
    for (const Organisation &organisation : organisations) {
        present.insert(organisation.id);
        const auto [place, added] = entries_.try_emplace(organisation.id, now);
        Entry &entry = place->second;
        if (added) {
            entry.id = organisation.id;
            entry.slots = slotsOf(organisation.id, options_.shareSlots);
            organisationsByHash_[shortHash(organisation.id.str())] = organisation.id;
        }
        configure(entry, organisation, now);
    }
    for (auto &[id, entry] : entries_) {
        if (present.count(id) == 0)
            configure(entry, Organisation {}, now);
    }
}

void RateShares::configure(Entry &entry, const Organisation &organisation, absl::Time now)
{
    const auto units = static_cast<std::int64_t>(entry.slots.size()) * UnitsPerSlot;
    entry.account.setLimits(organisation.ratePerSecond, organisation.burst, units, now);
    applySlots(entry, now);
}

void RateShares::applySlots(Entry &entry, absl::Time now) const
{
    std::int64_t own = 0;
    std::int64_t leaving = 0;
    for (const std::uint32_t slot : entry.slots) {
        if (ownedSlots_.count(slot) == 0)
            continue;
        own += UnitsPerSlot;
        leaving += releasingSlots_.count(slot) > 0 ? UnitsPerSlot : 0;
    }
    entry.account.setOwnUnits(own, ownedUntil_, now);
    entry.account.setReleasingUnits(leaving);
}

void RateShares::setOwnedSlots(const std::set<std::uint32_t> &slots, absl::Time mayUseUntil,
                               absl::Time now)
{
    ownedSlots_ = slots;
    ownedUntil_ = mayUseUntil;
    for (auto &[id, entry] : entries_)
        applySlots(entry, now);
}

void RateShares::prepareRelease(const std::set<std::uint32_t> &slots)
{
    releasingSlots_ = slots;
    for (auto &[id, entry] : entries_) {
        const auto leaving
            = std::count_if(entry.slots.begin(), entry.slots.end(), [this](std::uint32_t slot) {
                  return ownedSlots_.count(slot) > 0 && releasingSlots_.count(slot) > 0;
              });
        entry.account.setReleasingUnits(leaving * UnitsPerSlot);
    }
}

bool RateShares::mayRelease(absl::Time now)
{
    return std::all_of(entries_.begin(), entries_.end(),
                       [now](auto &one) { return one.second.account.mayRelease(now); });
}

void RateShares::setSlotOwners(const std::map<std::uint32_t, base::InstanceId> &owners)
{
    slotOwners_ = owners;
}

Admission RateShares::admit(const base::OrganisationId &organisation, double cost, absl::Time now)
{
    Admission admission;
    Entry *entry = find(organisation);
    if (entry == nullptr || cost > entry->account.totalBurst()) {
        admission.retryAfter = MaxRetryAfter;
        return admission;
    }
    recordDemand(*entry, cost, now);
    if (entry->queue.empty() && entry->account.spend(cost, now)) {
        admission.verdict = Verdict::Admitted;
        return admission;
    }
    admission.retryAfter = retryAfter(*entry, cost);
    if (entry->queue.size() >= MaxQueuedPerOrganisation)
        return admission;

    const Ticket ticket = nextTicket_++;
    entry->queue.push_back(QueuedRequest { ticket, cost, now + options_.decisionTimeout });
    entry->queuedCost += cost;
    tickets_[ticket] = organisation;
    Outbox outbox;
    advanceQueue(*entry, now, outbox);
    admission.verdict = Verdict::Waiting;
    admission.ticket = ticket;
    admission.maxWait = options_.decisionTimeout;
    const auto decided
        = std::find_if(outbox.decisions.begin(), outbox.decisions.end(),
                       [ticket](const Decision &decision) { return decision.ticket == ticket; });
    if (decided != outbox.decisions.end()) {
        admission.verdict = decided->verdict;
        admission.retryAfter = decided->retryAfter;
        outbox.decisions.erase(decided);
    }
    admission.effects = effectsOf(std::move(outbox));
    return admission;
}

void RateShares::cancel(Ticket ticket)
{
    const auto found = tickets_.find(ticket);
    if (found == tickets_.end())
        return;
    Entry *entry = find(found->second);
    cancelled_.insert(found->second);
    tickets_.erase(found);
    auto &queue = entry->queue;
    const auto place = std::find_if(queue.begin(), queue.end(),
                                    [ticket](const auto &one) { return one.ticket == ticket; });
    if (place == queue.end())
        return;
    entry->queuedCost -= place->cost;
    queue.erase(place);
}

Effects RateShares::onMessage(const base::InstanceId &from, const PeerMessage &message,
                              absl::Time now)
{
    Outbox outbox;
    if (const auto *request = std::get_if<LoanRequest>(&message))
        onLoanRequest(from, *request, now, outbox);
    else if (const auto *response = std::get_if<LoanResponse>(&message))
        onLoanResponse(from, *response, now, outbox);
    else if (const auto *loanReturn = std::get_if<LoanReturn>(&message))
        onReturn(from, *loanReturn, now);
    else if (const auto *heartbeat = std::get_if<Heartbeat>(&message))
        onHeartbeat(from, *heartbeat, now);
    return effectsOf(std::move(outbox));
}

Effects RateShares::tick(absl::Time now)
{
    Outbox outbox;
    expireRequests(now);
    std::set<base::OrganisationId> active;
    active.swap(cancelled_);
    for (const auto &[ticket, organisation] : tickets_)
        active.insert(organisation);
    for (const base::OrganisationId &organisation : active)
        advanceQueue(*find(organisation), now, outbox);
    if (now >= nextPlan_) {
        nextPlan_ = now + options_.planInterval;
        for (auto &[id, entry] : entries_)
            plan(entry, now, outbox);
    }
    return effectsOf(std::move(outbox));
}

double RateShares::demandOf(const Entry &entry, absl::Time now) const
{
    if (entry.demand <= 0)
        return 0;
    const double age = absl::ToDoubleSeconds(now - entry.demandAt);
    return entry.demand * std::exp(-age / absl::ToDoubleSeconds(options_.demandWindow));
}

void RateShares::recordDemand(Entry &entry, double cost, absl::Time now) const
{
    const double window = absl::ToDoubleSeconds(options_.demandWindow);
    entry.demand = demandOf(entry, now) + cost / window;
    entry.demandAt = now;
}

bool RateShares::refillsInTime(const Entry &entry, double missing, absl::Duration time) const
{
    return missing <= entry.account.ratePerSecond() * absl::ToDoubleSeconds(time);
}

/// Admits queued requests in order while tokens suffice.
void RateShares::admitQueued(Entry &entry, absl::Time now, Outbox &outbox)
{
    while (!entry.queue.empty() && entry.account.spend(entry.queue.front().cost, now)) {
        const QueuedRequest request = entry.queue.front();
        entry.queue.pop_front();
        entry.queuedCost -= request.cost;
        tickets_.erase(request.ticket);
        outbox.decisions.push_back(Decision { request.ticket, Verdict::Admitted, {} });
    }
    if (entry.queue.empty()) {
        entry.queuedCost = 0;
        entry.askedPeers.clear();
    }
}

/// Rejects queued requests that neither pending responses nor the refill can satisfy in time.
void RateShares::rejectUnsatisfiable(Entry &entry, absl::Time now, Outbox &outbox)
{
    const bool responsesPending
        = hasPendingTokenRequest(entry) || mayRetryPoolHolder(entry, entry.queue.front().deadline);
    double before = 0;
    std::deque<QueuedRequest> kept;
    for (const QueuedRequest &request : entry.queue) {
        const double missing = before + request.cost - entry.account.level();
        const absl::Duration left = request.deadline - now;
        if (left > absl::ZeroDuration()
            && (responsesPending || refillsInTime(entry, missing, left))) {
            before += request.cost;
            kept.push_back(request);
            continue;
        }
        tickets_.erase(request.ticket);
        outbox.decisions.push_back(
            Decision { request.ticket, Verdict::Refused, retryAfter(entry, request.cost) });
    }
    entry.queue = std::move(kept);
    entry.queuedCost = before;
    if (entry.queue.empty())
        entry.askedPeers.clear();
}

/// Advances the queue: admits requests, requests tokens from further peers, or rejects requests.
void RateShares::advanceQueue(Entry &entry, absl::Time now, Outbox &outbox)
{
    admitQueued(entry, now, outbox);
    if (entry.queue.empty()) {
        returnTokenLoans(entry, now, outbox);
        return;
    }
    const double missing = entry.queuedCost - entry.account.level();
    const absl::Duration left = entry.queue.front().deadline - now;
    if (!refillsInTime(entry, missing, left))
        requestTokens(entry, now, outbox);
    rejectUnsatisfiable(entry, now, outbox);
    if (entry.queue.empty())
        returnTokenLoans(entry, now, outbox);
}

absl::Duration RateShares::retryAfter(const Entry &entry, double cost) const
{
    const double total = entry.account.totalRate();
    if (total <= 0)
        return MaxRetryAfter;
    const double own = std::max(entry.account.ratePerSecond(), total / 64);
    const double missing = std::max(0.0, cost - entry.account.level());
    return std::min(MaxRetryAfter, absl::Seconds(missing / own));
}

std::vector<OutgoingMessage> RateShares::messagesOf(Outbox &&outbox) const
{
    std::vector<OutgoingMessage> messages = std::move(outbox.others);
    for (auto &[peer, message] : outbox.returns) {
        message.borrower = options_.instance;
        message.incarnation = options_.incarnation;
        messages.push_back(OutgoingMessage { peer, std::move(message) });
    }
    for (auto &[peer, message] : outbox.requests) {
        message.borrower = options_.instance;
        message.incarnation = options_.incarnation;
        messages.push_back(OutgoingMessage { peer, std::move(message) });
    }
    return messages;
}

Effects RateShares::effectsOf(Outbox &&outbox) const
{
    Effects effects;
    effects.decisions = std::move(outbox.decisions);
    effects.messages = messagesOf(std::move(outbox));
    return effects;
}

} // namespace zinniadoor::control
