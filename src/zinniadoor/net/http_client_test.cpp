#include <array>
#include <fstream>
#include <stdexcept>

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

#include "support/event_loop.hpp"
#include "support/scripted_socket.hpp"
#include "zinniadoor/net/fetch.hpp"
#include "zinniadoor/net/http_client.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::net;
using test::runBriefly;
using test::runUntil;

/// Records the callbacks of one call.
struct RecordingHandler : CallHandler
{
    void onHead(const ResponseHead &head) override { status = head.result_int(); }
    void onBody(std::string bytes) override
    {
        body += bytes;
        ++pieces;
    }
    void onEnd() override { ended = true; }
    void onFailure(const CallFailure &reason) override { failure = reason; }
    bool done() const { return ended || failure; }

    unsigned status = 0;
    std::string body;
    std::size_t pieces = 0;
    bool ended = false;
    std::optional<CallFailure> failure;
};

struct HttpClientFixture
{
    static constexpr std::size_t KibiByte = 1024;

    static Request request(const std::string &body = "")
    {
        Request request(http::verb::post, "/run", 11);
        request.set(http::field::host, "engine");
        request.body() = body;
        request.prepare_payload();
        return request;
    }

    std::shared_ptr<RecordingHandler> start(CallOptions options = {})
    {
        options.connectTimeout = absl::Seconds(5);
        auto handler = std::make_shared<RecordingHandler>();
        calls.push_back(client->start({ listener.address(), "e1" }, request("question"),
                                      std::move(options), handler));
        return handler;
    }

    bool arrived(std::size_t connection)
    {
        return runUntil(io, [&] {
            return listener.count() > connection && listener.connection(connection).has("question");
        });
    }

    /// Writes `text` repeatedly, up to `limit` bytes in all; returns whether the call has ended.
    bool endsWhileServerSends(const RecordingHandler &handler, const std::string &text,
                              std::size_t limit)
    {
        for (std::size_t sent = 0; sent < limit && !handler.done(); sent += text.size()) {
            listener.connection(0).write(text);
            io.restart();
            io.run_for(std::chrono::milliseconds(1));
        }
        return runUntil(io, [&] { return handler.done(); });
    }

    /// Largest address space that this process has had.
    static std::size_t peakVirtualKibiBytes()
    {
        std::ifstream status("/proc/self/status");
        std::string name;
        while (status >> name && name != "VmPeak:") { }
        std::size_t kibiBytes = 0;
        status >> kibiBytes;
        return kibiBytes;
    }

    /// Longer than what the HTTP library stores in one field.
    const std::string overlongField = "x: " + std::string(70000, 'x') + "\r\n";
    boost::asio::io_context io;
    test::ScriptedListener listener { io };
    std::unique_ptr<HttpClient> client
        = makeHttpClient(io, { absl::Seconds(5), absl::Seconds(5), 8192 });
    std::vector<std::shared_ptr<Call>> calls;
};

const std::string CompleteResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

BOOST_FIXTURE_TEST_SUITE(HttpClientTest, HttpClientFixture)

BOOST_AUTO_TEST_CASE(call_completeResponse_endsAndKeepsConnection)
{
    const auto first = start();
    BOOST_REQUIRE(arrived(0));
    listener.connection(0).write(CompleteResponse);
    BOOST_REQUIRE(runUntil(io, [&] { return first->done(); }));
    BOOST_TEST(first->body == "ok");
    listener.connection(0).clear();
    const auto second = start();
    BOOST_REQUIRE(arrived(0));
    BOOST_TEST(listener.count() == 1u);
    BOOST_TEST(client->connectionsOpened() == 1u);
}

BOOST_AUTO_TEST_CASE(call_connectionRefused_failsWithNothingSent)
{
    auto handler = std::make_shared<RecordingHandler>();
    CallOptions options;
    options.connectTimeout = absl::Seconds(5);
    const auto call = client->start({ "127.0.0.1:1", "gone" }, request(), options, handler);
    BOOST_REQUIRE(runUntil(io, [&] { return handler->done(); }));
    BOOST_REQUIRE(handler->failure);
    BOOST_TEST(!handler->failure->sendStarted);
}

BOOST_AUTO_TEST_CASE(call_cannotStart_failsAfterStartReturns)
{
    auto handler = std::make_shared<RecordingHandler>();
    client->start({ "not an address", "e1" }, request(), {}, handler);
    BOOST_TEST(!handler->done());
    BOOST_REQUIRE(runUntil(io, [&] { return handler->done(); }));
    BOOST_REQUIRE(handler->failure);
    BOOST_TEST((handler->failure->error == CallError::ConnectFailed));
    BOOST_TEST(!handler->failure->sendStarted);
}

