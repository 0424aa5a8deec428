#pragma once

#include <cstddef>

#include <ctime>

#include "absl/time/time.h"

namespace zinniadoor::adapters {

struct LeaseGuardOptions
{
    /// Longest time for which the kernel may go on trying to deliver bytes it has taken; at least
    /// 300 ms. The guard expires this much before the lease, so that nothing is sent after it.
    absl::Duration unacknowledgedLimit = absl::Milliseconds(500);
};

/// Keeps its thread from sending anything after the end of a lease, even when the process was
/// frozen between its check of the lease and the send: a timer signal to that very thread resets
/// the protected socket before the thread's next instruction.
///
/// Create it, use it and destroy it on the sending thread, with at most 64 at once in a process.
/// It uses the signal SIGRTMIN + 5 and unblocks it for the thread. A guard that isn't armed, or
/// couldn't be set up, counts as expired. Times are those of `base::Clock::now`.
class LeaseGuard
{
public:
    explicit LeaseGuard(const LeaseGuardOptions &options = {});
    ~LeaseGuard();
    LeaseGuard(const LeaseGuard &) = delete;
    LeaseGuard &operator=(const LeaseGuard &) = delete;

    /// Allows sending until `validUntil`, less the unacknowledged limit. Ends an earlier lease.
    void arm(absl::Time validUntil);

    /// Allows no more sending.
    void disarm();

    bool expired() const;

    /// Puts `socket` (TCP, one at a time) under the guard. False when the guard has expired or
    /// holds another socket already; then the socket must not be used.
    bool protect(int socket);

    /// Call before closing the protected socket.
    void release();

private:
    const absl::Duration unacknowledgedLimit_;
    std::size_t slot_;
    timer_t timer_ {};
    bool ready_ = false;
};

} // namespace zinniadoor::adapters
