#pragma once

#include <string>

#include "absl/time/time.h"

#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/control/snapshot.hpp"
#include "zinniadoor/ports/log.hpp"

namespace zinniadoor::ctl {

/// Whether a configuration record counted.
struct Verdict
{
    bool counted = false;
    std::string reason; ///< Why it did not.
};

/// The state that the log gives, as every instance computes it.
class LogReplay
{
public:
    explicit LogReplay(ports::Log &log)
        : log_(log)
    { }

    /// Reads to the log's end; fails when that takes longer than `patience`.
    base::Status catchUp(absl::Duration patience);

    /// Reads one page, waiting up to `wait` for it.
    base::Status readMore(absl::Duration wait);

    /// Reads on until the record at `offset` was applied.
    base::Outcome<Verdict> verdictOn(base::Offset offset, absl::Duration patience);

    const control::State &state() const { return replayer_.state(); }

private:
    ports::Log &log_;
    control::Replayer replayer_;
};

} // namespace zinniadoor::ctl
