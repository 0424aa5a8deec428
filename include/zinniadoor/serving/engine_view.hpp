#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/serving/prompt_segment.hpp"

namespace zinniadoor::serving {

/// Digest of a text that is the same in every process.
std::uint64_t stableDigest(const std::string &text);

/// Names a prompt's part together with all segments before it.
using PrefixKey = std::uint64_t;

struct KeyedSegment
{
    PrefixKey key = 0;
    std::uint32_t tokens = 0;
};

/// Keys of a prompt's segments, in order.
std::vector<KeyedSegment> keySegments(const std::vector<PromptSegment> &segments);

/// Ranks of urgency that loads are kept by; 0 is the most urgent, less urgent ones share the last.
constexpr std::size_t UrgencyRankCount = 3;

/// Work that requests have brought to an engine and that is not done yet.
struct EngineLoad
{
    std::array<std::uint32_t, UrgencyRankCount> promptTokens {}; ///< To be read, by urgency.
    std::uint32_t requests = 0;

    /// Load of one request.
    static EngineLoad ofRequest(std::uint32_t promptTokens, std::size_t rank);

    /// What is left without `other`; never less than nothing.
    friend EngineLoad operator-(const EngineLoad &all, const EngineLoad &other);

    /// Tokens that an engine reads before those of a new request of this rank.
    std::uint64_t tokensAhead(std::size_t rank) const;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        for (std::uint32_t &tokens : promptTokens)
            archive(tokens);
        archive(requests);
    }
};

struct EngineInfo
{
    base::EndpointId id;
    base::DataCentreId dataCentre;
    std::string service;
    bool isPrefillEngine = false; ///< Prefill stage; else it writes answers.
    std::uint32_t slots = 1;
    std::uint64_t kvTokens = 0;
    double copyTokensPerMs = 0; ///< Of prompts' memory from another engine; 0: not to be had.
};

/// What is known of the engines: load brought by this instance and its peers, and prompt segments
/// that they should still hold. For one thread.
class EngineView
{
public:
    /// Engines in use; forgets all others.
    void setEngines(const std::vector<EngineInfo> &engines);
    const std::vector<EngineInfo> &engines() const { return engines_; }

    void addLoad(const base::EndpointId &engine, const EngineLoad &load);
    void removeLoad(const base::EndpointId &engine, const EngineLoad &load);

    /// Load of this instance alone.
    EngineLoad ownLoad(const base::EndpointId &engine) const;

    /// Replaces what a peer has at the engines; a peer not heard of for `PeerLoadLife` has none.
    void setPeerLoad(const base::InstanceId &peer,
                     absl::flat_hash_map<base::EndpointId, EngineLoad> loads, absl::Time now);

    /// Load that a peer has brought, as last told.
    EngineLoad peerLoad(const base::InstanceId &peer, const base::EndpointId &engine,
                        absl::Time now) const;

    /// Load of all instances.
    EngineLoad load(const base::EndpointId &engine, absl::Time now) const;

    /// A prompt is read at an engine, which keeps its segments; the least recently used ones yield.
    void recordSegments(const base::EndpointId &engine, const std::vector<KeyedSegment> &segments);

    /// Tokens of the leading segments that the engine should hold.
    std::uint64_t cachedTokens(const base::EndpointId &engine,
                               const std::vector<KeyedSegment> &segments) const;

    /// Whether the engine should hold all segments but the last, which is the request's own.
    bool holdsSharedPrefix(const base::EndpointId &engine,
                           const std::vector<KeyedSegment> &segments) const;

    /// The engine started anew or may hold nothing.
    void clearSegments(const base::EndpointId &engine);

private:
    struct Cache
    {
        std::list<KeyedSegment> recent; ///< Newest first.
        absl::flat_hash_map<PrefixKey, std::list<KeyedSegment>::iterator> index;
        std::uint64_t tokens = 0;
    };
    struct PeerLoad
    {
        absl::Time heard;
        absl::flat_hash_map<base::EndpointId, EngineLoad> loads;
    };
    void takeOff(const PeerLoad &peer) const;

    /// Drops peers that have not been heard for long.
    void dropSilent(absl::Time now) const;

    std::vector<EngineInfo> engines_;
    absl::flat_hash_map<base::EndpointId, std::uint64_t> kvTokens_;
    absl::flat_hash_map<base::EndpointId, EngineLoad> own_;
    mutable absl::flat_hash_map<base::InstanceId, PeerLoad> peers_;
    mutable absl::flat_hash_map<base::EndpointId, EngineLoad> peerSums_; ///< Of all `peers_`.
    mutable absl::Time silentFrom_ = absl::InfiniteFuture(); ///< No peer is dropped earlier.
    absl::flat_hash_map<base::EndpointId, Cache> caches_;
};

} // namespace zinniadoor::serving
