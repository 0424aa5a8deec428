#pragma once

#include <string>
#include <vector>

#include <tclap/CmdLine.h>

namespace zinniadoor::ctl {

/// Command line of one subcommand: TCLAP's, but returning instead of exiting.
class Arguments
{
public:
    Arguments(const std::string &command, const std::string &brief);

    TCLAP::CmdLine &line() { return line_; }

    enum class Result { Run, HelpShown, Wrong };

    /// Prints help or the fault itself.
    Result parse(const std::vector<std::string> &arguments);

private:
    std::string name_;
    TCLAP::CmdLine line_;
};

} // namespace zinniadoor::ctl
