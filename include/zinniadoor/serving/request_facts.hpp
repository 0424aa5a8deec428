#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"

namespace zinniadoor::serving {

enum class Urgency : std::uint8_t { Urgent, Deferable };

/// Lower-case name as used in requests.
const char *nameOf(Urgency urgency);

/// Digest of a prompt's leading blocks; identical for the same text on every instance.
using PrefixDigest = std::uint64_t;

/// Tokens per prefix block.
constexpr std::uint32_t PrefixBlockTokens = 2000;

/// Tokens per KV page.
constexpr std::uint32_t KvPageTokens = 2000;

/// Properties of a request used by queueing, routing and retry decisions.
struct RequestFacts
{
    base::RequestId id;
    base::OrganisationId organisation;
    base::ModelId model;
    Urgency urgency = Urgency::Urgent;
    std::uint32_t promptTokens = 1; ///< Estimated from the text's length.
    std::uint32_t importedTokens = 0; ///< Prompt tokens already available as an imported KV cache.
    std::uint32_t maxOutputTokens = 1;
    absl::Time deadline = absl::InfiniteFuture(); ///< The answer is useless afterwards.
    bool hasStarted = false; ///< Part of the answer was sent: never rejected for lack of room.
    absl::Duration serviceTime; ///< Minimum time on an idle endpoint; zero if unknown.
    std::vector<PrefixDigest> prefixes; ///< One per block, shortest prefix first.
    std::string bodyDigest; ///< Key of the body in the `CrashList`.
};

/// Prompt tokens to prefill on an engine without a cached prefix.
std::uint32_t prefillTokens(const RequestFacts &request);

/// Cost of a request in fair queueing: the tokens to be computed.
std::uint64_t tokenCost(const RequestFacts &request);

/// KV pages that a request occupies at its maximum length.
std::uint32_t kvPagesNeeded(const RequestFacts &request);

/// Estimated number of tokens in a text; at least 1.
std::uint32_t estimateTokens(std::string_view text);

/// Digests of the leading whole blocks of a prompt, at most `limit`. The digest of a block covers
/// all words up to its end, joined by single spaces (64-bit FNV-1a), which matches the prefix names
/// of the engines.
std::vector<PrefixDigest> prefixDigests(std::string_view prompt, std::size_t limit = 32);

/// Name of a prefix in cache events: 16 hex digits.
std::string nameOfPrefix(PrefixDigest digest);

/// Inverse of `nameOfPrefix`; for any other name, the digest of the name.
PrefixDigest prefixFromName(std::string_view name);

} // namespace zinniadoor::serving
