#include "zinniadoor/adapters/platform_http.hpp"

#include <thread>

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

#include "zinniadoor/base/clock.hpp"

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

    /// Answers one request with `response` once `mark` was received; if empty, only closes.
    void serve(const std::string &mark, const std::string &response)
    {
        if (server.joinable())
            server.join();
        server = std::thread([this, mark, response] {
            const TestConnection connection = listener.accept();
            received = connection.receiveUntil(mark);
            if (!response.empty())
                connection.send(response);
        });
    }

    static std::string response(int status, const std::string &body)
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
    serve("data", response(200, R"({"offset": 7})"));
    const auto offset = adapters::httpLog(options)->append("data");
    BOOST_REQUIRE(offset.hasValue());
    BOOST_TEST(*offset == 7u);
    server.join();
    BOOST_TEST(received.find("POST /log/records HTTP/1.1") == 0u);
    BOOST_TEST(received.find("Content-Type: application/octet-stream") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(log_appendResponseLostOrMalformed_isOutcomeUnknown)
{
    const auto log = adapters::httpLog(options);
    serve("data", "");
    BOOST_TEST((log->append("data").lastReason().code == ReasonCode::OutcomeUnknown));
    serve("data", response(200, "{"));
    BOOST_TEST((log->append("data").lastReason().code == ReasonCode::OutcomeUnknown));
    serve("data", response(500, ""));
    BOOST_TEST((log->append("data").lastReason().code == ReasonCode::OutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(log_appendRejected_isUnavailable)
{
    const auto log = adapters::httpLog(options);
    serve("data", response(503, ""));
    BOOST_TEST((log->append("data").lastReason().code == ReasonCode::Unavailable));
    server.join();
    listener.closeSocket();
    BOOST_TEST((log->append("data").lastReason().code == ReasonCode::Unavailable));
}

BOOST_AUTO_TEST_CASE(log_readAfter_decodesRecords)
{
    serve("\r\n\r\n",
          response(200, R"({"first": 2, "last": 4, "records": [{"offset": 3, "data": "AGI="},
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

BOOST_AUTO_TEST_CASE(log_readAfterRemovedOrMalformed_returnsReason)
{
    const auto log = adapters::httpLog(options);
    serve("\r\n\r\n", response(410, R"({"first": 9, "last": 12})"));
    BOOST_TEST((log->readAfter(2, 10, {}).lastReason().code == ReasonCode::Gone));
    for (const char *body :
         { "[]", R"({"first": 1, "last": 4, "records": [{"offset": 4, "data": ""}]})",
           R"({"first": 1, "last": 4, "records": [{"offset": 3, "data": "*"}]})",
           R"({"first": -1, "last": 4, "records": []})" }) {
        serve("\r\n\r\n", response(200, body));
        BOOST_TEST((log->readAfter(2, 10, {}).lastReason().code == ReasonCode::Unavailable));
    }
}

BOOST_AUTO_TEST_CASE(instanceList_list_parsesRowsOrReturnsReason)
{
    const auto list = adapters::httpInstanceList(options);
    serve("\r\n\r\n", response(200, R"({"instances": [{"id": "a", "data_centre": "kumasi",
                                    "state": "leaving"}]})"));
    const auto rows = list->list();
    BOOST_REQUIRE(rows.hasValue());
    BOOST_REQUIRE(rows->size() == 1u);
    BOOST_TEST(rows->front().id == "a");
    BOOST_TEST(rows->front().dataCentre.str() == "kumasi");
    BOOST_TEST((rows->front().state == ports::InstanceState::Leaving));
    serve("\r\n\r\n", response(200, R"({"instances": [{"id": "a", "data_centre": "kumasi",
                                    "state": "asleep"}]})"));
    BOOST_TEST((list->list().lastReason().code == ReasonCode::Unavailable));
}

BOOST_AUTO_TEST_CASE(billing_report_sendsFiguresAndReturnsConflict)
{
    const auto billing = adapters::httpBilling(options);
    ports::UsageReport report;
    report.organisation = base::OrganisationId("crew");
    report.window = 3600;
    report.outputTokens = 7;
    serve("}", response(200, "{}"));
    BOOST_TEST(billing->report(report).hasValue());
    server.join();
    BOOST_TEST(received.find("POST /billing/reports ") == 0u);
    BOOST_TEST(received.find("\"output_tokens\":7") != std::string::npos);
    serve("}", response(409, ""));
    BOOST_TEST((billing->report(report).lastReason().code == ReasonCode::Conflict));
    serve("}", "");
    BOOST_TEST((billing->report(report).lastReason().code == ReasonCode::OutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(billing_responseCutWithinHead_isOutcomeUnknown)
{
    const auto billing = adapters::httpBilling(options);
    for (const char *cut : { "HTTP/1.1 200 X\r\n", "HTTP/1.1 200 X\r\nContent-Length: 0\r\n" }) {
        serve("}", cut);
        const auto reported = billing->report({});
        BOOST_REQUIRE(!reported.hasValue());
        BOOST_TEST((reported.lastReason().code == ReasonCode::OutcomeUnknown));
    }
}

BOOST_AUTO_TEST_CASE(endpointOrders_send_routesToPlatformOrEngine)
{
    const auto orders = adapters::httpEndpointOrders(options);
    ports::EndpointOrder order;
    order.kind = ports::EndpointOrderKind::Start;
    order.endpoint = base::EndpointId("e1");
    order.fencing = 12;
    serve("}", response(200, "{}"));
    BOOST_TEST(orders->send(order).hasValue());
    server.join();
    BOOST_TEST(received.find("POST /endpoint_orders ") == 0u);
    BOOST_TEST(received.find("\"endpoint\":\"e1\"") != std::string::npos);
    order.kind = ports::EndpointOrderKind::Role;
    order.address = absl::StrCat("127.0.0.1:", listener.port());
    order.argument = "prefill";
    serve("}", response(409, ""));
    BOOST_TEST((orders->send(order).lastReason().code == ReasonCode::Conflict));
    server.join();
    BOOST_TEST(received.find("POST /orders ") == 0u);
    BOOST_TEST(received.find("\"argument\":\"prefill\",\"fencing\":12,\"kind\":\"role\"")
               != std::string::npos);
}

BOOST_AUTO_TEST_CASE(endpointOrders_guard_sendsOnlyWhileArmed)
{
    adapters::LeaseGuard guard;
    const auto orders = adapters::httpEndpointOrders(options, &guard);
    ports::EndpointOrder order;
    order.address = absl::StrCat("127.0.0.1:", listener.port());
    BOOST_TEST((orders->send(order).lastReason().code == ReasonCode::Unavailable));
    BOOST_TEST(!listener.accept(0).isOpen());
    guard.arm(base::systemClock()->now() + absl::Hours(1));
    for (int i = 0; i < 2; ++i) {
        serve("}", response(200, "{}"));
        BOOST_TEST(orders->send(order).hasValue());
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
