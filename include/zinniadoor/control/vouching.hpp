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

/// Times of share leases; the same at every instance.
struct ShareTiming
{
    absl::Duration lease = absl::Seconds(10);
    absl::Duration vouchTime = absl::Seconds(8);
    absl::Duration askInterval = absl::Seconds(1);
    absl::Duration silence = absl::Seconds(4); ///< Then a voucher withdraws.
    absl::Duration holderLimit = absl::Minutes(30); ///< Vouches count this long without the log.
    absl::Duration claimLimit = absl::Minutes(60); ///< Then nobody can still be vouching.
};

constexpr std::size_t VouchersPerInstance = 2;

/// Peers to name as attestors: in other data centres, and in different ones, as far as there are.
std::vector<base::InstanceId> chooseVouchers(const ListedMember &self,
                                             const std::vector<ListedMember> &others);

/// Processes that named the instance of `self` as their voucher and that `self` may vouch for.
/// `instances` has to be read at least up to the record that `self` started.
std::vector<Process> chargesOf(const Process &self, const InstanceTable &instances);

struct VouchEffects
{
    std::vector<OutgoingMessage> messages;
    std::vector<AttestationWithdrawn> withdrawals; ///< To be appended to the log, each once.
};

/// Keeps this instance's share leases valid by the log or by attestors, and vouches for others.
class VouchKeeper
{
public:
    VouchKeeper(Process self, ShareTiming timing);

    /// Vouchers of this process that stand in the log and have not withdrawn there.
    void setVouchers(const std::vector<base::InstanceId> &attestors);

    /// A frame of this process was seen in the log; it was sent at `sentAt`.
    void onOwnFrameSeen(absl::Time sentAt);

    /// Own shares may be used before this instant.
    absl::Time mayUseUntil() const;

    /// Vouchers that answer; below VouchersPerInstance others should be named.
    std::size_t vouchersHeard(absl::Time now) const;

    void onAnswer(const base::InstanceId &from, const AttestationResponse &answer, absl::Time now);

    /// Whom to vouch for; see chargesOf.
    void setCharges(const std::vector<Process> &charges, absl::Time now);

    OutgoingMessage onAsk(const base::InstanceId &from, const AttestationRequest &ask, absl::Time now);

    /// Asks that are due, and withdrawals for charges that have been silent.
    VouchEffects tick(absl::Time now);

    /// Stops vouching for good, before InstanceStopped is appended.
    std::vector<AttestationWithdrawn> withdrawAll();

private:
    void askVouchers(absl::Time now, VouchEffects &effects);
    void withdrawSilent(absl::Time now, VouchEffects &effects);
    AttestationWithdrawn withdraw(const Process &charge);

    Process self_;
    ShareTiming timing_;

    // As a holder.
    std::vector<base::InstanceId> vouchers_;
    std::map<base::InstanceId, absl::Time> vouchedUntil_;
    std::map<std::uint64_t, absl::Time> asked_; ///< By sequence.
    std::uint64_t sequence_ = 0;
    absl::Time nextAsk_ = absl::InfinitePast();
    absl::Time lastFrameSent_ = absl::InfinitePast();

    // As a voucher.
    std::map<Process, absl::Time> charges_; ///< Last heard.
    std::set<Process> withdrawn_;
    bool stopped_ = false;
    absl::Time lastTick_ = absl::InfinitePast();
};

/// What a claimant knows of a share slot, with instants on its own clock. `readAt`s are when it
/// read the record, not when that was written.
struct ShareSlotFacts
{
    std::optional<absl::Time> freeReadAt; ///< Never held, or released.
    std::optional<absl::Time> restartReadAt; ///< The holder restarted at its address.
    absl::Time lastFrameReadAt = absl::InfiniteFuture(); ///< Of the holder, its claim included.
    bool allAttestationsWithdrawn = false; ///< In the log; true if it named no voucher.
    absl::Time lastWithdrawalReadAt = absl::InfinitePast();
};

struct ShareClaim
{
    ClaimBasis basis = ClaimBasis::Free;
    absl::Time notBefore = absl::InfiniteFuture();
};

/// On what basis and from when on a share slot may be claimed.
ShareClaim earliestShareClaim(const ShareSlotFacts &facts, const ShareTiming &timing);

} // namespace zinniadoor::control
