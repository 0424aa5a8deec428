#include "zinniadoor/ctl/arguments.hpp"

#include <iostream>

namespace zinniadoor::ctl {

Arguments::Arguments(const std::string &command, const std::string &brief)
    : name_("zinniadoorctl " + command)
    , line_(brief, ' ', "0.1.0")
{
    line_.setExceptionHandling(false);
}

std::optional<ExitCode> Arguments::parse(const std::vector<std::string> &arguments)
{
    std::vector<std::string> words { name_ };
    words.insert(words.end(), arguments.begin(), arguments.end());
    try {
        line_.parse(words);
        return std::nullopt;
    } catch (const TCLAP::ExitException &) {
        return ExitCode::Ok;
    } catch (const TCLAP::ArgException &error) {
        std::cerr << name_ << ": " << error.error() << " " << error.argId() << "\n";
        return ExitCode::Usage;
    }
}

} // namespace zinniadoor::ctl
