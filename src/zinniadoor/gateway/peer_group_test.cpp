#include <map>
#include <memory>
#include <random>
#include <set>

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

#include "zinniadoor/gateway/peer_group.hpp"
#include "zinniadoor/gateway/taken_sums.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::gateway;

/// Instances of several data centres under a virtual clock, with messages that are late or lost,
/// instances that end, start and freeze, and data centres that are cut from each other.
class GroupWorld
{
public:
    GroupWorld(std::uint32_t seed, std::size_t instances, std::size_t dataCentres)
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
                    act(node);
                }
            }
        }
    }

    void end(std::size_t i) { nodes_[i].running = false; }
    void start(std::size_t i) { start(nodes_[i]); }
    void freeze(std::size_t i, absl::Duration time) { nodes_[i].frozenUntil = now_ + time; }
    void stop(std::size_t i) { nodes_[i].group->noteStopping(); }
    void cut(const std::string &a, const std::string &b) { cuts_.insert({ a, b }); }
    void heal() { cuts_.clear(); }
    void lose(double share) { lost_ = share; }
    std::size_t size() const { return nodes_.size(); }

    /// Leaders of a data centre, as its running instances see them.
    std::set<std::string> leadersOf(const std::string &dataCentre)
    {
        std::set<std::string> leaders;
        for (Node &node : nodes_) {
            if (isRunning(node) && node.dataCentre.str() == dataCentre)
                leaders.insert(leaderOf(node));
        }
        return leaders;
    }

    /// Whether what one instance has taken is in the sums that another one knows.
    bool allKnowAll()
    {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (!isRunning(nodes_[i]))
                continue;
            for (std::size_t j = 0; j < nodes_.size(); ++j) {
                const bool knows
                    = i == j || !isRunning(nodes_[j]) || nodes_[i].known.count(nodes_[j].name) > 0;
                if (!knows) {
                    missing_ = absl::StrCat(nodes_[i].name, " of ", nodes_[j].name);
                    return false;
                }
            }
        }
        return true;
    }
    const std::string &missing() const { return missing_; }
    std::uint64_t messages() const { return messages_; }

    /// Forgets what has been told.
    void forget()
    {
        for (Node &node : nodes_) {
            node.known.clear();
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
        std::set<std::string> known; ///< Whose news has come here.
        std::set<std::string> reported; ///< By members.
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
        std::set<std::string> news;
    };

    bool isRunning(const Node &node) const { return node.running && now_ >= node.frozenUntil; }

    void start(Node &node)
    {
        node.running = true;
        node.known.clear();
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
        const bool isCut = cuts_.count({ a, b }) + cuts_.count({ b, a }) > 0;
        if (!isCut && !std::bernoulli_distribution(lost_)(random_))
            pending_.emplace(message.at, message);
    }

    void act(Node &node)
    {
        const auto leader = node.group->leader(now_);
        node.known.insert(node.name);
        if (leader) {
            Message report;
            report.report = true;
            report.news = { node.name };
            send(node, leader->address, report);
            return;
        }
        Message sums;
        sums.leader = node.name;
        sums.news = node.reported;
        sums.news.insert(node.name);
        for (const std::string &address : node.group->leaderAddresses(now_))
            send(node, address, sums);
        for (const auto &[other, news] : node.fromLeaders)
            sums.news.insert(news.begin(), news.end());
        node.known.insert(sums.news.begin(), sums.news.end());
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
                to.group->noteAnswer(from.name, message.leader, now_);
                if (leaderOf(to) == from.name && message.leader == from.name)
                    to.known.insert(message.news.begin(), message.news.end());
            } else {
                to.group->noteLeading(from.name, message.leader, from.dataCentre, from.name, now_);
                to.fromLeaders[from.name] = message.news;
            }
        }
    }

    std::mt19937 random_;
    absl::Time now_ = absl::FromUnixSeconds(1000);
    std::vector<Node> nodes_;
    std::multimap<absl::Time, Message> pending_;
    std::set<std::pair<std::string, std::string>> cuts_;
    double lost_ = 0;
    std::uint64_t messages_ = 0;
    std::string missing_;
};

BOOST_AUTO_TEST_SUITE(PeerGroupTest)

BOOST_AUTO_TEST_CASE(group_fewInstances_hasNoLeaders)
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