BOOST_AUTO_TEST_CASE(call_cannotStart_cancelledBefore_reportsNothing)
{
    auto handler = std::make_shared<RecordingHandler>();
    const auto call = client->start({ "not an address", "e1" }, request(), {}, handler);
    call->cancel();
    runBriefly(io);
    BOOST_TEST(!handler->done());
}

BOOST_AUTO_TEST_CASE(call_closedAtEachByteOfResponse_neverEndsAsComplete)
{
    for (std::size_t cut = 0; cut < CompleteResponse.size(); ++cut) {
        const std::size_t connection = listener.count();
        const auto handler = start();
        BOOST_REQUIRE(arrived(connection));
        listener.connection(connection).write(CompleteResponse.substr(0, cut));
        listener.connection(connection).close();
        BOOST_REQUIRE(runUntil(io, [&] { return handler->done(); }));
        BOOST_TEST(!handler->ended, "cut after byte " << cut);
        BOOST_REQUIRE(handler->failure);
        BOOST_TEST(handler->failure->sendStarted);
    }
}

BOOST_AUTO_TEST_CASE(call_connectionLostBeforeResponse_isNotRetried)
{
    const auto warm = start();
    BOOST_REQUIRE(arrived(0));
    listener.connection(0).write(CompleteResponse);
    BOOST_REQUIRE(runUntil(io, [&] { return warm->done(); }));
    listener.connection(0).clear();
    const auto handler = start();
    BOOST_REQUIRE(arrived(0));
    listener.connection(0).reset();
    BOOST_REQUIRE(runUntil(io, [&] { return handler->done(); }));
    runBriefly(io);
    BOOST_REQUIRE(handler->failure);
    BOOST_TEST(handler->failure->onReusedConnection);
    BOOST_TEST(listener.count() == 1u);
}

BOOST_AUTO_TEST_CASE(call_onConnectionClosedByPeer_reportsPeerNotReached)
{
    for (const bool reset : { true, false }) {
        const std::size_t connection = listener.count();
        const auto first = start();
        BOOST_REQUIRE(arrived(connection));
        listener.connection(connection).write(CompleteResponse);
        BOOST_REQUIRE(runUntil(io, [&] { return first->ended; }));
        if (reset)
            listener.connection(connection).reset();
        else
            listener.connection(connection).close();
        const auto call = start(); // Started before the client has noticed the close.
        BOOST_REQUIRE(runUntil(io, [&] { return call->done(); }));
        BOOST_REQUIRE(call->failure);
        BOOST_TEST(call->failure->onReusedConnection);
        BOOST_TEST(!call->failure->reachedPeer, "reset: " << reset);
    }
}

BOOST_AUTO_TEST_CASE(call_lostAfterPeerReceivedRequest_reportsPeerReached)
{
    const auto call = start();
    BOOST_REQUIRE(arrived(0));
    listener.connection(0).close();
    BOOST_REQUIRE(runUntil(io, [&] { return call->done(); }));
    BOOST_REQUIRE(call->failure);
    BOOST_TEST(call->failure->reachedPeer);
}

BOOST_AUTO_TEST_CASE(response_withoutLength_isCompleteOnlyAtCleanClose)
{
    const std::string unframed = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it";
    const auto clean = start();
    BOOST_REQUIRE(arrived(0));
    listener.connection(0).write(unframed);
    listener.connection(0).close();
    BOOST_REQUIRE(runUntil(io, [&] { return clean->done(); }));
    BOOST_TEST(clean->ended);
    const auto broken = start();
    BOOST_REQUIRE(arrived(1));
    listener.connection(1).write(unframed);
    BOOST_REQUIRE(runUntil(io, [&] { return broken->body == "all of it"; }));
    listener.connection(1).reset();
    BOOST_REQUIRE(runUntil(io, [&] { return broken->done(); }));
    BOOST_TEST(!broken->ended);
}

BOOST_AUTO_TEST_CASE(response_toAnotherRequest_isSkipped)
{
    CallOptions options;
    options.matchesCall = [](const ResponseHead &head) { return head["Id"] == "mine"; };
    const auto handler = start(options);
    BOOST_REQUIRE(arrived(0));
    listener.connection(0).write("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nold"
                                 "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 3\r\n\r\nnew");
    BOOST_REQUIRE(runUntil(io, [&] { return handler->done(); }));
    BOOST_TEST(handler->body == "new");
}

