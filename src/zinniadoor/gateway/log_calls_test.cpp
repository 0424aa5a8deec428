#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

#include "zinniadoor/base/clock.hpp"
#include "zinniadoor/gateway/log_follower.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::gateway;

/// Response time of the store.
constexpr absl::Duration StoreTime = absl::Milliseconds(4);

/// Longest time of a part on its way: two hops through the paced queues.
constexpr int MaxPartMs = 60;

/// A record ends the wait of a read at the next check.
constexpr absl::Duration WaitCheck = absl::Milliseconds(10);

constexpr absl::Duration Notice = absl::Seconds(3);

/// Runs functions in the order of their times, without waiting.
class VirtualTime : public base::Clock
{
public:
    absl::Time now() const override { return now_; }
    absl::Time wallTime() const override { return now_; }

    void after(absl::Duration delay, std::function<void()> call)
    {
        calls_.emplace(now_ + std::max(delay, absl::ZeroDuration()), std::move(call));
    }

    void runUntil(absl::Time end)
    {
        while (!calls_.empty() && calls_.begin()->first <= end) {
            auto next = calls_.extract(calls_.begin());
            now_ = next.key();
            next.mapped()();
        }
        now_ = end;
    }

private:
    absl::Time now_ = absl::FromUnixSeconds(1000);
    std::multimap<absl::Time, std::function<void()>> calls_;
};

class VirtualTimer : public DelayTimer
{
public:
    explicit VirtualTimer(VirtualTime &time)
        : time_(time)
    { }
    void start(absl::Duration delay, std::function<void()> done) override
    {
        const std::uint64_t started = ++*started_;
        time_.after(delay, [count = started_, started, done = std::move(done)] {
            if (*count == started)
                done();
        });
    }
    void cancel() override { ++*started_; }

private:
    VirtualTime &time_;
    std::shared_ptr<std::uint64_t> started_ = std::make_shared<std::uint64_t>(0);
};

/// The store as seen by all instances. Records are "key=value".
struct SharedLog
{
    std::vector<std::string> records { "e0=0" };
    std::vector<absl::Time> writtenAt { absl::InfinitePast() };
    int calls = 0;
};

class Fleet;

/// An instance with its own view of the store.
class Instance : public LogStore, public RecordDecoder, public FollowerHandler, public LogRelay
{
public:
    Instance(Fleet &fleet, std::size_t index)
        : fleet_(fleet)
        , index_(index)
    { }

    void append(LogName, const std::vector<std::string> &, std::optional<LogPosition>,
                std::function<void(base::Outcome<AppendResult>)>) override
    { }
    void read(LogName, LogPosition from, absl::Duration wait,
              std::function<void(base::Outcome<LogRecords>)> done) override;
    void readNewest(LogName, std::function<void(base::Outcome<NewestRecords>)> done) override;
    StoreEra era() const override { return 0; }

    base::Outcome<KeyedRecord> keyed(const std::string &record) const override
    {
        const std::size_t sign = record.find('=');
        return KeyedRecord { record.substr(0, sign), record.substr(sign + 1) };
    }
    std::string configurationKey() const override { return "configuration"; }
    base::Outcome<Configuration::Parts> configuration(const std::string &) const override
    {
        return base::Reason { base::ReasonCode::InvalidArgument, "no such records" };
    }
    base::Outcome<EndpointRecord> endpoint(const std::string &, const std::string &) const override
    {
        return base::Reason { base::ReasonCode::InvalidArgument, "no such records" };
    }

    void onNewest(const NewestRecords &newest) override
    {
        for (const KeyedRecord &record : newest.records)
            onRecord(record);
    }
    bool onRecord(const KeyedRecord &record) override;
    void onCurrent() override { }
    void onFailure(const base::Reason &) override { }
    void onUnreadable(const base::Reason &) override { }
    void publish(const LogPart &part) override;
    std::size_t capacity() const override { return 5000; }

    bool rejected = false;
    int group = 0; ///< Instances of different groups receive nothing from each other.
    std::map<std::string, absl::Time> knownAt; ///< When a value was first applied.
    std::unique_ptr<LogFollower> follower;

private:
    void fail(const std::function<void(base::Reason)> &done);

    Fleet &fleet_;
    std::size_t index_;
};

/// Followers of one log with the settings of a deployment with a notice of 3 s.
class Fleet
{
public:
    Fleet(std::size_t count, LogName name, std::uint32_t seed)
        : random(seed)
    {
        for (std::size_t i = 0; i < count; ++i)
            instances.push_back(std::make_unique<Instance>(*this, i));
        for (std::size_t i = 0; i < count; ++i) {
            FollowerOptions options = followerOptions(name, Notice);
            options.self = { absl::StrCat("zd-", seed, "-", i), 1 };
            Instance &instance = *instances[i];
            instance.follower
                = makeLogFollower(io,
                                  { instance, instance, time, instance, instance,
                                    [this] { return std::make_unique<VirtualTimer>(time); } },
                                  options);
        }
    }