BOOST_AUTO_TEST_CASE(news_allRunning_reachesAllInTwoHopsWithOneLeaderEach)
{
    for (const std::size_t instances : { 24, 88, 295 }) {
        GroupWorld world(1, instances, 5);
        world.run(absl::Seconds(4));
        for (const char *dataCentre : { "d0", "d1", "d2", "d3", "d4" })
            BOOST_TEST(world.leadersOf(dataCentre).size() == 1u);
        world.forget();
        world.run(absl::Seconds(2));
        BOOST_TEST(world.allKnowAll(), world.missing());
        // A report and an answer an instance and quarter of a second, and leaders to leaders.
        const double perSecond = static_cast<double>(world.messages()) / 2;
        BOOST_TEST(perSecond <= 4.0 * 2 * static_cast<double>(instances) + 4 * 5 * 8);
    }
}

BOOST_AUTO_TEST_CASE(news_halfOfTheInstancesEnd_reachesTheOthersWithinSeconds)
{
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
        GroupWorld world(seed, 60, 5);
        world.run(absl::Seconds(4));
        std::mt19937 random(seed);
        for (std::size_t i = 0; i < world.size(); ++i) {
            if (random() % 2 == 0)
                world.end(i);
        }
        world.run(absl::Seconds(9));
        world.forget();
        world.run(absl::Seconds(2));
        BOOST_TEST(world.allKnowAll(), "seed " << seed << ": " << world.missing());
    }
}

BOOST_AUTO_TEST_CASE(news_manyLost_stillReachesAll)
{
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
        GroupWorld world(seed, 60, 3);
        world.lose(0.2);
        world.run(absl::Seconds(15));
        world.forget();
        world.run(absl::Seconds(6));
        BOOST_TEST(world.allKnowAll(), "seed " << seed << ": " << world.missing());
    }
}

BOOST_AUTO_TEST_CASE(leader_frozenAndBack_leadsAgain)
{
    GroupWorld world(1, 40, 2);
    world.run(absl::Seconds(4));
    const std::string leader = *world.leadersOf("d0").begin();
    const std::size_t index = std::stoul(leader.substr(1));
    world.freeze(index, absl::Seconds(6));
    world.run(absl::Seconds(3));
    BOOST_TEST(world.leadersOf("d0").count(leader) == 0u);
    world.run(absl::Seconds(18));
    BOOST_TEST(world.leadersOf("d0").size() == 1u);
    BOOST_TEST(world.leadersOf("d0").count(leader) == 1u);
    world.forget();
    world.run(absl::Seconds(2));
    BOOST_TEST(world.allKnowAll(), world.missing());
}

BOOST_AUTO_TEST_CASE(leader_stopping_makesWayBeforeItEnds)
{
    GroupWorld world(1, 40, 2);
    world.run(absl::Seconds(4));
    const std::string leader = *world.leadersOf("d0").begin();
    world.stop(std::stoul(leader.substr(1)));
    world.run(absl::Seconds(3));
    BOOST_TEST(world.leadersOf("d0").size() == 1u);
    BOOST_TEST(world.leadersOf("d0").count(leader) == 0u);
}

BOOST_AUTO_TEST_CASE(dataCentres_cutAndHealed_findEachOtherAgain)
{
    GroupWorld world(3, 40, 2);
    world.run(absl::Seconds(4));
    world.cut("d0", "d1");
    world.run(absl::Seconds(10));
    world.heal();
    world.run(absl::Seconds(4));
    world.forget();
    world.run(absl::Seconds(2));
    BOOST_TEST(world.allKnowAll(), world.missing());
}

BOOST_AUTO_TEST_CASE(sums_sourcesComeAndGo_growOnlyByWhatIsTaken)
{
    constexpr std::uint64_t Start = 10'000'000;
    const absl::Time now = absl::FromUnixSeconds(100);
    TakenSums sums({ Start, now });
    sums.note({ "old", 1 }, { { "org", 500 } }, CountsTold::Changed, now); // Not told in full yet.
    sums.note({ "old", 1 }, { { "org", 500 } }, CountsTold::All, now);
    sums.note({ "old", 1 }, { { "org", 520 } }, CountsTold::Changed, now);
    sums.note({ "new", Start + 1 }, { { "org", 7 } }, CountsTold::All, now);
    BOOST_TEST(sums.total().at("org") == 27);
    BOOST_TEST(sums.contribution("old", "org") == 20);
    sums.note({ "old", 2 }, { { "org", 3 } }, CountsTold::All, now); // Started anew.
    BOOST_TEST(sums.total().at("org") == 30);
    sums.note({ "old", 1 }, { { "org", 600 } }, CountsTold::All, now); // Late.
    BOOST_TEST(sums.total().at("org") == 30);
    BOOST_TEST(sums.contribution("nobody", "org") == 0);
    const absl::Time later = now + absl::Minutes(1); // A member of a leader that ended.
    sums.note({ "moved", Start }, { { "org", 900 } }, CountsTold::All, later);
    BOOST_TEST(sums.total().at("org") == 30);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
