#include "zinniadoor/gateway/event_framer.hpp"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace zinniadoor::gateway {

namespace {

/// Size limit of one event; typical events of engines have a few hundred bytes.
constexpr std::size_t MaxEventBytes = std::size_t { 256 } * 1024;

/// End of the event starting at `from`, after its blank line; npos if it is incomplete.
std::size_t endOfEvent(absl::string_view text, std::size_t from)
{
    std::size_t at = from;
    while (true) {
        const std::size_t newline = text.find('\n', at);
        if (newline == absl::string_view::npos)
            return absl::string_view::npos;
        const std::size_t length = newline - at;
        const bool blank = length == 0 || (length == 1 && text[at] == '\r');
        if (blank && at > from)
            return newline + 1;
        at = newline + 1;
    }
}

std::optional<std::uint64_t> idOf(absl::string_view event)
{
    for (absl::string_view line : absl::StrSplit(event, '\n')) {
        std::uint64_t id = 0;
        if (absl::ConsumePrefix(&line, "id:")
            && absl::SimpleAtoi(absl::StripAsciiWhitespace(line), &id))
            return id;
    }
    return std::nullopt;
}

} // namespace

std::optional<std::vector<StreamEvent>> EventFramer::feed(absl::string_view bytes)
{
    pending_.append(bytes.data(), bytes.size());
    std::vector<StreamEvent> events;
    std::size_t at = 0;
    while (true) {
        const std::size_t end = endOfEvent(pending_, at);
        if (end == absl::string_view::npos)
            break;
        StreamEvent event;
        event.bytes = pending_.substr(at, end - at);
        event.id = idOf(event.bytes);
        events.push_back(std::move(event));
        at = end;
    }
    pending_.erase(0, at);
    if (pending_.size() > MaxEventBytes)
        return std::nullopt;
    return events;
}

} // namespace zinniadoor::gateway
