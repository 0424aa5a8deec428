#include "zinniadoor/adapters/lease_guard.hpp"

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <ctime>

#include <fcntl.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include <boost/test/unit_test.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include "zinniadoor/base/clock.hpp"

#include "test_sockets.hpp"

namespace {

using namespace zinniadoor;
using adapters::LeaseGuard;
using adapters::test::eventually;
using adapters::test::TestConnection;
using adapters::test::TestListener;

constexpr int Suspensions = 30;
constexpr int FloodSuspensions = 10; // each waits for the whole unacknowledged timeout
constexpr int MaxAttemptsPerSuspension = 20;
constexpr absl::Duration SuspensionOverrun = absl::Milliseconds(30);
constexpr absl::Duration UnacknowledgedTimeout
    = absl::Milliseconds(300); // as in lease_guard_sender
constexpr absl::Duration FloodFillTime = absl::Milliseconds(10); // to fill both socket buffers

/// Child process that sends under a lease.
class Sender
{
public:
    Sender(const char *kind, const char *mode, int port)
    {
        int pipeEnds[2];
        BOOST_REQUIRE(pipe2(pipeEnds, O_CLOEXEC) == 0);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDOUT_FILENO);
        const std::string portText = std::to_string(port);
        const char *arguments[] = { LEASE_GUARD_SENDER, kind, mode, portText.c_str(), nullptr };
        const int failed = posix_spawn(&process_, LEASE_GUARD_SENDER, &actions, nullptr,
                                       const_cast<char *const *>(arguments), environ);
        posix_spawn_file_actions_destroy(&actions);
        close(pipeEnds[1]);
        output_ = pipeEnds[0];
        BOOST_REQUIRE(failed == 0);
    }
    ~Sender()
    {
        close(output_);
        waitpid(process_, nullptr, 0);
    }
    Sender(const Sender &) = delete;
    Sender &operator=(const Sender &) = delete;

    /// Reads the lease's end from the child's output.
    absl::Time readLeaseEnd() const
    {
        std::string line;
        char next = 0;
        while (read(output_, &next, 1) == 1 && next != '\n')
            line.push_back(next);
        std::int64_t nanoseconds = 0;
        static_cast<void>(absl::SimpleAtoi(line, &nanoseconds));
        return absl::FromUnixNanos(nanoseconds);
    }

    void suspend() const
    {
        kill(process_, SIGSTOP);
        waitUntilSuspended();
    }

    /// Also returns if the process has exited.
    void waitUntilSuspended() const
    {
        siginfo_t info {};
        waitid(P_PID, static_cast<id_t>(process_), &info, WSTOPPED | WEXITED | WNOWAIT);
    }
    void resume() const { kill(process_, SIGCONT); }

private:
    pid_t process_ = 0;
    int output_ = -1;
};

struct LeaseGuardFixture
{
    enum class Arrival { Invalid, Late, Never };

    void waitUntil(absl::Time time) const
    {
        const timespec until = absl::ToTimespec(time);
        clock_nanosleep(CLOCK_BOOTTIME, TIMER_ABSTIME, &until, nullptr);
    }

    /// Keeps one sender suspended past its send deadline, which is the unacknowledged timeout
    /// before the lease's end. The sender suspends itself between connecting and sending; the
    /// attempt is valid if that happened before the deadline.
    Arrival suspendOnce(const char *kind, const char *mode) const
    {
        const TestListener listener;
        const Sender sender(kind, mode, listener.port());
        const absl::Time sendDeadline = sender.readLeaseEnd() - UnacknowledgedTimeout;
        const TestConnection connection = listener.accept();
        sender.waitUntilSuspended();
        const bool suspendedInTime = clock->now() < sendDeadline;
        waitUntil(sendDeadline + SuspensionOverrun);
        const bool valid = suspendedInTime && connection.isOpen() && !connection.hasBytes();
        sender.resume();
        const std::string received = connection.receive();
        if (!valid)
            return Arrival::Invalid;
        return received.empty() ? Arrival::Never : Arrival::Late;
    }

    /// Suspends a sender that blocks because its peer doesn't read. Data in the kernel's send
    /// buffer must not be delivered either when the peer reads after the lease's end.
    Arrival suspendFlood(const char *mode) const
    {
        const TestListener listener;
        const Sender sender("flood", mode, listener.port());
        const absl::Time leaseEnd = sender.readLeaseEnd();
        const TestConnection connection = listener.accept();
        waitUntil(clock->now() + FloodFillTime);
        sender.suspend();
        const bool suspendedInTime = clock->now() < leaseEnd - UnacknowledgedTimeout;
        waitUntil(leaseEnd);
        const std::size_t arrivedInTime = connection.unreadBytes();
        std::size_t arrived = 0;
        while (connection.hasBytes())
            arrived += connection.receive().size();
        sender.resume();
        arrived += connection.receiveAll().size();
        if (!suspendedInTime || arrivedInTime == 0)
            return Arrival::Invalid;
        return arrived > arrivedInTime ? Arrival::Late : Arrival::Never;
    }

