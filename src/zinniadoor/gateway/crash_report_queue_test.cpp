#include "zinniadoor/gateway/crash_report_queue.hpp"

#include <map>
#include <string>

#include <boost/test/unit_test.hpp>

#include "zinniadoor/base/codec.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::gateway;

struct QueueFixture
{
    serving::CrashReports crash(serving::SuspectKey part, const std::string &endpoint = "e")
    {
        return { { { part, 1, base::EndpointId(endpoint), absl::ZeroDuration() } }, {} };
    }
    serving::CrashReports success(serving::SuspectKey part)
    {
        return { {}, { { part, absl::ZeroDuration() } } };
    }

    CrashReportQueue queue;
    absl::Time now = absl::FromUnixSeconds(1000);
};

BOOST_FIXTURE_TEST_SUITE(CrashReportQueueTest, QueueFixture)

BOOST_AUTO_TEST_CASE(report_queued_isInThreeMessagesWithItsAge)
{
    queue.push(crash(1), now);
    queue.push(success(2), now);
    for (int message = 1; message <= 3; ++message) {
        now += absl::Milliseconds(60);
        const serving::CrashReports taken = queue.take(now);
        BOOST_REQUIRE(taken.crashes.size() == 1u);
        BOOST_REQUIRE(taken.successes.size() == 1u);
        BOOST_TEST((taken.crashes[0].age == message * absl::Milliseconds(60)));
        BOOST_TEST((taken.successes[0].age == message * absl::Milliseconds(60)));
    }
    BOOST_TEST(queue.take(now).empty());
}

BOOST_AUTO_TEST_CASE(report_queuedOnce_isInOneMessage)
{
    queue.pushOnce(crash(1), now);
    queue.pushOnce(success(1), now);
    BOOST_TEST(!queue.take(now).empty());
    BOOST_TEST(queue.take(now).empty());
}

// Leaders receive all copies of a report, from several members.
BOOST_AUTO_TEST_CASE(report_queuedAgainSoon_isNotSentMoreOften)
{
    std::size_t sent = 0;
    for (int i = 0; i < 12; ++i) {
        queue.push(crash(1), now);
        sent += queue.take(now).crashes.size();
        now += absl::Milliseconds(70);
    }
    BOOST_TEST(sent == 3u);
    now += absl::Seconds(1);
    queue.push(crash(1), now);
    BOOST_TEST(queue.take(now).crashes.size() == 1u);
}

BOOST_AUTO_TEST_CASE(report_neededByNewPeer_isSentAgainAtOnceWithItsAge)
{
    queue.push(crash(1), now);
    for (int i = 0; i < 3; ++i)
        queue.take(now);
    now += absl::Milliseconds(100);
    queue.pushAgain({ { { 1, 1, base::EndpointId("e"), absl::Milliseconds(100) } }, {} }, now);
    for (int i = 0; i < 3; ++i)
        BOOST_TEST((queue.take(now).crashes.at(0).age == absl::Milliseconds(100)));
    BOOST_TEST(queue.take(now).empty());
}

BOOST_AUTO_TEST_CASE(message_manyReportsQueued_isBoundedAndFitsIntoPacket)
{
    constexpr std::size_t PacketBytes = 1200;
    const std::string longName(60, 'e');
    for (serving::SuspectKey part = 0; part < 1000; ++part) {
        queue.push(crash(part, longName), now);
        queue.push(success(part), now);
    }
    std::map<serving::SuspectKey, int> crashes;
    for (int message = 0; message < 1000; ++message) {
        const serving::CrashReports taken = queue.take(now);
        BOOST_TEST(taken.crashes.size() <= 8u);
        BOOST_TEST(taken.successes.size() <= 16u);
        BOOST_TEST(base::encode(taken).size() <= PacketBytes);
        for (const serving::SuspectCrash &crash : taken.crashes)
            ++crashes[crash.key];
    }
    BOOST_TEST(crashes.size() == 256u);
    BOOST_TEST(crashes.rbegin()->first == 999u); // The newest are kept.
    for (const auto &[part, copies] : crashes)
        BOOST_TEST(copies == 3);
}

BOOST_AUTO_TEST_CASE(newReport_othersWereSentOnce_goesFirst)
{
    for (serving::SuspectKey part = 0; part < 8; ++part)
        queue.push(crash(part), now);
    queue.take(now);
    queue.push(crash(99), now);
    BOOST_TEST(queue.take(now).crashes.at(0).key == 99u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
