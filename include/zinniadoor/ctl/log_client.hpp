#pragma once

#include <memory>
#include <string>

#include "absl/time/time.h"

#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/control/records.hpp"
#include "zinniadoor/ports/log.hpp"

namespace zinniadoor::ctl {

/// Whether an append took effect. Unknown if the response was lost and the frame was not found.
enum class AppendStatus {
    Appended,
    NotAppended,
    Unknown,
};

struct AppendResult
{
    AppendStatus status = AppendStatus::Unknown;
    base::Offset offset = 0; ///< Offset of the frame, if it was appended.
    base::Reason reason; ///< Set unless the frame was appended.
};

/// Appends operators' records to the platform's log.
class LogClient
{
public:
    explicit LogClient(std::unique_ptr<ports::Log> log);

    /// Appends one frame under a unique writer id. If the response is lost, searches the log for
    /// that id for up to `timeout`; the frame is never appended twice.
    AppendResult append(const control::Record &record, absl::Duration timeout);

    ports::Log &log() { return *log_; }

private:
    AppendResult findFrame(const control::Frame &frame, base::Offset after, absl::Duration timeout);

    std::unique_ptr<ports::Log> log_;
};

} // namespace zinniadoor::ctl
