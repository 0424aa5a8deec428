#pragma once

#include <memory>
#include <string>
#include <vector>

#include "zinniadoor/base/outcome.hpp"

namespace zinniadoor::ctl {

/// Exit codes of the tool, documented in docs/OPERATIONS.md.
enum class ExitCode {
    Ok = 0,
    Failed = 1, ///< The operation failed and certainly had no effect.
    Usage = 2, ///< The command line or a file is wrong; nothing was done.
    Unknown = 3, ///< The operation may have taken effect; ask with "status".
    Partial = 4, ///< Done, but not every instance has confirmed it or answered.
};

/// One subcommand, such as "bundle publish".
class Command
{
public:
    virtual ~Command() = default;

    /// The words that select it.
    virtual std::string name() const = 0;

    /// One line for the list of commands.
    virtual std::string brief() const = 0;

    /// `arguments`: what follows the name. Prints its own output and errors.
    virtual ExitCode run(const std::vector<std::string> &arguments) = 0;
};

/// All subcommands, in the order in which help lists them.
std::vector<std::unique_ptr<Command>> allCommands();

/// Finds and runs the subcommand that `arguments` (without the program's name) begin with.
ExitCode runTool(const std::vector<std::string> &arguments);

} // namespace zinniadoor::ctl