BOOST_AUTO_TEST_CASE(call_identityCarriedBefore_usesAnotherConnection)
{
    CallOptions options;
    options.identity = "r1";
    options.matchesCall = [](const ResponseHead &head) { return head["Id"] == "r1"; };
    const std::string refusal
        = "HTTP/1.1 503 Service Unavailable\r\nId: r1\r\nContent-Length: 0\r\n\r\n";
    const auto first = start(options);
    BOOST_REQUIRE(arrived(0));
    listener.connection(0).write(refusal);
    BOOST_REQUIRE(runUntil(io, [&] { return first->ended; }));
    listener.connection(0).clear();
    const auto repeat = start(options);
    BOOST_REQUIRE(runUntil(
        io, [&] { return listener.connection(0).has("question") || listener.count() > 1; }));
    listener.connection(0).write(refusal);
    runBriefly(io);
    BOOST_TEST(!repeat->done());
    BOOST_REQUIRE(arrived(1));
    listener.connection(1).write("HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 4\r\n\r\ndone");
    BOOST_REQUIRE(runUntil(io, [&] { return repeat->ended; }));
    BOOST_TEST(repeat->body == "done");
}

BOOST_AUTO_TEST_CASE(call_identityCarriedOnIdleConnection_usesOtherIdleConnection)
{
    CallOptions options;
    options.identity = "r1";
    const auto first = start(options);
    BOOST_REQUIRE(arrived(0));
    CallOptions otherOptions;
    otherOptions.identity = "r2";
    const auto other = start(otherOptions);
    BOOST_REQUIRE(arrived(1));
    listener.connection(1).write(CompleteResponse);
    BOOST_REQUIRE(runUntil(io, [&] { return other->ended; }));
    listener.connection(0).write(CompleteResponse); // Idle last, and so the first to be reused.
    BOOST_REQUIRE(runUntil(io, [&] { return first->ended; }));
    listener.connection(1).clear();
    start(options);
    BOOST_TEST(arrived(1));
    BOOST_TEST(client->connectionsOpened() == 2u);
}

BOOST_AUTO_TEST_CASE(call_manyIdentities_shareConnectionUpToLimit)
{
    constexpr int Limit = 1024;
    for (int i = 0; i <= Limit; ++i) {
        CallOptions options;
        options.identity = absl::StrCat("r", i);
        const auto call = start(options);
        const std::size_t connection = i < Limit ? 0 : 1;
        BOOST_REQUIRE(arrived(connection));
        listener.connection(connection).clear();
        listener.connection(connection).write(CompleteResponse);
        BOOST_REQUIRE(runUntil(io, [&] { return call->ended; }));
        BOOST_REQUIRE(client->connectionsOpened() == connection + 1);
    }
}

BOOST_AUTO_TEST_CASE(response_ambiguousOnReusedConnection_failsAndClosesConnection)
{
    CallOptions options;
    options.isAmbiguous = [](const ResponseHead &head) { return head["Id"].empty(); };
    const auto first = start(options);
    BOOST_REQUIRE(arrived(0));
    listener.connection(0).write(CompleteResponse);
    BOOST_REQUIRE(runUntil(io, [&] { return first->done(); }));
    BOOST_TEST(first->ended);
    listener.connection(0).clear();
    const auto second = start(options);
    BOOST_REQUIRE(arrived(0));
    listener.connection(0).write(CompleteResponse);
    BOOST_REQUIRE(runUntil(io, [&] { return second->done(); }));
    BOOST_REQUIRE(second->failure);
    BOOST_TEST((second->failure->error == CallError::Ambiguous));
    BOOST_TEST(second->failure->sendStarted);
    BOOST_TEST(second->status == 0u);
    BOOST_TEST(runUntil(io, [&] { return listener.connection(0).ended(); }));
}

BOOST_AUTO_TEST_CASE(response_endlessHeader_failsAtLimit)
{
    const auto call = start();
    BOOST_REQUIRE(arrived(0));
    listener.connection(0).write("HTTP/1.1 200 OK\r\nX-Long: ");
    BOOST_TEST(endsWhileServerSends(*call, std::string(4096, 'a'), 64 * KibiByte));
    BOOST_REQUIRE(call->failure);
    BOOST_TEST((call->failure->error == CallError::Malformed));
    BOOST_TEST(runUntil(io, [&] { return listener.connection(0).ended(); }));
}

