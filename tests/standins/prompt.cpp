#include "prompt.hpp"

#include <cstdio>

#include <nlohmann/json.hpp>

#include "absl/strings/str_split.h"

namespace zinniadoor::standins {
namespace {

constexpr std::int64_t DefaultMaxTokens = 16;
constexpr std::uint64_t FnvOffsetBasis = 14695981039346656037ULL;
constexpr std::uint64_t FnvPrime = 1099511628211ULL;

/// One token in this many contains a quote, a newline and a multi-byte UTF-8 character, to exercise
/// escaping.
constexpr std::uint64_t SpecialTokenInterval = 8;

std::uint64_t splitMix64(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

void extendHash(std::uint64_t &hash, const std::string &bytes)
{
    for (const char byte : bytes) {
        hash ^= static_cast<unsigned char>(byte);
        hash *= FnvPrime;
    }
}

std::optional<std::string> joinMessages(const nlohmann::json &json)
{
    if (!json.contains("messages") || !json["messages"].is_array())
        return std::nullopt;
    std::string text;
    for (const auto &message : json["messages"]) {
        if (!message.is_object() || !message.contains("content") || !message["content"].is_string())
            return std::nullopt;
        if (!text.empty())
            text += "\n";
        text += message["content"].get<std::string>();
    }
    return text;
}

std::optional<std::string> promptText(const nlohmann::json &json, bool chat)
{
    if (chat)
        return joinMessages(json);
    if (!json.contains("prompt") || !json["prompt"].is_string())
        return std::nullopt;
    return json["prompt"].get<std::string>();
}

} // namespace

std::optional<Prompt> parsePrompt(const std::string &body, bool chat)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    const std::optional<std::string> text = promptText(json, chat);
    if (!text)
        return std::nullopt;
    Prompt prompt;
    prompt.text = *text;
    prompt.chat = chat;
    prompt.model = json.value("model", std::string());
    prompt.maxTokens = json.value("max_tokens", DefaultMaxTokens);
    prompt.stream = json.value("stream", false);
    if (prompt.maxTokens < 0)
        return std::nullopt;
    return prompt;
}

std::vector<std::string> splitWords(const std::string &text)
{
    return absl::StrSplit(text, absl::ByAnyChar(" \t\r\n\v\f"), absl::SkipEmpty());
}

std::uint64_t hashOf(const std::string &bytes)
{
    std::uint64_t hash = FnvOffsetBasis;
    extendHash(hash, bytes);
    return hash;
}

std::string outputToken(std::uint64_t promptHash, std::int64_t offset)
{
    const std::uint64_t value
        = splitMix64(promptHash ^ splitMix64(static_cast<std::uint64_t>(offset)));
    char word[16];
    std::snprintf(word, sizeof word, "w%04x", static_cast<unsigned>(value & 0xffff));
    std::string token = word;
    if ((value >> 16) % SpecialTokenInterval == 0)
        token += "\"\xc3\xa9\n";
    return token + " ";
}

std::vector<std::string> pageNames(const std::vector<std::string> &words, std::int64_t pageTokens)
{
    std::vector<std::string> names;
    std::uint64_t hash = FnvOffsetBasis;
    std::int64_t wordCount = 0;
    for (const std::string &word : words) {
        extendHash(hash, wordCount == 0 ? word : " " + word);
        if (++wordCount % pageTokens != 0)
            continue;
        char name[20];
        std::snprintf(name, sizeof name, "%016llx", static_cast<unsigned long long>(hash));
        names.emplace_back(name);
    }
    return names;
}

} // namespace zinniadoor::standins
