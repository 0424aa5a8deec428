#include "zinniadoor/serving/request_facts.hpp"

#include <algorithm>
#include <cstdio>

#include "stable_digest.hpp"

namespace zinniadoor::serving {

namespace {

/// Estimated maximum bytes per token of text without whitespace, as in scripts without spaces.
constexpr std::size_t MaxBytesPerToken = 8;
constexpr std::string_view Blanks = " \t\r\n\v\f";
constexpr std::size_t PrefixNameLength = 16;

/// Removes and returns the first word of a text; empty at the end.
std::string_view nextWord(std::string_view &text)
{
    text.remove_prefix(std::min(text.find_first_not_of(Blanks), text.size()));
    const std::size_t length = std::min(text.find_first_of(Blanks), text.size());
    const std::string_view word = text.substr(0, length);
    text.remove_prefix(length);
    return word;
}

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

std::uint32_t prefillTokens(const RequestFacts &request)
{
    return request.promptTokens - std::min(request.promptTokens, request.importedTokens);
}

std::uint64_t tokenCost(const RequestFacts &request)
{
    const std::uint64_t sum = std::uint64_t(prefillTokens(request)) + request.maxOutputTokens;
    return std::max<std::uint64_t>(sum, 1);
}

std::uint32_t kvPagesNeeded(const RequestFacts &request)
{
    const std::uint64_t tokens = std::uint64_t(request.promptTokens) + request.maxOutputTokens;
    return static_cast<std::uint32_t>((tokens + KvPageTokens - 1) / KvPageTokens);
}

std::uint32_t estimateTokens(std::string_view text)
{
    std::size_t tokens = 0;
    for (std::string_view word = nextWord(text); !word.empty(); word = nextWord(text))
        tokens += 1 + word.size() / MaxBytesPerToken;
    return static_cast<std::uint32_t>(std::clamp<std::size_t>(tokens, 1, UINT32_MAX));
}

std::vector<PrefixDigest> prefixDigests(std::string_view prompt, std::size_t limit)
{
    std::vector<PrefixDigest> digests;
    std::uint64_t digest = detail::EmptyDigest;
    std::size_t words = 0;
    while (digests.size() < limit) {
        const std::string_view word = nextWord(prompt);
        if (word.empty())
            break;
        if (words > 0)
            digest = detail::extendDigest(digest, " ");
        digest = detail::extendDigest(digest, word);
        if (++words % PrefixBlockTokens == 0)
            digests.push_back(digest);
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
