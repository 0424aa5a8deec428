#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace zinniadoor::serving {

/// Longest event taken unless told otherwise.
constexpr std::size_t MaxSseEventBytes = 65536;

/// Splits a byte stream into server-sent events, however the bytes are cut.
class SseSplitter
{
public:
    /// `maxEventBytes`: longest event taken.
    explicit SseSplitter(std::size_t maxEventBytes = MaxSseEventBytes);

    /// Takes bytes and appends the data of each event completed by them to `events`.
    /// Returns false, for good, once an event is too long.
    bool feed(std::string_view bytes, std::vector<std::string> &events);

    /// Bytes of an event that has begun and not ended.
    bool hasPartialEvent() const { return !line_.empty() || hasData_; }

private:
    bool takeLine(std::vector<std::string> &events);

    std::size_t maxEventBytes_;
    std::string line_;
    std::string data_;
    bool hasData_ = false;
    bool afterCarriageReturn_ = false;
    bool tooLong_ = false;
};

} // namespace zinniadoor::serving
