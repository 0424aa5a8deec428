#include <array>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include "gateway_fixture.hpp"

namespace {

using namespace zinniadoor;
using boost::asio::ip::tcp;
using e2e::GatewayProcess;
using e2e::HttpRequest;
using e2e::HttpResponse;
using e2e::waitUntil;
using ErrorCode = boost::system::error_code;

constexpr std::size_t MiB = std::size_t { 1024 } * 1024;
constexpr std::size_t LegalBody = 4 * MiB; ///< `MaxBodyBytes` of the configuration.

/// Setting `memory.limit` under pressure, and the bound of the process's peak memory.
constexpr int CrowdMemoryMb = 64;

/// Bodies of 96 MiB together: more than the setting allows, whatever the process needs itself.
constexpr std::size_t CrowdSize = 24;

/// Setting of the smallest machine, for requests under no pressure.
constexpr int SmallestMemoryMb = 112;

/// Descriptors that a process may have open besides those of the crowd.
constexpr std::size_t OwnDescriptors = 64;

/// Stops a hang; no test depends on the time that is needed.
constexpr absl::Duration HangLimit = absl::Minutes(2);

/// Bytes of a body, shared by all clients.
const std::string &filler()
{
    static const std::string bytes(LegalBody, 'x');
    return bytes;
}

std::string headWith(const std::string &framing)
{
    return absl::StrCat("POST /again/a HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-1\r\n",
                        framing, "\r\n\r\n");
}

/// What a client of the crowd sends: the head, then `piece` again and again, then `end`.
struct ClientScript
{
    std::string head;
    std::string piece;
    std::size_t pieces = 0;
    std::string end;
};

ClientScript announced(std::size_t length, std::size_t sent, std::size_t pieceSize)
{
    const std::size_t whole = sent / pieceSize;
    return { headWith(absl::StrCat("Content-Length: ", length)), filler().substr(0, pieceSize),
             whole, filler().substr(0, sent - whole * pieceSize) };
}

ClientScript chunked(std::size_t sent, std::size_t chunkSize, bool ends)
{
    return { headWith("Transfer-Encoding: chunked"),
             absl::StrCat(absl::Hex(chunkSize), "\r\n", filler().substr(0, chunkSize), "\r\n"),
             sent / chunkSize, ends ? "0\r\n\r\n" : "" };
}

/// Sends a script and stays open until the server closes the connection.
class Client : public std::enable_shared_from_this<Client>
{
public:
    Client(boost::asio::io_context &io, ClientScript script)
        : socket_(io)
        , script_(std::move(script))
    { }

    void start(const tcp::endpoint &server)
    {
        auto self = shared_from_this();
        socket_.async_connect(server, [self](ErrorCode error) {
            if (error)
                return;
            self->read();
            self->write(self->script_.head);
        });
    }

private:
    void write(const std::string &bytes)
    {
        auto self = shared_from_this();
        boost::asio::async_write(socket_, boost::asio::buffer(bytes),
                                 [self](ErrorCode error, std::size_t) {
                                     if (!error)
                                         self->writeNext();
                                 });
    }

    void writeNext()
    {
        if (script_.pieces > 0) {
            --script_.pieces;
            write(script_.piece);
        } else if (!ended_) {
            ended_ = true;
            write(script_.end);
        }
    }

    void read()
    {
        auto self = shared_from_this();
        socket_.async_read_some(boost::asio::buffer(input_), [self](ErrorCode error, std::size_t) {
            if (error)
                self->socket_.close();
            else
                self->read();
        });
    }

    tcp::socket socket_;
    ClientScript script_;
    bool ended_ = false;
    std::array<char, 4096> input_ {};
};

/// Kilobytes of a line of /proc/PID/status.
std::uint64_t statusKb(pid_t process, const std::string &name)
{
    std::ifstream in(absl::StrCat("/proc/", process, "/status"));
    for (std::string line; std::getline(in, line);) {
        if (line.rfind(name + ":", 0) == 0)
            return std::stoull(line.substr(name.size() + 1));
    }
    return 0;
}

std::size_t openDescriptors(pid_t process)
{
    std::size_t count = 0;
    std::error_code error;
    for (auto it
         = std::filesystem::directory_iterator(absl::StrCat("/proc/", process, "/fd"), error);
         !error && it != std::filesystem::directory_iterator(); it.increment(error))
        ++count;
    return count;
}

struct CallerFloodFixture : public e2e::GatewayFixture
{
    /// Restarts the first gateway with a memory setting and bodies of up to 4 MiB.
    void startWith(int memoryMb, int requestTimeoutMs)
    {
        nlohmann::json route
            = { { "Name", "/again/" },         { "Host", "h" },        { "PathPrefix", "/again/" },
                { "RouteType", "idempotent" }, { "TimeoutMs", 20000 }, { "TargetLatencyMs", 20000 },
                { "MaxAttempts", 2 },          { "Service", "plain" } };
        const nlohmann::json configuration = {
            { "Version", 2 },
            { "Limits",
              { { "MaxHeaderBytes", 16384 },
                { "MaxBodyBytes", LegalBody },
                { "HeaderTimeoutMs", requestTimeoutMs },
                { "IdleTimeoutMs", 15000 } } },
            { "Routes", nlohmann::json::array({ route }) },
            { "Services", nlohmann::json::array({ { { "Name", "plain" } } }) },
            { "Tenants",
              nlohmann::json::array(
                  { { { "Name", "shop" }, { "ApiKeys", std::vector<std::string> { "key-1" } } } }) }
        };
        platform.publish(configuration.dump());
        gateway().writeSettings(
            absl::StrCat(gateway().settings(), "memory: {limit: ", memoryMb, "}\n"));
        gateway().start();
        BOOST_REQUIRE(waitUntil([&] { return gateway().ready() == 200; }));
    }

