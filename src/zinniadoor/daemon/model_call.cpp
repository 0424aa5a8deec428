#include "zinniadoor/daemon/model_call.hpp"

#include <optional>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace zinniadoor::daemon {

namespace {

using Json = nlohmann::json;

constexpr int MaxNestingDepth = 64;
constexpr std::int64_t MaxDeadlineMs = 3'600'000;

base::Reason invalid(const std::string &text)
{
    return { base::ReasonCode::InvalidArgument, text };
}

// nlohmann-json validates UTF-8 while parsing. The callback limits the nesting depth, because a
// deeply nested document would exhaust the stack when it is destroyed.
std::optional<Json> parseBounded(const std::string &body)
{
    bool tooDeep = false;
    const auto checkDepth = [&tooDeep](int depth, Json::parse_event_t, Json &) {
        tooDeep = tooDeep || depth > MaxNestingDepth;
        return !tooDeep;
    };
    Json document = Json::parse(body, checkDepth, false);
    if (document.is_discarded() || tooDeep)
        return std::nullopt;
    return document;
}

/// Appends the text of a message's content, which is a string or a list of parts with "text".
bool appendContent(const Json &content, std::string &text)
{
    if (content.is_string()) {
        absl::StrAppend(&text, content.get_ref<const std::string &>(), "\n");
        return true;
    }
    if (!content.is_array())
        return content.is_null();
    for (const Json &part : content) {
        if (!part.is_object())
            return false;
        const auto partText = part.find("text");
        if (partText != part.end() && partText->is_string())
            absl::StrAppend(&text, partText->get_ref<const std::string &>(), "\n");
    }
    return true;
}

std::optional<base::Reason> readMessages(const Json &document, ModelCall &call)
{
    const auto messages = document.find("messages");
    if (messages == document.end() || !messages->is_array() || messages->empty())
        return invalid("messages: is missing or not a list with at least one message");
    for (const Json &message : *messages) {
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string())
            return invalid("messages: a message has no role");
        absl::StrAppend(&call.promptText, message["role"].get_ref<const std::string &>(), ": ");
        const auto content = message.find("content");
        if (content == message.end() || !appendContent(*content, call.promptText))
            return invalid("messages: a message has no content that is text");
    }
    return std::nullopt;
}

std::optional<base::Reason> readPrompt(const Json &document, ModelCall &call)
{
    const auto prompt = document.find("prompt");
    if (prompt == document.end() || !prompt->is_string())
        return invalid("prompt: is missing or not a string");
    call.promptText = prompt->get<std::string>();
    return std::nullopt;
}

std::optional<base::Reason> readOptions(const Json &document, ModelCall &call)
{
    const auto maxTokens = document.find("max_tokens");
    call.maxTokens = DefaultMaxTokens;
    if (maxTokens != document.end() && !maxTokens->is_null()) {
        const bool inRange
            = maxTokens->is_number_integer() && *maxTokens >= 1 && *maxTokens <= MaxTokensLimit;
        if (!inRange)
            return invalid(
                absl::StrCat("max_tokens: is not a whole number from 1 to ", MaxTokensLimit));
        call.maxTokens = maxTokens->get<std::uint32_t>();
    }
    const auto stream = document.find("stream");
    if (stream != document.end() && !stream->is_null()) {
        if (!stream->is_boolean())
            return invalid("stream: is not true or false");
        call.stream = stream->get<bool>();
    }
    const auto priority = document.find("priority");
    if (priority != document.end()) {
        if (*priority != "urgent" && *priority != "deferable")
            return invalid("priority: is not urgent or deferable");
        call.urgent = *priority == "urgent";
    }
    const auto deadline = document.find("deadline_ms");
    if (deadline != document.end()) {
        const bool inRange
            = deadline->is_number_integer() && *deadline >= 1 && *deadline <= MaxDeadlineMs;
        if (!inRange)
            return invalid("deadline_ms: is not a whole number from 1 to 3600000");
        call.deadline = absl::Milliseconds(deadline->get<std::int64_t>());
    }
    return std::nullopt;
}

} // namespace

const char *pathOf(ModelCallKind kind)
{
    return kind == ModelCallKind::Chat ? "/v1/chat/completions" : "/v1/completions";
}

const char *routeNameOf(ModelCallKind kind)
{
    return kind == ModelCallKind::Chat ? "chat" : "completions";
}

base::Outcome<ModelCall> parseModelCall(ModelCallKind kind, const std::string &body)
{
    std::optional<Json> document = parseBounded(body);
    if (!document)
        return invalid("the body is not JSON in UTF-8, or is nested too deeply");
    if (!document->is_object())
        return invalid("the body is not a JSON object");
    ModelCall call;
    call.kind = kind;
    const auto model = document->find("model");
    if (model == document->end() || !model->is_string())
        return invalid("model: is missing or not a string");
    call.model = base::ModelId(model->get<std::string>());
    const std::optional<base::Reason> promptError
        = kind == ModelCallKind::Chat ? readMessages(*document, call) : readPrompt(*document, call);
    if (promptError)
        return *promptError;
    if (const std::optional<base::Reason> optionError = readOptions(*document, call))
        return *optionError;
    (*document)["stream"] = true;
    (*document)["max_tokens"] = call.maxTokens;
    call.engineBody = document->dump();
    return call;
}

} // namespace zinniadoor::daemon
