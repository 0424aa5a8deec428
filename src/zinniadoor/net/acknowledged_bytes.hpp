#pragma once

#include <cstdint>
#include <optional>

namespace zinniadoor::net {

/// Bytes that the other side's system has acknowledged on a TCP connection since its start;
/// nothing if the system does not say.
std::optional<std::uint64_t> acknowledgedBytes(int socket);

} // namespace zinniadoor::net
