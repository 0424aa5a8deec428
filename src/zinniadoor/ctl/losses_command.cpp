#include "losses_command.hpp"

#include <fstream>
#include <iostream>

#include "zinniadoor/ctl/arguments.hpp"
#include "zinniadoor/ctl/loss_report.hpp"
#include "zinniadoor/ctl/output.hpp"

namespace zinniadoor::ctl {

namespace {

class LossesCommand : public Command
{
public:
    std::string name() const override { return "losses"; }
    std::string brief() const override
    {
        return "count requests by outcome and cause from gateway logs";
    }

    ExitCode run(const std::vector<std::string> &arguments) override
    {
        Arguments parser(name(), brief());
        TCLAP::UnlabeledMultiArg<std::string> files("file", "gateway log; - for standard input",
                                                    true, "FILE", parser.line());
        OutputArgument output(parser);
        if (const std::optional<ExitCode> ended = parser.parse(arguments))
            return *ended;
        LossReport report;
        for (const std::string &name : files.getValue()) {
            if (name == "-") {
                read(std::cin, report);
                continue;
            }
            std::ifstream file(name);
            if (!file) {
                std::cerr << "cannot read " << name << "\n";
                return ExitCode::Usage;
            }
            read(file, report);
        }
        std::cout << render(report.table(), output.format());
        return ExitCode::Ok;
    }

private:
    // Reads line by line, since logs may exceed the available memory.
    static void read(std::istream &lines, LossReport &report)
    {
        std::string line;
        while (std::getline(lines, line))
            report.add(line);
    }
};

} // namespace

std::unique_ptr<Command> lossesCommand()
{
    return std::make_unique<LossesCommand>();
}

} // namespace zinniadoor::ctl
