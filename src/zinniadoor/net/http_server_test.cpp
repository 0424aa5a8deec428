#include <stdexcept>
#include <thread>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

#include "support/event_loop.hpp"
#include "support/scripted_socket.hpp"
#include "zinniadoor/net/http_server.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::net;
using test::runBriefly;
using test::runUntil;
using test::ScriptedSocket;

struct RecordingRequestHandler : RequestHandler
{
    void onRequest(Request request, std::shared_ptr<Responder> responder) override
    {
        if (std::exchange(throwsNext, false))
            throw std::length_error("too long");
        requests.push_back(std::move(request));
        responders.push_back(std::move(responder));
    }
    std::vector<Request> requests;
    std::vector<std::shared_ptr<Responder>> responders;
    bool throwsNext = false;
};

struct HttpServerFixture
{
    HttpServerFixture()
    {
        limits.maxHeadBytes = 1024;
        limits.maxBodyBytes = 4096;
        auto listening = listenHttp(io, "127.0.0.1:0", limits, handler);
        BOOST_REQUIRE(listening.hasValue());
        server = std::move(*listening);
    }

    std::shared_ptr<ScriptedSocket> connect()
    {
        return ScriptedSocket::connect(io, server->port());
    }

    bool receivesRequests(std::size_t count)
    {
        return runUntil(io, [&] { return handler.requests.size() >= count; });
    }

    static Response answer(const std::string &body)
    {
        Response answer(http::status::ok, 11);
        answer.body() = body;
        return answer;
    }

    void setIdleTimeout(absl::Duration time)
    {
        limits.idleTimeout = time;
        server->setLimits(limits);
    }

    /// A connection that has served a request and has just become idle, with this limit in force.
    std::shared_ptr<ScriptedSocket> connectIdle(absl::Duration idleTimeout)
    {
        auto client = connect();
        client->write(get);
        BOOST_REQUIRE(receivesRequests(1));
        setIdleTimeout(idleTimeout);
        handler.responders.back()->answer(answer("first"));
        BOOST_REQUIRE(runUntil(io, [&] { return server->activeRequests() == 0; }));
        return client;
    }

    /// Lets the timers of this time expire without running their handlers.
    static void elapse(absl::Duration time)
    {
        std::this_thread::sleep_for(absl::ToChronoMilliseconds(time));
    }

    /// Whether a request that was sent is handled and answered with success.
    bool isServed(ScriptedSocket &client)
    {
        const std::size_t before = handler.requests.size();
        const auto received = [&] { return handler.requests.size() > before; };
        if (!runUntil(io, [&] { return received() || client.ended(); }) || !received())
            return false;
        handler.responders.back()->answer(answer("served"));
        return runUntil(io, [&] { return client.has("served") || client.ended(); })
            && client.has("served");
    }

    /// Takes many writes.
    const std::string longBody = std::string(std::size_t { 1024 } * 1024, 'x');
    const absl::Duration tick = absl::Milliseconds(1);
    const std::string get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    boost::asio::io_context io;
    ServerLimits limits;
    RecordingRequestHandler handler;
    std::unique_ptr<HttpServer> server;
};

BOOST_FIXTURE_TEST_SUITE(HttpServerTest, HttpServerFixture)

BOOST_AUTO_TEST_CASE(connection_severalRequests_areAnsweredInOrder)
{
    const auto client = connect();
    for (std::size_t i = 1; i <= 3; ++i) {
        client->write(get);
        BOOST_REQUIRE(receivesRequests(i));
        client->clear();
        handler.responders.back()->answer(answer("hello"));
        BOOST_REQUIRE(runUntil(io, [&] { return client->has("\r\n\r\nhello"); }));
    }
    BOOST_TEST(!client->ended());
}

// A field too long for the HTTP library ended the process instead of the request.
BOOST_AUTO_TEST_CASE(request_fieldOverLimitOfLibrary_isRejected)
{
    limits.maxHeadBytes = std::size_t { 256 } * 1024;
    server->setLimits(limits);
    const std::string field = "x: " + std::string(70000, 'x') + "\r\n";
    const auto inHead = connect();
    inHead->write("GET /a HTTP/1.1\r\nHost: h\r\n" + field + "\r\n");
    BOOST_REQUIRE(runUntil(io, [&] { return inHead->ended(); }));
    BOOST_TEST(inHead->has("HTTP/1.1 431 "));
    const auto inTrailer = connect();
    inTrailer->write("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
                     + field + "\r\n");
    BOOST_REQUIRE(runUntil(io, [&] { return inTrailer->ended(); }));
    BOOST_TEST(inTrailer->has("HTTP/1.1 431 "));
    BOOST_TEST(handler.requests.empty());
}

