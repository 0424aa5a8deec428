#pragma once

#include <cstdint>
#include <memory>

#include "absl/time/time.h"

namespace zinniadoor::gateway {

/// The right to make one call as the holder of the duties' lease; kept until the call has ended.
/// Receivers need not check fencing numbers: no byte of the call leaves without this right.
class DutyPermit
{
public:
    virtual ~DutyPermit() = default;
    virtual std::uint64_t fencingNumber() const = 0;

    /// Whether bytes may leave now; asked right before they are written.
    virtual bool isValid() const = 0;

    /// After this time the call must be cut.
    virtual absl::Duration timeLeft() const = 0;
};

using DutyPermitPtr = std::shared_ptr<const DutyPermit>;

} // namespace zinniadoor::gateway
