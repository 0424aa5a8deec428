#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

namespace zinniadoor::gateway {

/// One server-sent event, byte for byte as received.
struct StreamEvent
{
    std::string bytes; ///< Including the terminating blank line.
    std::optional<std::uint64_t> id;
};

/// Splits a stream into complete server-sent events without altering their bytes.
class EventFramer
{
public:
    /// Appends bytes and returns the events completed by them; nothing from then on once an event
    /// exceeds the size limit.
    std::optional<std::vector<StreamEvent>> feed(absl::string_view bytes);

    /// Whether an incomplete event is buffered.
    bool hasPartialEvent() const { return !pending_.empty(); }

    /// Size of the incomplete event.
    std::size_t pendingBytes() const { return pending_.size(); }

    /// Discards an incomplete event before another stream is fed.
    void reset();

private:
    std::string pending_;
    std::size_t searched_ = 0; ///< Bytes of `pending_` known to end no further line.
    std::size_t lineStart_ = 0; ///< Of the incomplete line, in `pending_`.
};

} // namespace zinniadoor::gateway
