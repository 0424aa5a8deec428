#pragma once

#include <cstdint>
#include <optional>

namespace zinniadoor::net {

/// Bytes that the peer's TCP stack has acknowledged since the connection was opened; empty if the
/// kernel does not report the count.
std::optional<std::uint64_t> acknowledgedBytes(int socket);

/// Whether the send buffer holds bytes that the peer's TCP stack has not acknowledged.
bool hasUnacknowledgedBytes(int socket);

} // namespace zinniadoor::net
