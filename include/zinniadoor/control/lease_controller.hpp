#pragma once

#include <optional>
#include <string>

#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/control/frame_writer.hpp"
#include "zinniadoor/control/records.hpp"
#include "zinniadoor/control/state.hpp"

namespace zinniadoor::control {

/// Times of a lease, the same at every instance.
struct LeaseTimes
{
    absl::Duration lease = absl::Seconds(6);
    absl::Duration margin = absl::Seconds(1); ///< For drift of clocks and bytes on their way.
    absl::Duration attestation
        = absl::ZeroDuration(); ///< How long one attestation keeps a share's holder.
    absl::Duration attestationLimit
        = absl::InfiniteDuration(); ///< No attestation goes on for so long.
};

/// Claims, renews and releases one scope for one process.
class LeaseController
{
public:
    LeaseController(std::string scope, Process self, LeaseTimes times);

    /// Call after applying what a read gave, with the instant at which it came.
    void observe(const State &state, const ConfirmedFrame &lastOwnFrame, absl::Time readAt);

    /// The claim to append if this process is to hold the scope and may claim it now.
    std::optional<LeaseClaimed> claimLease(const State &state, absl::Time now);

    /// Ends this process's authority at once and gives the record that tells the others.
    std::optional<LeaseReleased> releaseLease();

    /// Whether the log, as far as it was read, says that this process is the holder.
    bool holds() const { return epoch_ != 0; }

    /// Offset of the claim that counted; 0 while not the holder.
    base::Offset epoch() const { return epoch_; }

    /// Monotonic instant up to which the holder may act; the infinite past while not the holder.
    absl::Time mayActUntil() const { return mayActUntil_; }
    bool mayAct(absl::Time now) const { return now < mayActUntil_; }

    const std::string &scope() const { return scope_; }

private:
    /// Since when this process has seen a claim name the same offset.
    struct Watch
    {
        base::Offset offset = 0;
        absl::Time since = absl::InfiniteFuture();

        void see(base::Offset newOffset, absl::Time readAt);
    };

    std::optional<ClaimBasis> claimableBasis(const State &state, absl::Time now) const;
    const Watch &watchFor(ClaimBasis basis) const;

    std::string scope_;
    Process self_;
    LeaseTimes times_;
    base::Offset epoch_ = 0;
    base::Offset releasedEpoch_ = 0;
    absl::Time mayActUntil_ = absl::InfinitePast();
    Watch holderWatch_; ///< On the holder's last frame.
    Watch lapseWatch_; ///< On the holder's last frame and the withdrawn vouches.
    std::optional<base::Offset> claimed_;
    absl::Time claimedAt_ = absl::InfinitePast();
};

} // namespace zinniadoor::control
