#include "zinniadoor/ctl/arguments.hpp"

#include <iostream>

namespace zinniadoor::ctl {

Arguments::Arguments(const std::string &command, const std::string &brief)
    : name_("zinniadoorctl " + command)
    , line_(brief, ' ', "0.1.0")
{
    line_.setExceptionHandling(false);
}

Arguments::Result Arguments::parse(const std::vector<std::string> &arguments)
{
    std::vector<std::string> words { name_ };
    words.insert(words.end(), arguments.begin(), arguments.end());
    try {
        line_.parse(words);
        return Result::Run;
    } catch (const TCLAP::ExitException &) {
        return Result::HelpShown;
    } catch (const TCLAP::ArgException &error) {
        std::cerr << name_ << ": " << error.error() << " " << error.argId() << "\n";
        return Result::Wrong;
    }
}

} // namespace zinniadoor::ctl