    /// Number of late arrivals in `suspensions` valid attempts.
    int countLate(const char *kind, const char *mode, int suspensions = Suspensions) const
    {
        int late = 0;
        int validSuspensions = 0;
        for (int i = 0;
             i < MaxAttemptsPerSuspension * suspensions && validSuspensions < suspensions; ++i) {
            const bool flood = std::string(kind) == "flood";
            const Arrival arrival = flood ? suspendFlood(mode) : suspendOnce(kind, mode);
            validSuspensions += arrival == Arrival::Invalid ? 0 : 1;
            late += arrival == Arrival::Late ? 1 : 0;
        }
        BOOST_TEST_MESSAGE("late arrivals, " << kind << " " << mode << ": " << late << " of "
                                             << validSuspensions << " suspensions");
        BOOST_TEST(validSuspensions == suspensions);
        return late;
    }

    const std::unique_ptr<base::Clock> clock = base::systemClock();
};

int connectedSocket(const TestListener &listener)
{
    const auto address = adapters::detail::parseAddress("127.0.0.1", listener.port());
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    BOOST_REQUIRE(connect(socket, address->data(), address->length) == 0);
    return socket;
}

BOOST_FIXTURE_TEST_SUITE(LeaseGuardTest, LeaseGuardFixture)

BOOST_AUTO_TEST_CASE(leaseGuard_notArmedOrPast_isExpired)
{
    LeaseGuard guard;
    BOOST_TEST(guard.expired());
    guard.arm(clock->now() + absl::Milliseconds(1)); // less than the unacknowledged timeout
    BOOST_TEST(guard.expired());
    guard.arm(absl::InfiniteFuture());
    BOOST_TEST(!guard.expired());
    guard.arm(clock->now() + absl::Hours(1));
    BOOST_TEST(!guard.expired());
    guard.disarm();
    BOOST_TEST(guard.expired());
    const TestListener listener;
    const int socket = connectedSocket(listener);
    BOOST_TEST(!guard.protect(socket));
    close(socket);
}

BOOST_AUTO_TEST_CASE(leaseGuard_leaseExpires_resetsSocketAndKeepsDescriptor)
{
    const TestListener listener;
    const int socket = connectedSocket(listener);
    const TestConnection peer = listener.accept();
    LeaseGuard guard;
    guard.arm(clock->now() + absl::Milliseconds(700));
    BOOST_REQUIRE(guard.protect(socket));
    BOOST_TEST(!guard.protect(socket));
    BOOST_TEST(eventually([&] { return guard.expired(); }));
    BOOST_TEST(peer.receiveAll() == "");
    BOOST_TEST(send(socket, "x", 1, MSG_NOSIGNAL) == -1);
    BOOST_TEST(errno == ENOTSOCK);
    guard.release();
    close(socket);
}

BOOST_AUTO_TEST_CASE(leaseGuard_renewedLease_ignoresEarlierDeadline)
{
    const TestListener listener;
    const int socket = connectedSocket(listener);
    LeaseGuard guard;
    LeaseGuard other;
    const absl::Time firstEnd = clock->now() + absl::Milliseconds(550);
    guard.arm(firstEnd);
    BOOST_REQUIRE(guard.protect(socket));
    guard.arm(clock->now() + absl::Hours(1));
    other.arm(firstEnd);
    BOOST_TEST(eventually([&] { return other.expired() && clock->now() > firstEnd; }));
    BOOST_TEST(!guard.expired());
    BOOST_TEST(send(socket, "x", 1, MSG_NOSIGNAL) == 1);
    guard.release();
    close(socket);
}

BOOST_AUTO_TEST_CASE(leaseGuard_senderSuspendedBetweenCheckAndSend_sendsNothingLate)
{
    countLate("socket", "unguarded");
    BOOST_TEST(countLate("socket", "guarded") == 0);
}

BOOST_AUTO_TEST_CASE(leaseGuard_orderSenderSuspendedAfterConnecting_sendsNothingLate)
{
    countLate("order", "unguarded");
    BOOST_TEST(countLate("order", "guarded") == 0);
}

BOOST_AUTO_TEST_CASE(leaseGuard_senderSuspendedInBlockedSend_kernelSendsNothingLate)
{
    countLate("flood", "unguarded", FloodSuspensions);
    BOOST_TEST(countLate("flood", "guarded", FloodSuspensions) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
