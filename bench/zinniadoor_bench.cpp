#include <cstdlib>
#include <fstream>
#include <iostream>

#include <tclap/CmdLine.h>

#include "results.hpp"
#include "scenario.hpp"
#include "virtual_run.hpp"

namespace {

using namespace zinniadoor::bench;

bool writeFile(const std::string &path, const std::string &text)
{
    std::ofstream out(path);
    out << text;
    out.flush();
    if (!out)
        std::cerr << "cannot write " << path << "\n";
    return static_cast<bool>(out);
}

int run(const std::string &file, const std::string &outPrefix, std::int64_t seed)
{
    auto scenario = readScenario(file);
    if (!scenario) {
        std::cerr << scenario.lastReason().text << "\n";
        return 2;
    }
    if (seed >= 0)
        scenario->seed = static_cast<std::uint64_t>(seed);
    std::vector<RunResult> runs;
    for (const Variant &variant : scenario->variants)
        runs.push_back(runVirtual(*scenario, variant));
    std::cout << scenario->name << ", seed " << scenario->seed << "\n\n"
              << tableOf(*scenario, runs);
    if (outPrefix.empty())
        return EXIT_SUCCESS;
    const bool isWritten = writeFile(outPrefix + ".json", jsonOf(*scenario, runs))
        && writeFile(outPrefix + ".csv", csvOf(*scenario, runs))
        && writeFile(outPrefix + ".svg", svgOf(*scenario, runs));
    return isWritten ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine command("Runs the variants of a scenario on a virtual clock", ' ', "0.1");
        TCLAP::UnlabeledValueArg<std::string> file("scenario", "scenario file (YAML)", true, "",
                                                   "FILE", command);
        TCLAP::ValueArg<std::string> out("o", "out", "write PREFIX.json, PREFIX.csv and PREFIX.svg",
                                         false, "", "PREFIX", command);
        TCLAP::ValueArg<std::int64_t> seed("s", "seed", "random seed, instead of the scenario's",
                                           false, -1, "NUMBER", command);
        command.parse(argc, argv);
        return run(file.getValue(), out.getValue(), seed.getValue());
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return EXIT_FAILURE;
    }
}
