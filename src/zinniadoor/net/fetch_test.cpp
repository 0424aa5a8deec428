#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

#include "support/event_loop.hpp"
#include "support/scripted_socket.hpp"
#include "zinniadoor/net/fetch.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::net;
using test::runUntil;

const std::string CompleteResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

struct FetchFixture
{
    static constexpr absl::Duration LongTimeout = absl::Seconds(30);
    static constexpr absl::Duration ShortTimeout = absl::Milliseconds(20);

    struct Result
    {
        bool done = false;
        bool answered = false;
    };

    std::shared_ptr<Result> start(const std::string &path, absl::Duration timeout)
    {
        Request request(http::verb::get, path, 11);
        request.set(http::field::host, "store");
        request.prepare_payload();
        auto result = std::make_shared<Result>();
        fetch(io, *client, { listener.address(), "store" }, std::move(request), timeout,
              [result](const base::Outcome<FullResponse> &response) {
                  result->done = true;
                  result->answered = static_cast<bool>(response);
              });
        return result;
    }

    bool arrived(std::size_t connection, const std::string &path)
    {
        return runUntil(io, [&] {
            return listener.count() > connection && listener.connection(connection).has(path);
        });
    }

    /// Leaves this number of idle connections, all of which were used.
    void openConnections(std::size_t count)
    {
        std::vector<std::shared_ptr<Result>> results;
        for (std::size_t i = 0; i < count; ++i) {
            results.push_back(start(absl::StrCat("/first", i), LongTimeout));
            BOOST_REQUIRE(arrived(i, absl::StrCat("/first", i)));
        }
        for (std::size_t i = 0; i < count; ++i) {
            listener.connection(i).write(CompleteResponse);
            BOOST_REQUIRE(runUntil(io, [&] { return results[i]->done; }));
        }
    }

    boost::asio::io_context io;
    test::ScriptedListener listener { io };
    std::unique_ptr<HttpClient> client
        = makeHttpClient(io, { absl::Seconds(5), absl::Seconds(60), 8192 });
};

BOOST_FIXTURE_TEST_SUITE(FetchTest, FetchFixture)

BOOST_AUTO_TEST_CASE(fetch_openConnectionsSilent_nextAttemptIsAnsweredOnNewConnection)
{
    constexpr std::size_t Silent = 4;
    openConnections(Silent);
    const auto lost = start("/lost", ShortTimeout);
    BOOST_REQUIRE(runUntil(io, [&] { return lost->done; }));
    BOOST_TEST(!lost->answered);
    const auto repeated = start("/repeated", LongTimeout);
    BOOST_REQUIRE(arrived(Silent, "/repeated"));
    listener.connection(Silent).write(CompleteResponse);
    BOOST_REQUIRE(runUntil(io, [&] { return repeated->done; }));
    BOOST_TEST(repeated->answered);
}

BOOST_AUTO_TEST_CASE(fetch_openConnectionsReset_nextAttemptIsAnsweredOnNewConnection)
{
    constexpr std::size_t Reset = 4;
    openConnections(Reset);
    const auto lost = start("/lost", LongTimeout);
    BOOST_REQUIRE(arrived(Reset - 1, "/lost"));
    listener.connection(Reset - 1).reset();
    BOOST_REQUIRE(runUntil(io, [&] { return lost->done; }));
    BOOST_TEST(!lost->answered);
    const auto repeated = start("/repeated", LongTimeout);
    BOOST_REQUIRE(arrived(Reset, "/repeated"));
    listener.connection(Reset).write(CompleteResponse);
    BOOST_TEST(runUntil(io, [&] { return repeated->answered; }));
}

BOOST_AUTO_TEST_CASE(fetch_anotherCallInProgress_isNotEndedByTimeout)
{
    openConnections(2);
    const auto slow = start("/slow", LongTimeout);
    BOOST_REQUIRE(arrived(1, "/slow"));
    const auto lost = start("/lost", ShortTimeout);
    BOOST_REQUIRE(runUntil(io, [&] { return lost->done; }));
    listener.connection(1).write(CompleteResponse);
    BOOST_REQUIRE(runUntil(io, [&] { return slow->done; }));
    BOOST_TEST(slow->answered);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
