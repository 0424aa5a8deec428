#include "bundle_commands.hpp"

#include <iostream>
#include <optional>

#include "absl/strings/ascii.h"
#include "absl/strings/str_split.h"

#include "zinniadoor/adapters/platform_http.hpp"
#include "zinniadoor/control/bundle.hpp"
#include "zinniadoor/ctl/arguments.hpp"
#include "zinniadoor/ctl/files.hpp"
#include "zinniadoor/ctl/log_client.hpp"

namespace zinniadoor::ctl {

namespace {

constexpr absl::Duration PlatformTimeout = absl::Seconds(3);
constexpr absl::Duration ReadBackPatience = absl::Seconds(10);

struct CheckedBundle
{
    std::string yaml;
    control::Bundle bundle;
};

std::optional<CheckedBundle> readBundle(const std::string &path)
{
    const base::Outcome<std::string> yaml = readFile(path);
    if (!yaml) {
        std::cerr << yaml.lastReason().text << "\n";
        return std::nullopt;
    }
    const base::Outcome<control::Bundle> bundle = control::parseBundle(*yaml, path);
    if (!bundle) {
        std::cerr << bundle.lastReason().text << "\n";
        return std::nullopt;
    }
    return CheckedBundle { *yaml, *bundle };
}

class BundleCheckCommand : public Command
{
public:
    std::string name() const override { return "bundle check"; }
    std::string brief() const override { return "check a bundle file and print its digest"; }

    ExitCode run(const std::vector<std::string> &arguments) override
    {
        Arguments parser(name(), brief());
        TCLAP::ValueArg<std::string> file("b", "bundle", "bundle file", true, "", "FILE",
                                          parser.line());
        const Arguments::Result parsed = parser.parse(arguments);
        if (parsed != Arguments::Result::Run)
            return parsed == Arguments::Result::Wrong ? ExitCode::Usage : ExitCode::Ok;
        const std::optional<CheckedBundle> checked = readBundle(file.getValue());
        if (!checked)
            return ExitCode::Usage;
        std::cout << control::bundleDigest(checked->yaml) << "\n";
        return ExitCode::Ok;
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
        TCLAP::ValueArg<std::string> who("u", "operator", "operator id", true, "", "ID",
                                         parser.line());
        TCLAP::ValueArg<std::string> key("k", "key", "file of the secret key", true, "", "FILE",
                                         parser.line());
        const Arguments::Result parsed = parser.parse(arguments);
        if (parsed != Arguments::Result::Run)
            return parsed == Arguments::Result::Wrong ? ExitCode::Usage : ExitCode::Ok;
        const std::optional<CheckedBundle> checked = readBundle(file.getValue());
        const base::Outcome<std::string> secret = readFile(key.getValue());
        if (!secret)
            std::cerr << secret.lastReason().text << "\n";
        if (!checked || !secret)
            return ExitCode::Usage;
        const std::string secretKey(absl::StripAsciiWhitespace(*secret));
        const base::Outcome<control::Signature> signature
            = control::signText(checked->yaml, who.getValue(), secretKey);
        if (!signature) {
            std::cerr << signature.lastReason().text << "\n";
            return ExitCode::Usage;
        }
        std::cout << signature->operatorId << " " << signature->bytes << "\n";
        return ExitCode::Ok;
    }
};

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
        TCLAP::MultiArg<std::string> signatureFiles("s", "signature", "output of bundle sign", true,
                                                    "FILE", parser.line());
        TCLAP::ValueArg<std::string> platform("p", "platform", "URL of the platform", true, "",
                                              "URL", parser.line());
        const Arguments::Result parsed = parser.parse(arguments);
        if (parsed != Arguments::Result::Run)
            return parsed == Arguments::Result::Wrong ? ExitCode::Usage : ExitCode::Ok;
        const std::optional<CheckedBundle> checked = readBundle(file.getValue());
        if (!checked)
            return ExitCode::Usage;
        control::BundlePublished record;
        record.yaml = checked->yaml;
        for (const std::string &path : signatureFiles.getValue()) {
            if (!addSignature(path, record))
                return ExitCode::Usage;
        }
        return publish(record, platform.getValue());
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
            std::cerr << path << ": is not a signature\n";
            return false;
        }
        record.signatures.push_back({ words[0], words[1] });
        return true;
    }

    static ExitCode publish(const control::BundlePublished &record, const std::string &platform)
    {
        LogClient client(adapters::httpLog({ platform, PlatformTimeout }));
        const AppendResult result = client.append(record, ReadBackPatience);
        switch (result.effect) {
        case AppendEffect::InLog:
            std::cout << "published at offset " << result.offset << "\n";
            return ExitCode::Ok;
        case AppendEffect::NotInLog:
            std::cerr << "not published: " << result.reason.text << "\n";
            return ExitCode::Failed;
        case AppendEffect::Unknown:
            break;
        }
        std::cerr << "may or may not be published: " << result.reason.text << "\n";
        return ExitCode::Unknown;
    }
};

} // namespace

std::vector<std::unique_ptr<Command>> bundleCommands()
{
    std::vector<std::unique_ptr<Command>> commands;
    commands.push_back(std::make_unique<BundleCheckCommand>());
    commands.push_back(std::make_unique<BundleSignCommand>());
    commands.push_back(std::make_unique<BundlePublishCommand>());
    return commands;
}

} // namespace zinniadoor::ctl
