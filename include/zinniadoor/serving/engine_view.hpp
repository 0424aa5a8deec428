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

/// Digest of a text; identical in every process, unlike `absl::Hash`.
std::uint64_t stableDigest(const std::string &text);

/// Identifies a prompt prefix: a segment together with all segments before it.
using PrefixKey = std::uint64_t;

struct KeyedSegment
{
    PrefixKey key = 0;
    std::uint32_t tokens = 0;
};

/// Prefix keys of a prompt's segments, in order.
std::vector<KeyedSegment> keySegments(const std::vector<PromptSegment> &segments);

/// Number of priority ranks by which load is tracked. Rank 0 is the most urgent; all lower
/// priorities share the last rank.
constexpr std::size_t UrgencyRankCount = 3;

/// Outstanding work on an engine.
struct EngineLoad
{
    /// Tokens awaiting prefill, by rank.
    std::array<std::uint32_t, UrgencyRankCount> promptTokens {};
    std::uint32_t requests = 0;

    /// Load of one request.
    static EngineLoad ofRequest(std::uint32_t promptTokens, std::size_t rank);

    /// Difference, clamped at zero per component.
    friend EngineLoad operator-(const EngineLoad &all, const EngineLoad &other);

    /// Tokens that an engine prefills before those of a new request of this rank.
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
    bool isPrefillEngine = false; ///< Runs remote prefill only; otherwise it decodes.
    std::uint32_t slots = 1;
    std::uint64_t kvTokens = 0;
    double copyTokensPerMs = 0; ///< KV transfer rate from other engines; 0 if unsupported.
};

/// Tracks the load that this instance and its peers put on each engine, and an estimate of the
/// prompt segments in each engine's KV cache. Not thread-safe.
class EngineView
{
public:
    /// Sets the engines in use and drops the state of all others.
    void setEngines(const std::vector<EngineInfo> &engines);
    const std::vector<EngineInfo> &engines() const { return engines_; }

    void addLoad(const base::EndpointId &engine, const EngineLoad &load);
    void removeLoad(const base::EndpointId &engine, const EngineLoad &load);

    /// Load of this instance alone.
    EngineLoad ownLoad(const base::EndpointId &engine) const;

    /// Replaces the load reported by a peer. It expires after `PeerLoadTimeout` without an update.
    void setPeerLoad(const base::InstanceId &peer,
                     absl::flat_hash_map<base::EndpointId, EngineLoad> loads, absl::Time now);

    /// Load last reported by a peer.
    EngineLoad peerLoad(const base::InstanceId &peer, const base::EndpointId &engine,
                        absl::Time now) const;

    /// Time since the load of peers on this engine was received, weighted by their requests.
    absl::Duration peerLoadAge(const base::EndpointId &engine, absl::Time now) const;

    /// Whether peers reported requests on this engine within `maxAge`.
    bool isReported(const base::EndpointId &engine, absl::Duration maxAge, absl::Time now) const;

    /// Load of all instances.
    EngineLoad load(const base::EndpointId &engine, absl::Time now) const;

    /// Records that an engine prefills and caches these segments. Evicts the least recently used
    /// segments beyond the capacity.
    void recordSegments(const base::EndpointId &engine, const std::vector<KeyedSegment> &segments);

    /// Tokens of the leading segments that are expected in the engine's cache.
    std::uint64_t cachedTokens(const base::EndpointId &engine,
                               const std::vector<KeyedSegment> &segments) const;

    /// Whether all segments except the last, which is private to the request, are expected in the
    /// engine's cache.
    bool holdsSharedPrefix(const base::EndpointId &engine,
                           const std::vector<KeyedSegment> &segments) const;

    /// Drops the cache estimate of an engine that restarted or may have lost its cache.
    void clearSegments(const base::EndpointId &engine);

private:
    struct Cache
    {
        std::list<KeyedSegment> recent; ///< Most recently used first.
        absl::flat_hash_map<PrefixKey, std::list<KeyedSegment>::iterator> index;
        std::uint64_t tokens = 0;
    };
    struct PeerLoad
    {
        absl::Time receivedAt;
        absl::flat_hash_map<base::EndpointId, EngineLoad> loads;
    };
    void subtractFromSums(const PeerLoad &peer) const;

    /// Drops the load of peers without a recent update.
    void expirePeers(absl::Time now) const;

    std::vector<EngineInfo> engines_;
    absl::flat_hash_map<base::EndpointId, std::uint64_t> kvTokens_;
    absl::flat_hash_map<base::EndpointId, EngineLoad> own_;
    mutable absl::flat_hash_map<base::InstanceId, PeerLoad> peers_;
    mutable absl::flat_hash_map<base::EndpointId, EngineLoad> peerSums_; ///< Sum over `peers_`.
    mutable absl::Time nextPeerExpiry_ = absl::InfiniteFuture(); ///< Earliest possible expiry.
    absl::flat_hash_map<base::EndpointId, Cache> caches_;
};

} // namespace zinniadoor::serving
