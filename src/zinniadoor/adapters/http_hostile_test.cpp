#include <fstream>
#include <random>
#include <thread>

#include <unistd.h>

#include "absl/strings/str_cat.h"

#include "http_server_fixture.hpp"

namespace {

using namespace zinniadoor;
using adapters::KibiByte;
using adapters::MebiByte;
using adapters::test::contains;
using adapters::test::eventually;
using adapters::test::Exchange;
using adapters::test::HttpServerFixture;
using adapters::test::TestConnection;

constexpr const char *PlainGet = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr std::size_t PauseBytes = 64 * KibiByte;

std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/// Answers every request immediately.
class ImmediateHandler : public ports::CallerHandler
{
public:
    void onRequest(Exchange exchange) override
    {
        ++requests;
        exchange->respond(200, {}, "fine");
    }
    void onProgress(const Exchange &) override { }

    std::atomic<int> requests { 0 };
};

struct HostileFixture : HttpServerFixture
{
    void listenWithImmediateHandler()
    {
        auto outcome = adapters::listenHttp(options, immediate);
        BOOST_REQUIRE(outcome.hasValue());
        server = std::move(*outcome);
    }

    bool stillServes() const
    {
        const TestConnection caller = connect();
        caller.send(PlainGet);
        return contains(caller.receiveUntil("fine"), "HTTP/1.1 200 ");
    }

    /// Sends a request and starts a streamed response.
    Exchange stream(const TestConnection &caller, std::size_t index)
    {
        caller.send(PlainGet);
        Exchange exchange = handler.waitForRequest(index);
        BOOST_REQUIRE(exchange);
        exchange->beginStream(200, {});
        return exchange;
    }

    /// Writes until `PauseBytes` are pending or `limit` is reached; returns the bytes written.
    static std::size_t writeUntilBackPressure(const Exchange &exchange, std::size_t limit)
    {
        const std::string block(KibiByte, 'x');
        std::size_t written = 0;
        while (written < limit && exchange->pendingBytes() < PauseBytes) {
            exchange->write(block);
            written += block.size();
        }
        return written;
    }

