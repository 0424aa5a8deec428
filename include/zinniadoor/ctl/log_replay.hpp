#pragma once

#include <string>

#include "absl/time/time.h"

#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/control/snapshot.hpp"
#include "zinniadoor/ports/log.hpp"

namespace zinniadoor::ctl {

/// Whether a configuration record took effect.
struct RecordOutcome
{
    bool accepted = false;
    std::string reason; ///< Why it was rejected.
};

/// Rebuilds the replicated state from the log, as every instance does.
class LogReplay
{
public:
    explicit LogReplay(ports::Log &log)
        : log_(log)
    { }

    /// Reads to the end of the log; fails if that takes longer than `timeout`.
    base::Status catchUp(absl::Duration timeout);

    /// Reads and applies one page, waiting up to `wait` for new entries.
    base::Status readPage(absl::Duration wait);

    /// Reads on until the record at `offset` has been applied, then returns its outcome.
    base::Outcome<RecordOutcome> waitForOutcome(base::Offset offset, absl::Duration timeout);

    const control::State &state() const { return replayer_.state(); }

private:
    ports::Log &log_;
    control::Replayer replayer_;
};

} // namespace zinniadoor::ctl
