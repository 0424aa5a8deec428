#include <boost/test/unit_test.hpp>

#include "zinniadoor/net/address.hpp"

namespace {

using namespace zinniadoor;

BOOST_AUTO_TEST_SUITE(AddressTest)

BOOST_AUTO_TEST_CASE(parseEndpoint_ipAndPort_returnsBoth)
{
    const auto endpoint = net::parseEndpoint("10.0.0.1:8080");
    BOOST_REQUIRE(endpoint.hasValue());
    BOOST_TEST(endpoint->address().to_string() == "10.0.0.1");
    BOOST_TEST(endpoint->port() == 8080);
    BOOST_TEST(net::parseEndpoint("::1:65535")->port() == 65535);
    BOOST_TEST(net::parseEndpoint("127.0.0.1:0")->port() == 0); // Listens on any free port.
}

BOOST_AUTO_TEST_CASE(parseEndpoint_invalidPort_isRejected)
{
    for (const char *port :
         { "", "65536", "4294967376", "99999999999999999999", "-1", "-0", "80x", "0x50", "8e1",
           "+80", " 80", "80 ", "80\r\n", "80:90", "000000000080" }) {
        const std::string address = std::string("10.0.0.1:") + port;
        BOOST_TEST(!net::parseEndpoint(address).hasValue(), address);
    }
}

BOOST_AUTO_TEST_CASE(parseEndpoint_noIp_isRejected)
{
    for (const char *address :
         { "", ":", ":80", "80", "10.0.0.1", "10.0.0:80", "10.0.0.256:80", "localhost:80",
           " 10.0.0.1:80", "10.0.0.1 :80", "http://10.0.0.1:80" })
        BOOST_TEST(!net::parseEndpoint(address).hasValue(), address);
}

BOOST_AUTO_TEST_CASE(parseEndpoint_nulByte_isRejected)
{
    using namespace std::string_literals;
    for (const std::string &address : { "10.0.0.1\0:80"s, "10.0.0.1\0x:80"s, "10.0.0.1:80\0"s })
        BOOST_TEST(!net::parseEndpoint(address).hasValue());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
