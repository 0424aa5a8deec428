#include "log_command.hpp"

#include <algorithm>
#include <iostream>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/time/clock.h"

#include "zinniadoor/control/records.hpp"
#include "zinniadoor/ctl/arguments.hpp"
#include "zinniadoor/ctl/bundle_source.hpp"
#include "zinniadoor/ctl/frame_summary.hpp"
#include "zinniadoor/ctl/interrupt.hpp"
#include "zinniadoor/ctl/output.hpp"

namespace zinniadoor::ctl {

namespace {

constexpr int DefaultRecords = 20;
constexpr int MaxRecords = 1'000'000;
constexpr std::size_t PageRecords = 500;
constexpr base::Offset PastLogEnd = 1ULL << 62; ///< A read from here returns only the log's bounds.
constexpr absl::Duration PollWait = absl::Milliseconds(500);
constexpr absl::Duration RetryDelay = absl::Milliseconds(500);

class LogTailCommand : public Command
{
public:
    std::string name() const override { return "log tail"; }
    std::string brief() const override { return "show the newest records of the platform's log"; }

    ExitCode run(const std::vector<std::string> &arguments) override
    {
        Arguments parser(name(), brief());
        TCLAP::ValueArg<std::string> platform("p", "platform", "URL of the platform", true, "",
                                              "URL", parser.line());
        TCLAP::ValueArg<int> count("n", "records", "number of existing records to show", false,
                                   DefaultRecords, "NUMBER", parser.line());
        TCLAP::SwitchArg follow("f", "follow", "keep showing new records until Ctrl-C",
                                parser.line());
        OutputArgument output(parser);
        if (const std::optional<ExitCode> ended = parser.parse(arguments))
            return *ended;
        if (count.getValue() < 0 || count.getValue() > MaxRecords) {
            std::cerr << "--records: must be between 0 and " << MaxRecords << "\n";
            return ExitCode::Usage;
        }
        const std::unique_ptr<ports::Log> log = openLog(platform.getValue());
        const base::Outcome<ports::LogPage> end
            = log->readAfter(PastLogEnd, 1, absl::ZeroDuration());
        if (!end) {
            std::cerr << end.lastReason().text << "\n";
            return ExitCode::Failed;
        }
        const auto recordCount = static_cast<base::Offset>(count.getValue());
        const base::Offset oldest = end->firstOffset > 0 ? end->firstOffset - 1 : 0;
        const base::Offset from = end->lastOffset > recordCount ? end->lastOffset - recordCount : 0;
        return show(*log, std::max(from, oldest), end->lastOffset, follow.getValue(),
                    output.format());
    }

private:
    static ExitCode show(ports::Log &log, base::Offset after, base::Offset last, bool follow,
                         OutputFormat format)
    {
        while ((follow || after < last) && !isInterrupted() && std::cout) {
            const base::Outcome<ports::LogPage> page
                = log.readAfter(after, PageRecords, follow ? PollWait : absl::ZeroDuration());
            if (!page) {
                std::cerr << page.lastReason().text << "\n";
                if (!follow)
                    return ExitCode::Failed;
                absl::SleepFor(RetryDelay);
                continue;
            }
            if (page->entries.empty() && !follow)
                break;
            for (const ports::LogEntry &entry : page->entries) {
                after = entry.offset;
                std::cout << lineOf(entry, format) << "\n";
            }
            std::cout.flush();
        }
        return ExitCode::Ok;
    }

    static std::string lineOf(const ports::LogEntry &entry, OutputFormat format)
    {
        const FrameSummary summary = summariseFrame(entry.data);
        static const Table columns { { "offset", "writer", "sequence", "version", "records" }, {} };
        if (format == OutputFormat::Json) {
            return renderJsonRow(columns,
                                 { entry.offset, summary.writer, summary.sequence, summary.version,
                                   summary.records });
        }
        return absl::StrFormat("%8d  %-28s #%-6d v%-4d %s", entry.offset, summary.writer,
                               summary.sequence, summary.version, summary.records);
    }
};

} // namespace

std::unique_ptr<Command> logTailCommand()
{
    return std::make_unique<LogTailCommand>();
}

} // namespace zinniadoor::ctl
