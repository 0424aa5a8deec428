#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace zinniadoor::adapters::detail {

/// FIFO byte buffer: appended at the end, consumed from the front.
class ByteQueue
{
public:
    void append(std::string_view bytes) { bytes_.append(bytes); }
    std::string_view view() const { return std::string_view(bytes_).substr(consumed_); }
    std::size_t size() const { return bytes_.size() - consumed_; }
    bool empty() const { return size() == 0; }

    void consume(std::size_t count)
    {
        consumed_ += count;
        // Compacts only once at least half is consumed, so that the total copying stays linear.
        if (consumed_ * 2 < bytes_.size())
            return;
        bytes_.erase(0, consumed_);
        consumed_ = 0;
    }

    void clear()
    {
        bytes_.clear();
        consumed_ = 0;
    }

private:
    std::string bytes_;
    std::size_t consumed_ = 0;
};

} // namespace zinniadoor::adapters::detail
