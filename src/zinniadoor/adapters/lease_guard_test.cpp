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

constexpr int Freezes = 30;
constexpr int FloodFreezes = 10; // these wait for the whole unacknowledged limit
constexpr int MaxAttemptsPerFreeze = 20;
constexpr absl::Duration FreezeOverrun = absl::Milliseconds(30);
constexpr absl::Duration UnacknowledgedTimeout = absl::Milliseconds(300); // of the sender's guard
constexpr absl::Duration FloodFillTime = absl::Milliseconds(10); // both kernels' buffers

/// A process that sends under a lease.
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

    /// Waits for the line that tells the lease's end.
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

    void freeze() const
    {
        kill(process_, SIGSTOP);
        waitUntilFrozen();
    }

    /// Returns as well when the process has ended.
    void waitUntilFrozen() const
    {
        siginfo_t info {};
        waitid(P_PID, static_cast<id_t>(process_), &info, WSTOPPED | WEXITED | WNOWAIT);
    }
    void unfreeze() const { kill(process_, SIGCONT); }

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

    /// Keeps one sender frozen until it may send no more, which is the unacknowledged limit
    /// before its lease ends. It has stopped itself between connecting and sending; the freeze is
    /// in the window when it began in time.
    Arrival freezeOnce(const char *kind, const char *mode) const
    {
        const TestListener listener;
        const Sender sender(kind, mode, listener.port());
        const absl::Time sendDeadline = sender.readLeaseEnd() - UnacknowledgedTimeout;
        const TestConnection connection = listener.accept();
        sender.waitUntilFrozen();
        const bool frozenInTime = clock->now() < sendDeadline;
        waitUntil(sendDeadline + FreezeOverrun);
        const bool valid = frozenInTime && connection.isOpen() && !connection.hasBytes();
        sender.unfreeze();
        const std::string received = connection.receive();
        if (!valid)
            return Arrival::Invalid;
        return received.empty() ? Arrival::Never : Arrival::Late;
    }

    /// The same with a sender that is blocked because its peer doesn't read. What its kernel
    /// still holds must not go out either when the peer reads after the lease has ended.
    Arrival freezeFlood(const char *mode) const
    {
        const TestListener listener;
        const Sender sender("flood", mode, listener.port());
        const absl::Time leaseEnd = sender.readLeaseEnd();
        const TestConnection connection = listener.accept();
        waitUntil(clock->now() + FloodFillTime);
        sender.freeze();
        const bool frozenInTime = clock->now() < leaseEnd - UnacknowledgedTimeout;
        waitUntil(leaseEnd);
        const std::size_t arrivedInTime = connection.unreadBytes();
        std::size_t arrived = 0;
        while (connection.hasBytes())
            arrived += connection.receive().size();
        sender.unfreeze();
        arrived += connection.receiveAll().size();
        if (!frozenInTime || arrivedInTime == 0)
            return Arrival::Invalid;
        return arrived > arrivedInTime ? Arrival::Late : Arrival::Never;
    }

    /// Late arrivals in so many freezes that hit the window.
    int countLate(const char *kind, const char *mode, int freezes = Freezes) const
    {
        int late = 0;
        int validFreezes = 0;
        for (int i = 0; i < MaxAttemptsPerFreeze * freezes && validFreezes < freezes; ++i) {
            const bool flood = std::string(kind) == "flood";
            const Arrival arrival = flood ? freezeFlood(mode) : freezeOnce(kind, mode);
            validFreezes += arrival == Arrival::Invalid ? 0 : 1;
            late += arrival == Arrival::Late ? 1 : 0;
        }
        BOOST_TEST_MESSAGE("late arrivals, " << kind << " " << mode << ": " << late << " of "
                                             << validFreezes << " freezes");
        BOOST_TEST(validFreezes == freezes);
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
    guard.arm(clock->now() + absl::Milliseconds(1)); // within the unacknowledged limit
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

BOOST_AUTO_TEST_CASE(leaseGuard_leaseEnds_resetsSocketAndKeepsItsNumber)
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

BOOST_AUTO_TEST_CASE(leaseGuard_renewedLease_outlivesEarlierEnd)
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

BOOST_AUTO_TEST_CASE(leaseGuard_senderFrozenBetweenCheckAndSend_sendsNothingLate)
{
    countLate("socket", "unguarded");
    BOOST_TEST(countLate("socket", "guarded") == 0);
}

BOOST_AUTO_TEST_CASE(leaseGuard_orderSenderFrozenAfterConnecting_sendsNothingLate)
{
    countLate("order", "unguarded");
    BOOST_TEST(countLate("order", "guarded") == 0);
}

BOOST_AUTO_TEST_CASE(leaseGuard_senderFrozenInBlockedSend_kernelSendsNothingLate)
{
    countLate("flood", "unguarded", FloodFreezes);
    BOOST_TEST(countLate("flood", "guarded", FloodFreezes) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
