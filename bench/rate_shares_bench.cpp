#include <cstdio>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>

#include "support/share_world.hpp"

// Measures rate and burst across instances on a virtual clock: refusals within the rate, what one
// lost instance costs, and a log outage; rate shares against the fixed equal split, which sees the
// same arrivals. Prints Markdown tables.

namespace {

using namespace zinniadoor;
using namespace zinniadoor::control;
using namespace zinniadoor::tests;

constexpr absl::Duration WarmUp = absl::Minutes(2);
constexpr int Instances = 8;

struct Case
{
    std::string name;
    double rate = 0;
    double burst = 0;
};

const std::vector<Case> Cases = {
    { "2/s, burst 5", 2, 5 },         { "40/s, burst 5", 40, 5 },
    { "20/s, burst 5", 20, 5 },       { "20/s, burst 40", 20, 40 },
    { "50/s, burst 100", 50, 100 },   { "200/s, burst 20", 200, 20 },
    { "200/s, burst 400", 200, 400 },
};

WorldOptions optionsFor(const Case &one, Strategy strategy, std::uint64_t seed)
{
    Organisation organisation;
    organisation.id = base::OrganisationId("organisation");
    organisation.ratePerSecond = one.rate;
    organisation.burst = one.burst;
    WorldOptions options;
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

double bytesPerSecond(const ShareWorld &world, absl::Duration time)
{
    double most = 0;
    for (int i = 0; i < Instances; ++i)
        most = std::max(most, static_cast<double>(world.bytesSent(i)));
    return most / absl::ToDoubleSeconds(time);
}

void checkLimit(const ShareWorld &world)
{
    if (!world.violation().empty())
        std::printf("VIOLATION: %s\n", world.violation().c_str());
}

void measureSkew(std::uint64_t seed, absl::Duration time)
{
    std::printf("### 8:1 skew at 80 %% of the rate\n\n"
                "One instance gets 8 times the traffic of each other one.\n\n"
                "| organisation | strategy | offered | one global bucket admits | admitted | "
                "of the global bucket's | wrongly refused | bytes/s sent, busiest instance |\n"
                "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const Case &one : Cases) {
        for (const Strategy strategy : { Strategy::Shares, Strategy::FixedSplit }) {
            WorldOptions options = optionsFor(one, strategy, seed);
            options.weights = { 8, 1, 1, 1, 1, 1, 1, 1 };
            ShareWorld world(options);
            world.runUntil(WarmUp);
            world.takeTally();
            world.runUntil(WarmUp + time);
            const Tally tally = world.takeTally();
            std::printf("| %s | %s | %llu | %llu | %llu | %.2f %% | %llu | %.0f |\n",
                        one.name.c_str(), nameOf(strategy),
                        static_cast<unsigned long long>(tally.offered),
                        static_cast<unsigned long long>(tally.globalAdmitted),
                        static_cast<unsigned long long>(tally.admitted),
                        percent(tally.admitted, tally.globalAdmitted),
                        static_cast<unsigned long long>(tally.wrongful),
                        bytesPerSecond(world, WarmUp + time));
            checkLimit(world);
        }
    }
}

/// Runs in windows of `window` and prints the admitted rate of each.
void printWindows(ShareWorld &world, absl::Duration from, int count, absl::Duration window)
{
    for (int i = 0; i < count; ++i) {
        world.runUntil(from + (i + 1) * window);
        const Tally tally = world.takeTally();
        std::printf(" %.1f", static_cast<double>(tally.admitted) / absl::ToDoubleSeconds(window));
    }
}

void measureLoss(const Case &one, std::uint64_t seed)
{
    std::printf(
        "\n### One instance lost without notice: %s\n\n"
        "Offered 200 %% so that all of the rate is used; the instance that collects, else "
        "instance 3, is killed at 0 s and does not come back. Admitted per second in windows "
        "of 5 s, the first one before the loss.\n\n"
        "| strategy | admitted/s | slots in use after 5, 10, 15, 20, 25, 30 s | bytes/s sent, "
        "busiest instance |\n"
        "| --- | --- | --- | --- |\n",
        one.name.c_str());
    for (const Strategy strategy : { Strategy::Shares, Strategy::FixedSplit }) {
        WorldOptions options = optionsFor(one, strategy, seed);
        options.offeredFraction = 2;
        ShareWorld world(options);
        world.runUntil(WarmUp - absl::Seconds(5));
        world.takeTally();
        std::printf("| %s |", nameOf(strategy));
        printWindows(world, WarmUp - absl::Seconds(5), 1, absl::Seconds(5));
        int killed = 3;
        for (int i = 0; i < Instances; ++i) {
            if (world.collects(i, options.organisations.front().id))
                killed = i;
        }
        world.kill(killed);
        std::string slots;
        for (int i = 0; i < 8; ++i) {
            printWindows(world, WarmUp + i * absl::Seconds(5), 1, absl::Seconds(5));
            if (i < 6)
                slots += " " + std::to_string(world.slotsInUse());
        }
        std::printf(" |%s | %.0f |\n", strategy == Strategy::Shares ? slots.c_str() : " -",
                    bytesPerSecond(world, WarmUp + absl::Seconds(40)));
        checkLimit(world);
    }
}

void measureOutage(std::uint64_t seed)
{
    std::printf("\n### Ten minutes without the log\n\n"
                "80 %% of the rate, the skew moves to another instance every minute.\n\n"
                "| organisation | strategy | one global bucket admits | of the global bucket's | "
                "slots in use at the end | of the global bucket's, two minutes after |\n"
                "| --- | --- | --- | --- | --- | --- |\n");
    for (const Case &one : { Cases[2], Cases[3], Cases[4] }) {
        for (const Strategy strategy : { Strategy::Shares, Strategy::FixedSplit }) {
            ShareWorld world(optionsFor(one, strategy, seed));
            world.runUntil(WarmUp);
            world.takeTally();
            world.setLog(false);
            for (int minute = 0; minute < 10; ++minute) {
                std::vector<double> weights(Instances, 1);
                weights[static_cast<std::size_t>(minute % Instances)] = 8;
                world.setWeights(weights);
                world.runUntil(WarmUp + absl::Minutes(minute + 1));
            }
            const Tally tally = world.takeTally();
            const int slots = world.slotsInUse();
            world.setLog(true);
            world.runUntil(WarmUp + absl::Minutes(12));
            const Tally after = world.takeTally();
            std::printf("| %s | %s | %llu | %.2f %% | %s | %.2f %% |\n", one.name.c_str(),
                        nameOf(strategy), static_cast<unsigned long long>(tally.globalAdmitted),
                        percent(tally.admitted, tally.globalAdmitted),
                        strategy == Strategy::Shares ? std::to_string(slots).c_str() : "-",
                        percent(after.admitted, after.globalAdmitted));
            checkLimit(world);
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine line("Rate and burst across instances, on a virtual clock");
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
            measureLoss(Cases[4], seed.getValue());
            measureLoss(Cases[2], seed.getValue());
        }
        if (wants("outage"))
            measureOutage(seed.getValue());
    } catch (const TCLAP::ArgException &error) {
        std::fprintf(stderr, "%s\n", error.error().c_str());
        return 2;
    }
    return 0;
}