    void start()
    {
        for (auto &instance : instances) {
            time.after(absl::Milliseconds(random() % 200),
                       [each = instance.get()] { each->follower->start(); });
        }
    }

    void run(absl::Duration duration) { time.runUntil(time.now() + duration); }

    /// Runs while a record is written every `interval`; returns the number of calls.
    int callsDuring(absl::Duration duration, absl::Duration interval)
    {
        const int before = log.calls;
        const absl::Time end = time.now() + duration;
        while (time.now() < end) {
            write();
            run(std::min(interval, end - time.now()));
        }
        return log.calls - before;
    }

    void write()
    {
        log.records.push_back(absl::StrCat("e1=", log.records.size()));
        log.writtenAt.push_back(time.now());
    }

    /// The instance that calls the store now.
    std::size_t reader()
    {
        lastCaller = instances.size();
        run(absl::Seconds(1));
        return lastCaller;
    }

    /// Longest time from the write of a record until an instance had it or a later one.
    absl::Duration longestDelay() const
    {
        absl::Duration longest;
        for (const auto &instance : instances) {
            for (std::size_t i = 1; i < log.records.size(); ++i) {
                absl::Time known = time.now();
                for (std::size_t later = i; later < log.records.size(); ++later) {
                    const auto at = instance->knownAt.find(std::to_string(later));
                    if (at != instance->knownAt.end())
                        known = std::min(known, at->second);
                }
                longest = std::max(longest, known - log.writtenAt[i]);
            }
        }
        return longest;
    }

    boost::asio::io_context io;
    VirtualTime time;
    SharedLog log;
    std::mt19937 random;
    std::size_t lastCaller = 0;
    std::vector<std::unique_ptr<Instance>> instances;
};

void Instance::fail(const std::function<void(base::Reason)> &done)
{
    fleet_.time.after(StoreTime, [done] {
        done(base::Reason { base::ReasonCode::Unavailable, "503" });
    });
}

void Instance::read(LogName, LogPosition from, absl::Duration wait,
                    std::function<void(base::Outcome<LogRecords>)> done)
{
    ++fleet_.log.calls;
    fleet_.lastCaller = index_;
    if (rejected) {
        fail(done);
        return;
    }
    const absl::Time until = fleet_.time.now() + wait;
    const auto check = std::make_shared<std::function<void()>>();
    const std::weak_ptr<std::function<void()>> again = check;
    *check = [this, from, until, done, again] {
        const std::vector<std::string> &records = fleet_.log.records;
        if (records.size() <= from.offset && fleet_.time.now() < until) {
            fleet_.time.after(WaitCheck, [kept = again.lock()] { (*kept)(); });
            return;
        }
        LogRecords result;
        result.first = from;
        result.end = { 0, records.size() };
        result.records.assign(records.begin() + static_cast<std::ptrdiff_t>(from.offset),
                              records.end());
        done(result);
    };
    fleet_.time.after(StoreTime, [check] { (*check)(); });
}

void Instance::readNewest(LogName, std::function<void(base::Outcome<NewestRecords>)> done)
{
    ++fleet_.log.calls;
    if (rejected) {
        fail(done);
        return;
    }
    NewestRecords result;
    result.end = { 0, fleet_.log.records.size() };
    result.records.push_back(*keyed(fleet_.log.records.back()));
    fleet_.time.after(StoreTime, [done, result] { done(result); });
}

bool Instance::onRecord(const KeyedRecord &record)
{
    knownAt.try_emplace(*record.value, fleet_.time.now());
    return true;
}

void Instance::publish(const LogPart &part)
{
    for (std::size_t i = 0; i < fleet_.instances.size(); ++i) {
        if (i == index_)
            continue;
        const absl::Duration way
            = absl::Milliseconds(5 + static_cast<int>(fleet_.random() % (MaxPartMs - 5)));
        fleet_.time.after(way, [this, i, part] {
            Instance &to = *fleet_.instances[i];
            if (to.group == group)
                to.follower->onPart(part);
        });
    }
}

constexpr LogName BothLogs[] = { LogName::Configuration, LogName::Endpoints };
constexpr std::uint32_t Seeds = 5;
constexpr absl::Duration Trouble = absl::Seconds(9);
constexpr absl::Duration WriteInterval = absl::Seconds(2);

/// What calls cost of those of the same time in normal operation, at most.
constexpr int MaxCallRatio = 3;

BOOST_AUTO_TEST_SUITE(LogCallsTest)

