#pragma once

#include <array>
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
    static constexpr std::uint8_t CurrentFormat = 7; ///< Unlike that of any other message.

    std::uint8_t format = CurrentFormat;
    ProcessName sender;
    std::string dataCentre; ///< Of the sender.
    std::uint64_t sequence = 0;
    bool stopping = false; ///< The sender takes on no duties any more.
    std::int64_t estimateMs = 0; ///< Sender's own estimate of true time, Unix milliseconds.
    std::vector<EndpointLoad> loads;
    std::vector<PromptNews> prompts; ///< Since the last message.
    std::vector<serving::CrashEntry> crashes; ///< Since the last message.
    std::map<std::string, std::int64_t> paused; ///< Endpoints without work, for so many ms.
    bool hasCounts = false; ///< `taken`, `usage` and `usageFinalBefore` are told.
    TakenCounts taken; ///< Of the quotas of all organisations.
    std::map<WindowNumber, UsageCounts> usage; ///< Of the newest windows.
    WindowNumber usageFinalBefore = 0; ///< The counts of windows before this one stay as they are.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(format, sender, dataCentre, sequence, stopping, estimateMs, loads, prompts, crashes,
                paused, hasCounts, taken, usage, usageFinalBefore);
    }
};

/// Load of many instances together at one endpoint, in few bytes.
struct PackedLoad
{
    std::uint32_t endpoint = 0; ///< Lower half of its digest.
    std::uint16_t requests = 0;
    std::array<std::uint16_t, serving::UrgencyRankCount> kiloTokens {}; ///< To be read, by urgency.

    static PackedLoad of(std::uint64_t endpoint, const serving::EngineLoad &load);
    serving::EngineLoad unpacked() const;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(endpoint, requests);
        for (std::uint16_t &tokens : kiloTokens)
            archive(tokens);
    }
};

/// Sums that the leader of a data centre tells the leaders of others (of the instances that tell
/// it) and each of these instances (of all but that one). Advice, like all news of peers.
struct LeaderMessage
{
    static constexpr std::uint8_t CurrentFormat = 6; ///< Unlike that of any other message.

    std::uint8_t format = CurrentFormat;
    ProcessName sender;
    std::string dataCentre; ///< Of the sender.
    std::uint64_t sequence = 0; ///< Counts on together with that of the other messages.
    std::int64_t estimateMs = 0; ///< What the sender takes for true time, Unix milliseconds.
    bool toMember = false;
    std::string leader; ///< The instance that the sender takes for the leader of its data centre.
    std::uint32_t heard = 0; ///< Instances that the sums stand for.
    std::uint32_t known = 0; ///< Instances that have started and not stopped.
    bool hasLoads = false;
    std::vector<PackedLoad> loads;
    bool hasAllCounts = false; ///< `taken` names all organisations, not only changed ones.
    std::vector<std::pair<std::uint32_t, double>> taken; ///< By half of the organisation's digest.
    std::vector<PromptNews> prompts; ///< Parts that engines did not hold, since the last message.
    std::vector<serving::CrashEntry> crashes; ///< Since the last message.
    std::map<std::string, std::int64_t> paused; ///< Endpoints without work, for so many ms.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(format, sender, dataCentre, sequence, estimateMs, toMember, leader, heard, known,
                hasLoads, loads, hasAllCounts, taken, prompts, crashes, paused);
    }
};

/// The counts of these processes for a window stand in the journal.
struct UsageWritten
{
    static constexpr std::uint8_t CurrentFormat = 8; ///< Unlike that of any other message.

    std::uint8_t format = CurrentFormat;
    ProcessName sender;
    WindowNumber window = 0;
    std::vector<std::uint64_t> processes; ///< Digests, see `digestOf`.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(format, sender, window, processes);
    }
};

/// Short name of a process in messages.
std::uint64_t digestOf(const ProcessName &process);

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
