#include "zinniadoor/adapters/lease_guard.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstdint>
#include <limits>

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

namespace zinniadoor::adapters {

namespace {

constexpr std::size_t MaxGuards = 64;
constexpr int SignalOffset = 5; // above SIGRTMIN
constexpr absl::Duration MinUnacknowledgedTimeout = absl::Milliseconds(300);
constexpr absl::Duration RetransmissionAllowance = absl::Milliseconds(250);
constexpr std::int64_t NanosecondsPerSecond = 1'000'000'000;
constexpr std::int64_t Never = std::numeric_limits<std::int64_t>::min();

/// State of one guard that the signal handler accesses. In static storage, since a signal may still
/// be pending when its guard is destroyed.
struct Slot
{
    std::atomic<bool> used { false };
    std::atomic<bool> expired { true };
    std::atomic<std::int64_t> deadline { Never }; ///< Nanoseconds of CLOCK_BOOTTIME.
    std::atomic<int> socket { -1 };
    std::atomic<int> sink { -1 }; ///< Descriptor of /dev/null that replaces the socket.
};

static_assert(std::atomic<std::int64_t>::is_always_lock_free, "used in a signal handler");

std::array<Slot, MaxGuards> slots;

int guardSignal()
{
    return SIGRTMIN + SignalOffset;
}

std::int64_t bootNanoseconds()
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return now.tv_sec * NanosecondsPerSecond + now.tv_nsec;
}

// Signal handler: only async-signal-safe calls. The socket has a linger time of 0, so replacing its
// descriptor by the sink discards unsent data and resets the connection; later calls of the thread
// on the descriptor (connect, send) fail with ENOTSOCK. Closing the descriptor instead would allow
// its number to be reused while the owner still holds it.
//
// A late signal of an earlier lease is ignored, since the deadline has been extended.
void onTimer(int, siginfo_t *info, void *)
{
    const int savedErrno = errno;
    const auto number = static_cast<std::size_t>(info->si_value.sival_int);
    if (info->si_code == SI_TIMER && number < MaxGuards) {
        Slot &slot = slots[number];
        if (bootNanoseconds() >= slot.deadline) {
            slot.expired = true;
            const int socket = slot.socket.exchange(-1);
            if (socket >= 0)
                dup2(slot.sink, socket);
        }
    }
    errno = savedErrno;
}

bool installHandler()
{
    struct sigaction action
    { };
    action.sa_sigaction = &onTimer;
    action.sa_flags = SA_SIGINFO | SA_RESTART;
    sigemptyset(&action.sa_mask);
    return sigaction(guardSignal(), &action, nullptr) == 0;
}

bool unblockSignal()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, guardSignal());
    return pthread_sigmask(SIG_UNBLOCK, &set, nullptr) == 0;
}

std::size_t acquireSlot()
{
    for (std::size_t number = 0; number < MaxGuards; ++number) {
        if (!slots[number].used.exchange(true))
            return number;
    }
    return MaxGuards;
}

// glibc has no public name for the thread id member of sigevent.
bool createTimer(std::size_t slot, timer_t &timer)
{
    sigevent event {};
    event.sigev_notify = SIGEV_THREAD_ID;
    event.sigev_signo = guardSignal();
    event.sigev_value.sival_int = static_cast<int>(slot);
    event._sigev_un._tid = gettid();
    return timer_create(CLOCK_BOOTTIME, &event, &timer) == 0;
}

} // namespace

LeaseGuard::LeaseGuard(const LeaseGuardOptions &options)
    : unacknowledgedTimeout_(std::max(options.unacknowledgedTimeout, MinUnacknowledgedTimeout))
    , slot_(acquireSlot())
{
    static const bool installed = installHandler();
    if (slot_ == MaxGuards)
        return;
    slots[slot_].sink = open("/dev/null", O_RDWR | O_CLOEXEC);
    ready_ = installed && slots[slot_].sink >= 0 && unblockSignal() && createTimer(slot_, timer_);
}

LeaseGuard::~LeaseGuard()
{
    if (slot_ == MaxGuards)
        return;
    disarm();
    Slot &slot = slots[slot_];
    if (ready_)
        timer_delete(timer_);
    slot.socket = -1;
    const int sink = slot.sink.exchange(-1);
    if (sink >= 0)
        close(sink);
    slot.used = false;
}

void LeaseGuard::arm(absl::Time validUntil)
{
    if (!ready_)
        return;
    Slot &slot = slots[slot_];
    const std::int64_t deadline = absl::ToUnixNanos(validUntil - unacknowledgedTimeout_);
    slot.deadline = deadline;
    slot.expired = bootNanoseconds() >= deadline;
    itimerspec when {};
    when.it_value = absl::ToTimespec(validUntil - unacknowledgedTimeout_);
    const bool set = !slot.expired && timer_settime(timer_, TIMER_ABSTIME, &when, nullptr) == 0;
    if (!set)
        disarm();
}

void LeaseGuard::disarm()
{
    if (!ready_)
        return;
    Slot &slot = slots[slot_];
    slot.deadline = Never;
    slot.expired = true;
    const itimerspec never {};
    timer_settime(timer_, 0, &never, nullptr);
}

bool LeaseGuard::expired() const
{
    if (!ready_)
        return true;
    const Slot &slot = slots[slot_];
    return slot.expired || bootNanoseconds() >= slot.deadline;
}

// With a closed receive window, TCP_USER_TIMEOUT counts from the first window probe, which is sent
// only after the retransmission timeout (at least 200 ms). RetransmissionAllowance covers that
// time.
//
// The expiry check follows the registration of the socket: a lease that expires earlier is detected
// here, one that expires later is handled by the signal handler.
bool LeaseGuard::protect(int socket)
{
    if (!ready_ || slots[slot_].socket >= 0)
        return false;
    const linger reset { 1, 0 };
    const int limit = static_cast<int>(
        absl::ToInt64Milliseconds(unacknowledgedTimeout_ - RetransmissionAllowance));
    if (setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset)) != 0
        || setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit)) != 0)
        return false;
    slots[slot_].socket = socket;
    if (!expired())
        return true;
    release();
    return false;
}

void LeaseGuard::release()
{
    if (ready_)
        slots[slot_].socket = -1;
}

} // namespace zinniadoor::adapters
