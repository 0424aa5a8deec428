#include "zinniadoor/net/datagram_socket.hpp"

#include <vector>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

#include "support/event_loop.hpp"

namespace {

using namespace zinniadoor;
using boost::asio::ip::udp;

constexpr absl::Duration Pause = absl::Seconds(5);

class ManualClock : public base::Clock
{
public:
    absl::Time now() const override { return time; }
    absl::Time wallTime() const override { return time; }

    absl::Time time = absl::FromUnixSeconds(1000);
};

struct DatagramSocketFixture
{
    DatagramSocketFixture()
    {
        auto opened
            = net::openDatagramSocket(io, "127.0.0.1:0", clock, [this](const net::Datagram &one) {
                  received.push_back(one);
                  if (onReceived)
                      onReceived();
              });
        BOOST_REQUIRE(opened.hasValue());
        socket = std::move(*opened);
    }

    void send(const std::string &bytes)
    {
        sender.send_to(boost::asio::buffer(bytes),
                       { boost::asio::ip::address_v4::loopback(), socket->port() });
    }

    bool receives(std::size_t count)
    {
        return test::runUntil(io, [&] { return received.size() >= count; });
    }

    boost::asio::io_context io;
    ManualClock clock;
    std::vector<net::Datagram> received;
    std::function<void()> onReceived;
    std::unique_ptr<net::DatagramSocket> socket;
    udp::socket sender { io, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0) };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DatagramSocketTest, DatagramSocketFixture)

BOOST_AUTO_TEST_CASE(datagram_loopRuns_isDeliveredWithItsSender)
{
    send("one");
    BOOST_REQUIRE(receives(1));
    BOOST_TEST(received[0].bytes == "one");
    BOOST_TEST(received[0].from == absl::StrCat("127.0.0.1:", sender.local_endpoint().port()));
    BOOST_TEST(received[0].waited == absl::ZeroDuration());
}

// What had lain in the socket of a process that stood still counted as just sent.
BOOST_AUTO_TEST_CASE(datagrams_loopStoodStill_areDeliveredWithTheirWait)
{
    send("one");
    send("two");
    clock.time += Pause;
    BOOST_REQUIRE(receives(2));
    BOOST_TEST(received[0].bytes == "one");
    BOOST_TEST(received[0].waited == Pause);
    BOOST_TEST(received[1].bytes == "two");
    BOOST_TEST(received[1].waited == Pause);
}

BOOST_AUTO_TEST_CASE(datagram_comesAfterUnreadOnes_hasNotWaited)
{
    send("one");
    clock.time += Pause;
    BOOST_REQUIRE(receives(1));
    send("two");
    BOOST_REQUIRE(receives(2));
    BOOST_TEST(received[1].waited == absl::ZeroDuration());
}

BOOST_AUTO_TEST_CASE(datagram_noneCameForLong_hasNotWaited)
{
    clock.time += Pause;
    io.run_one(); // Only the timer has anything to do.
    send("one");
    BOOST_REQUIRE(receives(1));
    BOOST_TEST(received[0].waited == absl::ZeroDuration());
}

BOOST_AUTO_TEST_CASE(datagrams_manyAreUnread_othersRunBetweenAndOrderIsKept)
{
    constexpr std::size_t Many = 150;
    for (std::size_t i = 0; i < Many; ++i)
        send(std::to_string(i));
    std::size_t before = 0;
    onReceived = [&] {
        if (received.size() == 1)
            boost::asio::post(io, [&] { before = received.size(); });
    };
    BOOST_REQUIRE(receives(Many));
    BOOST_TEST(before > 0u);
    BOOST_TEST(before < Many);
    for (std::size_t i = 0; i < Many; ++i)
        BOOST_TEST(received[i].bytes == std::to_string(i));
}

BOOST_AUTO_TEST_SUITE_END()
