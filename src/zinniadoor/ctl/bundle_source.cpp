#include "zinniadoor/ctl/bundle_source.hpp"

#include <iostream>

#include "zinniadoor/adapters/platform_http.hpp"
#include "zinniadoor/ctl/files.hpp"

namespace zinniadoor::ctl {

namespace {

constexpr absl::Duration PlatformTimeout = absl::Seconds(3);

} // namespace

std::optional<ValidatedBundle> readBundle(const std::string &path)
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
    return ValidatedBundle { *yaml, *bundle };
}

std::unique_ptr<ports::Log> openLog(const std::string &platform)
{
    return adapters::httpLog({ platform, PlatformTimeout });
}

base::Outcome<ValidatedBundle> readActiveBundle(ports::Log &log)
{
    LogReplay replay(log);
    const base::Status read = replay.catchUp(LogReadTimeout);
    if (!read)
        return read.lastReason();
    const control::ConfigurationChain &chain = replay.state().configuration();
    if (chain.bundle() == nullptr)
        return base::Reason { base::ReasonCode::NotFound, "no bundle has been published" };
    return ValidatedBundle { chain.published().yaml, *chain.bundle() };
}

BundleSourceArguments::BundleSourceArguments(Arguments &arguments)
    : file_("b", "bundle", "bundle file", false, "", "FILE")
    , platform_("p", "platform", "URL of the platform, to read the active bundle", false, "", "URL")
{
    arguments.line().xorAdd(file_, platform_);
}

std::optional<ValidatedBundle> BundleSourceArguments::read(ExitCode &code)
{
    if (file_.isSet()) {
        code = ExitCode::Usage;
        return readBundle(file_.getValue());
    }
    code = ExitCode::Failed;
    base::Outcome<ValidatedBundle> active = readActiveBundle(*openLog(platform_.getValue()));
    if (active)
        return *active;
    std::cerr << active.lastReason().text << "\n";
    return std::nullopt;
}

} // namespace zinniadoor::ctl