BOOST_AUTO_TEST_CASE(response_endlessNonHttp_failsAtOnce)
{
    const auto call = start();
    BOOST_REQUIRE(arrived(0));
    BOOST_TEST(endsWhileServerSends(*call, std::string(4096, 'x'), 64 * KibiByte));
    BOOST_REQUIRE(call->failure);
    BOOST_TEST((call->failure->error == CallError::Malformed));
}

BOOST_AUTO_TEST_CASE(response_endlessInterimResponses_failsAtLimit)
{
    const auto call = start();
    BOOST_REQUIRE(arrived(0));
    BOOST_TEST(endsWhileServerSends(*call, "HTTP/1.1 100 Continue\r\n\r\n", 2048));
    BOOST_REQUIRE(call->failure);
    BOOST_TEST((call->failure->error == CallError::Malformed));
}

BOOST_AUTO_TEST_CASE(response_endlessChunkHeader_failsAtLimit)
{
    const auto call = start();
    BOOST_REQUIRE(arrived(0));
    listener.connection(0).write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;");
    BOOST_TEST(endsWhileServerSends(*call, std::string(16384, 'a'), 4 * KibiByte * KibiByte));
    BOOST_TEST(call->failure.has_value());
    BOOST_TEST(call->body.empty());
}

// A line too long for a field of the HTTP library ended the process instead of the call.
BOOST_AUTO_TEST_CASE(response_overlongTrailerLine_failsAndOtherCallsGoOn)
{
    const auto call = start();
    BOOST_REQUIRE(arrived(0));
    const auto other = start();
    BOOST_REQUIRE(arrived(1));
    listener.connection(0).write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                 "4\r\nread\r\n0\r\n"
                                 + overlongField + "\r\n");
    BOOST_REQUIRE(runUntil(io, [&] { return call->done(); }));
    BOOST_TEST(call->failure.has_value());
    listener.connection(1).write(CompleteResponse);
    BOOST_TEST(runUntil(io, [&] { return other->ended; }));
}

// The same, within the limit set for a head.
BOOST_AUTO_TEST_CASE(response_headFieldOverLimitOfLibrary_isMalformed)
{
    client = makeHttpClient(io, { absl::Seconds(5), absl::Seconds(5), 256 * KibiByte });
    const auto call = start();
    BOOST_REQUIRE(arrived(0));
    listener.connection(0).write("HTTP/1.1 200 OK\r\n" + overlongField
                                 + "Content-Length: 0\r\n\r\n");
    BOOST_REQUIRE(runUntil(io, [&] { return call->done(); }));
    BOOST_REQUIRE(call->failure);
    BOOST_TEST((call->failure->error == CallError::Malformed));
}

// An exception out of the processing of one response ended the process.
BOOST_AUTO_TEST_CASE(handler_throws_callFailsAndOtherCallsGoOn)
{
    struct ThrowingHandler : RecordingHandler
    {
        void onHead(const ResponseHead &) override { throw std::length_error("too long"); }
    };
    const auto throwing = std::make_shared<ThrowingHandler>();
    calls.push_back(client->start({ listener.address(), "e1" }, request("question"), {}, throwing));
    BOOST_REQUIRE(arrived(0));
    const auto other = start();
    BOOST_REQUIRE(arrived(1));
    listener.connection(0).write(CompleteResponse);
    BOOST_REQUIRE(runUntil(io, [&] { return throwing->done(); }));
    BOOST_REQUIRE(throwing->failure);
    BOOST_TEST((throwing->failure->error == CallError::Malformed));
    listener.connection(1).write(CompleteResponse);
    BOOST_TEST(runUntil(io, [&] { return other->ended; }));
}

// The length that a head announces was reserved before the first byte came.
BOOST_AUTO_TEST_CASE(response_hugeAnnouncedLength_takesMemoryOfReceivedBytesOnly)
{
    const auto call = start();
    BOOST_REQUIRE(arrived(0));
    const std::size_t before = peakVirtualKibiBytes();
    listener.connection(0).write("HTTP/1.1 200 OK\r\nContent-Length: 4000000000\r\n\r\nfirst");
    BOOST_REQUIRE(runUntil(io, [&] { return call->body == "first"; }));
    BOOST_TEST(peakVirtualKibiBytes() < before + 512 * KibiByte);
    BOOST_TEST(!call->done());
}

