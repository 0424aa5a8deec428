#include "zinniadoor/gateway/peer_message.hpp"

#include <algorithm>
#include <limits>

#include "absl/strings/str_cat.h"

namespace zinniadoor::gateway {

namespace {

constexpr std::uint32_t KiloToken = 1024;

std::uint16_t saturated(std::uint32_t value)
{
    return static_cast<std::uint16_t>(
        std::min<std::uint32_t>(value, std::numeric_limits<std::uint16_t>::max()));
}

} // namespace

PackedLoad PackedLoad::of(std::uint64_t endpoint, const serving::EngineLoad &load)
{
    PackedLoad packed;
    packed.endpoint = static_cast<std::uint32_t>(endpoint);
    packed.requests = saturated(load.requests);
    for (std::size_t rank = 0; rank < serving::UrgencyRankCount; ++rank)
        packed.kiloTokens[rank] = saturated((load.promptTokens[rank] + KiloToken / 2) / KiloToken);
    return packed;
}

serving::EngineLoad PackedLoad::unpacked() const
{
    serving::EngineLoad load;
    load.requests = requests;
    for (std::size_t rank = 0; rank < serving::UrgencyRankCount; ++rank)
        load.promptTokens[rank] = kiloTokens[rank] * KiloToken;
    return load;
}

std::uint64_t digestOf(const ProcessName &process)
{
    return serving::stableDigest(absl::StrCat(process.instance, "#", process.incarnation));
}

} // namespace zinniadoor::gateway
