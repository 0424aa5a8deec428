#include "bundle_commands.hpp"

#include <iostream>
#include <optional>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

#include "zinniadoor/ctl/arguments.hpp"
#include "zinniadoor/ctl/bundle_diff.hpp"
#include "zinniadoor/ctl/bundle_draft.hpp"
#include "zinniadoor/ctl/bundle_source.hpp"
#include "zinniadoor/ctl/files.hpp"
#include "zinniadoor/ctl/output.hpp"

#include "publish_command.hpp"

namespace zinniadoor::ctl {

namespace {

class BundleCheckCommand : public Command
{
public:
    std::string name() const override { return "bundle check"; }
    std::string brief() const override { return "validate a bundle file and print its digest"; }

    ExitCode run(const std::vector<std::string> &arguments) override
    {
        Arguments parser(name(), brief());
        TCLAP::ValueArg<std::string> file("b", "bundle", "bundle file", true, "", "FILE",
                                          parser.line());
        if (const std::optional<ExitCode> ended = parser.parse(arguments))
            return *ended;
        const std::optional<ValidatedBundle> checked = readBundle(file.getValue());
        if (!checked)
            return ExitCode::Usage;
        std::cout << control::bundleDigest(checked->yaml) << "\n";
        return ExitCode::Ok;
    }
};

class BundleDiffCommand : public Command
{
public:
    std::string name() const override { return "bundle diff"; }
    std::string brief() const override { return "show what a bundle file changes"; }

    ExitCode run(const std::vector<std::string> &arguments) override
    {
        Arguments parser(name(), brief());
        TCLAP::ValueArg<std::string> to("t", "to", "the new bundle file", true, "", "FILE",
                                        parser.line());
        BundleSourceArguments from(parser);
        OutputArgument output(parser);
        if (const std::optional<ExitCode> ended = parser.parse(arguments))
            return *ended;
        ExitCode code = ExitCode::Ok;
        const std::optional<ValidatedBundle> before = from.read(code);
        if (!before)
            return code;
        const std::optional<ValidatedBundle> after = readBundle(to.getValue());
        if (!after)
            return ExitCode::Usage;
        Table table { { "change", "where", "before", "after" }, {} };
        for (const BundleChange &change : diffBundles(before->yaml, after->yaml))
            table.rows.push_back({ change.kind, change.where, change.before, change.after });
        std::cout << render(table, output.format());
        return ExitCode::Ok;
    }
};

class BundleNextCommand : public Command
{
public:
    std::string name() const override { return "bundle next"; }
    std::string brief() const override
    {
        return "write the active bundle to a file as a draft of the next";
    }

    ExitCode run(const std::vector<std::string> &arguments) override
    {
        Arguments parser(name(), brief());
        TCLAP::ValueArg<std::string> platform("p", "platform", "URL of the platform", true, "",
                                              "URL", parser.line());
        TCLAP::ValueArg<std::string> out("o", "out", "output file for the draft", true, "", "FILE",
                                         parser.line());
        if (const std::optional<ExitCode> ended = parser.parse(arguments))
            return *ended;
        const base::Outcome<ValidatedBundle> active
            = readActiveBundle(*openLog(platform.getValue()));
        if (!active) {
            std::cerr << active.lastReason().text << "\n";
            return ExitCode::Failed;
        }
        base::Outcome<BundleDraft> draft = BundleDraft::parse(active->yaml, "active bundle");
        if (!draft) {
            std::cerr << draft.lastReason().text << "\n";
            return ExitCode::Failed;
        }
        draft->makeSuccessor(control::bundleDigest(active->yaml), active->bundle.version + 1);
        return saveDraft(*draft, out.getValue());
    }
};

class BundleSignCommand : public Command
{
public:
    std::string name() const override { return "bundle sign"; }
    std::string brief() const override { return "sign a bundle file as an operator"; }

