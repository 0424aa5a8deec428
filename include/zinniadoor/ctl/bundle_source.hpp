#pragma once

#include <memory>
#include <optional>
#include <string>

#include "absl/time/time.h"

#include "zinniadoor/control/bundle.hpp"
#include "zinniadoor/ctl/arguments.hpp"
#include "zinniadoor/ctl/log_replay.hpp"

namespace zinniadoor::ctl {

/// Time limit for replaying the log in one command.
constexpr absl::Duration LogReadTimeout = absl::Seconds(30);

/// A valid bundle with the YAML text it was parsed from.
struct ValidatedBundle
{
    std::string yaml;
    control::Bundle bundle;
};

/// Reads and validates a bundle file; prints errors to standard error.
std::optional<ValidatedBundle> readBundle(const std::string &path);

/// Client of the log service at the platform's URL.
std::unique_ptr<ports::Log> openLog(const std::string &platform);

/// Replays the log and returns the active bundle; fails if none has been published.
base::Outcome<ValidatedBundle> readActiveBundle(ports::Log &log);

/// The options "--bundle FILE" and "--platform URL", exactly one of which must be given.
class BundleSourceArguments
{
public:
    explicit BundleSourceArguments(Arguments &arguments);

    /// Reads the bundle from the given source. On failure prints the error and sets `code` to the
    /// exit code.
    std::optional<ValidatedBundle> read(ExitCode &code);

private:
    TCLAP::ValueArg<std::string> file_;
    TCLAP::ValueArg<std::string> platform_;
};

} // namespace zinniadoor::ctl
