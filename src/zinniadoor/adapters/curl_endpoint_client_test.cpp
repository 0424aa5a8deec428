#include "zinniadoor/adapters/curl_endpoint_client.hpp"

#include <atomic>
#include <string>

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"

#include "zinniadoor/adapters/sizes.hpp"

#include "test_sockets.hpp"

namespace {

using namespace zinniadoor;
using adapters::KibiByte;
using adapters::MebiByte;
using adapters::test::eventually;
using adapters::test::TestConnection;
using adapters::test::TestListener;

class RecordingObserver : public ports::EndpointCallObserver
{
public:
    void onHeaders(int responseStatus, const std::vector<ports::HttpHeader> &headers) override
    {
        headerCount = headers.size();
        status = responseStatus;
    }
    bool onData(std::string_view bytes) override
    {
        if (paused) {
            ++pauses;
            return false;
        }
        const absl::MutexLock lock(&mutex_);
        data_.append(bytes);
        return true;
    }
    void onEnd(const ports::EndpointCallEnd &end) override
    {
        last = end;
        ++ends;
    }

    std::string data()
    {
        const absl::MutexLock lock(&mutex_);
        return data_;
    }
    bool waitForEnd()
    {
        return eventually([this] { return ends > 0; });
    }

    std::atomic<int> status { 0 };
    std::atomic<std::size_t> headerCount { 0 };
    std::atomic<bool> paused { false };
    std::atomic<int> pauses { 0 };
    std::atomic<int> ends { 0 };
    ports::EndpointCallEnd last; ///< Valid once `ends` is 1.

private:
    absl::Mutex mutex_;
    std::string data_;
};

struct EndpointClientFixture
{
    ports::EndpointRequest request(const std::string &path = "/x") const
    {
        ports::EndpointRequest result;
        result.url = absl::StrCat("http://127.0.0.1:", listener.port(), path);
        result.body = "{}";
        return result;
    }

    ports::EndpointCallId start(const ports::EndpointRequest &call)
    {
        const auto id = client->start(call, observer);
        BOOST_REQUIRE(id.hasValue());
        return *id;
    }

    TestListener listener;
    std::shared_ptr<RecordingObserver> observer = std::make_shared<RecordingObserver>();
    std::unique_ptr<ports::EndpointClient> client = adapters::curlEndpointClient({});
};

constexpr const char *ChunkedHead
    = "HTTP/1.1 200 OK\r\nX-A: b\r\nTransfer-Encoding: chunked\r\n\r\n";

BOOST_FIXTURE_TEST_SUITE(CurlEndpointClientTest, EndpointClientFixture)

BOOST_AUTO_TEST_CASE(endpointClient_streamedResponse_isDeliveredCompletely)
{
    start(request());
    const TestConnection endpoint = listener.accept();
    const std::string received = endpoint.receiveUntil("{}");
    BOOST_TEST(received.find("POST /x HTTP/1.1\r\n") == 0u);
    BOOST_TEST(received.find("Content-Type") == std::string::npos);
    endpoint.send(ChunkedHead);
    endpoint.send("5\r\nfirst\r\n");
    BOOST_TEST(eventually([&] { return observer->data() == "first"; }));
    BOOST_TEST(observer->status == 200);
    BOOST_TEST(observer->headerCount == 2u);
    endpoint.send("4\r\nlast\r\n0\r\n\r\n");
    BOOST_REQUIRE(observer->waitForEnd());
    BOOST_TEST(observer->last.complete);
    BOOST_TEST(observer->last.mayHaveRun);
    BOOST_TEST(observer->data() == "firstlast");
}

BOOST_AUTO_TEST_CASE(endpointClient_truncatedResponse_isNotComplete)
{
    start(request());
    {
        const TestConnection endpoint = listener.accept();
        endpoint.receiveUntil("{}");
        endpoint.send(ChunkedHead);
        endpoint.send("5\r\nfirst\r\n");
    }
    BOOST_REQUIRE(observer->waitForEnd());
    BOOST_TEST(!observer->last.complete);
    BOOST_TEST(observer->last.mayHaveRun);
}

BOOST_AUTO_TEST_CASE(endpointClient_connectionClosedWithinHead_isNotComplete)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 5\r\n\r\n";
    for (std::size_t bytes = 0; bytes < head.size(); ++bytes) {
        observer = std::make_shared<RecordingObserver>();
        start(request());
        {
            const TestConnection endpoint = listener.accept();
            endpoint.receiveUntil("{}");
            endpoint.send(head.substr(0, bytes));
        }
        BOOST_REQUIRE(observer->waitForEnd());
        BOOST_TEST(!observer->last.complete, "cut after byte " << bytes);
        BOOST_TEST(observer->last.mayHaveRun);
    }
}

