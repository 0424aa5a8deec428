#pragma once

#include <optional>
#include <string>

#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/control/frame_writer.hpp"
#include "zinniadoor/control/records.hpp"
#include "zinniadoor/control/state.hpp"

namespace zinniadoor::control {

/// Durations that govern leases; they must be the same at every instance.
struct LeaseTimes
{
    absl::Duration lease = absl::Seconds(6);
    absl::Duration margin = absl::Seconds(1); ///< For clock drift and requests in flight.
    /// How long one attestation extends a share lease.
    absl::Duration attestation = absl::ZeroDuration();
    /// Maximum age of the holder's last frame up to which attestations can extend its share leases.
    absl::Duration attestationLimit = absl::InfiniteDuration();
};

/// Claims, renews and releases the lease of one scope for one process. Performs no I/O.
class LeaseController
{
public:
    LeaseController(std::string scope, Process self, LeaseTimes times);

    /// Call after applying the entries of a read; `readAt` is the time at which they arrived.
    void observe(const State &state, const ConfirmedFrame &lastOwnFrame, absl::Time readAt);

    /// Returns the claim to append if the scope may be claimed now.
    std::optional<LeaseClaimed> claimLease(const State &state, absl::Time now);

    /// Gives up the lease at once and returns the record to append; nothing if it is not held.
    std::optional<LeaseReleased> releaseLease();

    /// Whether this process is the holder according to the log as read so far.
    bool holds() const { return epoch_ != 0; }

    /// Offset of the accepted claim; 0 while not the holder.
    base::Offset epoch() const { return epoch_; }

    /// Monotonic time until which the holder may act; infinite past while not the holder.
    absl::Time mayActUntil() const { return mayActUntil_; }
    bool mayAct(absl::Time now) const { return now < mayActUntil_; }

    const std::string &scope() const { return scope_; }

private:
    /// How long the offset that a claim has to name has been unchanged.
    struct OffsetAge
    {
        base::Offset offset = 0;
        absl::Time since = absl::InfiniteFuture();

        void update(base::Offset newOffset, absl::Time readAt);
    };

    std::optional<ClaimBasis> claimableBasis(const State &state, absl::Time now) const;
    const OffsetAge &offsetAgeFor(ClaimBasis basis) const;

    std::string scope_;
    Process self_;
    LeaseTimes times_;
    base::Offset epoch_ = 0;
    base::Offset releasedEpoch_ = 0;
    absl::Time mayActUntil_ = absl::InfinitePast();
    OffsetAge holderAge_; ///< Of the holder's last frame.
    OffsetAge expiryAge_; ///< Of the holder's last frame or the last withdrawn attestation.
    std::optional<base::Offset> claimedOffset_;
    absl::Time claimedAt_ = absl::InfinitePast();
};

} // namespace zinniadoor::control
