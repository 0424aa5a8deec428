#include "zinniadoor/adapters/peer_socket.hpp"

#include <atomic>
#include <optional>
#include <random>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"

#include "peer_frame.hpp"
#include "test_sockets.hpp"

namespace {

using namespace zinniadoor;
using adapters::MaxDatagramBytes;
using adapters::MaxPeerMessageBytes;
using adapters::detail::encodeFrame;
using adapters::detail::PeerFrameReader;
using adapters::test::eventually;
using adapters::test::TestConnection;
using adapters::test::TestListener;
using base::ReasonCode;

/// Replies to calls with "re:" and the same bytes, or holds the replies back.
class EchoHandler : public ports::PeerHandler
{
public:
    void onDatagram(const std::string &fromAddress, std::string bytes) override
    {
        const absl::MutexLock lock(&mutex_);
        datagrams_.push_back(fromAddress + " " + bytes);
    }
    void onCall(std::string bytes, Reply reply) override
    {
        ++calls;
        if (!holdReplies) {
            reply("re:" + bytes);
            reply("twice");
            return;
        }
        const absl::MutexLock lock(&mutex_);
        heldReplies_.push_back(std::move(reply));
    }

    std::vector<std::string> datagrams()
    {
        const absl::MutexLock lock(&mutex_);
        return datagrams_;
    }
    std::vector<Reply> takeHeldReplies()
    {
        const absl::MutexLock lock(&mutex_);
        return std::exchange(heldReplies_, {});
    }

    std::atomic<int> calls { 0 };
    std::atomic<bool> holdReplies { false };

private:
    absl::Mutex mutex_;
    std::vector<std::string> datagrams_;
    std::vector<Reply> heldReplies_;
};

/// Records the outcomes of one call, on the link's thread.
class CallResult
{
public:
    ports::PeerLink::CallDone done()
    {
        return [this](base::Outcome<std::string> outcome) {
            const absl::MutexLock lock(&mutex_);
            outcomes_.push_back(std::move(outcome));
        };
    }
    bool waitUntilDone()
    {
        return eventually([this] { return count() > 0; });
    }
    std::size_t count()
    {
        const absl::MutexLock lock(&mutex_);
        return outcomes_.size();
    }
    base::Outcome<std::string> first()
    {
        const absl::MutexLock lock(&mutex_);
        return outcomes_.front();
    }

private:
    absl::Mutex mutex_;
    std::vector<base::Outcome<std::string>> outcomes_;
};

struct PeerSocketFixture
{
    PeerSocketFixture()
    {
        one = open(oneHandler);
        two = open(twoHandler);
    }

    std::unique_ptr<ports::PeerLink> open(ports::PeerHandler &handler) const
    {
        auto opened = adapters::openPeerSocket(options, handler);
        BOOST_REQUIRE(opened.hasValue());
        return std::move(*opened);
    }
    static std::string at(int port) { return absl::StrCat("127.0.0.1:", port); }

