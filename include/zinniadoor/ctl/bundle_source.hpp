#pragma once

#include <memory>
#include <optional>
#include <string>

#include "absl/time/time.h"

#include "zinniadoor/control/bundle.hpp"
#include "zinniadoor/ctl/arguments.hpp"
#include "zinniadoor/ctl/log_replay.hpp"

namespace zinniadoor::ctl {

/// How long a command reads the log before it gives up.
constexpr absl::Duration ReadPatience = absl::Seconds(30);

/// A bundle with the text it was read from.
struct CheckedBundle
{
    std::string yaml;
    control::Bundle bundle;
};

/// Prints the faults itself.
std::optional<CheckedBundle> readBundle(const std::string &path);

std::unique_ptr<ports::Log> openLog(const std::string &platform);

/// The bundle in force; fails where nothing has been published.
base::Outcome<CheckedBundle> bundleInForce(ports::Log &log);

/// The options "--bundle FILE" and "--platform URL", of which one is given.
class SourceArguments
{
public:
    explicit SourceArguments(Arguments &arguments);

    /// Prints the fault itself and sets `code`.
    std::optional<CheckedBundle> read(ExitCode &code);

private:
    TCLAP::ValueArg<std::string> file_;
    TCLAP::ValueArg<std::string> platform_;
};

} // namespace zinniadoor::ctl
