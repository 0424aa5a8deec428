#include <map>
#include <memory>
#include <random>
#include <set>

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

#include "zinniadoor/gateway/consumption_totals.hpp"
#include "zinniadoor/gateway/peer_group.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::gateway;

/// Simulates instances in several data centres under a virtual clock: messages are delayed or lost,
/// instances end, start and freeze, and data centres are partitioned from each other.
class GroupSimulation
{
public:
    GroupSimulation(std::uint32_t seed, std::size_t instances, std::size_t dataCentres)
        : random_(seed)
    {
        for (std::size_t i = 0; i < instances; ++i) {
            Node node;
            node.name = absl::StrCat("i", i);
            node.dataCentre = base::DataCentreId(absl::StrCat("d", i % dataCentres));
            nodes_.push_back(std::move(node));
        }
        for (Node &node : nodes_)
            start(node);
    }

    void run(absl::Duration time)
    {
        const absl::Time end = now_ + time;
        while (now_ < end) {
            now_ += Step;
            deliver();
            for (Node &node : nodes_) {
                if (isRunning(node) && now_ >= node.nextStep) {
                    node.nextStep = now_ + absl::Milliseconds(250);
                    sendUpdates(node);
                }
            }
        }
    }

    void end(std::size_t i) { nodes_[i].running = false; }
    void start(std::size_t i) { start(nodes_[i]); }
    void freeze(std::size_t i, absl::Duration time) { nodes_[i].frozenUntil = now_ + time; }
    void shutDown(std::size_t i) { nodes_[i].group->noteStopping(); }
    void partition(const std::string &a, const std::string &b) { partitions_.insert({ a, b }); }
    void heal() { partitions_.clear(); }
    void setLossRate(double share) { lossRate_ = share; }
    std::size_t size() const { return nodes_.size(); }

    /// Leaders of a data centre in the views of its running instances.
    std::set<std::string> leadersOf(const std::string &dataCentre)
    {
        std::set<std::string> leaders;
        for (Node &node : nodes_) {
            if (isRunning(node) && node.dataCentre.str() == dataCentre)
                leaders.insert(leaderOf(node));
        }
        return leaders;
    }

    /// Whether the updates of each running instance have reached all other running instances.
    bool allReceivedAll()
    {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (!isRunning(nodes_[i]))
                continue;
            for (std::size_t j = 0; j < nodes_.size(); ++j) {
                const bool received = i == j || !isRunning(nodes_[j])
                    || nodes_[i].receivedFrom.count(nodes_[j].name) > 0;
                if (!received) {
                    missing_ = absl::StrCat(nodes_[i].name, " of ", nodes_[j].name);
                    return false;
                }
            }
        }
        return true;
    }
    const std::string &missing() const { return missing_; }
    std::uint64_t messages() const { return messages_; }

    /// Clears all received updates and the message count.
    void clearUpdates()
    {
        for (Node &node : nodes_) {
            node.receivedFrom.clear();
            node.reported.clear();
            node.fromLeaders.clear();
        }
        messages_ = 0;
    }

