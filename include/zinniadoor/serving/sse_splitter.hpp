#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace zinniadoor::serving {

/// Default maximum size of an event.
constexpr std::size_t MaxSseEventBytes = 65536;

/// Incremental parser that splits a byte stream into server-sent events.
class SseSplitter
{
public:
    /// `maxEventBytes` is the maximum size of an event.
    explicit SseSplitter(std::size_t maxEventBytes = MaxSseEventBytes);

    /// Consumes bytes and appends the data of each completed event to `events`. Returns false once
    /// an event exceeds the maximum size, and on all later calls.
    bool feed(std::string_view bytes, std::vector<std::string> &events);

    /// Whether an incomplete event is buffered.
    bool hasPartialEvent() const { return !line_.empty() || hasData_; }

private:
    bool processLine(std::vector<std::string> &events);

    std::size_t maxEventBytes_;
    std::string line_;
    std::string data_;
    bool hasData_ = false;
    bool afterCarriageReturn_ = false;
    bool tooLong_ = false;
};

} // namespace zinniadoor::serving
