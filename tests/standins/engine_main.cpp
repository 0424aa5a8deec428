#include <cstdint>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>

#include "absl/strings/str_split.h"

#include "engine.hpp"

namespace {

using zinniadoor::standins::Engine;
using zinniadoor::standins::EngineOptions;
using zinniadoor::standins::ServerOptions;
using Number = TCLAP::ValueArg<std::int64_t>;
using Text = TCLAP::ValueArg<std::string>;

constexpr std::int64_t DefaultPrefillTokensPerSecond = 20000;
constexpr std::int64_t DefaultTokensPerSecond = 200;
constexpr std::int64_t DefaultSlots = 64;
constexpr std::int64_t DefaultKvPages = 512;
constexpr std::int64_t DefaultPageTokens = 2000;

/// The command line of the engine; leaves with a message when it is wrong.
struct EngineCommand
{
    TCLAP::CmdLine line { "Stand-in for a model engine." };
    Number port { "", "port", "Port on 127.0.0.1; 0 picks one.", false, 0, "n", line };
    Text id { "", "id", "Name in answers.", false, "engine", "text", line };
    Text role { "", "role", "prefill, decode or mixed.", false, "mixed", "role", line };
    Text models { "", "models", "Models served, by commas; default all.", false, "", "a,b", line };
    Number prefill {
        "",    "prefill-tokens-per-second",   "Prefill rate of the engine; 0: unbounded.",
        false, DefaultPrefillTokensPerSecond, "n",
        line
    };
    Number tokens { "",    "tokens-per-second",    "Pace of each stream; 0: unbounded.",
                    false, DefaultTokensPerSecond, "n",
                    line };
    Number slots { "", "slots", "Streams at a time.", false, DefaultSlots, "n", line };
    Number loadLag { "", "load-lag-ms", "Age of load reports.", false, 0, "ms", line };
    Text fencing { "", "fencing", "check or ignore.", false, "check", "mode", line };
    Number roleChange { "", "role-change-ms", "Time of a change.", false, 0, "ms", line };
    TCLAP::SwitchArg roleChangeCuts { "", "role-change-cuts", "A role change cuts open streams.",
                                      line };
    Text crashOn { "", "crash-on", "Exit when a prompt contains this.", false, "", "text", line };
    Number kvPages { "", "kv-pages", "KV memory.", false, DefaultKvPages, "n", line };
    Number pageTokens { "", "page-tokens", "Tokens a page.", false, DefaultPageTokens, "n", line };
    Number eventLag { "", "cache-event-lag-ms", "Age of cache events.", false, 0, "ms", line };
    Number eventGap { "", "cache-event-gap-every", "Lose every n-th event.", false, 0, "n", line };
    TCLAP::ValueArg<double> offRole {
        "",
        "off-role-factor",
        "Factor on the rate of the phase that the role does not serve.",
        false,
        1,
        "x",
        line
    };

    TCLAP::SwitchArg exitWithInput { "", "exit-with-input", "Exit when standard input ends.",
                                     line };

    ServerOptions serverOptions()
    {
        return { static_cast<std::uint16_t>(port.getValue()), exitWithInput.getValue() };
    }

    EngineOptions options()
    {
        EngineOptions out;
        out.id = id.getValue();
        for (const auto &model : absl::StrSplit(models.getValue(), ',', absl::SkipEmpty()))
            out.models.emplace(model.data(), model.size());
        out.scheduler.slots = slots.getValue();
        out.scheduler.prefillTokensPerSecond = prefill.getValue();
        out.scheduler.tokensPerSecond = tokens.getValue();
        out.scheduler.loadLagMs = loadLag.getValue();
        out.scheduler.offRoleFactor = offRole.getValue();
        out.scheduler.role = role.getValue();
        out.pages.pages = kvPages.getValue();
        out.pages.eventLagMs = eventLag.getValue();
        out.pages.eventGapEvery = eventGap.getValue();
        out.pageTokens = pageTokens.getValue();
        out.checksFencing = fencing.getValue() != "ignore";
        out.roleChangeMs = roleChange.getValue();
        out.roleChangeCuts = roleChangeCuts.getValue();
        out.crashOn = crashOn.getValue();
        return out;
    }
};

} // namespace

int main(int argc, char **argv)
{
    try {
        EngineCommand command;
        command.line.parse(argc, argv);
        Engine engine(command.options());
        return zinniadoor::standins::runServer(command.serverOptions(), engine);
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
