#include "zinniadoor/control/attestation.hpp"

#include <algorithm>

#include "zinniadoor/control/rate_shares.hpp"
#include "zinniadoor/control/share_account.hpp"
#include "zinniadoor/control/stable_hash.hpp"

namespace zinniadoor::control {

namespace {

constexpr std::size_t MaxPendingRequests = 32;

bool isNamed(const std::vector<base::InstanceId> &attestors, const base::InstanceId &attestor)
{
    return std::find(attestors.begin(), attestors.end(), attestor) != attestors.end();
}

/// Whether a running process of another instance names `self` as an attestor and `self` has not
/// withdrawn.
bool namesAttestor(const Process &process, const ProcessInfo &info, const Process &self,
                   const InstanceTable &instances)
{
    return process.instance != self.instance && !instances.hasEnded(process)
        && isNamed(info.attestors, self.instance)
        && info.withdrawnAttestations.count(self.instance) == 0;
}

/// Whether all earlier processes of the instance have ended.
bool predecessorsEnded(const Process &self, const InstanceTable &instances)
{
    const auto &processes = instances.processes();
    return std::all_of(processes.begin(), processes.end(), [&](const auto &row) {
        const Process &process = row.first;
        return process.instance != self.instance || process.incarnation >= self.incarnation
            || instances.hasEnded(process);
    });
}

} // namespace

std::vector<base::InstanceId> chooseAttestors(const ListedMember &self,
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
        if (chosen.size() < AttestorsPerInstance && used.insert(member.dataCentre).second)
            chosen.push_back(member.instance);
    }
    for (const ListedMember &member : order) {
        if (chosen.size() < AttestorsPerInstance && !isNamed(chosen, member.instance))
            chosen.push_back(member.instance);
    }
    return chosen;
}

// Withdrawals are accepted only from the newest process of an instance, and all earlier processes
// must have ended: only then can no other process attest or withdraw on the instance's behalf.
std::vector<Process> attestationSubjects(const Process &self, const InstanceTable &instances)
{
    std::vector<Process> subjects;
    const bool mayAttest = instances.find(self) != nullptr
        && instances.newestIncarnation(self.instance) == self.incarnation
        && predecessorsEnded(self, instances);
    if (!mayAttest)
        return subjects;
    for (const auto &[process, info] : instances.processes()) {
        if (namesAttestor(process, info, self, instances))
            subjects.push_back(process);
    }
    return subjects;
}

AttestationController::AttestationController(Process self, ShareTiming timing)
    : self_(std::move(self))
    , timing_(timing)
{ }

void AttestationController::setAttestors(const std::vector<base::InstanceId> &attestors)
{
    attestors_ = attestors;
    for (auto it = attestedUntil_.begin(); it != attestedUntil_.end();)
        it = isNamed(attestors_, it->first) ? std::next(it) : attestedUntil_.erase(it);
}

void AttestationController::onOwnFrameConfirmed(absl::Time sentAt)
{
    lastFrameSent_ = std::max(lastFrameSent_, sentAt);
}

absl::Time AttestationController::mayUseUntil() const
{
    absl::Time lastAttested = absl::InfinitePast();
    for (const auto &[attestor, until] : attestedUntil_)
        lastAttested = std::max(lastAttested, until);
    const absl::Time limit
        = lastFrameSent_ + timing_.attestationLimit - clockMargin(timing_.attestationLimit);
    const absl::Time leased = lastFrameSent_ + timing_.lease - clockMargin(timing_.lease);
    return std::max(leased, std::min(lastAttested, limit));
}

void AttestationController::onResponse(const base::InstanceId &from,
                                       const AttestationResponse &response, absl::Time now)
{
    const auto sent = requestSentAt_.find(response.sequence);
    if (sent == requestSentAt_.end() || response.attestor != from || !isNamed(attestors_, from)
        || Process { response.instance, response.incarnation } != self_ || !response.attested)
        return;
    const absl::Time until
        = sent->second + timing_.attestationDuration - clockMargin(timing_.attestationDuration);
    absl::Time &current = attestedUntil_.try_emplace(from, absl::InfinitePast()).first->second;
    if (until > now)
        current = std::max(current, until);
}

