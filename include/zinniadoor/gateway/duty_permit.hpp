#pragma once

#include <cstdint>
#include <memory>

#include "absl/time/time.h"

namespace zinniadoor::gateway {

/// Permission to make one call as the holder of the duty lease; held until the call has ended.
/// No byte of a call is sent without a valid permit, so receivers need not check fencing numbers.
class DutyPermit
{
public:
    virtual ~DutyPermit() = default;
    virtual std::uint64_t fencingNumber() const = 0;

    /// Whether bytes may be sent now; checked immediately before each write.
    virtual bool isValid() const = 0;

    /// The call must be aborted after this time.
    virtual absl::Duration timeLeft() const = 0;
};

using DutyPermitPtr = std::shared_ptr<const DutyPermit>;

} // namespace zinniadoor::gateway