    adapters::PeerSocketOptions options;
    EchoHandler oneHandler;
    EchoHandler twoHandler;
    CallResult result; // outlives the links, whose threads use it
    std::unique_ptr<ports::PeerLink> one;
    std::unique_ptr<ports::PeerLink> two;
};

constexpr absl::Duration TestTimeout = absl::Seconds(20);

BOOST_FIXTURE_TEST_SUITE(PeerSocketTest, PeerSocketFixture)

BOOST_AUTO_TEST_CASE(peerFrame_anyFragmentation_decodesAllPayloads)
{
    BOOST_TEST(rc::check([](const std::vector<std::string> &payloads) {
        std::string bytes;
        for (std::size_t i = 0; i < payloads.size(); ++i)
            bytes += encodeFrame(i, payloads[i]);
        PeerFrameReader reader;
        std::size_t read = 0;
        while (!bytes.empty()) {
            const auto piece = *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
            reader.append(std::string_view(bytes).substr(0, piece));
            bytes.erase(0, piece);
            while (auto frame = reader.next()) {
                RC_ASSERT(frame->callId == read);
                RC_ASSERT(frame->payload == payloads[read]);
                ++read;
            }
        }
        RC_ASSERT(read == payloads.size());
        RC_ASSERT(!reader.hasPartialFrame());
        RC_ASSERT(!reader.malformed());
    }));
}

BOOST_AUTO_TEST_CASE(peerSocket_datagram_arrivesWithSenderAddress)
{
    one->sendDatagram(at(two->port()), std::string(MaxDatagramBytes + 1, 'x'));
    one->sendDatagram("nowhere", "x");
    const std::string longest(MaxDatagramBytes, 'y');
    BOOST_TEST(eventually([&] {
        one->sendDatagram(at(two->port()), longest);
        return !twoHandler.datagrams().empty();
    }));
    BOOST_TEST(twoHandler.datagrams().front() == at(one->port()) + " " + longest);
}

BOOST_AUTO_TEST_CASE(peerSocket_calls_areAnsweredOnceOverOneConnection)
{
    std::vector<CallResult> results(100);
    for (std::size_t i = 0; i < results.size(); ++i)
        one->call(at(two->port()), std::to_string(i), TestTimeout, results[i].done());
    for (std::size_t i = 0; i < results.size(); ++i) {
        BOOST_REQUIRE(results[i].waitUntilDone());
        BOOST_REQUIRE(results[i].first().hasValue());
        BOOST_TEST(*results[i].first() == absl::StrCat("re:", i));
    }
    one.reset();
    for (CallResult &each : results)
        BOOST_TEST(each.count() == 1u);
}

BOOST_AUTO_TEST_CASE(peerSocket_largestMessage_arrivesAndLargerIsRejected)
{
    std::string bytes(MaxPeerMessageBytes - 3, 'b');
    one->call(at(two->port()), bytes, TestTimeout, result.done());
    BOOST_REQUIRE(result.waitUntilDone());
    BOOST_REQUIRE(result.first().hasValue());
    BOOST_TEST((*result.first() == "re:" + bytes));
    CallResult larger;
    one->call(at(two->port()), std::string(MaxPeerMessageBytes + 1, 'c'), TestTimeout,
              larger.done());
    BOOST_REQUIRE(larger.waitUntilDone());
    BOOST_TEST((larger.first().lastReason().code == ReasonCode::InvalidArgument));
}

BOOST_AUTO_TEST_CASE(peerSocket_lateReplyFromAnotherThread_isDelivered)
{
    twoHandler.holdReplies = true;
    one->call(at(two->port()), "x", TestTimeout, result.done());
    BOOST_REQUIRE(eventually([&] { return twoHandler.calls == 1; }));
    twoHandler.takeHeldReplies().front()("later");
    BOOST_REQUIRE(result.waitUntilDone());
    BOOST_TEST(*result.first() == "later");
}

BOOST_AUTO_TEST_CASE(peerSocket_replyAfterLinkDestroyed_isIgnored)
{
    twoHandler.holdReplies = true;
    one->call(at(two->port()), "x", TestTimeout, result.done());
    BOOST_REQUIRE(eventually([&] { return twoHandler.calls == 1; }));
    two.reset();
    BOOST_REQUIRE(result.waitUntilDone());
    BOOST_TEST((result.first().lastReason().code == ReasonCode::OutcomeUnknown));
    twoHandler.takeHeldReplies().front()("too late");
}

BOOST_AUTO_TEST_CASE(peerSocket_noListener_isUnavailable)
{
    const std::string address = at(two->port());
    two.reset();
    one->call(address, "x", TestTimeout, result.done());
    BOOST_REQUIRE(result.waitUntilDone());
    BOOST_TEST((result.first().lastReason().code == ReasonCode::Unavailable));
}

BOOST_AUTO_TEST_CASE(peerSocket_silentConnection_isReplacedAfterTimeout)
{
    const TestListener silent;
    one->call(at(silent.port()), "first", absl::Milliseconds(100), result.done());
    const TestConnection lost = silent.accept();
    BOOST_REQUIRE(result.waitUntilDone());
    BOOST_TEST((result.first().lastReason().code == ReasonCode::Timeout));
    BOOST_TEST(lost.detectsClose());
    CallResult second;
    one->call(at(silent.port()), "second", TestTimeout, second.done());
    const TestConnection fresh = silent.accept();
    BOOST_REQUIRE(fresh.isOpen());
    const std::string received = fresh.receiveUntil("second");
    fresh.send(received); // the frame of a call is also a valid reply to it
    BOOST_REQUIRE(second.waitUntilDone());
    BOOST_TEST(*second.first() == "second");
}

BOOST_AUTO_TEST_CASE(peerSocket_timeoutOfOneCall_leavesOthersOnItsConnection)
{
    const TestListener peer;
    CallResult slow;
    one->call(at(peer.port()), "slow", TestTimeout, slow.done());
    one->call(at(peer.port()), "brief", absl::Milliseconds(50), result.done());
    const TestConnection connection = peer.accept();
    const std::string received = connection.receiveUntil("brief");
    BOOST_REQUIRE(result.waitUntilDone());
    BOOST_TEST(!result.first().hasValue());
    connection.send(received);
    BOOST_REQUIRE(slow.waitUntilDone());
    BOOST_TEST(*slow.first() == "slow");
    BOOST_TEST(connection.detectsClose());
}

BOOST_AUTO_TEST_CASE(peerSocket_malformedFrame_closesOnlyThatConnection)
{
    const TestConnection hostile = TestConnection::to(two->port());
    hostile.send(std::string("\xFF\xFF\xFF\xFF", 4));
    BOOST_TEST(hostile.detectsClose());
    const TestConnection tooShort = TestConnection::to(two->port());
    tooShort.send(std::string("\0\0\0\7abcdefg", 11));
    BOOST_TEST(tooShort.detectsClose());
    one->call(at(two->port()), "x", TestTimeout, result.done());
    BOOST_REQUIRE(result.waitUntilDone());
    BOOST_TEST(result.first().hasValue());
}

BOOST_AUTO_TEST_CASE(peerSocket_slowMessage_closesConnection)
{
    options.messageTimeout = absl::Milliseconds(100);
    const auto strict = open(twoHandler);
    const TestConnection slow = TestConnection::to(strict->port());
    slow.send(std::string("\0\0\0", 3));
    BOOST_TEST(slow.detectsClose());
}

BOOST_AUTO_TEST_CASE(peerSocket_connectionsAboveLimit_evictIdlest)
{
    options.maxConnections = 3;
    const auto strict = open(twoHandler);
    std::vector<TestConnection> connections;
    for (std::size_t i = 0; i < 2 * options.maxConnections; ++i) {
        connections.push_back(TestConnection::to(strict->port()));
        connections.back().send(encodeFrame(1, "x"));
        BOOST_TEST(connections.back().receiveUntil("re:x") != "");
    }
    for (std::size_t i = 0; i < options.maxConnections; ++i)
        BOOST_TEST(connections[i].detectsClose());
    connections.back().send(encodeFrame(2, "y"));
    BOOST_TEST(connections.back().receiveUntil("re:y") != "");
}

BOOST_AUTO_TEST_CASE(peerSocket_peerNotReading_outgoingBytesAreBounded)
{
    options.maxOutgoingBytes = 2 * MaxPeerMessageBytes;
    auto strict = open(oneHandler);
    const TestListener stuck;
    const std::string bytes(MaxPeerMessageBytes, 'x');
    std::vector<CallResult> results(10);
    for (CallResult &each : results)
        strict->call(at(stuck.port()), bytes, TestTimeout, each.done());
    BOOST_TEST(eventually([&] { return results.back().count() > 0; }));
    BOOST_TEST((results.back().first().lastReason().code == ReasonCode::Overloaded));
    strict->call(at(two->port()), "x", TestTimeout, result.done());
    BOOST_REQUIRE(result.waitUntilDone());
    BOOST_TEST(result.first().hasValue());
    // The link is destroyed before the results, which its thread writes.
    strict.reset();
}

BOOST_AUTO_TEST_CASE(peerSocket_randomBytes_linkKeepsServing)
{
    constexpr int Rounds = 300;
    std::mt19937 random(20261204); // NOLINT: fixed seed
    for (int round = 0; round < Rounds; ++round) {
        const TestConnection hostile = TestConnection::to(two->port());
        std::string bytes = round % 2 == 0 ? "" : encodeFrame(random(), "good");
        const std::size_t size = random() % 300;
        for (std::size_t i = 0; i < size; ++i)
            bytes.push_back(static_cast<char>(random() % (round % 3 == 0 ? 4 : 256)));
        hostile.send(bytes);
        one->sendDatagram(at(two->port()), bytes.substr(0, MaxDatagramBytes));
    }
    one->call(at(two->port()), "x", TestTimeout, result.done());
    BOOST_REQUIRE(result.waitUntilDone());
    BOOST_TEST(result.first().hasValue());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
