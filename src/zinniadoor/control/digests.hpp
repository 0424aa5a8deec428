#pragma once

#include <optional>
#include <string>

namespace zinniadoor::control::detail {

/// Returns the BLAKE2b digest (hex) of `bytes`.
std::string blake2b(const std::string &bytes);

std::string toHex(const std::string &bytes);

/// Decodes `hex`; empty unless it encodes exactly `size` bytes.
std::optional<std::string> fromHex(const std::string &hex, std::size_t size);

/// Initialises libsodium. Aborts the process on failure.
void initSodium();

} // namespace zinniadoor::control::detail
