#include "digests.hpp"

#include <cstdlib>

#include <sodium.h>

#include "absl/strings/escaping.h"
#include "absl/strings/string_view.h"

namespace zinniadoor::control::detail {

void initSodium()
{
    static const int result = sodium_init();
    if (result < 0)
        std::abort();
}

std::string toHex(const std::string &bytes)
{
    return absl::BytesToHexString(absl::string_view(bytes.data(), bytes.size()));
}

std::optional<std::string> fromHex(const std::string &hex, std::size_t size)
{
    if (hex.size() != 2 * size)
        return std::nullopt;
    std::string bytes(size, '\0');
    std::size_t written = 0;
    const int result = sodium_hex2bin(reinterpret_cast<unsigned char *>(bytes.data()), bytes.size(),
                                      hex.data(), hex.size(), nullptr, &written, nullptr);
    if (result != 0 || written != size)
        return std::nullopt;
    return bytes;
}

std::string blake2b(const std::string &bytes)
{
    initSodium();
    std::string digest(crypto_generichash_BYTES, '\0');
    crypto_generichash(reinterpret_cast<unsigned char *>(digest.data()), digest.size(),
                       reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), nullptr,
                       0);
    return toHex(digest);
}

} // namespace zinniadoor::control::detail