// A trailer of any length was kept in memory.
BOOST_AUTO_TEST_CASE(request_trailerOverHeadLimit_isRejected)
{
    const auto client = connect();
    std::string trailer;
    for (int i = 0; i < 2000; ++i)
        trailer += "field: of some length\r\n";
    client->write("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
                  + trailer);
    BOOST_REQUIRE(runUntil(io, [&] { return client->ended(); }));
    BOOST_TEST(client->has("HTTP/1.1 431 "));
}

// An exception out of the processing of one request ended the process.
BOOST_AUTO_TEST_CASE(requestHandler_throws_requestFailsAndOthersAreServed)
{
    const auto other = connect();
    other->write(get);
    BOOST_REQUIRE(receivesRequests(1));
    handler.throwsNext = true;
    const auto client = connect();
    client->write(get);
    BOOST_REQUIRE(runUntil(io, [&] { return client->ended(); }));
    BOOST_TEST(client->has("HTTP/1.1 500 "));
    handler.responders.back()->answer(answer("hello"));
    BOOST_TEST(runUntil(io, [&] { return other->has("hello"); }));
}

// A client that accepted nothing kept its response in memory for as long as it liked.
BOOST_AUTO_TEST_CASE(client_acceptsNoByteOfResponse_isClosedAtIdleTimeout)
{
    setIdleTimeout(absl::Seconds(1));
    boost::asio::ip::tcp::socket client(io);
    client.connect({ boost::asio::ip::address_v4::loopback(), server->port() });
    boost::asio::write(client, boost::asio::buffer(get));
    BOOST_REQUIRE(receivesRequests(1));
    const auto kept = std::make_shared<int>();
    handler.responders.back()->keepUntilSent(kept);
    handler.responders.back()->answer(answer(std::string(std::size_t { 64 } * 1024 * 1024, 'x')));
    runBriefly(io);
    BOOST_TEST(kept.use_count() == 2);
    BOOST_TEST(runUntil(io, [&] { return kept.use_count() == 1; }));
    BOOST_TEST(server->activeRequests() == 0u);
}

BOOST_AUTO_TEST_CASE(client_takesResponse_objectIsKeptUntilThen)
{
    const auto client = connect();
    client->write(get);
    BOOST_REQUIRE(receivesRequests(1));
    const auto kept = std::make_shared<int>();
    handler.responders.back()->keepUntilSent(kept);
    handler.responders.back()->answer(answer(longBody));
    BOOST_TEST(kept.use_count() == 2);
    BOOST_TEST(runUntil(io, [&] { return kept.use_count() == 1; }));
    BOOST_TEST(client->ended() == false);
}

BOOST_AUTO_TEST_CASE(request_followedByBytes_isTheOnlyOneParsed)
{
    const auto client = connect();
    client->write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
                  "POST /smuggled HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    BOOST_REQUIRE(receivesRequests(1));
    handler.responders.back()->answer(answer("done"));
    BOOST_REQUIRE(runUntil(io, [&] { return client->ended(); }));
    BOOST_TEST(handler.requests.size() == 1u);
    BOOST_TEST(client->has("Connection: close"));
}

BOOST_AUTO_TEST_CASE(request_arrivesBeforeHeadOfPreviousResponse_headSaysClose)
{
    const auto client = connect();
    client->write(get);
    BOOST_REQUIRE(receivesRequests(1));
    client->write(get);
    client->awaitDelivery();
    io.poll();
    handler.responders.back()->answer(answer("done"));
    BOOST_TEST(runUntil(io, [&] { return client->ended(); }));
    BOOST_TEST(client->has("Connection: close"));
    BOOST_TEST(client->has("done"));
    BOOST_TEST(handler.requests.size() == 1u);
}

BOOST_AUTO_TEST_CASE(request_arrivesWithinStreamThatKeepsConnection_isRejectedAsNotRun)
{
    const auto client = connect();
    client->write(get);
    BOOST_REQUIRE(receivesRequests(1));
    const auto responder = handler.responders.back();
    responder->begin(ResponseHead());
    BOOST_REQUIRE(runUntil(io, [&] { return client->has("\r\n\r\n"); }));
    BOOST_TEST(!client->has("Connection: close"));
    client->write(get);
    client->awaitDelivery();
    io.poll();
    responder->finish();
    BOOST_TEST(runUntil(io, [&] { return client->ended(); }));
    BOOST_TEST(client->has("0\r\n\r\nHTTP/1.1 503 "));
    BOOST_TEST(client->has("Connection: close"));
    BOOST_TEST(handler.requests.size() == 1u);
}

