#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/control/instance_table.hpp"
#include "zinniadoor/control/membership.hpp"
#include "zinniadoor/control/peer_messages.hpp"
#include "zinniadoor/control/records.hpp"

namespace zinniadoor::control {

/// Durations that govern share leases; they must be the same at every instance.
struct ShareTiming
{
    absl::Duration lease = absl::Seconds(10);
    absl::Duration attestationDuration = absl::Seconds(8); ///< Validity of one attestation.
    absl::Duration attestationInterval = absl::Seconds(1);
    absl::Duration withdrawAfter
        = absl::Seconds(4); ///< Time without a request after which an attestor withdraws.
    /// Maximum age of the holder's last frame up to which attestations can extend its share leases.
    absl::Duration attestationLimit = absl::Minutes(30);
    /// Age of the holder's last frame from which no attestation can be valid any more.
    absl::Duration claimLimit = absl::Minutes(60);
};

constexpr std::size_t AttestorsPerInstance = 2;

/// Chooses attestors for `self`: peers in other data centres, each in a different one if possible.
std::vector<base::InstanceId> chooseAttestors(const ListedMember &self,
                                              const std::vector<ListedMember> &others);

/// Processes that named the instance of `self` as an attestor and that `self` may attest.
/// `instances` must include the InstanceStarted record of `self`.
std::vector<Process> attestationSubjects(const Process &self, const InstanceTable &instances);

struct AttestationEffects
{
    std::vector<OutgoingMessage> messages;
    std::vector<AttestationWithdrawn> withdrawals; ///< To append to the log, each once.
};

/// Liveness attestations between peers. As a holder, extends this process's share leases by log
/// frames and by attestations; as an attestor, attests other processes. Performs no I/O.
class AttestationController
{
public:
    AttestationController(Process self, ShareTiming timing);

    /// Sets the attestors of this process according to the log, without those that have withdrawn.
    void setAttestors(const std::vector<base::InstanceId> &attestors);

    /// A frame of this process, sent at `sentAt`, was read from the log.
    void onOwnFrameConfirmed(absl::Time sentAt);

    /// Monotonic time until which the own shares may be used.
    absl::Time mayUseUntil() const;

    void onResponse(const base::InstanceId &from, const AttestationResponse &response,
                    absl::Time now);

    /// Sets the processes to attest; see attestationSubjects.
    void setSubjects(const std::vector<Process> &subjects, absl::Time now);

    OutgoingMessage onRequest(const base::InstanceId &from, const AttestationRequest &request,
                              absl::Time now);

    /// Returns due attestation requests, and withdrawals for subjects that no longer send requests.
    AttestationEffects tick(absl::Time now);

    /// Stops attesting permanently. Call before InstanceStopped is appended.
    std::vector<AttestationWithdrawn> withdrawAll();

private:
    void requestAttestations(absl::Time now, AttestationEffects &effects);
    void withdrawUnresponsive(absl::Time now, AttestationEffects &effects);
    AttestationWithdrawn withdraw(const Process &subject);

    Process self_;
    ShareTiming timing_;

    // As a holder.
    std::vector<base::InstanceId> attestors_;
    std::map<base::InstanceId, absl::Time> attestedUntil_;
    std::map<std::uint64_t, absl::Time> requestSentAt_; ///< By sequence.
    std::uint64_t sequence_ = 0;
    absl::Time nextRequest_ = absl::InfinitePast();
    absl::Time lastFrameSent_ = absl::InfinitePast();

    // As an attestor.
    std::map<Process, absl::Time> subjects_; ///< Time of the last request.
    std::set<Process> withdrawn_;
    bool stopped_ = false;
    absl::Time lastTick_ = absl::InfinitePast();
};

/// What an instance has read about a share slot held by another process. Times are of its own
/// clock and state when a record was read, not when it was written.
struct ShareSlotFacts
{
    std::optional<absl::Time> freeReadAt; ///< The slot is free: never held, or released.
    std::optional<absl::Time> restartReadAt; ///< The holder restarted at its address.
    absl::Time lastFrameReadAt = absl::InfiniteFuture(); ///< The holder's last frame or claim.
    bool allAttestationsWithdrawn = false; ///< According to the log; true if no attestor is named.
    absl::Time lastWithdrawalReadAt = absl::InfinitePast();
};

struct ShareClaim
{
    ClaimBasis basis = ClaimBasis::Free;
    absl::Time notBefore = absl::InfiniteFuture();
};

/// The basis on which a share slot may be claimed, and the earliest time.
ShareClaim earliestShareClaim(const ShareSlotFacts &facts, const ShareTiming &timing);

} // namespace zinniadoor::control
