#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

#include "zinniadoor/control/action_controller.hpp"

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
    std::optional<ActionVerdict> verdict;
    std::string body; ///< Recorded: the response body.
    absl::Time serviceDone = absl::InfiniteFuture();
    bool finishing = false;
};

struct ActionFixture
{
    std::map<Process, ActionController> controllers;
    std::vector<Request> requests;
    std::map<std::string, std::vector<int>> runs; ///< Requests that reached the service, by key.
    int ran = 0;

    ActionController &controllerOf(const Node &node)
    {
        const ActionTimeouts times { absl::Seconds(2), absl::Seconds(4) };
        return controllers.emplace(node.self, ActionController(node.self, times)).first->second;
    }

    void onStep(Node &node)
    {
        if (node.simulation.chance(0.15))
            start(node);
        for (Request &request : requests) {
            if (request.at == node.self && !request.verdict)
                advance(node, request);
        }
        for (Record &record : controllerOf(node).releaseAbandonedClaims(node.state()))
            node.add(std::move(record));
    }

    void start(Node &node)
    {
        Request request;
        request.id = static_cast<int>(requests.size());
        request.call.key = { Shop, absl::StrCat("key", node.simulation.below(3)) };
        request.call.bodyDigest = node.simulation.chance(0.85) ? "a" : "b";
        request.at = node.self;
        const ActionDecision decision = controllerOf(node).claimAction(
            node.state(), node.watch, request.call, !node.simulation.isLogUnavailable(),
            node.simulation.now, node.simulation.now);
        request.claim = decision.claim;
        settle(node, request, decision);
        requests.push_back(request);
    }

    void settle(Node &node, Request &request, const ActionDecision &decision)
    {
        if (decision.record)
            node.add(*decision.record);
        if (decision.verdict == ActionVerdict::Claiming || decision.verdict == ActionVerdict::Run)
            return;
        request.verdict = decision.verdict;
        if (decision.verdict == ActionVerdict::Recorded)
            request.body = node.state().actions().find(request.call.key)->body;
    }

    void advance(Node &node, Request &request)
    {
        if (request.serviceDone != absl::InfiniteFuture())
            return finish(node, request);
        if (node.simulation.chance(0.03)) {
            controllerOf(node).abandon(request.call.key, request.claim);
            request.verdict = ActionVerdict::NotRun;
            return;
        }
        const ActionDecision decision = controllerOf(node).pollClaim(
            node.state(), node.watch, request.call, request.claim, node.simulation.now);
        settle(node, request, decision);
        if (decision.verdict == ActionVerdict::Run)
            callService(node, request);
    }

    void callService(Node &node, Request &request)
    {
        if (node.simulation.chance(0.15)) {
            node.add(controllerOf(node).releaseAction(request.call.key));
            request.verdict = ActionVerdict::NotRun;
            return;
        }
        runs[request.call.key.idempotencyKey].push_back(request.id);
        ++ran;
        request.serviceDone = node.simulation.now
            + node.simulation.duration(absl::ZeroDuration(), absl::Seconds(1));
    }

    void finish(Node &node, Request &request)
    {
        if (node.simulation.now < request.serviceDone)
            return;
        if (!request.finishing) {
            request.finishing = true;
            if (node.simulation.chance(0.1)) {
                node.add(controllerOf(node).recordUnknownOutcome(request.call.key));
                request.verdict = ActionVerdict::Unknown;
                return;
            }
            node.add(controllerOf(node).finishAction(request.call.key,
                                                     { 200, "", responseOf(request) }));
        }
        const Action *action = node.state().actions().find(request.call.key);
        if (action != nullptr && action->stage == ActionStage::Answered) {
            request.verdict = ActionVerdict::Recorded;
            request.body = action->body;
        }
    }

    static std::string responseOf(const Request &request)
    {
        return absl::StrCat("response ", request.id);
    }

