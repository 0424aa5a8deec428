#include "zinniadoor/serving/engine_view.hpp"

#include <algorithm>

#include "stable_digest.hpp"

namespace zinniadoor::serving {

namespace {

/// Lifetime of a peer's load without an update; reached only if several messages are lost.
constexpr absl::Duration PeerLoadTimeout = absl::Milliseconds(2500);

/// Share of an engine's KV cache assumed available for segments; running requests use the rest.
constexpr double CacheShare = 0.8;

EngineLoad operator+(const EngineLoad &a, const EngineLoad &b)
{
    EngineLoad sum = a;
    for (std::size_t rank = 0; rank < UrgencyRankCount; ++rank)
        sum.promptTokens[rank] += b.promptTokens[rank];
    sum.requests += b.requests;
    return sum;
}

} // namespace

EngineLoad operator-(const EngineLoad &all, const EngineLoad &other)
{
    EngineLoad left = all;
    for (std::size_t rank = 0; rank < UrgencyRankCount; ++rank)
        left.promptTokens[rank] -= std::min(left.promptTokens[rank], other.promptTokens[rank]);
    left.requests -= std::min(left.requests, other.requests);
    return left;
}

std::uint64_t stableDigest(const std::string &text)
{
    return detail::mixedDigest(text);
}

EngineLoad EngineLoad::ofRequest(std::uint32_t promptTokens, std::size_t rank)
{
    EngineLoad load;
    load.promptTokens[std::min(rank, UrgencyRankCount - 1)] = promptTokens;
    load.requests = 1;
    return load;
}

std::uint64_t EngineLoad::tokensAhead(std::size_t rank) const
{
    std::uint64_t tokens = 0;
    for (std::size_t i = 0; i <= std::min(rank, UrgencyRankCount - 1); ++i)
        tokens += promptTokens[i];
    return tokens;
}

std::vector<KeyedSegment> keySegments(const std::vector<PromptSegment> &segments)
{
    std::vector<KeyedSegment> keyed;
    std::string path;
    for (const PromptSegment &segment : segments) {
        path.append(segment.id);
        path.push_back('/');
        keyed.push_back({ detail::mixedDigest(path), segment.tokens });
    }
    return keyed;
}

void EngineView::setEngines(const std::vector<EngineInfo> &engines)
{
    engines_ = engines;
    kvTokens_.clear();
    for (const EngineInfo &engine : engines_)
        kvTokens_[engine.id] = engine.kvTokens;
    const auto isGone = [this](const auto &entry) { return !kvTokens_.contains(entry.first); };
    absl::erase_if(own_, isGone);
    absl::erase_if(caches_, isGone);
}

void EngineView::addLoad(const base::EndpointId &engine, const EngineLoad &load)
{
    EngineLoad &own = own_[engine];
    own = own + load;
}

void EngineView::removeLoad(const base::EndpointId &engine, const EngineLoad &load)
{
    const auto found = own_.find(engine);
    if (found == own_.end())
        return;
    found->second = found->second - load;
}

EngineLoad EngineView::ownLoad(const base::EndpointId &engine) const
{
    const auto found = own_.find(engine);
    return found == own_.end() ? EngineLoad {} : found->second;
}

void EngineView::setPeerLoad(const base::InstanceId &peer,
                             absl::flat_hash_map<base::EndpointId, EngineLoad> loads,
                             absl::Time now)
{
    const auto found = peers_.find(peer);
    if (found != peers_.end())
        subtractFromSums(found->second);
    for (const auto &[engine, load] : loads) {
        EngineLoad &sum = peerSums_[engine];
        sum = sum + load;
    }
    peers_[peer] = { now, std::move(loads) };
    nextPeerExpiry_ = std::min(nextPeerExpiry_, now + PeerLoadTimeout);
}

EngineLoad EngineView::peerLoad(const base::InstanceId &peer, const base::EndpointId &engine,
                                absl::Time now) const
{
    const auto reported = peers_.find(peer);
    if (reported == peers_.end() || now - reported->second.receivedAt > PeerLoadTimeout)
        return {};
    const auto found = reported->second.loads.find(engine);
    return found == reported->second.loads.end() ? EngineLoad {} : found->second;
}

void EngineView::subtractFromSums(const PeerLoad &peer) const
{
    for (const auto &[engine, load] : peer.loads) {
        const auto sum = peerSums_.find(engine);
        if (sum != peerSums_.end())
            sum->second = sum->second - load;
    }
}

void EngineView::expirePeers(absl::Time now) const
{
    if (now <= nextPeerExpiry_)
        return;
    nextPeerExpiry_ = absl::InfiniteFuture();
    for (auto it = peers_.begin(); it != peers_.end();) {
        const auto current = it++;
        const absl::Time end = current->second.receivedAt + PeerLoadTimeout;
        if (now > end) {
            subtractFromSums(current->second);
            peers_.erase(current);
        } else {
            nextPeerExpiry_ = std::min(nextPeerExpiry_, end);
        }
    }
}

absl::Duration EngineView::peerLoadAge(const base::EndpointId &engine, absl::Time now) const
{
    absl::Duration ages;
    std::uint32_t requests = 0;
    for (const auto &[peer, reported] : peers_) {
        const auto found = reported.loads.find(engine);
        if (found == reported.loads.end() || now - reported.receivedAt > PeerLoadTimeout)
            continue;
        ages += (now - reported.receivedAt) * found->second.requests;
        requests += found->second.requests;
    }
    return requests > 0 ? ages / requests : absl::ZeroDuration();
}

bool EngineView::isReported(const base::EndpointId &engine, absl::Duration maxAge,
                            absl::Time now) const
{
    for (const auto &[peer, reported] : peers_) {
        const auto found = reported.loads.find(engine);
        if (found != reported.loads.end() && found->second.requests > 0
            && now - reported.receivedAt <= maxAge)
            return true;
    }
    return false;
}

// Called for each engine and request, so the loads of all peers are kept as a sum per engine.
EngineLoad EngineView::load(const base::EndpointId &engine, absl::Time now) const
{
    expirePeers(now);
    const auto found = peerSums_.find(engine);
    return found == peerSums_.end() ? ownLoad(engine) : ownLoad(engine) + found->second;
}

void EngineView::recordSegments(const base::EndpointId &engine,
                                const std::vector<KeyedSegment> &segments)
{
    const auto capacity = kvTokens_.find(engine);
    if (capacity == kvTokens_.end())
        return;
    Cache &cache = caches_[engine];
    for (const KeyedSegment &segment : segments) {
        const auto found = cache.index.find(segment.key);
        if (found != cache.index.end()) {
            cache.recent.splice(cache.recent.begin(), cache.recent, found->second);
            continue;
        }
        cache.recent.push_front(segment);
        cache.index[segment.key] = cache.recent.begin();
        cache.tokens += segment.tokens;
    }
    const auto limit
        = static_cast<std::uint64_t>(CacheShare * static_cast<double>(capacity->second));
    while (cache.tokens > limit && !cache.recent.empty()) {
        cache.tokens -= cache.recent.back().tokens;
        cache.index.erase(cache.recent.back().key);
        cache.recent.pop_back();
    }
}

std::uint64_t EngineView::cachedTokens(const base::EndpointId &engine,
                                       const std::vector<KeyedSegment> &segments) const
{
    const auto found = caches_.find(engine);
    if (found == caches_.end())
        return 0;
    std::uint64_t tokens = 0;
    for (const KeyedSegment &segment : segments) {
        if (!found->second.index.contains(segment.key))
            break;
        tokens += segment.tokens;
    }
    return tokens;
}

bool EngineView::holdsSharedPrefix(const base::EndpointId &engine,
                                   const std::vector<KeyedSegment> &segments) const
{
    const auto found = caches_.find(engine);
    if (found == caches_.end())
        return segments.size() <= 1;
    for (std::size_t i = 0; i + 1 < segments.size(); ++i) {
        if (!found->second.index.contains(segments[i].key))
            return false;
    }
    return true;
}

void EngineView::clearSegments(const base::EndpointId &engine)
{
    caches_.erase(engine);
}

} // namespace zinniadoor::serving