void AttestationController::setSubjects(const std::vector<Process> &subjects, absl::Time now)
{
    std::map<Process, absl::Time> next;
    for (const Process &subject : subjects) {
        const auto current = subjects_.find(subject);
        next[subject] = current == subjects_.end() ? now : current->second;
    }
    subjects_ = std::move(next);
}

OutgoingMessage AttestationController::onRequest(const base::InstanceId &from,
                                                 const AttestationRequest &request, absl::Time now)
{
    const Process requester { request.instance, request.incarnation };
    const auto subject = subjects_.find(requester);
    const bool attested = !stopped_ && request.instance == from && subject != subjects_.end()
        && withdrawn_.count(requester) == 0;
    if (attested)
        subject->second = now;
    return OutgoingMessage { from,
                             AttestationResponse { self_.instance, request.instance,
                                                   request.incarnation, request.sequence,
                                                   attested } };
}

AttestationEffects AttestationController::tick(absl::Time now)
{
    AttestationEffects effects;
    requestAttestations(now, effects);
    withdrawUnresponsive(now, effects);
    return effects;
}

void AttestationController::requestAttestations(absl::Time now, AttestationEffects &effects)
{
    if (now < nextRequest_ || attestors_.empty())
        return;
    nextRequest_ = now + timing_.attestationInterval;
    requestSentAt_[++sequence_] = now;
    while (requestSentAt_.size() > MaxPendingRequests)
        requestSentAt_.erase(requestSentAt_.begin());
    for (const base::InstanceId &attestor : attestors_) {
        effects.messages.push_back(OutgoingMessage {
            attestor, AttestationRequest { self_.instance, self_.incarnation, sequence_ } });
    }
}

// After a pause of this process, requests may still be queued in its socket, so that the timeout of
// every subject restarts.
void AttestationController::withdrawUnresponsive(absl::Time now, AttestationEffects &effects)
{
    const bool paused = now - lastTick_ > timing_.withdrawAfter / 2;
    lastTick_ = now;
    for (auto &[subject, lastRequestAt] : subjects_) {
        if (paused)
            lastRequestAt = now;
        if (now - lastRequestAt > timing_.withdrawAfter && withdrawn_.count(subject) == 0)
            effects.withdrawals.push_back(withdraw(subject));
    }
}

AttestationWithdrawn AttestationController::withdraw(const Process &subject)
{
    withdrawn_.insert(subject);
    return AttestationWithdrawn { self_.instance, subject.instance, subject.incarnation };
}

std::vector<AttestationWithdrawn> AttestationController::withdrawAll()
{
    stopped_ = true;
    std::vector<AttestationWithdrawn> withdrawals;
    for (const auto &[subject, lastRequestAt] : subjects_) {
        if (withdrawn_.count(subject) == 0)
            withdrawals.push_back(withdraw(subject));
    }
    return withdrawals;
}

// A released slot has no loans left (RateShares::mayRelease). A holder that restarted cannot have
// ended its loans, so the claim waits until they have expired. The loans of a holder whose lease
// has expired ended with its authority, since no loan outlives that.
ShareClaim earliestShareClaim(const ShareSlotFacts &facts, const ShareTiming &timing)
{
    const auto after = [](absl::Time instant, absl::Duration duration) {
        return instant + duration + clockMargin(duration);
    };
    if (facts.freeReadAt)
        return ShareClaim { ClaimBasis::Free, *facts.freeReadAt };
    if (facts.restartReadAt)
        return ShareClaim { ClaimBasis::Restarted,
                            after(*facts.restartReadAt, MaxShareLoanDuration) };
    ShareClaim claim { ClaimBasis::AttestationLimit,
                       after(facts.lastFrameReadAt, timing.claimLimit) };
    if (!facts.allAttestationsWithdrawn)
        return claim;
    const absl::Time expired
        = std::max(after(facts.lastFrameReadAt, timing.lease),
                   after(facts.lastWithdrawalReadAt, timing.attestationDuration));
    return ShareClaim { ClaimBasis::Expired, expired };
}

} // namespace zinniadoor::control
