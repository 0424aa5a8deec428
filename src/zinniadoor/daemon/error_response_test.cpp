#include <string>

#include <boost/test/unit_test.hpp>

#include "absl/strings/match.h"

#include "zinniadoor/daemon/error_response.hpp"
#include "zinniadoor/daemon/service_request.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::daemon;

/// Records the response.
class RecordingExchange : public ports::CallerExchange
{
public:
    const ports::CallerRequest &request() const override { return request_; }
    void respond(int responseStatus, std::vector<ports::HttpHeader> responseHeaders,
                 std::string responseBody) override
    {
        status = responseStatus;
        headers = std::move(responseHeaders);
        body = std::move(responseBody);
    }
    void beginStream(int, std::vector<ports::HttpHeader>) override { }
    void write(std::string_view) override { }
    void endStream(bool) override { }
    std::size_t pendingBytes() const override { return 0; }
    bool callerDisconnected() const override { return false; }

    std::string headerNamed(const std::string &name) const
    {
        for (const ports::HttpHeader &header : headers) {
            if (header.name == name)
                return header.value;
        }
        return "";
    }

    int status = 0;
    std::vector<ports::HttpHeader> headers;
    std::string body;

private:
    ports::CallerRequest request_;
};

struct ErrorResponseFixture
{
    RecordingExchange exchange;
    const base::RequestId id { "req-1" };
};

BOOST_FIXTURE_TEST_SUITE(AnswersTest, ErrorResponseFixture)

BOOST_AUTO_TEST_CASE(sendError_withRetryAfter_roundsUpToWholeSeconds)
{
    sendError(exchange, id,
              errorResponseOf({ base::ReasonCode::Overloaded, "full" }, RunState::NotRun,
                              absl::Milliseconds(1200)));
    BOOST_TEST(exchange.status == 429);
    BOOST_TEST(exchange.headerNamed("Retry-After") == "2");
    BOOST_TEST(exchange.headerNamed("Zinniadoor-Run") == "not-run");
    BOOST_TEST(exchange.headerNamed("Zinniadoor-Request") == "req-1");
}

BOOST_AUTO_TEST_CASE(sendError_withoutRetryAfter_omitsHeader)
{
    sendError(exchange, id,
              errorResponseOf({ base::ReasonCode::OutcomeUnknown, "lost" }, RunState::Unknown));
    BOOST_TEST(exchange.status == 502);
    BOOST_TEST(exchange.headerNamed("Retry-After") == "");
    BOOST_TEST(exchange.headerNamed("Zinniadoor-Run") == "unknown");
}

BOOST_AUTO_TEST_CASE(errorBody_invalidUtf8_isStillJson)
{
    const std::string body = errorBody({ base::ReasonCode::Internal, "a\"b\xff" });
    BOOST_TEST(body.find('\xff') == std::string::npos);
    BOOST_TEST(body.find("a\\\"b") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(headersForService_keyInAnyHeader_isNotForwarded)
{
    const std::string key = "zd_1_secret";
    ports::CallerRequest request;
    for (const char *name :
         { "Authorization", "AUTHORIZATION", "authorization", "Proxy-Authorization", "Cookie",
           "X-Api-Key", "x-api-key", "Zinniadoor-Anything" })
        request.headers.push_back({ name, key });
    request.headers.push_back({ "Content-Type", "text/plain" });
    const std::vector<ports::HttpHeader> forwarded = headersForService(request, id);
    BOOST_REQUIRE(forwarded.size() == 2u);
    BOOST_TEST(forwarded[0].name == "Content-Type");
    BOOST_TEST(forwarded[1].value == "req-1");
}

BOOST_AUTO_TEST_CASE(headersForService_hopByHopHeaders_areDropped)
{
    ports::CallerRequest request;
    for (const char *name : { "Connection", "Keep-Alive", "Transfer-Encoding", "TE", "Upgrade",
                              "Host", "Content-Length", "Expect" })
        request.headers.push_back({ name, "x" });
    BOOST_TEST(headersForService(request, id).size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