    ExitCode run(const std::vector<std::string> &arguments) override
    {
        Arguments parser(name(), brief());
        TCLAP::ValueArg<std::string> file("b", "bundle", "bundle file", true, "", "FILE",
                                          parser.line());
        TCLAP::ValueArg<std::string> operatorId("u", "operator", "operator id", true, "", "ID",
                                                parser.line());
        TCLAP::ValueArg<std::string> key("k", "key", "secret key file", true, "", "FILE",
                                         parser.line());
        if (const std::optional<ExitCode> ended = parser.parse(arguments))
            return *ended;
        const std::optional<ValidatedBundle> checked = readBundle(file.getValue());
        const base::Outcome<std::string> secret = readFile(key.getValue());
        if (!secret)
            std::cerr << secret.lastReason().text << "\n";
        if (!checked || !secret)
            return ExitCode::Usage;
        const std::string secretKey(absl::StripAsciiWhitespace(*secret));
        const base::Outcome<control::Signature> signature
            = control::signText(checked->yaml, operatorId.getValue(), secretKey);
        if (!signature) {
            std::cerr << signature.lastReason().text << "\n";
            return ExitCode::Usage;
        }
        std::cout << signature->operatorId << " " << signature->bytes << "\n";
        return ExitCode::Ok;
    }
};

class BundleStatusCommand : public Command
{
public:
    std::string name() const override { return "bundle status"; }
    std::string brief() const override
    {
        return "show the active version and each instance's version";
    }

    ExitCode run(const std::vector<std::string> &arguments) override
    {
        Arguments parser(name(), brief());
        TCLAP::ValueArg<std::string> platform("p", "platform", "URL of the platform", true, "",
                                              "URL", parser.line());
        OutputArgument output(parser);
        if (const std::optional<ExitCode> ended = parser.parse(arguments))
            return *ended;
        const std::unique_ptr<ports::Log> log = openLog(platform.getValue());
        LogReplay replay(*log);
        const base::Status read = replay.catchUp(LogReadTimeout);
        if (!read) {
            std::cerr << read.lastReason().text << "\n";
            return ExitCode::Failed;
        }
        std::cout << render(tableOf(replay.state()), output.format());
        return ExitCode::Ok;
    }

private:
    /// The active bundle first, then each instance that has not stopped, withdrawn keys and
    /// rejected configuration records.
    static Table tableOf(const control::State &state)
    {
        const control::ConfigurationChain &chain = state.configuration();
        Table table { { "what", "version", "offset", "detail" }, {} };
        table.rows.push_back({ "in force", chain.version(), chain.publishedAt(), chain.digest() });
        for (const control::Process &process : state.instances().running()) {
            const control::ProcessInfo *info = state.instances().find(process);
            table.rows.push_back({ absl::StrCat("instance ", process.instance.str()),
                                   info->bundleVersion, info->lastFrame, info->dataCentre.str() });
        }
        for (const base::KeyId &key : chain.withdrawnKeys())
            table.rows.push_back({ "withdrawn key", chain.version(), std::uint64_t(0), key.str() });
        for (const control::Rejection &rejection : chain.rejections()) {
            table.rows.push_back({ absl::StrCat("rejected from ", rejection.writer.str()),
                                   std::uint64_t(0), rejection.offset, rejection.reason });
        }
        return table;
    }
};

} // namespace

std::vector<std::unique_ptr<Command>> bundleCommands()
{
    std::vector<std::unique_ptr<Command>> commands;
    commands.push_back(std::make_unique<BundleCheckCommand>());
    commands.push_back(std::make_unique<BundleDiffCommand>());
    commands.push_back(std::make_unique<BundleNextCommand>());
    commands.push_back(std::make_unique<BundleSignCommand>());
    commands.push_back(bundlePublishCommand());
    commands.push_back(std::make_unique<BundleStatusCommand>());
    return commands;
}

} // namespace zinniadoor::ctl