BOOST_AUTO_TEST_CASE(request_arrivesWhileEndOfAnswerIsWritten_isServed)
{
    const auto client = connect();
    client->write(get);
    BOOST_REQUIRE(receivesRequests(1));
    handler.responders.back()->answer(answer(longBody));
    client->write(get);
    client->awaitDelivery();
    BOOST_TEST(isServed(*client));
    BOOST_TEST(client->has(longBody));
}

BOOST_AUTO_TEST_CASE(request_arrivesWhileEndOfStreamIsWritten_isServed)
{
    const auto client = connect();
    client->write(get);
    BOOST_REQUIRE(receivesRequests(1));
    const auto responder = handler.responders.back();
    responder->begin(ResponseHead());
    responder->send(longBody);
    responder->finish();
    client->write(get);
    client->awaitDelivery();
    BOOST_TEST(isServed(*client));
    BOOST_TEST(client->has(longBody + "\r\n0\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(drain_duringStreamThatKeepsConnection_nextRequestIsServed)
{
    const auto client = connect();
    client->write(get);
    BOOST_REQUIRE(receivesRequests(1));
    const auto responder = handler.responders.back();
    responder->begin(ResponseHead());
    server->drain(absl::Hours(1));
    responder->send("last");
    responder->finish();
    BOOST_REQUIRE(runUntil(io, [&] { return client->has("0\r\n\r\n"); }));
    BOOST_TEST(!client->has("Connection: close"));
    client->write(get);
    BOOST_TEST(isServed(*client));
    BOOST_TEST(runUntil(io, [&] { return client->ended(); }));
    BOOST_TEST(client->has("Connection: close"));
}

BOOST_AUTO_TEST_CASE(request_lengthAndChunkedEncoding_isRejected)
{
    const auto client = connect();
    client->write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    BOOST_REQUIRE(runUntil(io, [&] { return client->has("400 "); }));
    BOOST_TEST(handler.requests.empty());
}

BOOST_AUTO_TEST_CASE(request_headerOrBodyTooLarge_isRejectedWithStatus)
{
    const auto head = connect();
    head->write("GET /a HTTP/1.1\r\nLong: " + std::string(2000, 'x') + "\r\n\r\n");
    BOOST_TEST(runUntil(io, [&] { return head->has("431 "); }));
    const auto body = connect();
    body->write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n");
    BOOST_TEST(runUntil(io, [&] { return body->has("413 "); }));
    BOOST_TEST(handler.requests.empty());
}

BOOST_AUTO_TEST_CASE(request_notHttp_isRejectedAndOthersAreServed)
{
    const auto nonHttp = connect();
    nonHttp->write("\x16\x03\x01 nonsense\r\n\r\n");
    BOOST_TEST(runUntil(io, [&] { return nonHttp->has("400 ") || nonHttp->ended(); }));
    const auto client = connect();
    client->write(get);
    BOOST_TEST(receivesRequests(1));
}

BOOST_AUTO_TEST_CASE(request_incompleteAtTimeout_isRejectedWith408)
{
    limits.requestTimeout = absl::Milliseconds(50);
    server->setLimits(limits);
    const auto client = connect();
    client->write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab");
    BOOST_TEST(runUntil(io, [&] { return client->has("408 "); }));
    BOOST_TEST(runUntil(io, [&] { return client->ended(); }));
}

BOOST_AUTO_TEST_CASE(connection_idleTimeout_isClosedWithoutResponse)
{
    limits.idleTimeout = absl::Milliseconds(50);
    server->setLimits(limits);
    const auto client = connect();
    BOOST_TEST(runUntil(io, [&] { return client->ended(); }));
    BOOST_TEST(client->received().empty());
}

BOOST_AUTO_TEST_CASE(connection_idleLimitRaised_isNotClosedByTheOldOne)
{
    const auto client = connectIdle(tick);
    setIdleTimeout(absl::Hours(1));
    elapse(5 * tick);
    runBriefly(io);
    client->write(get);
    BOOST_TEST(isServed(*client));
}

BOOST_AUTO_TEST_CASE(connection_idleLimitRaised_isClosedAtTheNewOne)
{
    const absl::Duration raised = 30 * tick;
    const auto start = std::chrono::steady_clock::now();
    const auto client = connectIdle(tick);
    setIdleTimeout(raised);
    BOOST_TEST(runUntil(io, [&] { return client->ended(); }));
    BOOST_TEST((std::chrono::steady_clock::now() - start >= absl::ToChronoMilliseconds(raised)));
}

BOOST_AUTO_TEST_CASE(connection_idleLimitLowered_isKeptForTheOldOne)
{
    const auto client = connectIdle(absl::Hours(1));
    setIdleTimeout(tick);
    elapse(5 * tick);
    runBriefly(io);
    client->write(get);
    BOOST_TEST(isServed(*client));
    BOOST_TEST(runUntil(io, [&] { return client->ended(); })); // Idle with the new limit.
}

BOOST_AUTO_TEST_CASE(connection_idleLimitLowered_isClosedAtTheOldOne)
{
    const auto client = connectIdle(30 * tick);
    setIdleTimeout(tick);
    BOOST_TEST(runUntil(io, [&] { return client->ended(); }));
}

BOOST_AUTO_TEST_CASE(drain_idleLimitRaisedBefore_closesAfterGrace)
{
    const auto client = connectIdle(tick);
    setIdleTimeout(absl::Hours(1));
    server->drain(tick);
    BOOST_TEST(runUntil(io, [&] { return client->ended(); }));
}

BOOST_AUTO_TEST_CASE(drain_idleLimitRaisedAfter_closesAfterGrace)
{
    const auto client = connectIdle(tick);
    server->drain(tick);
    setIdleTimeout(absl::Hours(1));
    BOOST_TEST(runUntil(io, [&] { return client->ended(); }));
}

BOOST_AUTO_TEST_CASE(connection_sizeLimitsRaisedWhileIdle_applyToTheNextRequest)
{
    const auto body = connectIdle(absl::Hours(1));
    const auto head = connect();
    runBriefly(io);
    limits.maxBodyBytes = 16384;
    limits.maxHeadBytes = 8192;
    server->setLimits(limits);
    body->write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 10000\r\n\r\n"
                + std::string(10000, 'x'));
    BOOST_TEST(isServed(*body));
    head->write("GET /a HTTP/1.1\r\nLong: " + std::string(5000, 'x') + "\r\n\r\n");
    BOOST_TEST(isServed(*head));
}

BOOST_AUTO_TEST_CASE(request_arrivesAsIdleLimitIsReached_isServed)
{
    const auto client = connectIdle(tick);
    client->write(get);
    client->awaitDelivery();
    elapse(5 * tick);
    BOOST_TEST(isServed(*client));
    BOOST_TEST(!client->has("408 "));
}

BOOST_AUTO_TEST_CASE(request_arrivesAfterIdleTimerExpired_isServed)
{
    const auto client = connectIdle(tick);
    elapse(5 * tick);
    // Runs after the event loop has seen the timer, before the handler of the timer.
    boost::asio::post(io, [&] {
        client->write(get);
        client->awaitDelivery();
    });
    BOOST_TEST(isServed(*client));
}

BOOST_AUTO_TEST_CASE(drain_requestArrivesAsGraceEnds_isServed)
{
    const auto client = connectIdle(absl::Hours(1));
    server->drain(tick);
    client->write(get);
    client->awaitDelivery();
    elapse(5 * tick);
    BOOST_TEST(isServed(*client));
    BOOST_TEST(client->has("Connection: close"));
}

BOOST_AUTO_TEST_CASE(client_disconnectsBeforeResponse_isReported)
{
    const auto client = connect();
    client->write(get);
    BOOST_REQUIRE(receivesRequests(1));
    bool closed = false;
    handler.responders.back()->onClosed([&] { closed = true; });
    client->close();
    BOOST_TEST(runUntil(io, [&] { return closed; }));
}

// The event loop is behind: the request and the close of its connection are read together.
BOOST_AUTO_TEST_CASE(client_disconnectedBeforeRequestWasRead_requestIsNotHandled)
{
    const auto client = connect();
    runBriefly(io);
    client->write(get);
    client->awaitDelivery();
    client->close();
    runBriefly(io);
    BOOST_TEST(handler.responders.empty());
    BOOST_TEST(server->activeRequests() == 0u);
}

BOOST_AUTO_TEST_CASE(client_closesSendingSideBeforeResponse_countsAsDisconnected)
{
    const auto client = connect();
    client->write(get);
    BOOST_REQUIRE(receivesRequests(1));
    bool closed = false;
    handler.responders.back()->onClosed([&] { closed = true; });
    client->shutdownSend();
    BOOST_TEST(runUntil(io, [&] { return closed; }));
    BOOST_TEST(runUntil(io, [&] { return client->ended(); }));
    BOOST_TEST(client->received().empty());
}

BOOST_AUTO_TEST_CASE(client_closesSendingSideWhileEndOfAnswerIsWritten_getsWholeAnswer)
{
    const auto client = connect();
    client->write(get);
    BOOST_REQUIRE(receivesRequests(1));
    bool closed = false;
    handler.responders.back()->onClosed([&] { closed = true; });
    handler.responders.back()->answer(answer(longBody));
    client->shutdownSend();
    BOOST_TEST(runUntil(io, [&] { return client->ended(); }));
    BOOST_TEST(client->has(longBody));
    BOOST_TEST(!closed);
}

BOOST_AUTO_TEST_CASE(client_disconnectsWhileEndOfAnswerIsWritten_isReported)
{
    const auto client = connect();
    client->write(get);
    BOOST_REQUIRE(receivesRequests(1));
    bool closed = false;
    handler.responders.back()->onClosed([&] { closed = true; });
    handler.responders.back()->answer(answer(longBody));
    client->close();
    BOOST_TEST(runUntil(io, [&] { return closed; }));
    BOOST_TEST(server->activeRequests() == 0u);
}

BOOST_AUTO_TEST_CASE(client_disconnectsDuringStream_isReported)
{
    const auto client = connect();
    client->write(get);
    BOOST_REQUIRE(receivesRequests(1));
    bool closed = false;
    handler.responders.back()->onClosed([&] { closed = true; });
    handler.responders.back()->begin(ResponseHead());
    handler.responders.back()->send("first");
    BOOST_REQUIRE(runUntil(io, [&] { return client->has("first"); }));
    client->close();
    BOOST_TEST(runUntil(io, [&] { return closed; }));
}

BOOST_AUTO_TEST_CASE(stream_aborted_closesWithoutFinalChunk)
{
    const auto client = connect();
    client->write(get);
    BOOST_REQUIRE(receivesRequests(1));
    handler.responders.back()->begin(ResponseHead());
    handler.responders.back()->send("first");
    BOOST_REQUIRE(runUntil(io, [&] { return client->has("first"); }));
    handler.responders.back()->abort();
    BOOST_REQUIRE(runUntil(io, [&] { return client->ended(); }));
    BOOST_TEST(!client->has("0\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(drain_requestInProgress_isAnsweredAndConnectionCloses)
{
    const auto busy = connect();
    const auto idle = connect();
    busy->write(get);
    BOOST_REQUIRE(receivesRequests(1));
    server->drain(absl::Milliseconds(30));
    BOOST_TEST(server->activeRequests() == 1u);
    BOOST_TEST(runUntil(io, [&] { return idle->ended(); }));
    handler.responders.back()->answer(answer("late but whole"));
    BOOST_TEST(runUntil(io, [&] { return busy->has("late but whole") && busy->ended(); }));
    BOOST_TEST(busy->has("Connection: close"));
}

BOOST_AUTO_TEST_CASE(drain_requestOnIdleConnection_isServed)
{
    const auto client = connect();
    runBriefly(io);
    server->drain(absl::Seconds(10));
    client->write(get);
    BOOST_REQUIRE(receivesRequests(1));
    handler.responders.back()->answer(answer("served"));
    BOOST_TEST(runUntil(io, [&] { return client->has("served"); }));
}

// A server that stops closes once no request is active.
BOOST_AUTO_TEST_CASE(request_arrivedButNotRead_isActive)
{
    const auto client = connectIdle(absl::Hours(1));
    BOOST_TEST(server->activeRequests() == 0u);
    client->write(get);
    client->awaitDelivery();
    BOOST_TEST(server->activeRequests() == 1u);
    BOOST_TEST(isServed(*client));
    BOOST_TEST(runUntil(io, [&] { return server->activeRequests() == 0; }));
}

BOOST_AUTO_TEST_CASE(responder_usedAfterResponse_doesNothing)
{
    const auto client = connect();
    client->write(get);
    BOOST_REQUIRE(receivesRequests(1));
    const auto old = handler.responders.back();
    old->answer(answer("one"));
    BOOST_REQUIRE(runUntil(io, [&] { return client->has("one"); }));
    client->write(get);
    BOOST_REQUIRE(receivesRequests(2));
    old->answer(answer("again"));
    old->abort();
    runBriefly(io);
    BOOST_TEST(!client->has("again"));
    handler.responders.back()->answer(answer("two"));
    BOOST_TEST(runUntil(io, [&] { return client->has("two"); }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