BOOST_AUTO_TEST_CASE(endpointClient_connectionRefused_reportsNotRun)
{
    const ports::EndpointRequest call = request();
    listener.closeSocket();
    start(call);
    BOOST_REQUIRE(observer->waitForEnd());
    BOOST_TEST(!observer->last.complete);
    BOOST_TEST(!observer->last.mayHaveRun);
}

BOOST_AUTO_TEST_CASE(endpointClient_pausedCall_deliversSameBytesAfterResume)
{
    observer->paused = true;
    ports::EndpointRequest call = request();
    call.silenceTimeout = absl::Milliseconds(200);
    const auto id = start(call);
    const TestConnection endpoint = listener.accept();
    endpoint.receiveUntil("{}");
    endpoint.send(ChunkedHead);
    endpoint.send("5\r\nfirst\r\n");
    BOOST_TEST(eventually([&] { return observer->pauses == 1; }));
    // The silence timeout doesn't apply to a paused call, while another call reaches it.
    const auto other = std::make_shared<RecordingObserver>();
    BOOST_REQUIRE(client->start(call, other).hasValue());
    BOOST_REQUIRE(other->waitForEnd());
    BOOST_TEST((other->last.reason.code == base::ReasonCode::Timeout));
    BOOST_TEST(observer->ends == 0);
    observer->paused = false;
    client->resume(id);
    BOOST_TEST(eventually([&] { return observer->data() == "first"; }));
    endpoint.send("0\r\n\r\n");
    BOOST_REQUIRE(observer->waitForEnd());
    BOOST_TEST(observer->last.complete);
}

BOOST_AUTO_TEST_CASE(endpointClient_cancelledCall_closesConnectionAndEndsOnce)
{
    const auto id = start(request());
    const TestConnection endpoint = listener.accept();
    endpoint.receiveUntil("{}");
    endpoint.send(ChunkedHead);
    client->cancel(id);
    client->cancel(id);
    BOOST_REQUIRE(observer->waitForEnd());
    BOOST_TEST(endpoint.detectsClose());
    client.reset();
    BOOST_TEST(observer->ends == 1);
    BOOST_TEST(!observer->last.complete);
}

BOOST_AUTO_TEST_CASE(endpointClient_pooledConnectionLost_isNotRetried)
{
    start(request("/first"));
    const auto second = std::make_shared<RecordingObserver>();
    {
        const TestConnection endpoint = listener.accept();
        endpoint.receiveUntil("{}");
        endpoint.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        BOOST_REQUIRE(observer->waitForEnd());
        BOOST_REQUIRE(client->start(request("/second"), second).hasValue());
        BOOST_TEST(endpoint.receiveUntil("{}").find("POST /second") == 0u);
    }
    BOOST_REQUIRE(second->waitForEnd());
    BOOST_TEST(!second->last.complete);
    BOOST_TEST(second->last.mayHaveRun);
    const TestConnection retried = listener.accept(0);
    if (retried.isOpen())
        BOOST_TEST(retried.receiveUntil("{}") == "");
}

BOOST_AUTO_TEST_CASE(endpointClient_freshConnection_bypassesPool)
{
    start(request());
    const TestConnection pooled = listener.accept();
    pooled.receiveUntil("{}");
    pooled.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    BOOST_REQUIRE(observer->waitForEnd());
    const auto second = std::make_shared<RecordingObserver>();
    ports::EndpointRequest call = request();
    call.freshConnection = true;
    BOOST_REQUIRE(client->start(call, second).hasValue());
    const TestConnection fresh = listener.accept();
    BOOST_REQUIRE(fresh.isOpen());
    fresh.receiveUntil("{}");
    fresh.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    BOOST_REQUIRE(second->waitForEnd());
    BOOST_TEST(second->last.complete);
    BOOST_TEST(fresh.detectsClose());
}

