#pragma once

#include <optional>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>

#include "zinniadoor/ctl/command.hpp"

namespace zinniadoor::ctl {

/// Command line of one subcommand: TCLAP's, but returning instead of exiting.
class Arguments
{
public:
    Arguments(const std::string &command, const std::string &brief);

    TCLAP::CmdLine &line() { return line_; }

    /// Prints help or the fault itself; then gives the exit code with which to end.
    std::optional<ExitCode> parse(const std::vector<std::string> &arguments);

private:
    std::string name_;
    TCLAP::CmdLine line_;
};

} // namespace zinniadoor::ctl
