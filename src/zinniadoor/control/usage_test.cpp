#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>

#include "absl/strings/str_cat.h"

#include "zinniadoor/control/usage_reporting.hpp"

#include "simulation_test.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::control;
using namespace zinniadoor::control::test;

const std::vector<base::OrganisationId> Organisations { base::OrganisationId("shop"),
                                                        base::OrganisationId("crew") };

struct UsageOfNode
{
    UsageCounter counter;
    UsageCopies copies;
    std::vector<UsageReportController> controllers;
};

/// Simulated billing: the figures of a window cannot change once reported.
struct FakeBilling
{
    std::map<std::pair<base::OrganisationId, std::int64_t>, Usage> accepted;
    std::map<base::OrganisationId, std::uint64_t> fencing;
    std::string fault;

    base::Status receive(const ports::UsageReport &report)
    {
        std::uint64_t &highest = fencing[report.organisation];
        if (report.fencing < highest)
            fault = "a report of an older lease holder arrived after one of a newer holder";
        highest = std::max(highest, report.fencing);
        const Usage usage { report.requests, report.promptTokens, report.outputTokens };
        const auto [row, isNew]
            = accepted.emplace(std::pair(report.organisation, report.window), usage);
        if (!isNew && !(row->second == usage)) {
            fault = "a window was reported twice with different figures";
            return base::Reason { base::ReasonCode::Conflict, fault };
        }
        return base::Done {};
    }
};

struct SentReport
{
    ports::UsageReport report;
    Process sender;
    absl::Time arrivesAt;
    bool handled = false;
    std::optional<base::Status> status;
};

struct UsageFixture
{
    static constexpr UsageReportTimes Times { absl::Seconds(1), absl::Milliseconds(500),
                                              absl::Milliseconds(300) };

    std::map<Process, UsageOfNode> usage;
    FakeBilling billing;
    std::vector<SentReport> sent;
    std::vector<std::pair<Process, UsageItem>> all; ///< All items counted.
    std::vector<std::pair<Process, std::uint64_t>> answered; ///< Completely answered requests.

    static std::vector<std::string> scopes()
    {
        return { usageScope(usageShardOf(Organisations[0])),
                 usageScope(usageShardOf(Organisations[1])) };
    }

    UsageOfNode &of(const Process &process)
    {
        const auto found = usage.find(process);
        if (found != usage.end())
            return found->second;
        UsageOfNode fresh { UsageCounter(process), {}, {} };
        for (const base::OrganisationId &organisation : Organisations)
            fresh.controllers.emplace_back(usageShardOf(organisation), Times);
        return usage.emplace(process, std::move(fresh)).first->second;
    }

    void onStep(Node &node, bool traffic)
    {
        if (traffic && node.simulation.chance(0.5))
            serve(node);
        UsageOfNode &own = of(node.self);
        while (const auto batch = own.counter.nextBatch()) {
            node.add(*batch);
            if (node.simulation.chance(0.2))
                node.add(*batch); // delivered twice
        }
        own.copies.prune(node.state());
        for (UsageCounted &batch : own.copies.takeOrphans(node.state(), node.watch,
                                                          absl::Seconds(4), node.simulation.now))
            node.add(std::move(batch));
        for (std::size_t i = 0; i < own.controllers.size(); ++i)
            report(node, own.controllers[i], node.leases[i]);
    }

    /// Counts a request and copies it to a peer before the end of the response.
    void serve(Node &node)
    {
        Simulation &simulation = node.simulation;
        const UsageItem item = of(node.self).counter.countUsage(Organisations[simulation.below(2)],
                                                                1 + simulation.below(500),
                                                                1 + simulation.below(500));
        all.emplace_back(node.self, item);
        Node &peer = *simulation.nodes[simulation.below(simulation.nodes.size())];
        if (&peer == &node || simulation.now < peer.frozenUntil)
            return;
        BOOST_TEST_REQUIRE(of(peer.self)
                               .copies.hold({ node.self.instance, node.self.incarnation, { item } })
                               .hasValue());
        answered.emplace_back(node.self, item.sequence);
    }

