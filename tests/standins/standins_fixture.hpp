#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "fleet.hpp"

namespace zinniadoor::standins {

/// A streaming completion request to an engine.
struct Completion
{
    std::string id = "request-1";
    std::string prompt = "one two three";
    std::int64_t maxTokens = 8;
    std::int64_t resumeOffset = 0;
    std::vector<std::string> headers; ///< In addition to the id and offset.

    e2e::HttpRequest callTo(const e2e::StandinProcess &engine) const
    {
        e2e::HttpRequest call;
        call.method = "POST";
        call.url = engine.url("/v1/completions");
        call.headers = headers;
        call.headers.push_back("Zinniadoor-Request: " + id);
        if (resumeOffset > 0) {
            call.headers.push_back("Zinniadoor-Resume-Offset: " + std::to_string(resumeOffset));
        }
        const nlohmann::json body {
            { "model", "m" }, { "prompt", prompt }, { "max_tokens", maxTokens }, { "stream", true }
        };
        call.body = body.dump();
        return call;
    }
};

/// Parsed events of a stream, without `[DONE]`.
inline std::vector<nlohmann::json> eventsOf(const std::string &body)
{
    std::vector<nlohmann::json> events;
    for (const std::string &data : e2e::sseData(body)) {
        if (data != "[DONE]")
            events.push_back(nlohmann::json::parse(data));
    }
    return events;
}

inline std::string textOf(const std::string &body)
{
    std::string text;
    for (const nlohmann::json &event : eventsOf(body))
        text += event["choices"][0]["text"].get<std::string>();
    return text;
}

inline std::vector<std::int64_t> offsetsOf(const std::string &body)
{
    std::vector<std::int64_t> offsets;
    for (const nlohmann::json &event : eventsOf(body))
        offsets.push_back(event["offset"].get<std::int64_t>());
    return offsets;
}

inline bool isDone(const std::string &body)
{
    const std::vector<std::string> data = e2e::sseData(body);
    return !data.empty() && data.back() == "[DONE]";
}

} // namespace zinniadoor::standins
