#include <boost/test/unit_test.hpp>

#include "zinniadoor/gateway/read_schedule.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::gateway;

struct ReadScheduleFixture
{
    static constexpr std::uint64_t OwnRank = 100;

    static ReadScheduleOptions options(std::uint64_t rank = OwnRank)
    {
        ReadScheduleOptions made;
        made.ownRank = rank;
        made.readInterval = absl::Milliseconds(750);
        made.retryDelay = absl::Milliseconds(150);
        made.relayTimeout = absl::Milliseconds(1200);
        made.startTimeout = absl::Milliseconds(1200);
        return made;
    }

    void becomeReader()
    {
        schedule.noteNewest(now);
        now += absl::Seconds(2);
        schedule.noteRead(now);
        BOOST_REQUIRE(schedule.isReader());
        schedule.takeChange();
    }

    ReadSchedule schedule { options() };
    absl::Time now = absl::FromUnixSeconds(1000);
};

BOOST_FIXTURE_TEST_SUITE(ReadScheduleTest, ReadScheduleFixture)

/// Guards against instances of smaller rank than the reader reading beside it.
BOOST_AUTO_TEST_CASE(follower_partOfLargerRank_needNotRead)
{
    schedule.noteNewest(now);
    BOOST_TEST(schedule.notePart(OwnRank + 1, now, now));
    BOOST_TEST((schedule.next(now).cause == ReadCause::Silence));
    BOOST_TEST((schedule.next(now).delay >= absl::Milliseconds(1200)));
    BOOST_TEST((schedule.next(now).delay <= absl::Milliseconds(1920)));
}

/// Guards against two readers that yield to each other.
BOOST_AUTO_TEST_CASE(reader_otherReader_yieldsToSmallerRankOnly)
{
    becomeReader();
    BOOST_TEST(!schedule.notePart(OwnRank + 1, now, now));
    BOOST_TEST(schedule.isReader());
    BOOST_TEST(schedule.notePart(OwnRank - 1, now, now));
    BOOST_TEST(!schedule.isReader());
    BOOST_TEST((schedule.takeChange() == ReaderChange::OtherReader));
}

/// Guards against a rejected reader that goes on reading while another one reads.
BOOST_AUTO_TEST_CASE(reader_readFailed_yieldsToAnyRank)
{
    becomeReader();
    schedule.noteFailure(false);
    BOOST_TEST(schedule.isReader());
    BOOST_TEST(schedule.notePart(OwnRank + 1, now, now));
    BOOST_TEST((schedule.takeChange() == ReaderChange::ReadFailed));
}

/// Guards against a follower that misses its notice after one failed read.
BOOST_AUTO_TEST_CASE(follower_firstReadFails_repeatsWithinNotice)
{
    for (std::uint64_t rank = 0; rank < 1000; ++rank) {
        ReadSchedule each(options(rank));
        each.noteNewest(now);
        each.notePart(rank + 1, now, now);
        BOOST_TEST((each.next(now).delay + each.noteFailure(false) < absl::Seconds(2.7)));
    }
}

/// Guards against a follower that misses its notice after a read that was not answered.
BOOST_AUTO_TEST_CASE(follower_firstReadIsNotAnswered_repeatsWithinNotice)
{
    constexpr absl::Duration ReadTimeout = absl::Milliseconds(800);
    for (std::uint64_t rank = 0; rank < 1000; ++rank) {
        ReadSchedule each(options(rank));
        each.noteNewest(now);
        each.notePart(rank + 1, now, now);
        BOOST_TEST((each.next(now).delay + ReadTimeout + each.noteFailure(false, ReadTimeout)
                    < absl::Seconds(2.9)));
    }
}

/// Guards against polling at the start before a reader can have been heard.
BOOST_AUTO_TEST_CASE(start_withoutTimeout_isReaderAtOnce)
{
    ReadScheduleOptions immediate = options();
    immediate.startTimeout = absl::ZeroDuration();
    ReadSchedule first(immediate);
    first.noteNewest(now);
    BOOST_TEST((first.next(now).cause == ReadCause::Poll));
    schedule.noteNewest(now);
    BOOST_TEST((schedule.next(now).cause == ReadCause::Silence));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
