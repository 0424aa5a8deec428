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
    struct Datagram
    {
        std::string address;
        std::string bytes;
        LogName log = LogName::Configuration;
        absl::Duration waited; ///< Time in the queue.
    };

    /// Adds one datagram for each address.
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
    std::deque<Entry> configuration_;
    std::deque<Entry> others_;
    std::size_t bytes_ = 0;
};

} // namespace zinniadoor::gateway
