#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace zinniadoor::standins {

/// A completion request as an engine understands it.
struct Prompt
{
    std::string text; ///< Contents of the messages, joined by line ends.
    std::string model;
    std::int64_t maxTokens = 0;
    bool chat = false;
    bool stream = false;
};

/// Reads a request's body; nothing when it is malformed.
std::optional<Prompt> readPrompt(const std::string &body, bool chat);

std::vector<std::string> splitWords(const std::string &text);

/// 64-bit FNV-1a hash.
std::uint64_t hashOf(const std::string &bytes);

/// Output token `offset` of a prompt: a function of both and of nothing else.
std::string outputToken(std::uint64_t promptHash, std::int64_t offset);

/// Names of the prompt's whole pages, shortest first: page n's name is the hash, in hexadecimal,
/// of its first (n + 1) * pageTokens words joined by single blanks.
std::vector<std::string> pageNames(const std::vector<std::string> &words, std::int64_t pageTokens);

} // namespace zinniadoor::standins
