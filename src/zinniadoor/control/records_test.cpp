#include "zinniadoor/control/records.hpp"

#include <boost/test/unit_test.hpp>

#include "zinniadoor/base/codec.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::control;

struct RecordsFixture
{
    static Frame frameOfAllKinds()
    {
        Frame frame { base::InstanceId("i1"), 3, 9, 4, 2, {} };
        frame.records = {
            BundlePublished { "version: 1", { { "op", "ab" } } },
            LeaseClaimed { "usage/0", base::InstanceId("i1"), 3, 7, ClaimBasis::Expired },
            UsageCounted { base::InstanceId("i1"), 3, { { 1, base::OrganisationId("o"), 5, 6 } } },
            SnapshotPart { 4, 0, 1, std::string(1000, 'x') }
        };
        return frame;
    }
};

BOOST_FIXTURE_TEST_SUITE(RecordsTest, RecordsFixture)

BOOST_AUTO_TEST_CASE(frame_encodedAndDecoded_isEqual)
{
    const std::string bytes = encodeFrame(frameOfAllKinds());
    const auto decoded = decodeFrame(bytes);
    BOOST_REQUIRE(decoded.hasValue());
    BOOST_TEST(encodeFrame(*decoded) == bytes);
    BOOST_TEST(decoded->records.size() == 4u);
}

BOOST_AUTO_TEST_CASE(frame_everyPrefix_isRejected)
{
    const std::string bytes = encodeFrame(frameOfAllKinds());
    for (std::size_t size = 0; size < bytes.size(); ++size)
        BOOST_TEST(!decodeFrame(bytes.substr(0, size)).hasValue());
    BOOST_TEST(!decodeFrame(bytes + "x").hasValue());
}

BOOST_AUTO_TEST_CASE(decode_hostileLength_isRefusedWithoutAllocating)
{
    // A little-endian marker and a length of 2^60.
    const std::string bytes = base::encode(std::uint64_t(1) << 60);
    const std::string expected = "a length goes beyond the message";
    BOOST_TEST(base::decode<std::vector<std::string>>(bytes).lastReason().text == expected);
    BOOST_TEST(base::decode<std::string>(bytes).lastReason().text == expected);
    BOOST_TEST(base::decode<std::vector<std::uint64_t>>(bytes).lastReason().text == expected);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
