#include "zinniadoor/control/records.hpp"

#include "zinniadoor/base/codec.hpp"

namespace zinniadoor::control {

std::string encodeFrame(const Frame &frame)
{
    return base::encode(frame);
}

base::Outcome<Frame> decodeFrame(const std::string &bytes)
{
    return base::decode<Frame>(bytes);
}

} // namespace zinniadoor::control