    /// The first violated guarantee; empty if none.
    std::string violation() const
    {
        for (const auto &[key, ids] : runs) {
            if (ids.size() > 1)
                return absl::StrCat(key, " ran ", ids.size(), " times");
        }
        for (const Request &request : requests) {
            const auto found = runs.find(request.call.key.idempotencyKey);
            const int runner = found == runs.end() ? -1 : found->second.front();
            if (request.verdict == ActionVerdict::NotRun && runner == request.id)
                return absl::StrCat("request ", request.id, " ran after the response 'not run'");
            if (request.verdict == ActionVerdict::Recorded
                && (runner < 0 || request.body != responseOf(requests.at(std::size_t(runner)))))
                return absl::StrCat("request ", request.id, " got the response to another request");
            if (request.verdict == ActionVerdict::Recorded
                && request.call.bodyDigest != requests.at(std::size_t(runner)).call.bodyDigest)
                return absl::StrCat("request ", request.id, " got the response to another body");
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
    std::map<ActionVerdict, int> verdicts;
    for (std::uint64_t seed = 1; seed <= Schedules; ++seed) {
        ActionFixture run;
        Simulation simulation(seed, faults, {});
        simulation.onOwnFrame = [&run](Node &node, const Frame &frame, const ApplyResult &result) {
            run.controllerOf(node).onOwnFrame(frame, result);
        };
        const auto onStep = [&run](Node &node) { run.onStep(node); };
        for (int i = 0; i < 40; ++i)
            simulation.tick(onStep);
        simulation.settle(onStep, absl::Seconds(3));
        const std::string violation = run.violation();
        BOOST_REQUIRE_MESSAGE(violation.empty(), violation << ", seed " << seed);
        allRan += run.ran;
        for (const Request &request : run.requests)
            ++verdicts[request.verdict.value_or(ActionVerdict::Claiming)];
    }
    BOOST_TEST(allRan > int(Schedules));
    for (const ActionVerdict verdict :
         { ActionVerdict::Recorded, ActionVerdict::InProgress, ActionVerdict::Unknown,
           ActionVerdict::BodyDiffers, ActionVerdict::NotRun })
        BOOST_TEST(verdicts[verdict] > 100, nameOf(verdict) << " " << verdicts[verdict]);
}

BOOST_AUTO_TEST_CASE(action_claimLateOrAbandoned_isReleasedAndNotRun)
{
    const Process self { base::InstanceId("i"), 1 };
    for (const bool late : { false, true }) {
        ActionController controller(self, {});
        State state;
        const FrameAgeTracker watch;
        const ActionCall call { { Shop, "k" }, "a" };
        const absl::Time now = absl::UnixEpoch();
        const ActionDecision claim = controller.claimAction(state, watch, call, true, now, now);
        BOOST_REQUIRE(claim.record.has_value());
        if (!late)
            controller.abandon(call.key, claim.claim);
        const InstanceStarted started { self.instance, 1, base::DataCentreId("a"), "a", {} };
        state.apply({ self.instance, 1, 1, 0, 0, { started, *claim.record } }, 1);
        BOOST_REQUIRE(state.actions().find(call.key) != nullptr);
        const absl::Time polledAt = late ? now + absl::Seconds(10) : now;
        const ActionDecision run = controller.pollClaim(state, watch, call, claim.claim, polledAt);
        BOOST_TEST((run.verdict == ActionVerdict::NotRun));
        const std::vector<Record> records = controller.releaseAbandonedClaims(state);
        BOOST_REQUIRE(records.size() == 1);
        state.apply({ self.instance, 1, 2, 0, 0, records }, 2);
        BOOST_TEST((state.actions().find(call.key) == nullptr));
    }
}

BOOST_AUTO_TEST_CASE(action_keyDateOutsideRetention_isRejected)
{
    const absl::Time wall = absl::FromUnixMillis(0x0190'0000'0000);
    ActionController controller({ base::InstanceId("i"), 1 }, {});
    const auto verdictAt = [&](absl::Time time) {
        const ActionCall call { { Shop, "01900000-0000-7abc-8def-0123456789ab" }, "a" };
        controller.dropClaim(call.key);
        return controller.claimAction(State {}, FrameAgeTracker {}, call, true, time, time).verdict;
    };
    BOOST_TEST((verdictAt(wall) == ActionVerdict::Claiming));
    BOOST_TEST((verdictAt(wall + absl::Hours(24)) == ActionVerdict::Claiming));
    BOOST_TEST((verdictAt(wall + absl::Hours(25)) == ActionVerdict::KeyDateOutOfRange));
    BOOST_TEST((verdictAt(wall - absl::Minutes(5)) == ActionVerdict::KeyDateOutOfRange));
    BOOST_TEST(!uuidV7Milliseconds("01900000-0000-4abc-8def-0123456789ab").has_value());
}

BOOST_AUTO_TEST_CASE(actionTable_oneWrongClock_expiresNothingEarly)
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
    // All clocks are past retention and slack.
    BOOST_TEST(claim("i1", "k4", 1000 + 100 + ActionClockSlackSeconds + 1));
    BOOST_TEST(claim("i2", "k1", 1000 + 100 + ActionClockSlackSeconds + 1));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