// Each chunk was read by itself, which took twenty times the processor time of longer ones.
BOOST_AUTO_TEST_CASE(response_chunksOfOneByte_areReadTogether)
{
    constexpr std::size_t Bytes = 10000;
    const auto call = start();
    BOOST_REQUIRE(arrived(0));
    std::string chunks;
    for (std::size_t i = 0; i < Bytes; ++i)
        chunks += "1\r\nx\r\n";
    listener.connection(0).write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks
                                 + "0\r\n\r\n");
    BOOST_REQUIRE(runUntil(io, [&] { return call->done(); }));
    BOOST_TEST(call->ended);
    BOOST_TEST(call->body == std::string(Bytes, 'x'));
    BOOST_TEST(call->pieces < Bytes / 100);
}

// Bytes before an error belong to the body.
BOOST_AUTO_TEST_CASE(response_invalidChunkAfterOthers_deliversThoseBefore)
{
    const auto call = start();
    BOOST_REQUIRE(arrived(0));
    listener.connection(0).write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                 "4\r\nread\r\nthis is no chunk\r\n");
    BOOST_REQUIRE(runUntil(io, [&] { return call->done(); }));
    BOOST_TEST(call->failure.has_value());
    BOOST_TEST(call->body == "read");
}

BOOST_AUTO_TEST_CASE(response_endlessAndToAnotherRequest_failsAtLimit)
{
    CallOptions options;
    options.matchesCall = [](const ResponseHead &) { return false; };
    const auto call = start(std::move(options));
    BOOST_REQUIRE(arrived(0));
    listener.connection(0).write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    BOOST_TEST(endsWhileServerSends(*call, "4000\r\n" + std::string(16384, 'a') + "\r\n",
                                    4 * KibiByte * KibiByte));
    BOOST_TEST(call->failure.has_value());
}

BOOST_AUTO_TEST_CASE(fetch_endlessResponse_failsAtLimitAsOutcomeUnknown)
{
    std::optional<base::Reason> reason;
    fetch(io, *client, { listener.address(), "e1" }, request("question"), absl::Seconds(60),
          [&](const base::Outcome<FullResponse> &answer) { reason = answer.lastReason(); });
    BOOST_REQUIRE(arrived(0));
    listener.connection(0).write("HTTP/1.1 200 OK\r\n\r\n");
    constexpr std::size_t Limit = std::size_t { 32 } * 1024 * 1024;
    for (std::size_t sent = 0; sent < Limit && !reason; sent += 65536) {
        listener.connection(0).write(std::string(65536, 'a'));
        io.restart();
        io.run_for(std::chrono::milliseconds(1));
    }
    BOOST_REQUIRE(reason);
    BOOST_TEST((reason->code == base::ReasonCode::OutcomeUnknown));
    BOOST_TEST(runUntil(io, [&] { return listener.connection(0).ended(); }));
}

BOOST_AUTO_TEST_CASE(call_permissionRevokedWhileConnecting_writesNothing)
{
    CallOptions options;
    bool allowed = true;
    options.mayWrite = [&] { return allowed; };
    const auto call = start(std::move(options));
    allowed = false; // As if suspended meanwhile: the connect completes before any timer fires.
    BOOST_REQUIRE(runUntil(io, [&] { return call->done(); }));
    BOOST_REQUIRE(call->failure);
    BOOST_TEST((call->failure->error == CallError::PermissionRevoked));
    BOOST_TEST(!call->failure->sendStarted);
    runBriefly(io);
    BOOST_TEST(listener.connection(0).received().empty());
}

BOOST_AUTO_TEST_CASE(call_permissionRevokedOnReusedConnection_writesNothing)
{
    const auto first = start();
    BOOST_REQUIRE(arrived(0));
    listener.connection(0).write(CompleteResponse);
    BOOST_REQUIRE(runUntil(io, [&] { return first->ended; }));
    listener.connection(0).clear();
    CallOptions options;
    options.mayWrite = [] { return false; };
    const auto call = start(std::move(options));
    BOOST_REQUIRE(runUntil(io, [&] { return call->done(); }));
    runBriefly(io);
    BOOST_TEST(listener.connection(0).received().empty());
}

/// A receiver that does not read, on a new connection or on one that has served a call.
struct UnreadReceiverFixture : HttpClientFixture
{
    void startCall(bool onReusedConnection, const std::string &body)
    {
        if (onReusedConnection)
            serveCall();
        CallOptions options;
        options.connectTimeout = absl::Seconds(5);
        options.mayWrite = [this] { return allowed; };
        calls.push_back(client->start(target(), request(body), std::move(options), handler));
        if (!onReusedConnection)
            acceptor.accept(receiver);
        runBriefly(io); // The socket buffers fill up.
    }

