#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

#include "zinniadoor/control/action_keeper.hpp"

#include "simulation_test.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::control;
using namespace zinniadoor::control::test;

const base::OrganisationId Shop("shop");

/// A caller's request for an action, at one instance.
struct Request
{
    int id = 0;
    ActionCall call;
    Process at;
    std::uint64_t claim = 0;
    std::optional<ActionAnswer> answer;
    std::string body; ///< Of the answer Recorded.
    absl::Time serviceDone = absl::InfiniteFuture();
    bool finishing = false;
};

struct ActionFixture
{
    std::map<Process, ActionKeeper> keepers;
    std::vector<Request> requests;
    std::map<std::string, std::vector<int>> runs; ///< Requests by key that reached the service.
    int ran = 0;

    ActionKeeper &keeperOf(const Node &node)
    {
        const ActionTimes times { absl::Seconds(2), absl::Seconds(4) };
        return keepers.emplace(node.self, ActionKeeper(node.self, times)).first->second;
    }

    void onStep(Node &node)
    {
        if (node.simulation.chance(0.15))
            begin(node);
        for (Request &request : requests) {
            if (request.at == node.self && !request.answer)
                goOn(node, request);
        }
        for (Record &record : keeperOf(node).giveBackAbandoned(node.state()))
            node.add(std::move(record));
    }

    void begin(Node &node)
    {
        Request request;
        request.id = static_cast<int>(requests.size());
        request.call.key = { Shop, absl::StrCat("key", node.simulation.below(3)) };
        request.call.bodyDigest = node.simulation.chance(0.85) ? "a" : "b";
        request.at = node.self;
        const ActionDecision decision
            = keeperOf(node).claimAction(node.state(), node.watch, request.call,
                                         !node.simulation.isLogUnavailable(), node.simulation.now, node.simulation.now);
        request.claim = decision.claim;
        settle(node, request, decision);
        requests.push_back(request);
    }

    void settle(Node &node, Request &request, const ActionDecision &decision)
    {
        if (decision.record)
            node.add(*decision.record);
        if (decision.answer == ActionAnswer::Claiming || decision.answer == ActionAnswer::Run)
            return;
        request.answer = decision.answer;
        if (decision.answer == ActionAnswer::Recorded)
            request.body = node.state().actions().find(request.call.key)->body;
    }

    void goOn(Node &node, Request &request)
    {
        if (request.serviceDone != absl::InfiniteFuture())
            return finish(node, request);
        if (node.simulation.chance(0.03)) {
            keeperOf(node).abandon(request.call.key, request.claim);
            request.answer = ActionAnswer::NotRun;
            return;
        }
        const ActionDecision decision = keeperOf(node).runAction(
            node.state(), node.watch, request.call, request.claim, node.simulation.now);
        settle(node, request, decision);
        if (decision.answer == ActionAnswer::Run)
            callService(node, request);
    }

    void callService(Node &node, Request &request)
    {
        if (node.simulation.chance(0.15)) {
            node.add(keeperOf(node).giveBackAction(request.call.key));
            request.answer = ActionAnswer::NotRun;
            return;
        }
        runs[request.call.key.idempotencyKey].push_back(request.id);
        ++ran;
        request.serviceDone
            = node.simulation.now + node.simulation.duration(absl::ZeroDuration(), absl::Seconds(1));
    }

    void finish(Node &node, Request &request)
    {
        if (node.simulation.now < request.serviceDone)
            return;
        if (!request.finishing) {
            request.finishing = true;
            if (node.simulation.chance(0.1)) {
                node.add(keeperOf(node).loseAction(request.call.key));
                request.answer = ActionAnswer::Unknown;
                return;
            }
            node.add(keeperOf(node).finishAction(request.call.key, { 200, "", answerOf(request) }));
        }
        const Action *action = node.state().actions().find(request.call.key);
        if (action != nullptr && action->stage == ActionStage::Answered) {
            request.answer = ActionAnswer::Recorded;
            request.body = action->body;
        }
    }

    static std::string answerOf(const Request &request)
    {
        return absl::StrCat("answer ", request.id);
    }

    /// Empty if all promises held.
    std::string fault() const
    {
        for (const auto &[key, ids] : runs) {
            if (ids.size() > 1)
                return absl::StrCat(key, " ran ", ids.size(), " times");
        }
        for (const Request &request : requests) {
            const auto found = runs.find(request.call.key.idempotencyKey);
            const int runner = found == runs.end() ? -1 : found->second.front();
            if (request.answer == ActionAnswer::NotRun && runner == request.id)
                return absl::StrCat("request ", request.id, " ran after a refusal 'not run'");
            if (request.answer == ActionAnswer::Recorded
                && (runner < 0 || request.body != answerOf(requests.at(std::size_t(runner)))))
                return absl::StrCat("request ", request.id, " got another answer");
            if (request.answer == ActionAnswer::Recorded
                && request.call.bodyDigest != requests.at(std::size_t(runner)).call.bodyDigest)
                return absl::StrCat("request ", request.id, " got the answer to another body");
        }
        return "";
    }
};

