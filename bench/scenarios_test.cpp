#include <algorithm>
#include <cstdio>
#include <fstream>

#include <boost/test/unit_test.hpp>

#include "results.hpp"
#include "scenario.hpp"
#include "virtual_run.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::bench;

/// Runs variants of the scenario files on the virtual clock; runs with equal seeds are identical.
struct ScenarioFixture
{
    Scenario scenario;

    void load(const std::string &name)
    {
        const auto read = readScenario(ZINNIADOOR_SCENARIOS "/" + name + ".yaml");
        BOOST_REQUIRE_MESSAGE(read.hasValue(), read.lastReason().text);
        scenario = *read;
    }

    RunResult run(const std::string &variant) const
    {
        for (const Variant &candidate : scenario.variants) {
            if (candidate.name == variant)
                return runVirtual(scenario, candidate);
        }
        BOOST_FAIL("no variant " + variant);
        return {};
    }

    Summary summary(const RunResult &run, const std::string &requestClass = "all") const
    {
        for (const Summary &row : summarise(scenario, run)) {
            if (row.name == requestClass)
                return row;
        }
        BOOST_FAIL("no class " + requestClass);
        return {};
    }

    static double goodShare(const Summary &summary)
    {
        return static_cast<double>(summary.good) / static_cast<double>(summary.offered);
    }
};

BOOST_FIXTURE_TEST_SUITE(ScenariosTest, ScenarioFixture)

BOOST_AUTO_TEST_CASE(prefillShift_forecast_outperformsStaticAndThreshold)
{
    load("prefill_shift");
    const RunResult fixed = run("static 4");
    const RunResult threshold = run("threshold");
    const RunResult forecast = run("forecast");
    const auto good = static_cast<double>(summary(forecast).good);
    BOOST_TEST(good >= 1.3 * static_cast<double>(summary(fixed).good));
    BOOST_TEST(good >= static_cast<double>(summary(threshold).good));
    BOOST_TEST(2 * forecast.roleChanges <= threshold.roleChanges);
}

BOOST_AUTO_TEST_CASE(headOfLine_deepDeferableQueue_keepsUrgentFirstTokenTime)
{
    load("head_of_line");
    scenario.length = absl::Minutes(2);
    const Summary alone = summary(run("ours alone"), "chat");
    const RunResult both = run("ours");
    BOOST_TEST(summary(both, "chat").firstTokenP95 <= 1.2 * alone.firstTokenP95);
    BOOST_TEST(summary(both, "chat").good == alone.good);
    // Deferable requests must not starve either.
    BOOST_TEST(summary(both, "summaries").good > 2000);
}

BOOST_AUTO_TEST_CASE(noisyOrganisation_at5TimesItsRate_costsOthersAtMost5Percent)
{
    load("noisy_organisation");
    scenario.length = absl::Minutes(2);
    const RunResult alone = run("ours alone");
    const RunResult both = run("ours");
    for (const char *quiet : { "quiet 2", "quiet 3", "quiet 4", "quiet 5" })
        BOOST_TEST(goodShare(summary(both, quiet)) >= 0.95 * goodShare(summary(alone, quiet)));
}

BOOST_AUTO_TEST_CASE(herding_reports2SecondsOld_peakStaysNearMean)
{
    load("herding");
    scenario.length = absl::Minutes(1);
    const RunResult ours = run("ours");
    BOOST_REQUIRE(!ours.peakToMean.empty());
    BOOST_TEST(percentile(ours.peakToMean, 0.95) <= 1.5);
}

BOOST_AUTO_TEST_CASE(retryStorm_halfFailing_addsAtMost10PercentCalls)
{
    load("retry_storm");
    for (const char *variant : { "budget alone", "ours" }) {
        const RunResult result = run(variant);
        BOOST_TEST(static_cast<double>(result.faultRetries)
                   <= 0.1 * static_cast<double>(result.faultCalls));
    }
}

BOOST_AUTO_TEST_CASE(zoneLoss_70PercentReclaimable_failsNoRequest)
{
    load("zone_loss");
    const RunResult ours = run("ours");
    BOOST_TEST(static_cast<double>(ours.tokensOnReclaimable)
               >= 0.7 * static_cast<double>(ours.tokens));
    BOOST_TEST(summary(ours).failed == 0);
    BOOST_TEST(goodShare(summary(ours, "chat")) >= 0.999);
}

BOOST_AUTO_TEST_CASE(run_sameSeed_givesSameResults)
{
    load("zone_loss");
    scenario.length = absl::Seconds(30);
    const RunResult first = run("ours");
    const RunResult second = run("ours");
    BOOST_TEST(csvOf(scenario, { first }) == csvOf(scenario, { second }));
}

BOOST_AUTO_TEST_CASE(arrivals_changingRate_followRate)
{
    load("prefill_shift");
    const auto arrivals = generateArrivals(scenario);
    const auto plansIn = [&](absl::Duration from, absl::Duration to) {
        return std::count_if(arrivals.begin(), arrivals.end(), [&](const Arrival &arrival) {
            return arrival.requestClass == 1 && arrival.at >= from && arrival.at < to;
        });
    };
    BOOST_TEST(plansIn(absl::Seconds(0), absl::Seconds(60)) < 130);
    BOOST_TEST(plansIn(absl::Seconds(120), absl::Seconds(300)) > 3000);
}

BOOST_AUTO_TEST_CASE(readScenario_invalidFile_listsEveryErrorWithLine)
{
    const std::string file = "faulty_scenario.yaml";
    {
        std::ofstream out(file);
        out << "name: x\nlength: 1s\nengine: { prefill_tokens_per_second: -1, slots: 1, "
               "tokens_per_second: 1 }\ntypo: 1\n";
    }
    const auto read = readScenario(file);
    std::remove(file.c_str());
    BOOST_REQUIRE(!read.hasValue());
    const std::string text = read.lastReason().text;
    BOOST_TEST(text.find("prefill_tokens_per_second") != std::string::npos);
    BOOST_TEST(text.find(":4: typo") != std::string::npos);
    BOOST_TEST(text.find("variants") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
