#include "zinniadoor/control/vouching.hpp"

#include <algorithm>

#include "zinniadoor/control/rate_shares.hpp"
#include "zinniadoor/control/share_account.hpp"
#include "zinniadoor/control/stable_hash.hpp"

namespace zinniadoor::control {

namespace {

constexpr std::size_t MaxOpenAsks = 32;

bool isNamed(const std::vector<base::InstanceId> &attestors, const base::InstanceId &attestor)
{
    return std::find(attestors.begin(), attestors.end(), attestor) != attestors.end();
}

/// A running process other than `self` that named the instance and whose vouch still stands.
bool namesVoucher(const Process &process, const ProcessInfo &info, const Process &self,
                  const InstanceTable &instances)
{
    return process.instance != self.instance && !instances.hasEnded(process)
        && isNamed(info.attestors, self.instance) && info.withdrawnAttestations.count(self.instance) == 0;
}

/// Whether every earlier process of the instance has certainly ended.
bool predecessorsGone(const Process &self, const InstanceTable &instances)
{
    const auto &processes = instances.processes();
    return std::all_of(processes.begin(), processes.end(), [&](const auto &row) {
        const Process &process = row.first;
        return process.instance != self.instance || process.incarnation >= self.incarnation
            || instances.hasEnded(process);
    });
}

} // namespace

std::vector<base::InstanceId> chooseVouchers(const ListedMember &self,
                                             const std::vector<ListedMember> &others)
{
    std::vector<ListedMember> order;
    for (const ListedMember &other : others) {
        if (other.instance != self.instance)
            order.push_back(other);
    }
    const auto weight = [&self](const ListedMember &member) {
        return rendezvousWeight(self.instance.str(), member.instance.str());
    };
    std::sort(order.begin(), order.end(), [&](const auto &a, const auto &b) {
        const bool aElsewhere = a.dataCentre != self.dataCentre;
        const bool bElsewhere = b.dataCentre != self.dataCentre;
        return aElsewhere != bElsewhere ? aElsewhere : weight(a) > weight(b);
    });
    std::vector<base::InstanceId> chosen;
    std::set<base::DataCentreId> used { self.dataCentre };
    for (const ListedMember &member : order) {
        if (chosen.size() < VouchersPerInstance && used.insert(member.dataCentre).second)
            chosen.push_back(member.instance);
    }
    for (const ListedMember &member : order) {
        if (chosen.size() < VouchersPerInstance && !isNamed(chosen, member.instance))
            chosen.push_back(member.instance);
    }
    return chosen;
}

// Withdrawals count only from the newest process of an instance, and an earlier process has to be
// gone: then nobody but `self` can withdraw for the instance or still be vouching in its name.
std::vector<Process> chargesOf(const Process &self, const InstanceTable &instances)
{
    std::vector<Process> charges;
    const bool speaksForInstance = instances.find(self) != nullptr
        && instances.newestIncarnation(self.instance) == self.incarnation
        && predecessorsGone(self, instances);
    if (!speaksForInstance)
        return charges;
    for (const auto &[process, info] : instances.processes()) {
        if (namesVoucher(process, info, self, instances))
            charges.push_back(process);
    }
    return charges;
}

VouchKeeper::VouchKeeper(Process self, ShareTiming timing)
    : self_(std::move(self))
    , timing_(timing)
{ }

void VouchKeeper::setVouchers(const std::vector<base::InstanceId> &attestors)
{
    vouchers_ = attestors;
    for (auto it = vouchedUntil_.begin(); it != vouchedUntil_.end();)
        it = isNamed(vouchers_, it->first) ? std::next(it) : vouchedUntil_.erase(it);
}

void VouchKeeper::onOwnFrameSeen(absl::Time sentAt)
{
    lastFrameSent_ = std::max(lastFrameSent_, sentAt);
}

absl::Time VouchKeeper::mayUseUntil() const
{
    absl::Time vouched = absl::InfinitePast();
    for (const auto &[attestor, until] : vouchedUntil_)
        vouched = std::max(vouched, until);
    const absl::Time limit
        = lastFrameSent_ + timing_.holderLimit - clockMargin(timing_.holderLimit);
    const absl::Time leased = lastFrameSent_ + timing_.lease - clockMargin(timing_.lease);
    return std::max(leased, std::min(vouched, limit));
}

std::size_t VouchKeeper::vouchersHeard(absl::Time now) const
{
    return static_cast<std::size_t>(
        std::count_if(vouchedUntil_.begin(), vouchedUntil_.end(),
                      [now](const auto &one) { return now < one.second; }));
}

void VouchKeeper::onAnswer(const base::InstanceId &from, const AttestationResponse &answer, absl::Time now)
{
    const auto asked = asked_.find(answer.sequence);
    if (asked == asked_.end() || answer.attestor != from || !isNamed(vouchers_, from)
        || Process { answer.instance, answer.incarnation } != self_ || !answer.attested)
        return;
    const absl::Time until = asked->second + timing_.vouchTime - clockMargin(timing_.vouchTime);
    absl::Time &known = vouchedUntil_.try_emplace(from, absl::InfinitePast()).first->second;
    if (until > now)
        known = std::max(known, until);
}

void VouchKeeper::setCharges(const std::vector<Process> &charges, absl::Time now)
{
    std::map<Process, absl::Time> next;
    for (const Process &charge : charges) {
        const auto known = charges_.find(charge);
        next[charge] = known == charges_.end() ? now : known->second;
    }
    charges_ = std::move(next);
}

OutgoingMessage VouchKeeper::onAsk(const base::InstanceId &from, const AttestationRequest &ask, absl::Time now)
{
    const Process asker { ask.instance, ask.incarnation };
    const auto charge = charges_.find(asker);
    const bool attested = !stopped_ && ask.instance == from && charge != charges_.end()
        && withdrawn_.count(asker) == 0;
    if (attested)
        charge->second = now;
    return OutgoingMessage {
        from, AttestationResponse { self_.instance, ask.instance, ask.incarnation, ask.sequence, attested }
    };
}

VouchEffects VouchKeeper::tick(absl::Time now)
{
    VouchEffects effects;
    askVouchers(now, effects);
    withdrawSilent(now, effects);
    return effects;
}

void VouchKeeper::askVouchers(absl::Time now, VouchEffects &effects)
{
    if (now < nextAsk_ || vouchers_.empty())
        return;
    nextAsk_ = now + timing_.askInterval;
    asked_[++sequence_] = now;
    while (asked_.size() > MaxOpenAsks)
        asked_.erase(asked_.begin());
    for (const base::InstanceId &attestor : vouchers_) {
        effects.messages.push_back(
            OutgoingMessage { attestor, AttestationRequest { self_.instance, self_.incarnation, sequence_ } });
    }
}

// After a pause of this process the asks wait in its socket; they count from now on.
void VouchKeeper::withdrawSilent(absl::Time now, VouchEffects &effects)
{
    const bool paused = now - lastTick_ > timing_.silence / 2;
    lastTick_ = now;
    for (auto &[charge, heardAt] : charges_) {
        if (paused)
            heardAt = now;
        if (now - heardAt > timing_.silence && withdrawn_.count(charge) == 0)
            effects.withdrawals.push_back(withdraw(charge));
    }
}

AttestationWithdrawn VouchKeeper::withdraw(const Process &charge)
{
    withdrawn_.insert(charge);
    return AttestationWithdrawn { self_.instance, charge.instance, charge.incarnation };
}

std::vector<AttestationWithdrawn> VouchKeeper::withdrawAll()
{
    stopped_ = true;
    std::vector<AttestationWithdrawn> withdrawals;
    for (const auto &[charge, heardAt] : charges_) {
        if (withdrawn_.count(charge) == 0)
            withdrawals.push_back(withdraw(charge));
    }
    return withdrawals;
}

// A released slot has no loans left (RateShares::mayRelease). A holder that restarted cannot have
// ended its loans, so they are waited out. A lapsed holder's loans ended with its authority, since
// no loan outlives that.
ShareClaim earliestShareClaim(const ShareSlotFacts &facts, const ShareTiming &timing)
{
    const auto after = [](absl::Time instant, absl::Duration duration) {
        return instant + duration + clockMargin(duration);
    };
    if (facts.freeReadAt)
        return ShareClaim { ClaimBasis::Free, *facts.freeReadAt };
    if (facts.restartReadAt)
        return ShareClaim { ClaimBasis::Restarted, after(*facts.restartReadAt, ShareLoanTime) };
    ShareClaim claim { ClaimBasis::AttestationLimit, after(facts.lastFrameReadAt, timing.claimLimit) };
    if (!facts.allAttestationsWithdrawn)
        return claim;
    const absl::Time lapsed = std::max(after(facts.lastFrameReadAt, timing.lease),
                                       after(facts.lastWithdrawalReadAt, timing.vouchTime));
    return ShareClaim { ClaimBasis::Expired, lapsed };
}

} // namespace zinniadoor::control
