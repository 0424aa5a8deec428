#include "zinniadoor/serving/sse_splitter.hpp"

#include <utility>

namespace zinniadoor::serving {

namespace {

constexpr std::string_view DataField = "data:";

} // namespace

SseSplitter::SseSplitter(std::size_t maxEventBytes)
    : maxEventBytes_(maxEventBytes)
{ }

bool SseSplitter::feed(std::string_view bytes, std::vector<std::string> &events)
{
    for (const char byte : bytes) {
        if (tooLong_)
            return false;
        // "\r\n" is one line ending, even if it is split between two chunks.
        const bool isSecondHalf = afterCarriageReturn_ && byte == '\n';
        afterCarriageReturn_ = byte == '\r';
        if (isSecondHalf)
            continue;
        if (byte == '\n' || byte == '\r') {
            tooLong_ = !processLine(events);
            continue;
        }
        line_.push_back(byte);
        tooLong_ = line_.size() > maxEventBytes_;
    }
    return !tooLong_;
}

bool SseSplitter::processLine(std::vector<std::string> &events)
{
    const std::string line = std::exchange(line_, {});
    if (line.empty()) {
        if (hasData_)
            events.push_back(std::exchange(data_, {}));
        hasData_ = false;
        return true;
    }
    // Comments and other fields are ignored.
    if (line.compare(0, DataField.size(), DataField) != 0)
        return true;
    std::string_view value = std::string_view(line).substr(DataField.size());
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    if (hasData_)
        data_.push_back('\n');
    data_.append(value);
    hasData_ = true;
    return data_.size() <= maxEventBytes_;
}

} // namespace zinniadoor::serving
