#include <boost/test/unit_test.hpp>

#include "zinniadoor/control/membership.hpp"
#include "zinniadoor/control/stable_hash.hpp"

using namespace zinniadoor;
using namespace zinniadoor::control;

namespace {

/// A group of members whose heartbeats arrive without delay.
struct Group
{
    absl::Time now = absl::FromUnixSeconds(1000);
    std::map<base::InstanceId, Membership> members;
    std::map<base::InstanceId, LocalStatus> statuses;
    std::map<base::InstanceId, std::size_t> bytesSent;
    std::set<base::InstanceId> silent;

    static base::InstanceId id(int i) { return base::InstanceId("entry-" + std::to_string(i)); }

    explicit Group(int size)
    {
        std::vector<ListedMember> all;
        for (int i = 0; i < size; ++i)
            all.push_back({ id(i), 1, base::DataCentreId("z") });
        for (int i = 0; i < size; ++i) {
            MembershipOptions options;
            options.instance = id(i);
            options.incarnation = 1;
            options.dataCentre = base::DataCentreId("z");
            options.seed = static_cast<std::uint64_t>(i) + 1;
            members.emplace(id(i), Membership(options)).first->second.setMembers(all, now);
        }
    }

    void run(int seconds)
    {
        for (int i = 0; i < seconds; ++i) {
            now += absl::Seconds(1);
            for (auto &[self, membership] : members) {
                if (silent.count(self) > 0)
                    continue;
                for (const OutgoingMessage &outgoing : membership.tick(statuses[self], now)) {
                    const std::string bytes = encodePeerMessage(outgoing.message);
                    BOOST_REQUIRE(bytes.size() <= MaxHeartbeatBytes);
                    bytesSent[self] += bytes.size();
                    if (silent.count(outgoing.to) == 0)
                        members.at(outgoing.to)
                            .onHeartbeat(std::get<Heartbeat>(*decodePeerMessage(bytes)), now);
                }
            }
        }
    }
};

struct Fixture
{
    Group small { 8 };
    base::InstanceId first = Group::id(0);
    base::InstanceId second = Group::id(1);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MembershipTest, Fixture)

BOOST_AUTO_TEST_CASE(member_silent_isSuspectThenLostThenBack)
{
    small.run(5);
    BOOST_TEST((small.members.at(first).livenessOf(second, small.now) == Liveness::Live));
    small.silent.insert(second);
    small.run(4);
    BOOST_TEST((small.members.at(first).livenessOf(second, small.now) == Liveness::Suspect));
    small.run(3);
    BOOST_TEST(small.members.at(first).lostMembers(small.now).count(second) == 1);
    small.silent.clear();
    small.run(2);
    BOOST_TEST((small.members.at(first).livenessOf(second, small.now) == Liveness::Live));
}

BOOST_AUTO_TEST_CASE(members_afterOwnPause_areNotLost)
{
    small.run(5);
    small.now += absl::Minutes(1);
    small.members.at(first).tick({}, small.now);
    BOOST_TEST(small.members.at(first).lostMembers(small.now).empty());
}

BOOST_AUTO_TEST_CASE(status_ofPeers_showsInFlightDrainVersionAndCrashes)
{
    LocalStatus &status = small.statuses[second];
    status.bundleVersion = 7;
    status.draining = true;
    const base::EndpointId engine("engine-1");
    status.inFlight[engine] = 3;
    small.statuses[Group::id(2)].inFlight[engine] = 4;
    small.members.at(second).reportCrash(42, small.now);
    small.run(2);
    const Membership &view = small.members.at(first);
    BOOST_TEST(view.find(second)->bundleVersion == 7);
    BOOST_TEST(view.find(second)->draining);
    BOOST_TEST(view.inFlightOf(second, engine, small.now) == 3);
    BOOST_TEST(view.inFlightOfPeers(small.now).at(shortHash("engine-1")) == 7);
    BOOST_TEST(view.crashDigests(small.now).count(42) == 1);
}

BOOST_AUTO_TEST_CASE(heartbeat_ofOlderIncarnation_isIgnored)
{
    Heartbeat heartbeat;
    heartbeat.instance = second;
    heartbeat.incarnation = 3;
    heartbeat.sequence = 1;
    Membership &view = small.members.at(first);
    view.onHeartbeat(heartbeat, small.now);
    heartbeat.incarnation = 2;
    heartbeat.sequence = 100;
    heartbeat.draining = true;
    view.onHeartbeat(heartbeat, small.now);
    BOOST_TEST(!view.find(second)->draining);
    BOOST_TEST(view.find(second)->incarnation == 3);
}

BOOST_AUTO_TEST_CASE(largeGroup_allLive_staysBoundedAndLosesNobody)
{
    Group large(120);
    large.members.at(first).reportCrash(42, large.now);
    large.run(60);
    std::size_t lost = 0;
    std::size_t notified = 0;
    for (const auto &[self, membership] : large.members) {
        lost += membership.lostMembers(large.now).size();
        notified += membership.crashDigests(large.now).count(42);
        BOOST_TEST(large.bytesSent[self] / 60 < 3000);
    }
    BOOST_TEST(lost == 0);
    BOOST_TEST(notified == 120);
    large.silent.insert(second);
    large.run(70);
    for (const auto &[self, membership] : large.members)
        BOOST_TEST((self == second || membership.lostMembers(large.now).count(second) == 1));
}

BOOST_AUTO_TEST_SUITE_END()
