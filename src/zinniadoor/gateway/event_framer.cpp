#include "zinniadoor/gateway/event_framer.hpp"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace zinniadoor::gateway {

namespace {

/// Size limit of one event; typical events of engines have a few hundred bytes.
constexpr std::size_t MaxEventBytes = std::size_t { 256 } * 1024;

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
    std::size_t eventStart = 0;
    while (true) {
        // Bytes searched before are not searched again, however small the pieces are.
        const std::size_t newline = pending_.find('\n', searched_);
        if (newline == std::string::npos) {
            searched_ = pending_.size();
            break;
        }
        const std::size_t length = newline - lineStart_;
        const bool blank = length == 0 || (length == 1 && pending_[lineStart_] == '\r');
        const bool endsEvent = blank && lineStart_ > eventStart;
        searched_ = newline + 1;
        lineStart_ = searched_;
        if (!endsEvent)
            continue;
        StreamEvent event;
        event.bytes = pending_.substr(eventStart, lineStart_ - eventStart);
        event.id = idOf(event.bytes);
        events.push_back(std::move(event));
        eventStart = lineStart_;
    }
    pending_.erase(0, eventStart);
    searched_ -= eventStart;
    lineStart_ -= eventStart;
    if (pending_.size() > MaxEventBytes)
        return std::nullopt;
    return events;
}

void EventFramer::reset()
{
    pending_.clear();
    searched_ = 0;
    lineStart_ = 0;
}

} // namespace zinniadoor::gateway
