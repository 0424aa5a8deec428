#pragma once

#include <optional>
#include <string>

namespace zinniadoor::control::detail {

/// BLAKE2b digest of `bytes` (hex).
std::string blake2b(const std::string &bytes);

std::string toHex(const std::string &bytes);

/// The bytes that `hex` spells, if it spells `size` of them.
std::optional<std::string> fromHex(const std::string &hex, std::size_t size);

/// Makes libsodium ready; a machine where it fails cannot run the process.
void initSodium();

} // namespace zinniadoor::control::detail
