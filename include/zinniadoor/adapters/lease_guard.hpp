#pragma once

#include <cstddef>

#include <ctime>

#include "absl/time/time.h"

namespace zinniadoor::adapters {

struct LeaseGuardOptions
{
    /// Longest time for which the kernel tries to deliver queued data; at least 300 ms. The
    /// guard expires this much before the lease, so that no data leaves after the lease's end.
    absl::Duration unacknowledgedTimeout = absl::Milliseconds(500);
};

/// Prevents its thread from sending on a socket after a lease has expired, even when the process
/// was suspended between the lease check and the send: a POSIX timer signals that thread, and the
/// signal handler resets the protected socket before the thread executes its next instruction.
///
/// Must be created, used and destroyed on the sending thread; at most 64 may exist in a process.
/// Uses the signal SIGRTMIN + 5 and unblocks it for the thread. A guard that isn't armed, or whose
/// initialisation failed, is expired. Times are those of `base::Clock::now`.
class LeaseGuard
{
public:
    explicit LeaseGuard(const LeaseGuardOptions &options = {});
    ~LeaseGuard();
    LeaseGuard(const LeaseGuard &) = delete;
    LeaseGuard &operator=(const LeaseGuard &) = delete;

    /// Permits sending until `validUntil` minus the unacknowledged timeout. Replaces an earlier
    /// deadline.
    void arm(absl::Time validUntil);

    /// Expires the guard at once.
    void disarm();

    bool expired() const;

    /// Protects a TCP socket, one at a time. Returns false if the guard has expired or already
    /// protects another socket; the socket must not be used then.
    bool protect(int socket);

    /// Ends the protection; to be called before the socket is closed.
    void release();

private:
    const absl::Duration unacknowledgedTimeout_;
    std::size_t slot_;
    timer_t timer_ {};
    bool ready_ = false;
};

} // namespace zinniadoor::adapters
