#pragma once

#include <optional>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>

#include "zinniadoor/ctl/command.hpp"

namespace zinniadoor::ctl {

/// Command-line parser of one subcommand: a TCLAP parser that returns an exit code instead of
/// ending the process.
class Arguments
{
public:
    Arguments(const std::string &command, const std::string &brief);

    TCLAP::CmdLine &line() { return line_; }

    /// Parses the arguments that follow the subcommand's name. Prints help or an error where
    /// needed and then returns the exit code to end with; otherwise returns nothing.
    std::optional<ExitCode> parse(const std::vector<std::string> &arguments);

private:
    std::string name_;
    TCLAP::CmdLine line_;
};

} // namespace zinniadoor::ctl