    ImmediateHandler immediate;
};

BOOST_FIXTURE_TEST_SUITE(HttpHostileTest, HostileFixture)

BOOST_AUTO_TEST_CASE(httpServer_slowSenders_areClosedAndOthersServed)
{
    options.requestTimeout = absl::Milliseconds(300);
    options.idleTimeout = absl::Seconds(1);
    listenWithImmediateHandler();
    std::vector<TestConnection> slow;
    for (const char *partial : { "G", "GET / HTTP/1.1\r\nHost: h\r\nA: ",
                                 "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n" }) {
        slow.push_back(connect());
        slow.back().send(partial);
    }
    const bool allClosed = eventually([&] {
        bool open = false;
        for (const TestConnection &connection : slow)
            open = connection.send("a") || open;
        std::this_thread::sleep_for(std::chrono::milliseconds(20)); // pace of the slow senders
        return !open;
    });
    BOOST_TEST(allClosed);
    BOOST_TEST(immediate.requests == 0);
    BOOST_TEST(stillServes());
}

BOOST_AUTO_TEST_CASE(httpServer_thousandIdleConnections_areClosedWhileOthersAreServed)
{
    constexpr std::size_t IdleConnections = 1000;
    constexpr std::size_t MaxGrowth = 64 * MebiByte;
    options.idleTimeout = absl::Seconds(3);
    listenWithImmediateHandler();
    const std::size_t before = residentBytes();
    std::vector<TestConnection> idle;
    for (std::size_t i = 0; i < IdleConnections; ++i)
        idle.push_back(connect());
    BOOST_TEST(stillServes());
    BOOST_TEST(residentBytes() < before + MaxGrowth);
    for (const TestConnection &connection : idle)
        BOOST_REQUIRE(connection.detectsClose());
    BOOST_TEST(stillServes());
}

BOOST_AUTO_TEST_CASE(httpServer_connectionsAboveLimit_areClosedUntilOthersDisconnect)
{
    options.connectionLimit = 4;
    listenWithImmediateHandler();
    std::vector<TestConnection> open;
    for (std::size_t i = 0; i < options.connectionLimit; ++i) {
        open.push_back(connect());
        open.back().send(PlainGet);
        BOOST_REQUIRE(contains(open.back().receiveUntil("fine"), "fine"));
    }
    for (int i = 0; i < 200; ++i)
        BOOST_REQUIRE(connect().detectsClose());
    open.back().send(PlainGet);
    BOOST_TEST(contains(open.back().receiveUntil("fine"), "fine"));
    open.pop_back();
    BOOST_TEST(eventually([&] { return stillServes(); }));
}

BOOST_AUTO_TEST_CASE(httpServer_halfClosedCaller_isReportedGoneButReceivesResponse)
{
    listen();
    const TestConnection caller = connect();
    caller.send(PlainGet);
    const Exchange exchange = handler.waitForRequest(0);
    BOOST_REQUIRE(exchange);
    caller.shutdownSending();
    BOOST_TEST(eventually([&] { return handler.callersGone > 0; }));
    BOOST_TEST(exchange->callerDisconnected());
    exchange->respond(200, {}, "all the same");
    BOOST_TEST(contains(caller.receiveAll(), "all the same"));
}

BOOST_AUTO_TEST_CASE(httpServer_callerDisconnectsWithUnreadRequestBytes_isReported)
{
    listen();
    {
        const TestConnection caller = connect();
        caller.send(std::string(PlainGet) + PlainGet);
        BOOST_REQUIRE(handler.waitForRequest(0));
    }
    BOOST_TEST(eventually([&] { return handler.callersGone > 0; }));
}

BOOST_AUTO_TEST_CASE(httpServer_callerDisconnectsMidStream_isReported)
{
    listen();
    Exchange exchange;
    {
        const TestConnection caller = connect();
        exchange = stream(caller, 0);
        exchange->write("part");
        caller.receiveUntil("part");
    }
    BOOST_TEST(eventually([&] { return handler.callersGone > 0; }));
    exchange->write("more");
    exchange->endStream(true);
}

BOOST_AUTO_TEST_CASE(httpServer_slowReader_appliesBackPressureAndReceivesAll)
{
    constexpr std::size_t TotalBytes = 32 * MebiByte;
    constexpr std::size_t FinalChunkBytes = 5;
    listen();
    const TestConnection caller = TestConnection::to(server->port(), 4 * KibiByte);
    const Exchange exchange = stream(caller, 0);
    std::size_t written = 0;
    std::size_t maxPending = 0;
    // Pending bytes drain until the kernel's socket buffers are full.
    BOOST_TEST(eventually([&] {
        written += writeUntilBackPressure(exchange, TotalBytes - written);
        return exchange->pendingBytes() >= PauseBytes;
    }));
    BOOST_TEST(written < TotalBytes);
    std::thread source([&] {
        while (written < TotalBytes && !exchange->callerDisconnected()) {
            const int seen = handler.progress;
            written += writeUntilBackPressure(exchange, TotalBytes - written);
            maxPending = std::max(maxPending, exchange->pendingBytes());
            // Resumed only by onProgress, as in production.
            if (written < TotalBytes)
                eventually([&] { return handler.progress != seen; });
        }
        exchange->endStream(true);
    });
    std::size_t received = 0;
    std::string tail;
    while (!contains(tail, "0\r\n\r\n")) {
        const std::string more = caller.receive();
        if (more.empty())
            break;
        received += more.size();
        tail += more;
        tail.erase(0, tail.size() - std::min(tail.size(), FinalChunkBytes));
    }
    source.join();
    BOOST_TEST(written == TotalBytes);
    BOOST_TEST(received > TotalBytes);
    BOOST_TEST(maxPending <= PauseBytes + KibiByte);
}

BOOST_AUTO_TEST_CASE(httpServer_callerThatNeverReads_isClosedAfterIdleTimeout)
{
    options.idleTimeout = absl::Seconds(1);
    listen();
    const TestConnection caller = TestConnection::to(server->port(), 4 * KibiByte);
    const Exchange exchange = stream(caller, 0);
    BOOST_TEST(eventually([&] {
        writeUntilBackPressure(exchange, PauseBytes);
        return exchange->callerDisconnected();
    }));
    BOOST_TEST(exchange->pendingBytes() == 0u);
}

BOOST_AUTO_TEST_CASE(httpServer_sourceIgnoringBackPressure_streamIsTruncated)
{
    options.maxPendingBytes = MebiByte;
    listen();
    const TestConnection caller = TestConnection::to(server->port(), 4 * KibiByte);
    const Exchange exchange = stream(caller, 0);
    const std::string block(64 * KibiByte, 'x');
    std::size_t most = 0;
    for (std::size_t i = 0; i < 1024; ++i) {
        exchange->write(block);
        most = std::max(most, exchange->pendingBytes());
    }
    BOOST_TEST(most <= options.maxPendingBytes);
    BOOST_TEST(!contains(caller.receiveAll(), "0\r\n\r\n"));
    BOOST_TEST(eventually([&] { return exchange->callerDisconnected(); }));
}

BOOST_AUTO_TEST_CASE(httpServer_truncatedStreamWithoutChunking_isReset)
{
    listen();
    const TestConnection caller = connect();
    caller.send("GET / HTTP/1.0\r\n\r\n");
    const Exchange exchange = handler.waitForRequest(0);
    BOOST_REQUIRE(exchange);
    exchange->beginStream(200, {});
    exchange->write("part");
    BOOST_TEST(contains(caller.receiveUntil("part"), "part"));
    exchange->endStream(false);
    BOOST_TEST(caller.detectsReset());
}

BOOST_AUTO_TEST_CASE(httpServer_malformedRequests_areRejectedAndNotDispatched)
{
    listenWithImmediateHandler();
    for (const std::string &bytes :
         { std::string("\r\n\r\n\r\nnonsense\r\n\r\n"), std::string("GET\r\n\r\n"),
           std::string("GET / HTTP/9.9\r\nHost: h\r\n\r\n"),
           std::string("GET / HTTP/1.1\r\n\r\n"), // missing Host
           std::string("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n"),
           std::string(
               "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999\r\n\r\n"),
           std::string("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3x\r\n\r\nabc"),
           std::string("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"),
           std::string("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "ffffffffffffffffff\r\n"),
           std::string("\x16\x03\x01\x02\0\x01\0\x01\xfc\x03\x03", 11) + "\r\n\r\n" }) {
        const TestConnection hostile = connect();
        hostile.send(bytes);
        hostile.shutdownSending();
        const std::string response = hostile.receiveAll();
        const bool rejected = response.empty() || contains(response, "HTTP/1.1 4")
            || contains(response, "HTTP/1.0 4") || contains(response, "HTTP/1.1 505 ");
        BOOST_TEST(rejected, bytes << " gave " << response);
    }
    BOOST_TEST(immediate.requests == 0);
    BOOST_TEST(stillServes());
}

BOOST_AUTO_TEST_CASE(httpServer_randomBytes_serverKeepsServing)
{
    constexpr int Rounds = 400;
    const std::string base = "POST /v1 HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\nA: b\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    listenWithImmediateHandler();
    std::mt19937 random(20261204); // NOLINT: fixed seed
    for (int round = 0; round < Rounds; ++round) {
        std::string bytes = base.substr(0, random() % (base.size() + 1));
        for (std::size_t i = random() % 40; i > 0 && !bytes.empty(); --i)
            bytes[random() % bytes.size()] = static_cast<char>(random() % 256);
        for (std::size_t i = random() % 100; i > 0; --i)
            bytes.push_back(static_cast<char>(random() % 256));
        const TestConnection hostile = connect();
        BOOST_REQUIRE(hostile.isOpen());
        hostile.send(bytes);
        if (round % 40 == 0) {
            hostile.shutdownSending();
            hostile.receive();
        }
    }
    BOOST_TEST(stillServes());
}

BOOST_AUTO_TEST_CASE(httpServer_destroyedDuringWritesAndDisconnects_stopsCleanly)
{
    constexpr std::size_t Streams = 40;
    listen();
    std::vector<TestConnection> callers;
    std::vector<Exchange> exchanges;
    for (std::size_t i = 0; i < Streams; ++i) {
        callers.push_back(connect());
        exchanges.push_back(stream(callers.back(), i));
    }
    std::atomic<bool> stop { false };
    std::vector<std::thread> writers;
    for (std::size_t first = 0; first < 4; ++first) {
        writers.emplace_back([&, first] {
            while (!stop) {
                for (std::size_t i = first; i < Streams; i += 4)
                    exchanges[i]->write("x");
            }
        });
    }
    for (std::size_t i = 0; i < Streams / 2; ++i)
        callers[i].closeSocket();
    BOOST_TEST(eventually([&] { return handler.callersGone >= static_cast<int>(Streams / 2); }));
    server.reset();
    stop = true;
    for (std::thread &writer : writers)
        writer.join();
    for (const Exchange &exchange : exchanges)
        BOOST_TEST(exchange->callerDisconnected());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
