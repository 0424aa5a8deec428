#include "zinniadoor/net/event_loop.hpp"

#include <stdexcept>

#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace zinniadoor;

struct EventLoopFixture
{
    bool run()
    {
        return net::runEventLoop(io, [this] { ++reports; });
    }

    boost::asio::io_context io;
    int reports = 0;
};

BOOST_FIXTURE_TEST_SUITE(EventLoopTest, EventLoopFixture)

BOOST_AUTO_TEST_CASE(loop_handlersEnd_returnsTrue)
{
    bool ran = false;
    boost::asio::post(io, [&] { ran = true; });
    BOOST_TEST(run());
    BOOST_TEST(ran);
    BOOST_TEST(reports == 0);
}

// An exception out of one handler ended the process with the requests of all others.
BOOST_AUTO_TEST_CASE(handler_throws_othersRunAndExceptionIsReported)
{
    bool ran = false;
    boost::asio::post(io, [] { throw std::length_error("too long"); });
    boost::asio::post(io, [&] { ran = true; });
    BOOST_TEST(!run());
    BOOST_TEST(ran);
    BOOST_TEST(reports == 1);
}

BOOST_AUTO_TEST_CASE(handlers_throwWithoutEnd_returnsFalse)
{
    std::function<void()> throwing = [&] {
        boost::asio::post(io, throwing);
        throw std::runtime_error("again");
    };
    boost::asio::post(io, throwing);
    BOOST_TEST(!run());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