private:
    static constexpr absl::Duration Step = absl::Milliseconds(10);

    struct Node
    {
        std::string name;
        base::DataCentreId dataCentre;
        bool running = false;
        absl::Time frozenUntil;
        absl::Time nextStep;
        std::unique_ptr<PeerGroup> group;
        std::set<std::string> receivedFrom; ///< Instances whose updates were received.
        std::set<std::string> reported; ///< Members that report here.
        std::map<std::string, std::set<std::string>> fromLeaders;
    };
    struct Message
    {
        std::size_t from = 0;
        std::size_t to = 0;
        absl::Time at;
        bool report = false;
        bool toMember = false;
        std::string leader;
        std::set<std::string> updates;
    };

    bool isRunning(const Node &node) const { return node.running && now_ >= node.frozenUntil; }

    void start(Node &node)
    {
        node.running = true;
        node.receivedFrom.clear();
        node.reported.clear();
        node.fromLeaders.clear();
        node.nextStep = now_ + absl::Milliseconds(delay(250));
        node.group = std::make_unique<PeerGroup>(node.name, node.dataCentre, PeerGroupOptions {});
        std::vector<GroupCandidate> others;
        for (const Node &other : nodes_) {
            if (other.name != node.name)
                others.push_back({ other.name, other.dataCentre, other.name });
        }
        node.group->setOthers(others);
    }

    int delay(int most) { return std::uniform_int_distribution<>(1, most)(random_); }

    std::string leaderOf(Node &node)
    {
        const auto leader = node.group->leader(now_);
        return leader ? leader->instance : node.name;
    }

    void send(const Node &from, const std::string &to, Message message)
    {
        const auto found = std::find_if(nodes_.begin(), nodes_.end(),
                                        [&](const Node &node) { return node.name == to; });
        message.from = static_cast<std::size_t>(&from - nodes_.data());
        message.to = static_cast<std::size_t>(found - nodes_.begin());
        message.at = now_ + absl::Milliseconds(delay(20));
        ++messages_;
        const std::string a = from.dataCentre.str();
        const std::string b = found->dataCentre.str();
        const bool isPartitioned = partitions_.count({ a, b }) + partitions_.count({ b, a }) > 0;
        if (!isPartitioned && !std::bernoulli_distribution(lossRate_)(random_))
            pending_.emplace(message.at, message);
    }

    void sendUpdates(Node &node)
    {
        const auto leader = node.group->leader(now_);
        node.receivedFrom.insert(node.name);
        if (leader) {
            Message report;
            report.report = true;
            report.updates = { node.name };
            send(node, leader->address, report);
            return;
        }
        Message sums;
        sums.leader = node.name;
        sums.updates = node.reported;
        sums.updates.insert(node.name);
        for (const std::string &address : node.group->leaderAddresses(now_))
            send(node, address, sums);
        for (const auto &[other, updates] : node.fromLeaders)
            sums.updates.insert(updates.begin(), updates.end());
        node.receivedFrom.insert(sums.updates.begin(), sums.updates.end());
        sums.toMember = true;
        for (const std::string &member : node.reported)
            send(node, member, sums);
    }

    void redirect(const Node &node, const std::string &member, const std::string &leader)
    {
        Message message;
        message.toMember = true;
        message.leader = leader;
        send(node, member, message);
    }

    void deliver()
    {
        while (!pending_.empty() && pending_.begin()->first <= now_) {
            const Message message = pending_.begin()->second;
            pending_.erase(pending_.begin());
            Node &to = nodes_[message.to];
            const Node &from = nodes_[message.from];
            if (!isRunning(to))
                continue;
            if (message.report) {
                to.reported.insert(from.name);
                const std::string leader = leaderOf(to);
                if (leader != to.name)
                    redirect(to, from.name, leader);
            } else if (message.toMember) {
                to.group->noteLeaderReply(from.name, message.leader, now_);
                if (leaderOf(to) == from.name && message.leader == from.name)
                    to.receivedFrom.insert(message.updates.begin(), message.updates.end());
            } else {
                to.group->noteLeaderMessage(from.name, message.leader, from.dataCentre, from.name,
                                            now_);
                to.fromLeaders[from.name] = message.updates;
            }
        }
    }

    std::mt19937 random_;
    absl::Time now_ = absl::FromUnixSeconds(1000);
    std::vector<Node> nodes_;
    std::multimap<absl::Time, Message> pending_;
    std::set<std::pair<std::string, std::string>> partitions_;
    double lossRate_ = 0;
    std::uint64_t messages_ = 0;
    std::string missing_;
};

BOOST_AUTO_TEST_SUITE(PeerGroupTest)

BOOST_AUTO_TEST_CASE(hasLeaders_upToMeshLimit_isFalse)
{
    PeerGroup group("self", base::DataCentreId("d0"), PeerGroupOptions {});
    std::vector<GroupCandidate> others;
    for (int i = 0; i < 15; ++i)
        others.push_back({ absl::StrCat("i", i), base::DataCentreId("d0"), "" });
    group.setOthers(others);
    BOOST_TEST(!group.hasLeaders());
    others.push_back({ "one more", base::DataCentreId("d0"), "" });
    group.setOthers(others);
    BOOST_TEST(group.hasLeaders());
}

BOOST_AUTO_TEST_CASE(updates_allRunning_reachAllThroughOneLeaderPerDataCentre)
{
    for (const std::size_t instances : { 24, 88, 295 }) {
        GroupSimulation simulation(1, instances, 5);
        simulation.run(absl::Seconds(4));
        for (const char *dataCentre : { "d0", "d1", "d2", "d3", "d4" })
            BOOST_TEST(simulation.leadersOf(dataCentre).size() == 1u);
        simulation.clearUpdates();
        simulation.run(absl::Seconds(2));
        BOOST_TEST(simulation.allReceivedAll(), simulation.missing());
        // One report and one reply per instance every 250 ms, and the messages between leaders.
        const double perSecond = static_cast<double>(simulation.messages()) / 2;
        BOOST_TEST(perSecond <= 4.0 * 2 * static_cast<double>(instances) + 4 * 5 * 8);
    }
}

