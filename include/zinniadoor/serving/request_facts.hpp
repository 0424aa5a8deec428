#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"

namespace zinniadoor::serving {

enum class Urgency : std::uint8_t { Urgent, Deferable };

/// Lower-case name as callers write it.
const char *nameOf(Urgency urgency);

/// Digest of a prompt's leading blocks; the same text gives the same digest at every instance.
using PrefixDigest = std::uint64_t;

/// Tokens covered by each further prefix digest.
constexpr std::uint32_t PrefixBlockTokens = 2000;

/// Tokens held by one piece of engine memory.
constexpr std::uint32_t KvPageTokens = 2000;

/// What the decisions need to know about one request.
struct RequestFacts
{
    base::RequestId id;
    base::OrganisationId organisation;
    base::ModelId model;
    Urgency urgency = Urgency::Urgent;
    std::uint32_t promptTokens = 1; ///< Estimated from the text's length.
    std::uint32_t importedTokens = 0; ///< Of the prompt, brought along as KV cache.
    std::uint32_t maxOutputTokens = 1;
    absl::Time deadline = absl::InfiniteFuture(); ///< After it the answer is of no use.
    bool hasStarted = false; ///< Part of its answer was given out: it is never refused for room.
    absl::Duration serviceTime; ///< Shortest time an idle endpoint would need; zero if unknown.
    std::vector<PrefixDigest> prefixes; ///< One a block, the shortest prefix first.
    std::string bodyDigest; ///< Names the body in the list of crashing requests.
};

/// Prompt tokens that an engine without a cached prefix has to compute.
std::uint32_t prefillTokens(const RequestFacts &request);

/// Tokens that a request is charged with in queues: those to be computed.
std::uint64_t tokenCost(const RequestFacts &request);

/// Pieces of engine memory that a request fills at its longest.
std::uint32_t kvPagesNeeded(const RequestFacts &request);

/// Rough number of tokens in a text; at least 1.
std::uint32_t estimateTokens(std::string_view text);

/// Digests of the leading blocks of a prompt: whole blocks only, `limit` at most. The digest of
/// a block covers all words up to its end, joined by single blanks (64-bit FNV-1a), as engines
/// name their prefixes.
std::vector<PrefixDigest> prefixDigests(std::string_view prompt, std::size_t limit = 32);

/// Name of a prefix in cache events: 16 hex digits.
std::string nameOfPrefix(PrefixDigest digest);

/// Reads a name back; any other name gives a digest of the name.
PrefixDigest prefixFromName(std::string_view name);

} // namespace zinniadoor::serving