/// Guards against each instance reading for itself when the store rejects the present reader.
BOOST_AUTO_TEST_CASE(hundredInstances_thirdRejected_othersServeThem)
{
    for (const LogName name : BothLogs) {
        for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
            Fleet fleet(100, name, seed);
            fleet.start();
            fleet.run(absl::Seconds(10));
            const int normal = fleet.callsDuring(Trouble, WriteInterval);
            const std::size_t reader = fleet.reader();
            BOOST_REQUIRE(reader < fleet.instances.size());
            for (std::size_t i = 0; i < fleet.instances.size(); ++i)
                fleet.instances[(reader + i) % 100]->rejected = i % 3 == 0;
            const int troubled = fleet.callsDuring(Trouble, WriteInterval);
            for (auto &instance : fleet.instances)
                instance->rejected = false;
            const int after = fleet.callsDuring(Trouble, WriteInterval);
            fleet.run(Notice);
            BOOST_TEST_MESSAGE(nameOf(name) << " rejected: " << normal << " " << troubled << " "
                                            << after << " delay " << fleet.longestDelay());
            BOOST_TEST(troubled <= MaxCallRatio * normal);
            BOOST_TEST(after <= MaxCallRatio * normal);
            BOOST_TEST((fleet.longestDelay() <= Notice));
        }
    }
}

/// Guards against each instance polling until it hears a reader. One call each is unavoidable: the
/// newest records are not relayed.
BOOST_AUTO_TEST_CASE(hundredInstances_start_mostReadOnce)
{
    for (const LogName name : BothLogs) {
        for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
            Fleet fleet(100, name, seed);
            fleet.start();
            const int started = fleet.callsDuring(Trouble, WriteInterval) - 100;
            const int normal = fleet.callsDuring(Trouble, WriteInterval);
            fleet.run(Notice);
            BOOST_TEST_MESSAGE(nameOf(name) << " start: " << normal << " " << started << " delay "
                                            << fleet.longestDelay());
            BOOST_TEST(started <= MaxCallRatio * normal);
            BOOST_TEST((fleet.longestDelay() <= Notice));
        }
    }
}

/// Guards against all instances of a partitioned group reading for themselves.
BOOST_AUTO_TEST_CASE(partOfInstances_partitioned_hasOneReader)
{
    for (const LogName name : BothLogs) {
        for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
            Fleet fleet(108, name, seed);
            fleet.start();
            fleet.run(absl::Seconds(10));
            const int normal = fleet.callsDuring(Trouble, WriteInterval);
            const std::size_t reader = fleet.reader();
            BOOST_REQUIRE(reader < fleet.instances.size());
            for (std::size_t i = 1; i <= 38; ++i)
                fleet.instances[(reader + i) % 108]->group = 1;
            const int troubled = fleet.callsDuring(Trouble, WriteInterval);
            for (auto &instance : fleet.instances)
                instance->group = 0;
            const int after = fleet.callsDuring(Trouble, WriteInterval);
            fleet.run(Notice);
            BOOST_TEST_MESSAGE(nameOf(name) << " partitioned: " << normal << " " << troubled << " "
                                            << after << " delay " << fleet.longestDelay());
            BOOST_TEST(troubled <= MaxCallRatio * normal);
            BOOST_TEST(after <= MaxCallRatio * normal);
            BOOST_TEST((fleet.longestDelay() <= Notice));
        }
    }
}

/// Guards against an instance that hears nobody missing its notice.
BOOST_AUTO_TEST_CASE(isolatedInstances_hearNobody_readWithinNotice)
{
    for (const LogName name : BothLogs) {
        Fleet fleet(20, name, 1);
        fleet.start();
        fleet.run(absl::Seconds(10));
        for (std::size_t i = 0; i < fleet.instances.size(); ++i)
            fleet.instances[i]->group = static_cast<int>(i);
        fleet.callsDuring(Trouble, absl::Milliseconds(300));
        fleet.run(Notice);
        BOOST_TEST((fleet.longestDelay() <= Notice));
    }
}

/// Guards against retries of all instances at the rate of a reader while the store is down.
BOOST_AUTO_TEST_CASE(hundredInstances_storeDown_backOffByRank)
{
    for (const LogName name : BothLogs) {
        Fleet fleet(100, name, 1);
        fleet.start();
        fleet.run(absl::Seconds(10));
        for (auto &instance : fleet.instances)
            instance->rejected = true;
        const int before = fleet.log.calls;
        fleet.run(absl::Seconds(4.5));
        const int down = fleet.log.calls - before;
        for (auto &instance : fleet.instances)
            instance->rejected = false;
        fleet.callsDuring(Trouble, WriteInterval);
        fleet.run(Notice);
        BOOST_TEST_MESSAGE(nameOf(name) << " down: " << down << " delay " << fleet.longestDelay());
        BOOST_TEST(down <= 4 * 100);
        BOOST_TEST((fleet.longestDelay() <= Notice));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
