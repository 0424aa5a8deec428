#pragma once

#include <vector>

#include "absl/time/time.h"

namespace zinniadoor::gateway {

/// Estimates the wall time of the cluster from the local monotonic clock and the wall clocks of all
/// instances. The wall clock of one instance may be off by seconds for a while, so the median is
/// used. Not thread-safe.
class ClusterTime
{
public:
    /// `now`: monotonic time; `wall`: this instance's wall time at that instant.
    ClusterTime(absl::Time now, absl::Time wall);

    /// Differences of the peers' estimates from this instance's own, see `ownEstimate`.
    void setPeerOffsets(const std::vector<absl::Duration> &offsets);

    /// Estimate from the local clocks alone; sent to the peers.
    absl::Time ownEstimate(absl::Time now) const;

    /// Estimate of cluster time.
    absl::Time at(absl::Time now) const;

private:
    absl::Duration start_; ///< From monotonic time to wall time, as read at the start.
    absl::Duration correction_;
};

} // namespace zinniadoor::gateway