BOOST_FIXTURE_TEST_SUITE(ActionTest, ActionFixture)

BOOST_AUTO_TEST_CASE(action_randomSchedules_runsAtMostOnce)
{
    constexpr std::uint64_t Schedules = 10'000;
    Faults faults;
    faults.kill = 0.02;
    faults.freeze = 0.03;
    faults.outage = 0.02;
    int allRan = 0;
    std::map<ActionAnswer, int> answers;
    for (std::uint64_t seed = 1; seed <= Schedules; ++seed) {
        ActionFixture run;
        Simulation simulation(seed, faults, {});
        simulation.onOwnFrame = [&run](Node &node, const Frame &frame, const ApplyResult &result) {
            run.keeperOf(node).onOwnFrame(frame, result);
        };
        const auto onStep = [&run](Node &node) { run.onStep(node); };
        for (int i = 0; i < 40; ++i)
            simulation.tick(onStep);
        simulation.settle(onStep, absl::Seconds(3));
        const std::string fault = run.fault();
        BOOST_REQUIRE_MESSAGE(fault.empty(), fault << ", seed " << seed);
        allRan += run.ran;
        for (const Request &request : run.requests)
            ++answers[request.answer.value_or(ActionAnswer::Claiming)];
    }
    BOOST_TEST(allRan > int(Schedules));
    for (const ActionAnswer answer :
         { ActionAnswer::Recorded, ActionAnswer::InProgress, ActionAnswer::Unknown,
           ActionAnswer::BodyDiffers, ActionAnswer::NotRun })
        BOOST_TEST(answers[answer] > 100, nameOf(answer) << " " << answers[answer]);
}

BOOST_AUTO_TEST_CASE(action_claimLateOrAbandoned_isGivenBackAndNotRun)
{
    const Process self { base::InstanceId("i"), 1 };
    for (const bool late : { false, true }) {
        ActionKeeper keeper(self, {});
        State state;
        const FrameAgeTracker watch;
        const ActionCall call { { Shop, "k" }, "a" };
        const absl::Time now = absl::UnixEpoch();
        const ActionDecision claim = keeper.claimAction(state, watch, call, true, now, now);
        BOOST_REQUIRE(claim.record.has_value());
        if (!late)
            keeper.abandon(call.key, claim.claim);
        const InstanceStarted started { self.instance, 1, base::DataCentreId("a"), "a", {} };
        state.apply({ self.instance, 1, 1, 0, 0, { started, *claim.record } }, 1);
        BOOST_REQUIRE(state.actions().find(call.key) != nullptr);
        const absl::Time asked = late ? now + absl::Seconds(10) : now;
        const ActionDecision run = keeper.runAction(state, watch, call, claim.claim, asked);
        BOOST_TEST((run.answer == ActionAnswer::NotRun));
        const std::vector<Record> records = keeper.giveBackAbandoned(state);
        BOOST_REQUIRE(records.size() == 1);
        state.apply({ self.instance, 1, 2, 0, 0, records }, 2);
        BOOST_TEST((state.actions().find(call.key) == nullptr));
    }
}

BOOST_AUTO_TEST_CASE(action_datedKey_isRefusedOutsideRetention)
{
    const absl::Time wall = absl::FromUnixMillis(0x0190'0000'0000);
    ActionKeeper keeper({ base::InstanceId("i"), 1 }, {});
    const auto answerAt = [&](absl::Time time) {
        const ActionCall call { { Shop, "01900000-0000-7abc-8def-0123456789ab" }, "a" };
        keeper.dropClaim(call.key);
        return keeper.claimAction(State {}, FrameAgeTracker {}, call, true, time, time).answer;
    };
    BOOST_TEST((answerAt(wall) == ActionAnswer::Claiming));
    BOOST_TEST((answerAt(wall + absl::Hours(24)) == ActionAnswer::Claiming));
    BOOST_TEST((answerAt(wall + absl::Hours(25)) == ActionAnswer::KeyDateOutOfRange));
    BOOST_TEST((answerAt(wall - absl::Minutes(5)) == ActionAnswer::KeyDateOutOfRange));
    BOOST_TEST(!uuidV7Milliseconds("01900000-0000-4abc-8def-0123456789ab").has_value());
}

BOOST_AUTO_TEST_CASE(actionTable_oneWrongClock_forgetsNothingEarly)
{
    ActionTable table;
    const auto claim = [&table](const char *instance, const char *key, std::int64_t wall) {
        const Process writer { base::InstanceId(instance), 1 };
        return table.apply({ Shop, key, "a", writer.instance, 1, 1, wall }, writer, 1, 100)
            .hasValue();
    };
    BOOST_TEST(claim("i1", "k1", 1000));
    BOOST_TEST(claim("i2", "k2", 1000));
    BOOST_TEST(claim("i3", "k3", 9'000'000));
    BOOST_TEST(!claim("i1", "k1", 1001));
    // All clocks past retention and slack.
    BOOST_TEST(claim("i1", "k4", 1000 + 100 + ActionClockSlackSeconds + 1));
    BOOST_TEST(claim("i2", "k1", 1000 + 100 + ActionClockSlackSeconds + 1));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
