#pragma once

#include <memory>
#include <string>
#include <vector>

#include "zinniadoor/base/outcome.hpp"

namespace zinniadoor::ctl {

/// Exit codes of the tool, documented in docs/OPERATIONS.md.
enum class ExitCode {
    Ok = 0,
    Failed = 1, ///< The operation failed and had no effect.
    Usage = 2, ///< The command line or an input file is invalid; nothing was done.
    Unknown = 3, ///< The operation may have taken effect; "bundle status" shows it.
    Partial = 4, ///< Done, but not every instance confirmed it or responded.
};

/// One subcommand, such as "bundle publish".
class Command
{
public:
    virtual ~Command() = default;

    /// The words that select the subcommand.
    virtual std::string name() const = 0;

    /// One-line description for the list of commands.
    virtual std::string brief() const = 0;

    /// Runs the subcommand with the arguments that follow its name. Prints output and errors to the
    /// standard streams.
    virtual ExitCode run(const std::vector<std::string> &arguments) = 0;
};

/// All subcommands, in the order of the help text.
std::vector<std::unique_ptr<Command>> allCommands();

/// Runs the subcommand named by the first words of `arguments` (without the program's name).
ExitCode runTool(const std::vector<std::string> &arguments);

} // namespace zinniadoor::ctl
