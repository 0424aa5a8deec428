#include "zinniadoor/base/ring.hpp"

#include <memory>
#include <thread>

#include <boost/test/unit_test.hpp>

namespace {

using zinniadoor::base::Ring;

struct RingFixture
{
    Ring<std::unique_ptr<int>> ring { 4 };
};

BOOST_FIXTURE_TEST_SUITE(RingTest, RingFixture)

BOOST_AUTO_TEST_CASE(tryPush_fullRing_failsAndLeavesItem)
{
    int pushed = 0;
    auto item = std::make_unique<int>(7);
    // A failed push must not move from the item, so the test reads it after `std::move`.
    while (ring.tryPush(std::move(item))) {
        ++pushed;
        item = std::make_unique<int>(7);
    }
    // NOLINTBEGIN(bugprone-use-after-move)
    BOOST_TEST(pushed >= 4);
    BOOST_REQUIRE(item != nullptr);
    BOOST_TEST(*item == 7);
    // NOLINTEND(bugprone-use-after-move)
}

BOOST_AUTO_TEST_CASE(pop_severalProducers_returnsEveryItemOnce)
{
    constexpr int Producers = 4;
    constexpr int PerProducer = 1000;
    std::vector<std::thread> threads;
    for (int producer = 0; producer < Producers; ++producer) {
        threads.emplace_back([this] {
            for (int i = 0; i < PerProducer;) {
                if (ring.tryPush(std::make_unique<int>(i)))
                    ++i;
                else
                    std::this_thread::yield();
            }
        });
    }
    long sum = 0;
    for (int popped = 0; popped < Producers * PerProducer;) {
        if (auto item = ring.pop(absl::Seconds(5))) {
            sum += **item;
            ++popped;
        }
    }
    for (std::thread &thread : threads)
        thread.join();
    BOOST_TEST(sum == long(Producers) * PerProducer * (PerProducer - 1) / 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