    /// Reads until the connection ends; returns the number of bytes.
    std::size_t readToEnd()
    {
        std::vector<char> bytes(KibiByte * KibiByte);
        std::size_t received = 0;
        receiver.non_blocking(true);
        BOOST_REQUIRE(runUntil(io, [&] {
            received += receiver.read_some(boost::asio::buffer(bytes), error);
            return error && error != boost::asio::error::would_block;
        }));
        return received;
    }

    CallTarget target() const
    {
        return { absl::StrCat("127.0.0.1:", acceptor.local_endpoint().port()), "e1" };
    }

    boost::asio::ip::tcp::acceptor acceptor { io, { boost::asio::ip::address_v4::loopback(), 0 } };
    boost::asio::ip::tcp::socket receiver { io };
    std::shared_ptr<RecordingHandler> handler = std::make_shared<RecordingHandler>();
    boost::system::error_code error;
    bool allowed = true;

private:
    void serveCall()
    {
        const auto first = std::make_shared<RecordingHandler>();
        calls.push_back(client->start(target(), request("question"), {}, first));
        acceptor.accept(receiver);
        boost::asio::write(receiver, boost::asio::buffer(CompleteResponse));
        BOOST_REQUIRE(runUntil(io, [&] { return first->ended; }));
        std::array<char, KibiByte> bytes {};
        receiver.read_some(boost::asio::buffer(bytes));
    }
};

BOOST_FIXTURE_TEST_CASE(call_permissionRevokedWithFullSendBuffer_resetsConnection,
                        UnreadReceiverFixture)
{
    const std::string body(std::size_t { 64 } * KibiByte * KibiByte, 'b');
    startCall(false, body);
    BOOST_REQUIRE(!handler->done());
    allowed = false;
    BOOST_TEST(readToEnd() < body.size());
    BOOST_TEST((error == boost::asio::error::connection_reset));
    BOOST_REQUIRE(handler->failure);
    BOOST_TEST((handler->failure->error == CallError::PermissionRevoked));
}

BOOST_FIXTURE_TEST_CASE(call_permissionRevokedWithFullSendBufferOfReusedConnection_resetsConnection,
                        UnreadReceiverFixture)
{
    const std::string body(std::size_t { 64 } * KibiByte * KibiByte, 'b');
    startCall(true, body);
    BOOST_REQUIRE(!handler->done());
    BOOST_TEST(client->connectionsOpened() == 1u);
    allowed = false;
    BOOST_TEST(readToEnd() < body.size());
    BOOST_TEST((error == boost::asio::error::connection_reset));
    BOOST_REQUIRE(handler->failure);
    BOOST_TEST((handler->failure->error == CallError::PermissionRevoked));
}

BOOST_AUTO_TEST_CASE(call_cancelledWithUnreadBytes_sendsNoneOfThemLater)
{
    for (const bool reused : { false, true }) {
        UnreadReceiverFixture each;
        each.startCall(reused, std::string(std::size_t { 64 } * KibiByte * KibiByte, 'b'));
        const std::size_t arrived = each.receiver.available();
        each.calls.back()->cancel();
        BOOST_TEST(each.readToEnd() <= arrived, "reused: " << reused);
        BOOST_TEST((each.error == boost::asio::error::connection_reset), "reused: " << reused);
    }
}

/// A receiver that does not read for longer than the client's limit.
struct UnacknowledgedFixture : UnreadReceiverFixture
{
    struct Handler : RecordingHandler
    {
        void onUnacknowledged() override { unacknowledged = true; }
        bool unacknowledged = false;
    };

    UnacknowledgedFixture()
    {
        client = makeHttpClient(io, { absl::Milliseconds(300), absl::Seconds(5), 32 * KibiByte });
    }

    std::shared_ptr<Handler> startLong(std::optional<absl::Duration> unackedTimeout,
                                       boost::asio::ip::tcp::socket &at)
    {
        auto called = std::make_shared<Handler>();
        CallOptions options;
        options.connectTimeout = absl::Seconds(5);
        options.unackedTimeout = unackedTimeout;
        const std::string body(std::size_t { 64 } * KibiByte * KibiByte, 'b');
        calls.push_back(client->start(target(), request(body), std::move(options), called));
        acceptor.accept(at);
        return called;
    }

    boost::asio::ip::tcp::socket otherReceiver { io };
};

