#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/gateway/log_part.hpp"

namespace zinniadoor::gateway {

/// Datagrams with parts of logs that wait to be sent at a bounded rate. Parts of the configuration
/// log go first: they are small, rare and due earliest. Not thread-safe.
class PacedQueue
{
public:
    /// Send rate. Sending in small steps keeps socket buffers and slow links from overflowing.
    static constexpr int StepMs = 10;
    static constexpr absl::Duration Step = absl::Milliseconds(StepMs);
    static constexpr std::size_t BytesPerStep = std::size_t { 4 } * 1024;

    /// Longest time in the queue. Two hops and the interval between reads take less than the
    /// relay timeout of a follower.
    static constexpr int MaxSteps = 50;
    static constexpr absl::Duration MaxWait = absl::Milliseconds(MaxSteps * StepMs);

    struct Datagram
    {
        std::string address;
        std::string bytes;
        LogName log = LogName::Configuration;
        absl::Duration waited; ///< Time in the queue.
    };

    /// Number of bytes of a part, or of an update of several parts, that can be sent to this number
    /// of receivers within `MaxWait`.
    std::size_t capacityFor(std::size_t receivers) const;

    /// Adds one datagram for each address. A part that would wait too long is sent without its
    /// records; its receivers read them from the store.
    void push(const std::vector<std::string> &addresses, const LogPart &part, absl::Time now);

    /// Removes the datagram to send next, with the age of its part at `now`; empty if there is
    /// none.
    std::optional<Datagram> pop(absl::Time now);

    /// Encoded size of all datagrams.
    std::size_t bytes() const { return bytes_; }

private:
    struct Entry
    {
        std::string address;
        std::shared_ptr<const LogPart> part;
        std::size_t bytes = 0; ///< Encoded size.
        absl::Time queuedAt;
    };

    static constexpr std::size_t MaxBytes = BytesPerStep * MaxSteps;

    std::deque<Entry> configuration_;
    std::deque<Entry> others_;
    std::size_t bytes_ = 0;
};

} // namespace zinniadoor::gateway
