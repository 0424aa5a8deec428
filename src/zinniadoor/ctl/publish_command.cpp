#include "publish_command.hpp"

#include <iostream>

#include "absl/strings/ascii.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"

#include "zinniadoor/ctl/arguments.hpp"
#include "zinniadoor/ctl/bundle_source.hpp"
#include "zinniadoor/ctl/confirmation.hpp"
#include "zinniadoor/ctl/files.hpp"
#include "zinniadoor/ctl/interrupt.hpp"
#include "zinniadoor/ctl/log_client.hpp"

namespace zinniadoor::ctl {

namespace {

constexpr absl::Duration ReadBackTimeout = absl::Seconds(10);
constexpr absl::Duration PageWait = absl::Milliseconds(500);
constexpr absl::Duration RetryDelay = absl::Milliseconds(200);
constexpr int DefaultWaitSeconds = 30;
constexpr int MaxWaitSeconds = 3600;

class BundlePublishCommand : public Command
{
public:
    std::string name() const override { return "bundle publish"; }
    std::string brief() const override { return "publish a signed bundle to the platform's log"; }

    ExitCode run(const std::vector<std::string> &arguments) override
    {
        Arguments parser(name(), brief());
        TCLAP::ValueArg<std::string> file("b", "bundle", "bundle file", true, "", "FILE",
                                          parser.line());
        TCLAP::MultiArg<std::string> signatureFiles("s", "signature",
                                                    "file with the output of \"bundle sign\"", true,
                                                    "FILE", parser.line());
        TCLAP::ValueArg<std::string> platform("p", "platform", "URL of the platform", true, "",
                                              "URL", parser.line());
        TCLAP::ValueArg<int> wait("w", "wait", "seconds to wait for confirmation by all instances",
                                  false, DefaultWaitSeconds, "SECONDS", parser.line());
        if (const std::optional<ExitCode> ended = parser.parse(arguments))
            return *ended;
        if (wait.getValue() < 0 || wait.getValue() > MaxWaitSeconds) {
            std::cerr << "--wait: must be between 0 and " << MaxWaitSeconds << "\n";
            return ExitCode::Usage;
        }
        const std::optional<ValidatedBundle> checked = readBundle(file.getValue());
        if (!checked)
            return ExitCode::Usage;
        control::BundlePublished record;
        record.yaml = checked->yaml;
        for (const std::string &path : signatureFiles.getValue()) {
            if (!addSignature(path, record))
                return ExitCode::Usage;
        }
        return publishRecord(record, platform.getValue(), absl::Seconds(wait.getValue()));
    }

private:
    static bool addSignature(const std::string &path, control::BundlePublished &record)
    {
        const base::Outcome<std::string> text = readFile(path);
        if (!text) {
            std::cerr << text.lastReason().text << "\n";
            return false;
        }
        const std::vector<std::string> words
            = absl::StrSplit(absl::StripAsciiWhitespace(*text), ' ', absl::SkipEmpty());
        if (words.size() != 2) {
            std::cerr << path << ": not a signature\n";
            return false;
        }
        record.signatures.push_back({ words[0], words[1] });
        return true;
    }
};

ExitCode awaitInstances(LogReplay &replay, base::Offset offset, std::uint64_t version,
                        absl::Duration wait)
{
    const absl::Time deadline = absl::Now() + wait;
    std::vector<UnconfirmedInstance> missing
        = unconfirmedInstances(replay.state(), offset, version);
    while (!missing.empty() && absl::Now() < deadline && !isInterrupted()) {
        if (!replay.readPage(PageWait))
            absl::SleepFor(RetryDelay);
        missing = unconfirmedInstances(replay.state(), offset, version);
    }
    for (const UnconfirmedInstance &instance : missing) {
        std::cerr << "not confirmed by " << instance.instance.str()
                  << (instance.silent ? ": no frame since the change" : ": still at version ")
                  << (instance.silent ? "" : std::to_string(instance.version)) << "\n";
    }
    if (!missing.empty())
        return ExitCode::Partial;
    const bool anyRunning = !replay.state().instances().running().empty();
    std::cout << (anyRunning ? "confirmed by every instance\n" : "no instance is running\n");
    return ExitCode::Ok;
}

} // namespace

ExitCode publishRecord(const control::Record &record, const std::string &platform,
                       absl::Duration wait)
{
    LogClient client(openLog(platform));
    const AppendResult result = client.append(record, ReadBackTimeout);
    if (result.status == AppendStatus::NotAppended) {
        std::cerr << "not published: " << result.reason.text << "\n";
        return ExitCode::Failed;
    }
    if (result.status == AppendStatus::Unknown) {
        std::cerr << "outcome of the append unknown: " << result.reason.text
                  << "; check with \"bundle status\"\n";
        return ExitCode::Unknown;
    }
    LogReplay replay(client.log());
    const base::Outcome<RecordOutcome> outcome
        = replay.waitForOutcome(result.offset, LogReadTimeout);
    if (!outcome) {
        std::cerr << "appended at offset " << result.offset
                  << ", but its outcome is unknown: " << outcome.lastReason().text
                  << "; check with \"bundle status\"\n";
        return ExitCode::Unknown;
    }
    if (!outcome->accepted) {
        std::cerr << "without effect: the record at offset " << result.offset
                  << " was rejected: " << outcome->reason << "\n";
        return ExitCode::Failed;
    }
    std::cout << "in effect from offset " << result.offset << std::endl;
    return awaitInstances(replay, result.offset, replay.state().configuration().version(), wait);
}

std::unique_ptr<Command> bundlePublishCommand()
{
    return std::make_unique<BundlePublishCommand>();
}

} // namespace zinniadoor::ctl
