#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>

#include "absl/time/time.h"

namespace zinniadoor::net {

/// The least progress of a response that may take longer than the timeout of its call.
struct TransferPace
{
    absl::Duration maxSilence; ///< Between two arrivals of bytes.
    double minBytesPerSecond = 1; ///< On average since the timeout; positive.
};

/// Decides how long a call may take. Addresses responses that are long for their link: while bytes
/// arrive at the pace, a call goes on, as a repetition would have to transfer them again. A peer
/// that sends nothing, or a few bytes now and then, is given up after the timeout. Times count from
/// the start of the call.
class TransferLimit
{
public:
    /// Without a pace, the timeout is for the whole call.
    TransferLimit(absl::Duration timeout, const std::optional<TransferPace> &pace)
        : timeout_(timeout)
        , pace_(pace)
    { }

    void noteBytes(std::size_t bytes, absl::Duration at)
    {
        received_ += bytes;
        lastAt_ = at;
    }

    /// When the call fails unless more bytes arrive.
    absl::Duration limit() const
    {
        if (!pace_ || received_ == 0)
            return timeout_;
        const auto earned
            = absl::Seconds(static_cast<double>(received_) / pace_->minBytesPerSecond);
        return std::min(timeout_ + earned, lastAt_ + pace_->maxSilence);
    }

private:
    absl::Duration timeout_;
    std::optional<TransferPace> pace_;
    std::size_t received_ = 0; ///< Bytes of the body.
    absl::Duration lastAt_;
};

} // namespace zinniadoor::net