BOOST_AUTO_TEST_CASE(updates_halfOfInstancesEnd_reachOthersWithinSeconds)
{
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
        GroupSimulation simulation(seed, 60, 5);
        simulation.run(absl::Seconds(4));
        std::mt19937 random(seed);
        for (std::size_t i = 0; i < simulation.size(); ++i) {
            if (random() % 2 == 0)
                simulation.end(i);
        }
        simulation.run(absl::Seconds(9));
        simulation.clearUpdates();
        simulation.run(absl::Seconds(2));
        BOOST_TEST(simulation.allReceivedAll(), "seed " << seed << ": " << simulation.missing());
    }
}

BOOST_AUTO_TEST_CASE(updates_manyMessagesLost_reachAll)
{
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
        GroupSimulation simulation(seed, 60, 3);
        simulation.setLossRate(0.2);
        simulation.run(absl::Seconds(15));
        simulation.clearUpdates();
        simulation.run(absl::Seconds(6));
        BOOST_TEST(simulation.allReceivedAll(), "seed " << seed << ": " << simulation.missing());
    }
}

BOOST_AUTO_TEST_CASE(leader_resumedAfterFreeze_leadsAgain)
{
    GroupSimulation simulation(1, 40, 2);
    simulation.run(absl::Seconds(4));
    const std::string leader = *simulation.leadersOf("d0").begin();
    const std::size_t index = std::stoul(leader.substr(1));
    simulation.freeze(index, absl::Seconds(6));
    simulation.run(absl::Seconds(3));
    BOOST_TEST(simulation.leadersOf("d0").count(leader) == 0u);
    simulation.run(absl::Seconds(18));
    BOOST_TEST(simulation.leadersOf("d0").size() == 1u);
    BOOST_TEST(simulation.leadersOf("d0").count(leader) == 1u);
    simulation.clearUpdates();
    simulation.run(absl::Seconds(2));
    BOOST_TEST(simulation.allReceivedAll(), simulation.missing());
}

BOOST_AUTO_TEST_CASE(leader_shuttingDown_handsOverBeforeItEnds)
{
    GroupSimulation simulation(1, 40, 2);
    simulation.run(absl::Seconds(4));
    const std::string leader = *simulation.leadersOf("d0").begin();
    simulation.shutDown(std::stoul(leader.substr(1)));
    simulation.run(absl::Seconds(3));
    BOOST_TEST(simulation.leadersOf("d0").size() == 1u);
    BOOST_TEST(simulation.leadersOf("d0").count(leader) == 0u);
}

BOOST_AUTO_TEST_CASE(dataCentres_partitionHealed_exchangeUpdatesAgain)
{
    GroupSimulation simulation(3, 40, 2);
    simulation.run(absl::Seconds(4));
    simulation.partition("d0", "d1");
    simulation.run(absl::Seconds(10));
    simulation.heal();
    simulation.run(absl::Seconds(4));
    simulation.clearUpdates();
    simulation.run(absl::Seconds(2));
    BOOST_TEST(simulation.allReceivedAll(), simulation.missing());
}

BOOST_AUTO_TEST_CASE(consumptionTotals_sourcesComeAndGo_growOnlyByNewConsumption)
{
    constexpr std::uint64_t Start = 10'000'000;
    const absl::Time now = absl::FromUnixSeconds(100);
    ConsumptionTotals sums({ Start, now });
    sums.note({ "old", 1 }, { { "org", 500 } }, CountsScope::Changed, now); // No full counts yet.
    sums.note({ "old", 1 }, { { "org", 500 } }, CountsScope::All, now);
    sums.note({ "old", 1 }, { { "org", 520 } }, CountsScope::Changed, now);
    sums.note({ "new", Start + 1 }, { { "org", 7 } }, CountsScope::All, now);
    BOOST_TEST(sums.total().at("org") == 27);
    BOOST_TEST(sums.contribution("old", "org") == 20);
    sums.note({ "old", 2 }, { { "org", 3 } }, CountsScope::All, now); // Restarted.
    BOOST_TEST(sums.total().at("org") == 30);
    sums.note({ "old", 1 }, { { "org", 600 } }, CountsScope::All, now); // Late.
    BOOST_TEST(sums.total().at("org") == 30);
    BOOST_TEST(sums.contribution("nobody", "org") == 0);
    const absl::Time later = now + absl::Minutes(1); // From a leader that ended.
    sums.note({ "moved", Start }, { { "org", 900 } }, CountsScope::All, later);
    BOOST_TEST(sums.total().at("org") == 30);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
