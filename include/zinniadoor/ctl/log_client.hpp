#pragma once

#include <memory>
#include <string>

#include "absl/time/time.h"

#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/control/records.hpp"
#include "zinniadoor/ports/log.hpp"

namespace zinniadoor::ctl {

/// Whether an append took effect.
enum class AppendEffect {
    InLog,
    NotInLog,
    Unknown,
};

struct AppendResult
{
    AppendEffect effect = AppendEffect::Unknown;
    base::Offset offset = 0; ///< Where the frame stands, if it does.
    base::Reason reason; ///< Why it is not known to be in the log.
};

/// Appends the operator's records to the platform's log.
class LogClient
{
public:
    explicit LogClient(std::unique_ptr<ports::Log> log);

    /// Appends one frame under a name of its own. A lost answer is resolved by reading the log
    /// for that name for up to `patience`; the frame is never appended twice.
    AppendResult append(const control::Record &record, absl::Duration patience);

    ports::Log &log() { return *log_; }

private:
    AppendResult lookFor(const control::Frame &frame, base::Offset after, absl::Duration patience);

    std::unique_ptr<ports::Log> log_;
};

} // namespace zinniadoor::ctl
