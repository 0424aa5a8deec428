#include "zinniadoor/serving/byte_budget.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace zinniadoor::serving;

constexpr std::size_t KiB = 1024;
constexpr std::size_t MiB = 1024 * KiB;

/// Room for three large bodies of 4 MiB with two copies each, and 8 MiB for small ones.
ByteBudgetOptions testOptions()
{
    ByteBudgetOptions options;
    options.total = 32 * MiB;
    return options;
}

struct ByteBudgetFixture
{
    ByteBudget::Id addReserved(std::size_t bytes)
    {
        const ByteBudget::Id id = budget.add(now);
        BOOST_TEST(budget.reserve(id, bytes, now));
        return id;
    }

    ByteBudget::Id addWaiting(std::size_t bytes)
    {
        const ByteBudget::Id id = budget.add(now);
        BOOST_TEST(!budget.reserve(id, bytes, now));
        return id;
    }

    ByteBudget budget { testOptions() };
    absl::Time now = absl::UnixEpoch();
};

BOOST_FIXTURE_TEST_SUITE(ByteBudgetTest, ByteBudgetFixture)

BOOST_AUTO_TEST_CASE(largeBodies_beyondTheirPart_waitInOrder)
{
    const auto first = addReserved(4 * MiB);
    addReserved(4 * MiB);
    addReserved(4 * MiB);
    const auto fourth = addWaiting(4 * MiB);
    const auto fifth = addWaiting(KiB * 512);
    BOOST_TEST(budget.bytes() == 24 * MiB);
    BOOST_TEST(!budget.nextGranted(now));
    budget.remove(first);
    BOOST_TEST((budget.nextGranted(now) == fourth));
    BOOST_TEST(!budget.nextGranted(now));
    budget.remove(fourth);
    BOOST_TEST((budget.nextGranted(now) == fifth));
    BOOST_TEST(budget.waiting() == 0u);
}

// Guards against ordinary requests without room beside a crowd of large bodies.
BOOST_AUTO_TEST_CASE(smallBodies_besideLargeOnes_useTheReserve)
{
    for (int i = 0; i < 3; ++i)
        addReserved(4 * MiB);
    addWaiting(4 * MiB);
    for (int i = 0; i < 32; ++i)
        addReserved(128 * KiB);
    BOOST_TEST(budget.bytes() == 32 * MiB);
    addWaiting(1);
}

BOOST_AUTO_TEST_CASE(body_largerThanItsPartAndAlone_getsRoom)
{
    const auto id = addReserved(100 * MiB);
    addWaiting(4 * MiB);
    budget.remove(id);
    BOOST_TEST(budget.bytes() == 0u);
    BOOST_TEST(budget.nextGranted(now).has_value());
}

BOOST_AUTO_TEST_CASE(victim_othersWait_isStalledBodyWithMostBytes)
{
    const auto growing = addReserved(4 * MiB);
    addReserved(2 * MiB);
    const auto stalled = addReserved(4 * MiB);
    const auto complete = addReserved(2 * MiB);
    budget.noteComplete(complete);
    now += absl::Seconds(2);
    BOOST_TEST(!budget.victim(now));
    addWaiting(4 * MiB);
    budget.noteReceived(growing, 2 * MiB, now);
    BOOST_TEST((budget.victim(now) == stalled));
}

// Guards against bodies that grow by a byte now and then to keep their room.
BOOST_AUTO_TEST_CASE(victim_bodyGrowsByFewBytes_isRefused)
{
    const auto slow = addReserved(12 * MiB);
    addWaiting(4 * MiB);
    for (int i = 1; i <= 10; ++i) {
        now += absl::Milliseconds(100);
        budget.noteReceived(slow, static_cast<std::size_t>(i), now);
    }
    BOOST_TEST((budget.victim(now) == slow));
}

BOOST_AUTO_TEST_CASE(victim_smallBodyWaits_isLargeBodyThatWaitsWithRoom)
{
    for (int i = 0; i < 3; ++i)
        budget.noteComplete(addReserved(4 * MiB));
    ByteBudget::Id partial = 0;
    for (int i = 0; i < 32; ++i)
        partial = addReserved(128 * KiB);
    BOOST_TEST(!budget.reserve(partial, 4 * MiB, now));
    BOOST_TEST(!budget.victim(now));
    const auto small = addWaiting(KiB);
    BOOST_TEST((budget.victim(now) == partial));
    budget.remove(partial);
    BOOST_TEST((budget.nextGranted(now) == small));
}

BOOST_AUTO_TEST_CASE(calls_ofRemovedBody_changeNothing)
{
    const auto id = addReserved(KiB);
    budget.remove(id);
    budget.remove(id);
    budget.noteReceived(id, KiB, now);
    budget.noteComplete(id);
    BOOST_TEST(!budget.reserve(id, KiB, now));
    BOOST_TEST(budget.bytes() == 0u);
    BOOST_TEST(budget.waiting() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