BOOST_FIXTURE_TEST_CASE(call_unacknowledgedBeyondLimit_fails, UnacknowledgedFixture)
{
    const auto call = startLong(std::nullopt, receiver);
    BOOST_REQUIRE(runUntil(io, [&] { return call->done(); }));
    BOOST_REQUIRE(call->failure.has_value());
    BOOST_TEST((call->failure->error == CallError::ConnectionLost));
    BOOST_TEST(!call->unacknowledged);
}

BOOST_FIXTURE_TEST_CASE(call_unacknowledgedWithLongerLimit_goesOn, UnacknowledgedFixture)
{
    const auto call = startLong(absl::Hours(1), receiver);
    // The later call has the client's limit and ends at it.
    const auto limited = startLong(std::nullopt, otherReceiver);
    BOOST_REQUIRE(runUntil(io, [&] { return limited->done(); }));
    BOOST_TEST(call->unacknowledged);
    BOOST_REQUIRE(!call->done());
    std::vector<char> bytes(KibiByte * KibiByte);
    std::size_t received = 0;
    receiver.non_blocking(true);
    BOOST_REQUIRE(runUntil(io, [&] {
        received += receiver.read_some(boost::asio::buffer(bytes), error);
        return received > std::size_t { 64 } * KibiByte * KibiByte;
    }));
    receiver.non_blocking(false);
    boost::asio::write(receiver, boost::asio::buffer(CompleteResponse));
    BOOST_TEST(runUntil(io, [&] { return call->ended; }));
}

BOOST_FIXTURE_TEST_CASE(call_cancelledWhileUnacknowledged_resetsConnection, UnacknowledgedFixture)
{
    const auto call = startLong(absl::Hours(1), receiver);
    BOOST_REQUIRE(runUntil(io, [&] { return call->unacknowledged || call->done(); }));
    BOOST_REQUIRE(!call->done());
    calls.back()->cancel();
    BOOST_TEST(readToEnd() < std::size_t { 64 } * KibiByte * KibiByte);
    BOOST_TEST((error == boost::asio::error::connection_reset));
}

BOOST_AUTO_TEST_CASE(fetch_timeoutWithPermission_resetsConnection)
{
    boost::asio::ip::tcp::acceptor acceptor(io, { boost::asio::ip::address_v4::loopback(), 0 });
    bool ended = false;
    FetchOptions options;
    options.timeout = absl::Milliseconds(50);
    options.mayWrite = [] { return true; };
    fetch(io, *client, { absl::StrCat("127.0.0.1:", acceptor.local_endpoint().port()), "d" },
          request("question"), std::move(options),
          [&](const base::Outcome<FullResponse> &answer) { ended = !answer; });
    boost::asio::ip::tcp::socket receiver(io);
    acceptor.accept(receiver);
    BOOST_REQUIRE(runUntil(io, [&] { return ended; }));
    std::array<char, 4096> bytes {};
    boost::system::error_code error;
    while (!error)
        receiver.read_some(boost::asio::buffer(bytes), error);
    BOOST_TEST((error == boost::asio::error::connection_reset));
}

BOOST_AUTO_TEST_CASE(connection_bytesWhileIdle_isNotReused)
{
    const auto first = start();
    BOOST_REQUIRE(arrived(0));
    listener.connection(0).write(CompleteResponse);
    BOOST_REQUIRE(runUntil(io, [&] { return first->done(); }));
    listener.connection(0).write(CompleteResponse);
    BOOST_REQUIRE(runUntil(io, [&] { return listener.connection(0).ended(); }));
    const auto second = start();
    BOOST_REQUIRE(arrived(1));
    listener.connection(1).write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew");
    BOOST_REQUIRE(runUntil(io, [&] { return second->done(); }));
    BOOST_TEST(second->body == "new");
}

BOOST_AUTO_TEST_CASE(connection_bytesBeforeNextRequest_isNotReused)
{
    const std::string old = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold";
    for (const bool closed : { false, true }) {
        const std::size_t connection = listener.count();
        const auto first = start();
        BOOST_REQUIRE(arrived(connection));
        listener.connection(connection).write(CompleteResponse);
        BOOST_REQUIRE(runUntil(io, [&] { return first->ended; }));
        listener.connection(connection).write(old);
        listener.connection(connection).awaitDelivery();
        if (closed)
            listener.connection(connection).close();
        const auto second = start(); // Started before the client has noticed the bytes.
        BOOST_REQUIRE(
            runUntil(io, [&] { return second->done() || listener.count() > connection + 1; }));
        BOOST_TEST(!second->done(), "closed: " << closed << ", body: " << second->body);
        BOOST_REQUIRE(arrived(connection + 1));
        BOOST_TEST(runUntil(io, [&] { return listener.connection(connection).ended(); }));
        calls.back()->cancel();
    }
}