BOOST_AUTO_TEST_CASE(endpointClient_malformedResponses_endIncompleteAndLaterCallSucceeds)
{
    const std::string endless(512 * KibiByte, 'h');
    for (const std::string &response :
         { std::string("nonsense\r\n\r\n"), "HTTP/1.1 200 OK\r\nA: " + endless,
           "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n" + std::string("short"),
           std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"),
           std::string("HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n"), std::string("\0\1\2\3", 4),
           std::string() }) {
        const auto hostile = std::make_shared<RecordingObserver>();
        BOOST_REQUIRE(client->start(request(), hostile).hasValue());
        {
            const TestConnection endpoint = listener.accept();
            endpoint.receiveUntil("{}");
            endpoint.send(response);
        }
        BOOST_REQUIRE(hostile->waitForEnd());
        BOOST_TEST(!hostile->last.complete, response.substr(0, 60));
        BOOST_TEST(hostile->last.mayHaveRun);
    }
    start(request());
    const TestConnection endpoint = listener.accept();
    endpoint.receiveUntil("{}");
    endpoint.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    BOOST_REQUIRE(observer->waitForEnd());
    BOOST_TEST(observer->last.complete);
}

BOOST_AUTO_TEST_CASE(endpointClient_pausedCall_readsBoundedBytes)
{
    constexpr std::size_t LargeBodyBytes = 64 * MebiByte;
    observer->paused = true;
    const auto id = start(request());
    const TestConnection endpoint = listener.accept();
    endpoint.receiveUntil("{}");
    endpoint.send(absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", LargeBodyBytes, "\r\n\r\n"));
    BOOST_TEST(endpoint.sendUntilBlocked(LargeBodyBytes) < LargeBodyBytes);
    client->cancel(id);
    BOOST_REQUIRE(observer->waitForEnd());
    BOOST_TEST(observer->pauses == 1);
}

BOOST_AUTO_TEST_CASE(endpointClient_headerInjection_isRejected)
{
    for (const ports::HttpHeader &header :
         { ports::HttpHeader { "A", "b\r\nC: d" }, ports::HttpHeader { "A\nB", "c" },
           ports::HttpHeader { "A:B", "c" }, ports::HttpHeader { "", "c" } }) {
        ports::EndpointRequest call = request();
        call.headers.push_back(header);
        BOOST_TEST(
            (client->start(call, observer).lastReason().code == base::ReasonCode::InvalidArgument));
    }
    BOOST_TEST(observer->ends == 0);
}

BOOST_AUTO_TEST_CASE(endpointClient_tooManyCalls_areRejected)
{
    adapters::CurlClientOptions options;
    options.maxCalls = 2;
    const auto small = adapters::curlEndpointClient(options);
    for (std::size_t i = 0; i < options.maxCalls; ++i)
        BOOST_TEST(small->start(request(), observer).hasValue());
    BOOST_TEST(
        (small->start(request(), observer).lastReason().code == base::ReasonCode::Overloaded));
}

BOOST_AUTO_TEST_CASE(endpointClient_methodsAndHeaders_areSentUnchanged)
{
    for (const char *method : { "GET", "DELETE", "PUT" }) {
        const auto each = std::make_shared<RecordingObserver>();
        ports::EndpointRequest call = request("/a/../b?q=%20");
        call.method = method;
        call.body = "";
        call.headers = { { "X-Empty", "" }, { "Transfer-Encoding", "chunked" } };
        BOOST_REQUIRE(client->start(call, each).hasValue());
        const TestConnection endpoint = listener.accept();
        const std::string received = endpoint.receiveUntil("\r\n\r\n");
        BOOST_TEST(received.find(absl::StrCat(method, " /a/../b?q=%20 HTTP/1.1\r\n")) == 0u);
        BOOST_TEST(received.find("X-Empty:\r\n") != std::string::npos);
        BOOST_TEST(received.find("chunked") == std::string::npos);
        endpoint.send("HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\nConnection: close\r\n"
                      "Content-Length: 0\r\n\r\n");
        BOOST_REQUIRE(each->waitForEnd());
        BOOST_TEST(each->status == 302);
        BOOST_TEST(each->last.complete);
    }
}

BOOST_AUTO_TEST_CASE(endpointClient_destroyed_endsRunningCalls)
{
    start(request());
    const TestConnection endpoint = listener.accept();
    endpoint.receiveUntil("{}");
    client.reset();
    BOOST_TEST(observer->ends == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
