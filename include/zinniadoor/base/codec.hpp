#pragma once

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <sstream>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include <cereal/archives/portable_binary.hpp>

#include "absl/base/config.h"

#include "zinniadoor/base/outcome.hpp"

namespace zinniadoor::base {

/// Input archive for the output of `encode`, safe on untrusted input. It tracks the remaining bytes
/// and rejects a length prefix that exceeds them before allocating memory for it. Throws
/// cereal::Exception; `decode` converts it to a reason.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>
{
public:
    explicit BoundedInputArchive(const std::string &bytes)
        : InputArchive(this)
        , next_(bytes.data())
        , left_(bytes.size())
    {
        std::uint8_t littleEndian = 0;
        loadBytes(&littleEndian, 1);
        if (littleEndian != 1)
            throw cereal::Exception("not a little-endian message");
    }

    std::size_t bytesLeft() const { return left_; }

    void loadBytes(void *to, std::size_t size)
    {
        if (size > left_)
            throw cereal::Exception("truncated message");
        std::memcpy(to, next_, size);
        next_ += size;
        left_ -= size;
    }

private:
    const char *next_;
    std::size_t left_;
};

#ifndef ABSL_IS_LITTLE_ENDIAN
#error "BoundedInputArchive copies little-endian values without conversion"
#endif

template <typename T, std::enable_if_t<std::is_arithmetic_v<T>, int> = 0>
void load(BoundedInputArchive &archive, T &value)
{
    if constexpr (std::is_same_v<T, bool>) {
        std::uint8_t byte = 0;
        archive.loadBytes(&byte, 1);
        if (byte > 1)
            throw cereal::Exception("invalid boolean");
        value = byte == 1;
    } else {
        archive.loadBytes(&value, sizeof(value));
    }
}

template <typename T>
void load(BoundedInputArchive &archive, cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

template <typename T>
void load(BoundedInputArchive &archive, cereal::SizeTag<T> &tag)
{
    archive(tag.size);
    // Every element of a container takes at least one byte.
    if (tag.size > archive.bytesLeft())
        throw cereal::Exception("a length goes beyond the message");
}

template <typename T>
void load(BoundedInputArchive &archive, cereal::BinaryData<T> &data)
{
    archive.loadBytes(data.data, static_cast<std::size_t>(data.size));
}

/// Grows the vector as elements are decoded. cereal's own loader resizes it to the length prefix
/// first, which for large element types allocates many times the size of the message.
template <typename T, typename Allocator>
void load(BoundedInputArchive &archive, std::vector<T, Allocator> &vector)
{
    cereal::size_type size = 0;
    archive(cereal::make_size_tag(size));
    vector.clear();
    for (cereal::size_type i = 0; i < size; ++i) {
        T element {};
        archive(element);
        vector.push_back(std::move(element));
    }
}

/// Encodes a message, whose type has a cereal `serialize` function, in little-endian binary form.
template <typename Message>
std::string encode(const Message &message)
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive(
            out, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
        archive(message);
    }
    return std::move(out).str();
}

/// Decodes a message. Safe on untrusted input: truncated, overlong or malformed input returns a
/// reason, and memory use is proportional to the input size.
template <typename Message>
Outcome<Message> decode(const std::string &bytes)
{
    try {
        BoundedInputArchive archive(bytes);
        Message message;
        archive(message);
        if (archive.bytesLeft() != 0)
            return Reason { ReasonCode::InvalidArgument, "trailing bytes after the message" };
        return message;
    } catch (const std::exception &error) {
        return Reason { ReasonCode::InvalidArgument, error.what() };
    }
}

} // namespace zinniadoor::base

namespace cereal::traits::detail {

template <>
struct get_output_from_input<zinniadoor::base::BoundedInputArchive>
{
    using type = PortableBinaryOutputArchive; // NOLINT(readability-identifier-naming)
};

} // namespace cereal::traits::detail
