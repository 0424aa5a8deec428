#include "zinniadoor/ctl/bundle_source.hpp"

#include <iostream>

#include "zinniadoor/adapters/platform_http.hpp"
#include "zinniadoor/ctl/files.hpp"

namespace zinniadoor::ctl {

namespace {

constexpr absl::Duration PlatformTimeout = absl::Seconds(3);

} // namespace

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

std::unique_ptr<ports::Log> openLog(const std::string &platform)
{
    return adapters::httpLog({ platform, PlatformTimeout });
}

base::Outcome<CheckedBundle> bundleInForce(ports::Log &log)
{
    LogReplay replay(log);
    const base::Status read = replay.catchUp(ReadPatience);
    if (!read)
        return read.lastReason();
    const control::ConfigurationChain &chain = replay.state().configuration();
    if (chain.bundle() == nullptr)
        return base::Reason { base::ReasonCode::NotFound, "no bundle has been published" };
    return CheckedBundle { chain.published().yaml, *chain.bundle() };
}

SourceArguments::SourceArguments(Arguments &arguments)
    : file_("b", "bundle", "bundle file", false, "", "FILE")
    , platform_("p", "platform", "URL of the platform: reads the bundle in force", false, "", "URL")
{
    arguments.line().xorAdd(file_, platform_);
}

std::optional<CheckedBundle> SourceArguments::read(ExitCode &code)
{
    if (file_.isSet()) {
        code = ExitCode::Usage;
        return readBundle(file_.getValue());
    }
    code = ExitCode::Failed;
    base::Outcome<CheckedBundle> inForce = bundleInForce(*openLog(platform_.getValue()));
    if (inForce)
        return *inForce;
    std::cerr << inForce.lastReason().text << "\n";
    return std::nullopt;
}

} // namespace zinniadoor::ctl
