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
#include "zinniadoor/gateway/usage_window_counter.hpp"
#include "zinniadoor/serving/crash_evidence.hpp"
#include "zinniadoor/serving/crash_list.hpp"
#include "zinniadoor/serving/engine_view.hpp"

namespace zinniadoor::gateway {

/// Load that one instance puts on one endpoint.
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

/// A prompt prefix that an engine is about to hold in its cache; other requests may share it.
struct PrefixUpdate
{
    std::uint64_t endpoint = 0; ///< Its digest.
    std::vector<std::pair<std::uint64_t, std::uint32_t>> parts; ///< Key and tokens, in order.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(endpoint, parts);
    }
};

/// Format of an encoded message between instances; 0 if it is too short. The codec writes one byte
/// before the message, and the first member of each message is its format.
inline std::uint8_t formatOf(const std::string &bytes)
{
    return bytes.size() < 2 ? 0 : static_cast<std::uint8_t>(bytes[1]);
}

/// State that an instance advertises to its peers several times a second. All of it is a hint: no
/// permission depends on it.
struct PeerMessage
{
    static constexpr std::uint8_t CurrentFormat
        = 10; ///< Distinct from that of every other message.

    std::uint8_t format = CurrentFormat;
    ProcessName sender;
    std::string dataCentre; ///< Of the sender.
    std::uint64_t sequence = 0;
    bool stopping = false; ///< The sender is shutting down and takes no duties.
    std::int64_t estimateMs = 0; ///< Sender's own estimate of cluster time, Unix milliseconds.
    std::vector<EndpointLoad> loads;
    std::vector<PrefixUpdate> prefixes; ///< Since the last message.
    std::vector<serving::CrashEntry> crashes; ///< Always empty; `BodyReportsMessage` replaces it.
    serving::CrashReports partReports; ///< Each in several messages.
    std::map<std::string, std::int64_t> paused; ///< Remaining pause by endpoint, milliseconds.
    bool hasCounts = false; ///< `consumed`, `usage` and `usageFinalBefore` are set.
    ConsumedCounts consumed; ///< Of all organisations.
    std::map<WindowNumber, UsageCounts> usage; ///< Of the newest windows.
    WindowNumber usageFinalBefore = 0; ///< The counts of earlier windows are final.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(format, sender, dataCentre, sequence, stopping, estimateMs, loads, prefixes,
                crashes, partReports, paused, hasCounts, consumed, usage, usageFinalBefore);
    }
};

/// Compact encoding of the total load of many instances on one endpoint.
struct PackedLoad
{
    std::uint32_t endpoint = 0; ///< Lower half of its digest.
    std::uint16_t requests = 0;
    std::array<std::uint16_t, serving::UrgencyRankCount>
        kiloTokens {}; ///< Prompt tokens to prefill, by urgency.

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

/// Sums sent by the leader of a data centre: to other leaders, over the instances that report to
/// it; to each of its members, over all instances except that member. A hint, like `PeerMessage`.
struct LeaderMessage
{
    static constexpr std::uint8_t CurrentFormat
        = 11; ///< Distinct from that of every other message.

    std::uint8_t format = CurrentFormat;
    ProcessName sender;
    std::string dataCentre; ///< Of the sender.
    std::uint64_t sequence = 0; ///< Shared with the sender's other messages.
    std::int64_t estimateMs = 0; ///< Sender's estimate of cluster time, Unix milliseconds.
    bool toMember = false;
    std::string leader; ///< Leader of the sender's data centre, in the sender's view.
    std::uint32_t reachable = 0; ///< Number of instances included in the sums.
    std::uint32_t tracked = 0; ///< Number of instances that have started and not stopped.
    bool hasLoads = false;
    std::vector<PackedLoad> loads;
    bool hasAllCounts = false; ///< `consumed` lists all organisations, not only changed ones.
    std::vector<std::pair<std::uint32_t, double>>
        consumed; ///< By lower half of the organisation's digest.
    std::vector<PrefixUpdate> prefixes; ///< New in the engines' caches since the last message.
    std::vector<serving::CrashEntry> crashes; ///< Always empty; `BodyReportsMessage` replaces it.
    serving::CrashReports partReports; ///< Each in several messages.
    std::map<std::string, std::int64_t> paused; ///< Remaining pause by endpoint, milliseconds.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(format, sender, dataCentre, sequence, estimateMs, toMember, leader, reachable,
                tracked, hasLoads, loads, hasAllCounts, consumed, prefixes, crashes, partReports,
                paused);
    }
};

/// Notifies these processes that their usage counts of a window are stored in the journal.
struct UsageWrittenNotice
{
    static constexpr std::uint8_t CurrentFormat = 8; ///< Distinct from that of every other message.

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

/// Short identifier of a process in messages.
std::uint64_t digestOf(const ProcessName &process);

/// Sent by an instance to its peers as soon as it has consumed some of a quota, and several times a
/// second in any case as a heartbeat.
struct ConsumptionMessage
{
    static constexpr std::uint8_t CurrentFormat = 5; ///< Distinct from that of every other message.

    std::uint8_t format = CurrentFormat;
    ProcessName sender;
    std::uint64_t sequence = 0; ///< Shared with the sender's other messages.
    ConsumedCounts consumed; ///< Of the organisations whose count has changed.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(format, sender, sequence, consumed);
    }
};

/// Limit of an endpoint's calls, as its last answer showed it.
struct PackedLimit
{
    static constexpr double NoLimit = -1;

    std::uint64_t endpoint = 0; ///< Its digest.
    double perSecond = NoLimit;
    std::uint16_t ageMs = 0; ///< Time since the answer.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(endpoint, perSecond, ageMs);
    }
};

/// Notifies other instances of the limits of endpoints, for as long as answers show them. A hint,
/// like `PeerMessage`.
struct LimitsMessage
{
    static constexpr std::uint8_t CurrentFormat
        = 12; ///< Distinct from that of every other message.

    std::uint8_t format = CurrentFormat;
    ProcessName sender;
    std::vector<PackedLimit> limits;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(format, sender, limits);
    }
};

/// Reports about bodies of requests, each in several messages, and again for instances that have
/// just started. A hint, like `PeerMessage`.
struct BodyReportsMessage
{
    static constexpr std::uint8_t CurrentFormat
        = 16; ///< Distinct from that of every other message.

    std::uint8_t format = CurrentFormat;
    ProcessName sender;
    serving::CrashReports reports;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(format, sender, reports, reports.trials);
    }
};

} // namespace zinniadoor::gateway
