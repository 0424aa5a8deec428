#include "zinniadoor/serving/stream_check.hpp"

#include <utility>

#include <nlohmann/json.hpp>

namespace zinniadoor::serving {

namespace {

using Json = nlohmann::ordered_json;

constexpr int MaxDepth = 16;
constexpr std::string_view DoneData = "[DONE]";

// Limits the depth while parsing, since serialising a value recurses.
Json parseBounded(const std::string &text)
{
    bool isTooDeep = false;
    const auto callback = [&](int depth, Json::parse_event_t /*event*/, Json & /*parsed*/) {
        isTooDeep = isTooDeep || depth > MaxDepth;
        return !isTooDeep;
    };
    Json json = Json::parse(text, callback, false);
    return isTooDeep ? Json(Json::value_t::discarded) : json;
}

std::optional<std::uint64_t> unsignedAt(const Json &json, const char *key)
{
    const auto found = json.find(key);
    if (found == json.end() || !found->is_number_unsigned())
        return std::nullopt;
    return found->get<std::uint64_t>();
}

std::optional<std::string> stringAt(const Json &json, const char *key)
{
    const auto found = json.find(key);
    if (found == json.end() || !found->is_string())
        return std::nullopt;
    return found->get<std::string>();
}

const Json *firstChoice(const Json &json)
{
    const auto choices = json.find("choices");
    if (choices == json.end() || !choices->is_array() || choices->size() != 1)
        return nullptr;
    const Json &choice = choices->front();
    return choice.is_object() ? &choice : nullptr;
}

// Chat completions carry {"delta": {"content"}}, completions {"text"}.
std::optional<std::string> textOf(const Json &choice)
{
    const auto delta = choice.find("delta");
    if (delta == choice.end())
        return stringAt(choice, "text");
    return delta->is_object() ? stringAt(*delta, "content") : std::nullopt;
}

std::optional<StreamUsage> usageOf(const Json &json)
{
    const auto usage = json.find("usage");
    if (usage == json.end() || !usage->is_object())
        return std::nullopt;
    const auto prompt = unsignedAt(*usage, "prompt_tokens");
    const auto completion = unsignedAt(*usage, "completion_tokens");
    if (!prompt || !completion)
        return std::nullopt;
    return StreamUsage { *prompt, *completion };
}

base::Reason streamError(const std::string &text)
{
    return { base::ReasonCode::Unavailable, "engine stream: " + text };
}

} // namespace

struct StreamCheck::Event
{
    Json json;
    std::optional<std::string> text;
    std::optional<std::string> finishReason;
};

StreamCheck::StreamCheck(base::RequestId request, std::size_t maxEventBytes)
    : request_(std::move(request))
    , maxEventBytes_(maxEventBytes)
    , splitter_(maxEventBytes)
{ }

base::Status StreamCheck::feed(std::string_view bytes, std::vector<StreamItem> &items)
{
    if (fault_)
        return *fault_;
    // Data after the end of a complete answer is ignored.
    if (isDone_)
        return base::Done {};
    std::vector<std::string> events;
    const bool isBounded = splitter_.feed(bytes, events);
    for (const std::string &event : events) {
        if (isDone_)
            return base::Done {};
        base::Status status = processEvent(event, items);
        if (!status)
            return status;
    }
    if (!isBounded && !isDone_)
        return fail(streamError("an event is too long"));
    return base::Done {};
}

base::Status StreamCheck::processEvent(const std::string &data, std::vector<StreamItem> &items)
{
    if (data == DoneData)
        return fail(streamError("it ended before its finish event"));
    Event event;
    event.json = parseBounded(data);
    if (!event.json.is_object())
        return fail(streamError("an event is not a JSON object"));
    if (event.json.contains("error"))
        return fail(streamError("the engine reports an error"));
    if (stringAt(event.json, "id") != request_.str())
        return fail(streamError("an event of another request"));
    const auto offset = unsignedAt(event.json, "offset");
    if (!offset || *offset != nextOffset_)
        return fail(streamError("a token is missing, doubled or out of order"));
    const Json *choice = firstChoice(event.json);
    if (choice == nullptr)
        return fail(streamError("an event without its choice"));
    event.text = textOf(*choice);
    event.finishReason = stringAt(*choice, "finish_reason");
    event.json.erase("offset");
    return event.finishReason ? processFinish(event, items) : processToken(event, items);
}

base::Status StreamCheck::processToken(Event &event, std::vector<StreamItem> &items)
{
    if (!event.text)
        return fail(streamError("a token without text"));
    ++nextOffset_;
    items.push_back(
        { StreamItemKind::Token, "data: " + event.json.dump() + "\n\n", std::move(*event.text) });
    return base::Done {};
}

base::Status StreamCheck::processFinish(Event &event, std::vector<StreamItem> &items)
{
    if (event.text && !event.text->empty())
        return fail(streamError("the finish event carries text"));
    const auto usage = usageOf(event.json);
    // After a resume, the engine may count the whole answer or only its own part.
    const bool isExpected = usage
        && (usage->completionTokens == nextOffset_
            || usage->completionTokens == nextOffset_ - streamStartOffset_);
    if (!isExpected)
        return fail(streamError("its usage does not match its tokens"));
    usage_ = StreamUsage { usage->promptTokens, nextOffset_ };
    event.json["usage"]["completion_tokens"] = nextOffset_;
    finishReason_ = *event.finishReason;
    items.push_back({ StreamItemKind::Finish, "data: " + event.json.dump() + "\n\n", {} });
    // The usage proves that the answer is complete, so the end marker is sent even if it is lost.
    items.push_back({ StreamItemKind::Done, "data: [DONE]\n\n", {} });
    isDone_ = true;
    return base::Done {};
}

base::Status StreamCheck::fail(base::Reason reason)
{
    fault_ = std::move(reason);
    return *fault_;
}

void StreamCheck::resume()
{
    splitter_ = SseSplitter(maxEventBytes_);
    streamStartOffset_ = nextOffset_;
    fault_.reset();
}

base::Status StreamCheck::end() const
{
    if (isDone_)
        return base::Done {};
    if (fault_)
        return *fault_;
    return streamError("it ended before the answer was whole");
}

} // namespace zinniadoor::serving
