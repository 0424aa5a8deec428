#include <algorithm>
#include <map>
#include <string>

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

#include "zinniadoor/gateway/burst_order.hpp"

namespace {

using namespace zinniadoor::gateway;

std::map<std::string, std::string> membersNamed(std::size_t count)
{
    std::map<std::string, std::string> members;
    for (std::size_t i = 0; i < count; ++i)
        members[absl::StrCat("i", i)] = absl::StrCat("10.0.0.", i, ":7000");
    return members;
}

/// Sends bursts over a link whose queue holds a part of each, and drops the rest. Only each n-th
/// burst is that long; the others arrive whole.
struct LossyBursts
{
    std::size_t held = 0;
    std::size_t every = 1;

    /// The most bursts of the long kind in a row that one member misses.
    std::size_t worstMissed(const std::map<std::string, std::string> &members,
                            std::size_t bursts) const
    {
        BurstOrder order;
        std::map<std::string, std::size_t> missed;
        std::size_t worst = 0;
        for (std::size_t burst = 0; burst < bursts; ++burst) {
            const auto receivers = order.next(members);
            for (std::size_t i = 0; i < receivers.size() && burst % every == 0; ++i) {
                std::size_t &count = missed[receivers[i].first];
                count = i < held ? 0 : count + 1;
                worst = std::max(worst, count);
            }
        }
        return worst;
    }
};

BOOST_AUTO_TEST_SUITE(BurstOrderTest)

BOOST_AUTO_TEST_CASE(next_anyMembers_returnsEachOnce)
{
    BurstOrder order;
    for (const std::size_t count : { 0, 1, 2, 59, 3, 60 }) {
        const auto members = membersNamed(count);
        for (int burst = 0; burst < 100; ++burst) {
            const auto receivers = order.next(members);
            const std::map<std::string, std::string> unique(receivers.begin(), receivers.end());
            BOOST_TEST(receivers.size() == count);
            BOOST_TEST((unique == members));
        }
    }
}

// Load pattern: when traffic begins, the messages of one burst exceed the queue of the leader's
// link. A member that receives nothing for four bursts of 250 ms skips the leader.
BOOST_AUTO_TEST_CASE(next_linkDropsEndOfBurst_eachMemberReceivesWithinLeaderTimeout)
{
    constexpr std::size_t BurstsPerTimeout = 4;
    for (const std::size_t held : { 24, 30, 40, 50 }) {
        const std::size_t worst = LossyBursts { held, 1 }.worstMissed(membersNamed(60), 600);
        BOOST_TEST(worst < BurstsPerTimeout, held << " of 60 held: " << worst << " missed");
    }
}

// Messages with loads are longer, and not every burst has them.
BOOST_AUTO_TEST_CASE(next_linkDropsEndOfLongBursts_noMemberMissesThemAlways)
{
    for (const std::size_t held : { 24, 30, 40, 50 }) {
        for (const std::size_t every : { 2, 3, 4, 5 }) {
            const std::size_t worst
                = LossyBursts { held, every }.worstMissed(membersNamed(60), 600);
            BOOST_TEST(worst < 10, held << " of 60 held, each " << every << ". burst: " << worst);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
