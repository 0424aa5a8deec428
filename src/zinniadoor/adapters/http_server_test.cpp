#include "http_server_fixture.hpp"

namespace {

using namespace zinniadoor;
using adapters::KibiByte;
using adapters::test::contains;
using adapters::test::eventually;
using adapters::test::Exchange;
using adapters::test::HttpServerFixture;
using adapters::test::TestConnection;

BOOST_FIXTURE_TEST_SUITE(HttpServerTest, HttpServerFixture)

BOOST_AUTO_TEST_CASE(httpServer_completeRequest_isDispatchedAndAnswered)
{
    listen();
    const TestConnection caller = connect();
    caller.send("PATCH /a%20b?x=1&y HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nA: b\r\n\r\nhello");
    const Exchange exchange = handler.waitForRequest(0);
    BOOST_REQUIRE(exchange);
    BOOST_TEST(exchange->request().method == "PATCH");
    BOOST_TEST(exchange->request().path == "/a%20b");
    BOOST_TEST(exchange->request().query == "x=1&y");
    BOOST_TEST(exchange->request().body == "hello");
    BOOST_REQUIRE(exchange->request().header("a"));
    BOOST_TEST(*exchange->request().header("a") == "b");
    exchange->respond(201, { { "X-Test", "1" } }, "done");
    exchange->respond(500, {}, "too late");
    const std::string response = caller.receiveUntil("done");
    BOOST_TEST(contains(response, "HTTP/1.1 201 "));
    BOOST_TEST(contains(response, "X-Test: 1\r\n"));
    caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_REQUIRE(handler.waitForRequest(1));
    handler.waitForRequest(1)->respond(204, {}, "");
    BOOST_TEST(contains(caller.receiveUntil("\r\n\r\n"), "HTTP/1.1 204 "));
    BOOST_TEST(!exchange->callerDisconnected());
}

BOOST_AUTO_TEST_CASE(httpServer_streamedResponse_arrivesInChunksAndCompletely)
{
    listen();
    const TestConnection caller = connect();
    caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    const Exchange exchange = handler.waitForRequest(0);
    BOOST_REQUIRE(exchange);
    exchange->beginStream(200, { { "Content-Type", "text/event-stream" } });
    exchange->write("first");
    BOOST_TEST(contains(caller.receiveUntil("first"), "chunked"));
    BOOST_TEST(exchange->pendingBytes() == 0u);
    BOOST_TEST(handler.progress == 0);
    exchange->write(std::string(adapters::MinDrainProgressBytes, 'x') + "second");
    BOOST_TEST(contains(caller.receiveUntil("second"), "second"));
    BOOST_TEST(eventually([&] { return handler.progress == 1; }));
    exchange->endStream(true);
    BOOST_TEST(contains(caller.receiveUntil("0\r\n\r\n"), "0\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(httpServer_truncatedStream_closesWithoutFinalChunk)
{
    listen();
    const TestConnection caller = connect();
    caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    const Exchange exchange = handler.waitForRequest(0);
    BOOST_REQUIRE(exchange);
    exchange->beginStream(200, {});
    exchange->write("part");
    caller.receiveUntil("part");
    exchange->endStream(false);
    BOOST_TEST(!contains(caller.receiveAll(), "0\r\n\r\n"));
    BOOST_TEST(caller.detectsClose());
}

BOOST_AUTO_TEST_CASE(httpServer_tooLargeBodyOrHeaders_areRejected)
{
    listen();
    const TestConnection declared = connect();
    declared.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65537\r\n\r\n");
    const std::string rejected = declared.receiveUntil("}}");
    BOOST_TEST(contains(rejected, "HTTP/1.1 413 "));
    BOOST_TEST(contains(rejected, "Zinniadoor-Run: not-run"));
    BOOST_TEST(contains(rejected, "\"code\":\"body_too_large\""));

    const TestConnection chunked = connect();
    chunked.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n");
    chunked.send(std::string(64 * KibiByte + 1, 'x'));
    BOOST_TEST(contains(chunked.receiveUntil("}}"), "HTTP/1.1 413 "));

    const TestConnection wide = connect();
    wide.send("GET / HTTP/1.1\r\nHost: h\r\nA: " + std::string(5000, 'a') + "\r\n\r\n");
    BOOST_TEST(contains(wide.receiveUntil("}}"), "\"code\":\"headers_too_large\""));

    const TestConnection huge = connect();
    huge.send("GET / HTTP/1.1\r\nHost: h\r\nA: " + std::string(80'000, 'a'));
    BOOST_TEST(contains(huge.receiveUntil("\r\n"), "HTTP/1.1 431 "));
}

BOOST_AUTO_TEST_CASE(httpServer_callerDisconnectsWhileWaiting_isReported)
{
    listen();
    {
        const TestConnection caller = connect();
        caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        BOOST_REQUIRE(handler.waitForRequest(0));
    }
    BOOST_TEST(eventually([&] { return handler.callersGone > 0; }));
    BOOST_TEST(handler.waitForRequest(0)->callerDisconnected());
    handler.waitForRequest(0)->respond(200, {}, "nobody");
}

BOOST_AUTO_TEST_CASE(httpServer_destroyedWithOpenStreams_closesThemAndExchangesStayUsable)
{
    listen();
    const TestConnection waiting = connect();
    waiting.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    const Exchange first = handler.waitForRequest(0);
    const TestConnection streaming = connect();
    streaming.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    const Exchange second = handler.waitForRequest(1);
    BOOST_REQUIRE(first);
    BOOST_REQUIRE(second);
    second->beginStream(200, {});
    second->write("part");
    streaming.receiveUntil("part");
    server.reset();
    BOOST_TEST(waiting.detectsClose());
    BOOST_TEST(!contains(streaming.receiveAll(), "0\r\n\r\n"));
    first->respond(200, {}, "late");
    second->write("late");
    second->endStream(true);
    BOOST_TEST(first->callerDisconnected());
    BOOST_TEST(second->callerDisconnected());
}

BOOST_AUTO_TEST_CASE(httpServer_pipelinedRequests_areAnsweredInOrder)
{
    listen();
    const TestConnection caller = connect();
    caller.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_REQUIRE(handler.waitForRequest(0));
    BOOST_TEST(handler.waitForRequest(0)->request().path == "/1");
    handler.waitForRequest(0)->respond(200, {}, "one");
    BOOST_REQUIRE(handler.waitForRequest(1));
    handler.waitForRequest(1)->respond(200, {}, "two");
    const std::string responses = caller.receiveUntil("two");
    BOOST_TEST(responses.find("one") < responses.find("two"));
}

BOOST_AUTO_TEST_CASE(httpServer_stopAccepting_servesOpenConnectionsAndRefusesNewOnes)
{
    listen();
    const TestConnection running = connect();
    running.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_REQUIRE(handler.waitForRequest(0));
    const TestConnection established = connect();
    server->stopAccepting();
    server->stopAccepting();
    BOOST_TEST(!connect().isOpen());
    handler.waitForRequest(0)->respond(200, {}, "one");
    BOOST_TEST(contains(running.receiveAll(), "Connection: close"));
    established.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_REQUIRE(handler.waitForRequest(1));
    handler.waitForRequest(1)->respond(200, {}, "two");
    BOOST_TEST(contains(established.receiveAll(), "two"));
}

BOOST_AUTO_TEST_CASE(httpServer_portInUseOrInvalidAddress_returnsReason)
{
    listen();
    options.port = server->port();
    BOOST_TEST((adapters::listenHttp(options, handler).lastReason().code
                == base::ReasonCode::Unavailable));
    options.address = "localhost";
    BOOST_TEST((adapters::listenHttp(options, handler).lastReason().code
                == base::ReasonCode::InvalidArgument));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
