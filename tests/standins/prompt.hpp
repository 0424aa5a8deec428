#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace zinniadoor::standins {

/// Parsed completion request.
struct Prompt
{
    std::string text; ///< The prompt, or the message contents joined by newlines.
    std::string model;
    std::int64_t maxTokens = 0;
    bool chat = false;
    bool stream = false;
};

/// Parses a request body. Returns nothing if it is malformed.
std::optional<Prompt> parsePrompt(const std::string &body, bool chat);

std::vector<std::string> splitWords(const std::string &text);

/// 64-bit FNV-1a hash.
std::uint64_t hashOf(const std::string &bytes);

/// Output token at `offset` of a prompt. Depends on nothing else, so that every engine generates
/// the same output and a stream can be resumed on another one.
std::string outputToken(std::uint64_t promptHash, std::int64_t offset);

/// Names of the prompt's complete pages in order. The name of page n is the hexadecimal hash of the
/// first (n + 1) * pageTokens words joined by single spaces.
std::vector<std::string> pageNames(const std::vector<std::string> &words, std::int64_t pageTokens);

} // namespace zinniadoor::standins