    void report(Node &node, UsageReportController &controller, const LeaseController &lease)
    {
        Simulation &simulation = node.simulation;
        for (SentReport &entry : sent) {
            if (entry.sender != node.self || !entry.status || entry.handled)
                continue;
            if (usageShardOf(entry.report.organisation) != shardOf(lease))
                continue;
            entry.handled = true;
            controller.onReported(entry.report, *entry.status, simulation.now);
        }
        const UsageReportStep step
            = controller.next(node.state(), lease, simulation.now, simulation.now);
        if (step.record)
            node.add(*step.record);
        if (step.report) {
            const absl::Duration delay
                = simulation.duration(absl::ZeroDuration(), Times.sendTimeout);
            sent.push_back(
                { *step.report, node.self, simulation.now + delay, false, std::nullopt });
        }
    }

    static std::uint32_t shardOf(const LeaseController &lease)
    {
        return lease.scope() == scopes()[0] ? usageShardOf(Organisations[0])
                                            : usageShardOf(Organisations[1]);
    }

    void deliver(Simulation &simulation)
    {
        for (SentReport &entry : sent) {
            if (entry.status || entry.arrivesAt > simulation.now)
                continue;
            base::Status status = billing.receive(entry.report);
            if (simulation.chance(0.3)) // The response is lost after the effect.
                status = base::Reason { base::ReasonCode::OutcomeUnknown, "" };
            entry.status = status;
        }
    }

    std::string fault(const State &state)
    {
        if (!billing.fault.empty())
            return billing.fault;
        for (const auto &[process, sequence] : answered) {
            if (!state.usage().isCounted(process, sequence))
                return absl::StrCat("usage of ", process.instance.str(), " was lost");
        }
        Usage counted;
        for (const auto &[process, item] : all) {
            if (state.usage().isCounted(process, item.sequence))
                counted.add(item);
        }
        Usage billed;
        for (const auto &[key, figures] : billing.accepted) {
            billed.requests += figures.requests;
            billed.promptTokens += figures.promptTokens;
            billed.outputTokens += figures.outputTokens;
        }
        return counted == billed ? "" : "billing differs from the counted usage";
    }
};

BOOST_FIXTURE_TEST_SUITE(UsageTest, UsageFixture)

BOOST_AUTO_TEST_CASE(usage_randomSchedules_isBilledExactly)
{
    constexpr std::uint64_t Schedules = 150;
    constexpr int Ticks = 400;
    std::size_t reports = 0;
    for (std::uint64_t seed = 1; seed <= Schedules; ++seed) {
        UsageFixture run;
        Faults faults;
        faults.kill = 0.02;
        faults.killPause = absl::Seconds(25);
        Simulation simulation(seed, faults, scopes());
        simulation.onKill = [&run](Node &node) { run.usage.erase(node.self); };
        for (int i = 0; i < Ticks; ++i) {
            simulation.tick([&run](Node &node) { run.onStep(node, true); });
            run.deliver(simulation);
        }
        for (int i = 0; i < 30; ++i) {
            simulation.settle([&run](Node &node) { run.onStep(node, false); }, absl::Seconds(1));
            run.deliver(simulation);
        }
        const std::string fault = run.fault(simulation.nodes.front()->state());
        BOOST_REQUIRE_MESSAGE(fault.empty(), fault << ", seed " << seed);
        reports += run.billing.accepted.size();
    }
    BOOST_TEST(reports > Schedules * 10);
}

BOOST_AUTO_TEST_CASE(sequenceSet_anyInsertions_equalsPlainSet)
{
    const bool passed = rc::check([](const std::vector<std::uint8_t> &numbers) {
        SequenceSet set;
        std::set<std::uint64_t> plain;
        for (const std::uint64_t number : numbers)
            RC_ASSERT(set.insert(number) == plain.insert(number).second);
        for (std::uint64_t number = 0; number <= 256; ++number)
            RC_ASSERT(set.contains(number) == (plain.count(number) != 0));
        std::size_t ranges = 0;
        for (const std::uint64_t number : plain)
            ranges += plain.count(number + 1) == 0 ? 1 : 0;
        RC_ASSERT(set.ranges() == ranges);
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
