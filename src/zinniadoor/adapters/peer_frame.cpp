#include "peer_frame.hpp"

#include "zinniadoor/adapters/peer_socket.hpp"

namespace zinniadoor::adapters::detail {

namespace {

constexpr std::size_t LengthBytes = 4;
constexpr std::size_t CallIdBytes = 8;
constexpr unsigned BitsPerByte = 8;

void appendNumber(std::string &out, std::uint64_t value, std::size_t bytes)
{
    for (std::size_t i = bytes; i > 0; --i)
        out.push_back(static_cast<char>((value >> ((i - 1) * BitsPerByte)) & 0xFFU));
}

std::uint64_t readNumber(const char *data, std::size_t bytes)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < bytes; ++i)
        value = (value << BitsPerByte) | static_cast<unsigned char>(data[i]);
    return value;
}

} // namespace

std::string encodeFrame(std::uint64_t callId, std::string_view payload)
{
    std::string out;
    out.reserve(LengthBytes + CallIdBytes + payload.size());
    appendNumber(out, CallIdBytes + payload.size(), LengthBytes);
    appendNumber(out, callId, CallIdBytes);
    out.append(payload);
    return out;
}

std::optional<PeerFrame> PeerFrameReader::next()
{
    const std::size_t available = buffer_.size();
    if (malformed_ || available < LengthBytes)
        return std::nullopt;
    const char *data = buffer_.view().data();
    const std::uint64_t length = readNumber(data, LengthBytes);
    malformed_ = length < CallIdBytes || length > CallIdBytes + MaxPeerMessageBytes;
    if (malformed_ || available < LengthBytes + length)
        return std::nullopt;
    PeerFrame frame;
    frame.callId = readNumber(data + LengthBytes, CallIdBytes);
    frame.payload.assign(data + LengthBytes + CallIdBytes, length - CallIdBytes);
    buffer_.consume(LengthBytes + length);
    return frame;
}

} // namespace zinniadoor::adapters::detail
