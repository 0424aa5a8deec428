#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>

#include "zinniadoor/gateway/process_name.hpp"
#include "zinniadoor/gateway/quota.hpp"
#include "zinniadoor/gateway/usage_book.hpp"
#include "zinniadoor/serving/crash_list.hpp"
#include "zinniadoor/serving/engine_view.hpp"

namespace zinniadoor::gateway {

/// Load of one instance at one endpoint.
struct EndpointLoad
{
    std::uint64_t endpoint = 0; ///< Its digest.
    serving::EngineLoad load;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(endpoint, load);
    }
};

/// A prompt that an engine reads, as far as others may share it.
struct PromptNews
{
    std::uint64_t endpoint = 0; ///< Its digest.
    std::vector<std::pair<std::uint64_t, std::uint32_t>> parts; ///< Key and tokens, in order.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(endpoint, parts);
    }
};

/// Format of an encoded message between instances; 0 if there is none. The codec writes a byte of
/// its own before the message, whose first member is the format.
inline std::uint8_t formatOf(const std::string &bytes)
{
    return bytes.size() < 2 ? 0 : static_cast<std::uint8_t>(bytes[1]);
}

/// What an instance tells its peers several times a second. All of it is advice: no right to do
/// anything depends on it.
struct PeerMessage
{
    static constexpr std::uint8_t CurrentFormat = 3;

    std::uint8_t format = CurrentFormat;
    ProcessName sender;
    std::string dataCentre; ///< Of the sender.
    std::uint64_t sequence = 0;
    std::int64_t estimateMs = 0; ///< Sender's own estimate of true time, Unix milliseconds.
    std::vector<EndpointLoad> loads;
    std::vector<PromptNews> prompts; ///< Since the last message.
    std::vector<serving::CrashEntry> crashes; ///< Since the last message.
    std::map<std::string, std::int64_t> paused; ///< Endpoints without work, for so many ms.
    TakenCounts taken; ///< Of the quotas of all organisations.
    std::map<WindowNumber, UsageCounts> usage; ///< Of the newest windows.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(format, sender, dataCentre, sequence, estimateMs, loads, prompts, crashes, paused,
                taken, usage);
    }
};

/// What an instance tells its peers as soon as it has taken some of a quota, and several times a
/// second in any case, so that its silence is noticed.
struct TakenMessage
{
    static constexpr std::uint8_t CurrentFormat = 5; ///< Unlike that of any other message.

    std::uint8_t format = CurrentFormat;
    ProcessName sender;
    std::uint64_t sequence = 0; ///< Counts on together with that of `PeerMessage`.
    TakenCounts taken; ///< Of the organisations whose count has changed.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(format, sender, sequence, taken);
    }
};

} // namespace zinniadoor::gateway
