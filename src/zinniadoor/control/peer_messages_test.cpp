#include <limits>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "zinniadoor/control/peer_messages.hpp"

using namespace zinniadoor;
using namespace zinniadoor::control;

namespace {

std::vector<PeerMessage> oneOfEach()
{
    Heartbeat heartbeat;
    heartbeat.instance = base::InstanceId("entry-1");
    heartbeat.members.push_back(MemberUpdate { 1, 2, true });
    heartbeat.inFlight.push_back(EndpointInFlight { 4, 5 });
    heartbeat.crashDigests.push_back(6);
    heartbeat.organisations.push_back(OrganisationLoad { 7, 8, 9, 10 });
    LoanRequest request { base::InstanceId("entry-1"), 3, {} };
    request.items.push_back({ 1, 1, base::OrganisationId("o"), LoanKind::Share, 5, 0.5, 1.5 });
    LoanResponse response { base::InstanceId("entry-2"), base::InstanceId("entry-1"), 3, {} };
    response.items.push_back({ 1, 1, 5, 0.25, 8000, 2 });
    LoanReturn loanReturn { base::InstanceId("entry-1"), 3, {} };
    loanReturn.items.push_back({ 1, base::OrganisationId("o"), 0.25 });
    UsageCopy usage { base::InstanceId("entry-1"), 3, {} };
    usage.items.push_back({ 1, base::OrganisationId("o"), 10, 20 });
    return { heartbeat,
             AttestationRequest { base::InstanceId("entry-1"), 3, 4 },
             AttestationResponse { base::InstanceId("entry-2"), base::InstanceId("entry-1"), 3, 4,
                                   true },
             request,
             response,
             loanReturn,
             usage,
             UsageCopyAck { base::InstanceId("entry-1"), 3, { 1, 2 } },
             StateRequest { base::InstanceId("entry-1"), 5, 6 },
             StateResponse { 5, 0, 1, "bytes" },
             CrashNotice {},
             BodyNotice {} };
}

struct Fixture
{
    std::vector<PeerMessage> messages = oneOfEach();
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PeerMessagesTest, Fixture)

BOOST_AUTO_TEST_CASE(messages_ofEveryKind_surviveRoundTrip)
{
    BOOST_TEST(messages.size() == std::variant_size_v<PeerMessage>);
    for (const PeerMessage &message : messages) {
        const std::string bytes = encodePeerMessage(message);
        const base::Outcome<PeerMessage> read = decodePeerMessage(bytes);
        BOOST_REQUIRE(read.hasValue());
        BOOST_TEST(read->index() == message.index());
        BOOST_TEST(encodePeerMessage(*read) == bytes);
    }
}

BOOST_AUTO_TEST_CASE(bytes_corruptedOrRandom_yieldReasonOrMessage)
{
    const bool passed = rc::check([this] {
        const auto index = *rc::gen::inRange<std::size_t>(0, messages.size());
        std::string bytes = encodePeerMessage(messages[index]);
        const auto changes
            = *rc::gen::container<std::vector<std::pair<std::uint16_t, std::uint8_t>>>(
                rc::gen::arbitrary<std::pair<std::uint16_t, std::uint8_t>>());
        for (const auto &[position, value] : changes)
            bytes[position % bytes.size()] = static_cast<char>(value);
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
        const base::Outcome<PeerMessage> read = decodePeerMessage(bytes);
        RC_ASSERT(read.hasValue() || !read.lastReason().text.empty());
        const auto noise = *rc::gen::arbitrary<std::string>();
        decodePeerMessage(noise);
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(amounts_notFiniteOrNegative_areRejected)
{
    for (const double amount : { std::numeric_limits<double>::quiet_NaN(),
                                 std::numeric_limits<double>::infinity(), -1.0 }) {
        LoanReturn loanReturn { base::InstanceId("entry-1"), 3, {} };
        loanReturn.items.push_back({ 1, base::OrganisationId("o"), amount });
        BOOST_TEST(!decodePeerMessage(encodePeerMessage(loanReturn)).hasValue());
    }
}

BOOST_AUTO_TEST_CASE(message_overSizeLimit_isRejected)
{
    StateResponse response;
    response.bytes.assign(MaxPeerMessageBytes, 'x');
    BOOST_TEST(!decodePeerMessage(encodePeerMessage(response)).hasValue());
    response.bytes.assign(MaxStatePartBytes, 'x');
    BOOST_TEST(decodePeerMessage(encodePeerMessage(response)).hasValue());
}

BOOST_AUTO_TEST_SUITE_END()
