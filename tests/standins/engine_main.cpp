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

/// Command line of the engine. Parsing exits with a message on an invalid argument.
struct EngineCommand
{
    TCLAP::CmdLine line { "Stand-in for a model engine." };
    Number port { "", "port", "Port on 127.0.0.1; 0: any free port.", false, 0, "n", line };
    Text id { "", "id", "Id in responses.", false, "engine", "text", line };
    Text role { "", "role", "prefill, decode or mixed.", false, "mixed", "role", line };
    Text models { "",    "models", "Models served, comma-separated; default: all.", false, "",
                  "a,b", line };
    Number prefill {
        "",    "prefill-tokens-per-second",   "Prefill rate of the engine; 0: unlimited.",
        false, DefaultPrefillTokensPerSecond, "n",
        line
    };
    Number tokens { "",    "tokens-per-second",    "Decode rate per stream; 0: unlimited.",
                    false, DefaultTokensPerSecond, "n",
                    line };
    Number slots { "", "slots", "Concurrent streams.", false, DefaultSlots, "n", line };
    Number loadLag { "", "load-lag-ms", "Staleness of load reports.", false, 0, "ms", line };
    Text fencing {
        "", "fencing", "check or ignore fencing numbers.", false, "check", "mode", line
    };
    Number roleChange { "", "role-change-ms", "Duration of an order.", false, 0, "ms", line };
    TCLAP::SwitchArg cutStreamsOnRoleChange { "", "role-change-cuts",
                                              "Abort open streams on a role change.", line };
    Text crashMarker { "",     "crash-on", "Exit if a prompt contains this text.", false, "",
                       "text", line };
    Number kvPages {
        "", "kv-pages", "KV cache capacity in pages.", false, DefaultKvPages, "n", line
    };
    Number pageTokens {
        "", "page-tokens", "Tokens per page.", false, DefaultPageTokens, "n", line
    };
    Number eventLag { "", "cache-event-lag-ms", "Delay of cache events.", false, 0, "ms", line };
    Number eventGap {
        "", "cache-event-gap-every", "Omit every n-th event; 0: none.", false, 0, "n", line
    };
    TCLAP::ValueArg<double> offRole { "",
                                      "off-role-factor",
                                      "Rate multiplier for the phase that the role does not serve.",
                                      false,
                                      1,
                                      "x",
                                      line };

    TCLAP::SwitchArg exitOnStdinClose { "", "exit-with-input", "Exit at the end of standard input.",
                                        line };

    ServerOptions serverOptions()
    {
        return { static_cast<std::uint16_t>(port.getValue()), exitOnStdinClose.getValue() };
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
        out.enforceFencing = fencing.getValue() != "ignore";
        out.roleChangeMs = roleChange.getValue();
        out.cutStreamsOnRoleChange = cutStreamsOnRoleChange.getValue();
        out.crashMarker = crashMarker.getValue();
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
