#include <cstdio>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>

#include "support/share_simulation.hpp"

// Compares rate shares with a fixed equal split of rate and burst across instances, with the same
// arrivals on a virtual clock: wrong rejections within the rate, the loss of an instance, and an
// outage of the log. Prints Markdown tables.

namespace {

using namespace zinniadoor;
using namespace zinniadoor::control;
using namespace zinniadoor::tests;

constexpr absl::Duration WarmUp = absl::Minutes(2);
constexpr int Instances = 8;

struct RateCase
{
    std::string name;
    double rate = 0;
    double burst = 0;
};

const std::vector<RateCase> RateCases = {
    { "2/s, burst 5", 2, 5 },         { "40/s, burst 5", 40, 5 },
    { "20/s, burst 5", 20, 5 },       { "20/s, burst 40", 20, 40 },
    { "50/s, burst 100", 50, 100 },   { "200/s, burst 20", 200, 20 },
    { "200/s, burst 400", 200, 400 },
};

ShareSimulationOptions optionsFor(const RateCase &rateCase, Strategy strategy, std::uint64_t seed)
{
    Organisation organisation;
    organisation.id = base::OrganisationId("organisation");
    organisation.ratePerSecond = rateCase.rate;
    organisation.burst = rateCase.burst;
    ShareSimulationOptions options;
    options.seed = seed;
    options.strategy = strategy;
    options.organisations = { organisation };
    return options;
}

const char *nameOf(Strategy strategy)
{
    return strategy == Strategy::Shares ? "shares" : "fixed split";
}

double percent(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 100 : 100 * static_cast<double>(part) / static_cast<double>(whole);
}

double bytesPerSecond(const ShareSimulation &simulation, absl::Duration time)
{
    double highest = 0;
    for (int i = 0; i < Instances; ++i)
        highest = std::max(highest, static_cast<double>(simulation.bytesSent(i)));
    return highest / absl::ToDoubleSeconds(time);
}

void checkLimit(const ShareSimulation &simulation)
{
    if (!simulation.violation().empty())
        std::printf("VIOLATION: %s\n", simulation.violation().c_str());
}

void measureSkew(std::uint64_t seed, absl::Duration time)
{
    std::printf("### 8:1 skew at 80 %% of the rate\n\n"
                "One instance receives 8 times the traffic of each other one.\n\n"
                "| organisation | strategy | offered | one global bucket admits | admitted | "
                "of the global bucket's | wrongly refused | bytes/s sent, busiest instance |\n"
                "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const RateCase &rateCase : RateCases) {
        for (const Strategy strategy : { Strategy::Shares, Strategy::FixedSplit }) {
            ShareSimulationOptions options = optionsFor(rateCase, strategy, seed);
            options.weights = { 8, 1, 1, 1, 1, 1, 1, 1 };
            ShareSimulation simulation(options);
            simulation.runUntil(WarmUp);
            simulation.takeCounts();
            simulation.runUntil(WarmUp + time);
            const RequestCounts tally = simulation.takeCounts();
            std::printf("| %s | %s | %llu | %llu | %llu | %.2f %% | %llu | %.0f |\n",
                        rateCase.name.c_str(), nameOf(strategy),
                        static_cast<unsigned long long>(tally.offered),
                        static_cast<unsigned long long>(tally.admittedByGlobalBucket),
                        static_cast<unsigned long long>(tally.admitted),
                        percent(tally.admitted, tally.admittedByGlobalBucket),
                        static_cast<unsigned long long>(tally.wronglyRefused),
                        bytesPerSecond(simulation, WarmUp + time));
            checkLimit(simulation);
        }
    }
}

/// Runs `count` windows and prints the admitted rate in each.
void printWindows(ShareSimulation &simulation, absl::Duration from, int count,
                  absl::Duration window)
{
    for (int i = 0; i < count; ++i) {
        simulation.runUntil(from + (i + 1) * window);
        const RequestCounts tally = simulation.takeCounts();
        std::printf(" %.1f", static_cast<double>(tally.admitted) / absl::ToDoubleSeconds(window));
    }
}

void measureLoss(const RateCase &rateCase, std::uint64_t seed)
{
    std::printf(
        "\n### One instance lost without notice: %s\n\n"
        "The offered load is 200 %% of the rate; the collecting instance, or else instance 3, "
        "is killed at 0 s and not restarted. Admitted per second in windows "
        "of 5 s, the first one before the loss.\n\n"
        "| strategy | admitted/s | slots in use after 5, 10, 15, 20, 25, 30 s | bytes/s sent, "
        "busiest instance |\n"
        "| --- | --- | --- | --- |\n",
        rateCase.name.c_str());
    for (const Strategy strategy : { Strategy::Shares, Strategy::FixedSplit }) {
        ShareSimulationOptions options = optionsFor(rateCase, strategy, seed);
        options.offeredFraction = 2;
        ShareSimulation simulation(options);
        simulation.runUntil(WarmUp - absl::Seconds(5));
        simulation.takeCounts();
        std::printf("| %s |", nameOf(strategy));
        printWindows(simulation, WarmUp - absl::Seconds(5), 1, absl::Seconds(5));
        int killed = 3;
        for (int i = 0; i < Instances; ++i) {
            if (simulation.hasBorrowedMost(i, options.organisations.front().id))
                killed = i;
        }
        simulation.kill(killed);
        std::string slots;
        for (int i = 0; i < 8; ++i) {
            printWindows(simulation, WarmUp + i * absl::Seconds(5), 1, absl::Seconds(5));
            if (i < 6)
                slots += " " + std::to_string(simulation.slotsInUse());
        }
        std::printf(" |%s | %.0f |\n", strategy == Strategy::Shares ? slots.c_str() : " -",
                    bytesPerSecond(simulation, WarmUp + absl::Seconds(40)));
        checkLimit(simulation);
    }
}

void measureOutage(std::uint64_t seed)
{
    std::printf("\n### Ten minutes without the log\n\n"
                "80 %% of the rate, the skew moves to another instance every minute.\n\n"
                "| organisation | strategy | one global bucket admits | of the global bucket's | "
                "slots in use at the end | of the global bucket's, two minutes after |\n"
                "| --- | --- | --- | --- | --- | --- |\n");
    for (const RateCase &rateCase : { RateCases[2], RateCases[3], RateCases[4] }) {
        for (const Strategy strategy : { Strategy::Shares, Strategy::FixedSplit }) {
            ShareSimulation simulation(optionsFor(rateCase, strategy, seed));
            simulation.runUntil(WarmUp);
            simulation.takeCounts();
            simulation.setLogAvailable(false);
            for (int minute = 0; minute < 10; ++minute) {
                std::vector<double> weights(Instances, 1);
                weights[static_cast<std::size_t>(minute % Instances)] = 8;
                simulation.setWeights(weights);
                simulation.runUntil(WarmUp + absl::Minutes(minute + 1));
            }
            const RequestCounts tally = simulation.takeCounts();
            const int slots = simulation.slotsInUse();
            simulation.setLogAvailable(true);
            simulation.runUntil(WarmUp + absl::Minutes(12));
            const RequestCounts after = simulation.takeCounts();
            std::printf("| %s | %s | %llu | %.2f %% | %s | %.2f %% |\n", rateCase.name.c_str(),
                        nameOf(strategy),
                        static_cast<unsigned long long>(tally.admittedByGlobalBucket),
                        percent(tally.admitted, tally.admittedByGlobalBucket),
                        strategy == Strategy::Shares ? std::to_string(slots).c_str() : "-",
                        percent(after.admitted, after.admittedByGlobalBucket));
            checkLimit(simulation);
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine line("Measures rate and burst across instances on a virtual clock");
        TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Random seed", false, 1, "number", line);
        TCLAP::ValueArg<std::string> part("", "part", "skew, loss, outage or all", false, "all",
                                          "name", line);
        TCLAP::ValueArg<int> minutes("", "minutes", "Length of the skew runs", false, 10, "number",
                                     line);
        line.parse(argc, argv);
        const auto wants = [&part](const char *name) {
            return part.getValue() == "all" || part.getValue() == name;
        };
        if (wants("skew"))
            measureSkew(seed.getValue(), absl::Minutes(minutes.getValue()));
        if (wants("loss")) {
            measureLoss(RateCases[4], seed.getValue());
            measureLoss(RateCases[2], seed.getValue());
        }
        if (wants("outage"))
            measureOutage(seed.getValue());
    } catch (const TCLAP::ArgException &error) {
        std::fprintf(stderr, "%s\n", error.error().c_str());
        return 2;
    }
    return 0;
}
