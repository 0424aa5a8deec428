#include "zinniadoor/adapters/platform_http.hpp"

#include <thread>

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

#include "test_sockets.hpp"

namespace {

using namespace zinniadoor;
using adapters::test::TestConnection;
using adapters::test::TestListener;
using base::ReasonCode;

struct PlatformFixture
{
    PlatformFixture()
    {
        options.baseUrl = absl::StrCat("http://127.0.0.1:", listener.port());
        options.timeout = absl::Milliseconds(300);
    }
    ~PlatformFixture()
    {
        if (server.joinable())
            server.join();
    }

    /// Answers one request, once `mark` of it was read, with `answer` (none: just closes).
    void serve(const std::string &mark, const std::string &answer)
    {
        if (server.joinable())
            server.join();
        server = std::thread([this, mark, answer] {
            const TestConnection connection = listener.accept();
            received = connection.receiveUntil(mark);
            if (!answer.empty())
                connection.send(answer);
        });
    }

    static std::string answer(int status, const std::string &body)
    {
        return absl::StrCat("HTTP/1.1 ", status,
                            " X\r\nConnection: close\r\nContent-Length: ", body.size(), "\r\n\r\n",
                            body);
    }

    TestListener listener;
    adapters::PlatformOptions options;
    std::thread server;
    std::string received;
};

BOOST_FIXTURE_TEST_SUITE(PlatformHttpTest, PlatformFixture)

BOOST_AUTO_TEST_CASE(log_append_returnsOffset)
{
    serve("data", answer(200, R"({"offset": 7})"));
    const auto offset = adapters::httpLog(options)->append("data");
    BOOST_REQUIRE(offset.hasValue());
    BOOST_TEST(*offset == 7u);
    server.join();
    BOOST_TEST(received.find("POST /log/records HTTP/1.1") == 0u);
    BOOST_TEST(received.find("Content-Type: application/octet-stream") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(log_appendAnswerLostOrBroken_isOutcomeUnknown)
{
    const auto log = adapters::httpLog(options);
    serve("data", "");
    BOOST_TEST((log->append("data").lastReason().code == ReasonCode::OutcomeUnknown));
    serve("data", answer(200, "{"));
    BOOST_TEST((log->append("data").lastReason().code == ReasonCode::OutcomeUnknown));
    serve("data", answer(500, ""));
    BOOST_TEST((log->append("data").lastReason().code == ReasonCode::OutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(log_appendNotTaken_isUnavailable)
{
    const auto log = adapters::httpLog(options);
    serve("data", answer(503, ""));
    BOOST_TEST((log->append("data").lastReason().code == ReasonCode::Unavailable));
    server.join();
    listener.closeNow();
    BOOST_TEST((log->append("data").lastReason().code == ReasonCode::Unavailable));
}

BOOST_AUTO_TEST_CASE(log_readAfter_decodesRecords)
{
    serve("\r\n\r\n",
          answer(200, R"({"first": 2, "last": 4, "records": [{"offset": 3, "data": "AGI="},
                         {"offset": 4, "data": ""}]})"));
    const auto page = adapters::httpLog(options)->readAfter(2, 10, absl::Milliseconds(5));
    BOOST_REQUIRE(page.hasValue());
    BOOST_TEST(page->firstOffset == 2u);
    BOOST_TEST(page->lastOffset == 4u);
    BOOST_REQUIRE(page->entries.size() == 2u);
    BOOST_TEST(page->entries[0].data == std::string("\0b", 2));
    server.join();
    BOOST_TEST(received.find("GET /log/records?after=2&limit=10&wait_ms=5 ") == 0u);
}

BOOST_AUTO_TEST_CASE(log_readAfterDroppedOrMalformed_givesReason)
{
    const auto log = adapters::httpLog(options);
    serve("\r\n\r\n", answer(410, R"({"first": 9, "last": 12})"));
    BOOST_TEST((log->readAfter(2, 10, {}).lastReason().code == ReasonCode::Gone));
    for (const char *body :
         { "[]", R"({"first": 1, "last": 4, "records": [{"offset": 4, "data": ""}]})",
           R"({"first": 1, "last": 4, "records": [{"offset": 3, "data": "*"}]})",
           R"({"first": -1, "last": 4, "records": []})" }) {
        serve("\r\n\r\n", answer(200, body));
        BOOST_TEST((log->readAfter(2, 10, {}).lastReason().code == ReasonCode::Unavailable));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