    GatewayProcess &gateway() { return *gateways[0]; }

    HttpResponse sendBody(std::size_t size)
    {
        HttpRequest request;
        request.method = "POST";
        request.url = gateway().url("/again/a");
        request.headers = { "Host: h", "Authorization: Bearer key-1",
                            "Expect:", absl::StrCat("X-Zinniadoor-Request-Id: f", size) };
        request.body = filler().substr(0, size);
        request.timeout = HangLimit;
        return e2e::call(request);
    }

    /// Runs the clients until the server has closed all their connections, then checks the process.
    void runCrowd(const std::vector<ClientScript> &scripts)
    {
        startWith(CrowdMemoryMb, 3000);
        const pid_t process = gateway().process().pid();
        const std::string url = gateway().url("");
        int port = 0;
        BOOST_REQUIRE(absl::SimpleAtoi(url.substr(url.rfind(':') + 1), &port));
        const tcp::endpoint server(boost::asio::ip::address_v4::loopback(),
                                   static_cast<std::uint16_t>(port));
        boost::asio::io_context io;
        for (const ClientScript &script : scripts)
            std::make_shared<Client>(io, script)->start(server);
        std::size_t descriptors = 0;
        const bool ended = waitUntil(
            [&] {
                io.run_for(std::chrono::milliseconds(20));
                descriptors = std::max(descriptors, openDescriptors(process));
                return io.stopped();
            },
            HangLimit);
        BOOST_TEST(ended, "connections of the crowd are still open");
        BOOST_TEST(waitUntil([&] { return sendBody(100).status == 200; }, HangLimit));
        BOOST_REQUIRE(gateway().process().isRunning());
        BOOST_TEST(gateway().process().pid() == process);
        const std::uint64_t peakKb = statusKb(process, "VmHWM");
        BOOST_TEST_MESSAGE("peak " << peakKb << " kB, descriptors " << descriptors);
        BOOST_TEST(peakKb > 0u);
        BOOST_TEST(peakKb <= std::uint64_t { CrowdMemoryMb } * 1024);
        BOOST_TEST(descriptors <= scripts.size() + OwnDescriptors);
    }

    /// Runs a crowd of which every fourth client sends `whole`, the others `part`.
    void runMostly(const ClientScript &part, const ClientScript &whole)
    {
        std::vector<ClientScript> scripts;
        for (std::size_t i = 0; i < CrowdSize; ++i)
            scripts.push_back(i % 4 == 3 ? whole : part);
        runCrowd(scripts);
    }
};

// Bodies within the limit of one request ran the process out of memory when many came at once.
BOOST_FIXTURE_TEST_SUITE(CallerFloodTest, CallerFloodFixture)

BOOST_AUTO_TEST_CASE(largeBodies_withLength_stayWithinMemory)
{
    runMostly(announced(LegalBody, LegalBody - 1, LegalBody - 1),
              announced(LegalBody, LegalBody, LegalBody));
}

BOOST_AUTO_TEST_CASE(largeBodies_inPieces_stayWithinMemory)
{
    runMostly(announced(LegalBody, LegalBody - 1, 4096), announced(LegalBody, LegalBody, 4096));
}

BOOST_AUTO_TEST_CASE(largeBodies_inLargeChunks_stayWithinMemory)
{
    constexpr std::size_t Chunk = std::size_t { 16 } * 1024;
    runMostly(chunked(LegalBody - Chunk, Chunk, false), chunked(LegalBody, Chunk, true));
}

BOOST_AUTO_TEST_CASE(largeBodies_inOneByteChunks_stayWithinMemory)
{
    runMostly(chunked(MiB / 2 - 1, 1, false), chunked(MiB / 2, 1, true));
}

BOOST_AUTO_TEST_CASE(bodiesOverLimit_announced_stayWithinMemory)
{
    const ClientScript script = announced(256 * LegalBody, 4 * LegalBody, 4096);
    runMostly(script, script);
}

// Guards against an allocation of the announced length, whose failure would end the process.
BOOST_AUTO_TEST_CASE(bodiesOverLimit_announcedBeyondAddressSpace_areRejected)
{
    const ClientScript script = announced(std::size_t { 1 } << 62, 4096, 4096);
    runMostly(script, script);
}

BOOST_AUTO_TEST_CASE(bodiesOverLimit_inChunks_stayWithinMemory)
{
    const ClientScript script = chunked(4 * LegalBody, std::size_t { 16 } * 1024, true);
    runMostly(script, script);
}

// Guards against a bound that refuses requests within the limits where nothing else is going on.
BOOST_AUTO_TEST_CASE(largestBodies_smallestMemoryAndNoPressure_areServed)
{
    startWith(SmallestMemoryMb, 60000);
    BOOST_TEST(sendBody(LegalBody).status == 200);
    std::array<int, 8> statuses {};
    std::vector<std::thread> callers;
    for (int &status : statuses)
        callers.emplace_back([&] { status = sendBody(LegalBody).status; });
    for (std::thread &caller : callers)
        caller.join();
    for (const int status : statuses)
        BOOST_TEST(status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