BOOST_AUTO_TEST_CASE(connection_bytesWithCompleteResponse_isNotReused)
{
    const auto first = start();
    BOOST_REQUIRE(arrived(0));
    listener.connection(0).write(CompleteResponse + CompleteResponse);
    BOOST_REQUIRE(runUntil(io, [&] { return first->ended; }));
    const auto second = start();
    BOOST_REQUIRE(arrived(1));
    BOOST_TEST(!second->done());
}

BOOST_AUTO_TEST_CASE(response_beforeRequestWasSent_connectionIsNotReused)
{
    CallOptions options;
    options.connectTimeout = absl::Seconds(5);
    auto early = std::make_shared<RecordingHandler>();
    // Larger than the socket buffers, so that the request is never fully sent.
    const auto call = client->start({ listener.address(), "e1" },
                                    request(std::string(std::size_t { 64 } * 1024 * 1024, 'x')),
                                    options, early);
    BOOST_REQUIRE(runUntil(io, [&] { return listener.count() == 1; }));
    listener.connection(0).write(CompleteResponse);
    BOOST_REQUIRE(runUntil(io, [&] { return early->done(); }));
    BOOST_TEST(early->ended);
    const auto next = start();
    BOOST_TEST(arrived(1));
}

BOOST_AUTO_TEST_CASE(call_cancelled_closesConnectionWithoutCallback)
{
    const auto handler = start();
    BOOST_REQUIRE(arrived(0));
    calls.back()->cancel();
    BOOST_TEST(runUntil(io, [&] { return listener.connection(0).ended(); }));
    BOOST_TEST(!handler->done());
}

BOOST_AUTO_TEST_CASE(connection_idleBeyondKeepAliveTimeout_isNotReused)
{
    const auto first = start();
    BOOST_REQUIRE(arrived(0));
    listener.connection(0).write(
        "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n");
    BOOST_REQUIRE(runUntil(io, [&] { return first->done(); }));
    const auto second = start();
    BOOST_TEST(arrived(1));
}

BOOST_AUTO_TEST_CASE(connection_toPreviousProcessAtAddress_isNotReused)
{
    const auto first = start();
    BOOST_REQUIRE(arrived(0));
    listener.connection(0).write(CompleteResponse);
    BOOST_REQUIRE(runUntil(io, [&] { return first->done(); }));
    auto handler = std::make_shared<RecordingHandler>();
    CallOptions options;
    options.connectTimeout = absl::Seconds(5);
    const auto call
        = client->start({ listener.address(), "e2" }, request("question"), options, handler);
    BOOST_TEST(arrived(1));
}

BOOST_AUTO_TEST_CASE(fetch_lateResponseToAnotherRequest_isSkipped)
{
    const auto first = start();
    BOOST_REQUIRE(arrived(0));
    listener.connection(0).write(CompleteResponse);
    BOOST_REQUIRE(runUntil(io, [&] { return first->ended; }));
    std::optional<unsigned> status;
    FetchOptions options;
    options.timeout = absl::Seconds(20);
    options.matchesCall = [](const ResponseHead &head) { return head["Id"].empty(); };
    fetch(io, *client, { listener.address(), "e1" }, request("order"), std::move(options),
          [&](const base::Outcome<FullResponse> &answer) {
              status = answer ? answer->head.result_int() : 0;
          });
    BOOST_REQUIRE(runUntil(io, [&] { return listener.connection(0).has("order"); }));
    listener.connection(0).write("HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 2\r\n\r\nok"
                                 "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n");
    BOOST_REQUIRE(runUntil(io, [&] { return status.has_value(); }));
    BOOST_TEST(*status == 409u);
}

BOOST_AUTO_TEST_CASE(fetch_silentServer_timesOutAsOutcomeUnknown)
{
    std::optional<base::ReasonCode> code;
    fetch(io, *client, { listener.address(), "s" }, request("question"), absl::Milliseconds(50),
          [&](const base::Outcome<FullResponse> &answer) { code = answer.lastReason().code; });
    BOOST_REQUIRE(runUntil(io, [&] { return code.has_value(); }));
    BOOST_TEST((*code == base::ReasonCode::OutcomeUnknown));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
