#include "zinniadoor/serving/request_facts.hpp"

#include <algorithm>
#include <cstdio>

#include "stable_digest.hpp"

namespace zinniadoor::serving {

namespace {

constexpr std::size_t BytesPerToken = 4;
constexpr std::size_t PrefixBlockBytes = PrefixBlockTokens * BytesPerToken;
constexpr std::size_t PrefixNameLength = 16;

int hexValue(char digit)
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    if (digit >= 'a' && digit <= 'f')
        return digit - 'a' + 10;
    return -1;
}

} // namespace

const char *nameOf(Urgency urgency)
{
    return urgency == Urgency::Urgent ? "urgent" : "deferable";
}

std::uint64_t tokenCost(const RequestFacts &request)
{
    const std::uint64_t sum = std::uint64_t(request.promptTokens) + request.maxOutputTokens;
    return std::max<std::uint64_t>(sum, 1);
}

std::uint32_t kvPagesNeeded(const RequestFacts &request)
{
    return static_cast<std::uint32_t>((tokenCost(request) + KvPageTokens - 1) / KvPageTokens);
}

std::uint32_t estimateTokens(std::string_view text)
{
    return static_cast<std::uint32_t>(
        std::min<std::size_t>(text.size() / BytesPerToken + 1, UINT32_MAX));
}

std::vector<PrefixDigest> prefixDigests(std::string_view prompt, std::size_t limit)
{
    std::vector<PrefixDigest> digests;
    std::uint64_t digest = detail::EmptyDigest;
    while (prompt.size() >= PrefixBlockBytes && digests.size() < limit) {
        digest = detail::extendDigest(digest, prompt.substr(0, PrefixBlockBytes));
        digests.push_back(digest);
        prompt.remove_prefix(PrefixBlockBytes);
    }
    return digests;
}

std::string nameOfPrefix(PrefixDigest digest)
{
    std::string name(PrefixNameLength + 1, '\0');
    std::snprintf(name.data(), name.size(), "%016llx", static_cast<unsigned long long>(digest));
    name.pop_back();
    return name;
}

PrefixDigest prefixFromName(std::string_view name)
{
    const bool isHex = name.size() == PrefixNameLength
        && std::all_of(name.begin(), name.end(), [](char c) { return hexValue(c) >= 0; });
    if (!isHex)
        return detail::extendDigest(detail::EmptyDigest, name);
    PrefixDigest digest = 0;
    for (const char digit : name)
        digest = digest << 4U | static_cast<unsigned>(hexValue(digit));
    return digest;
}

} // namespace zinniadoor::serving
