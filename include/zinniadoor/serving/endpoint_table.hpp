#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/control/bundle.hpp"
#include "zinniadoor/serving/prefix_view.hpp"
#include "zinniadoor/serving/request_facts.hpp"

namespace zinniadoor::serving {

/// Whether an endpoint may get new work.
enum class EndpointState : std::uint8_t { Live, Draining, Leaving, Gone };

const char *nameOf(EndpointState state);

/// Work sent to an endpoint and not finished.
struct WorkInFlight
{
    std::int64_t requests = 0;
    std::int64_t urgent = 0;
    std::int64_t prefillTokens = 0; ///< Of requests without a first token yet.
    std::int64_t kvPages = 0; ///< Reserved for the requests at their longest.

    WorkInFlight &operator+=(const WorkInFlight &other);
    WorkInFlight &operator-=(const WorkInFlight &other);
};

/// An engine's own report of its load, as it was at `sampledAt`.
struct LoadReport
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t prefillTokensWaiting = 0;
    std::uint32_t kvPagesFree = 0;
    std::uint32_t kvPages = 0; ///< 0 where the engine reports no memory.
    control::Role role = control::Role::Mixed;
    absl::Time sampledAt; ///< Receipt less the reported age.
};

/// One endpoint as seen by this instance.
struct EndpointView
{
    control::Endpoint endpoint; ///< As configured.
    EndpointState state = EndpointState::Live;
    control::Role role = control::Role::Mixed; ///< As last reported or ordered.
    double weight = 1; ///< 0 while ejected, rising to 1 while it returns.
    WorkInFlight own;
    WorkInFlight peers;
    std::optional<LoadReport> report;
    WorkInFlight unattributed; ///< Work in the report that no instance is known to have sent.
    absl::Duration meanServiceTime = absl::Seconds(2); ///< Of a request, sending to end.
    PrefixView prefixes;

    /// Requests at the endpoint now: known ones and those of an old report that remain likely.
    double requests(absl::Time now) const;
    double prefillTokens(absl::Time now) const;

    /// Free pieces of memory; nothing while the endpoint has not reported any.
    std::optional<double> freeKvPages() const;

private:
    friend class EndpointTable;
    struct Sample
    {
        absl::Time at;
        WorkInFlight known;
    };
    WorkInFlight known() const;
    WorkInFlight knownAt(absl::Time at) const;
    void remember(absl::Time now);

    std::deque<Sample> history_; ///< Known work of the last seconds.
    std::int64_t kvPagesAtReport_ = 0;
    absl::Time roleSetAt_ = absl::InfinitePast();
};

/// Load that a peer has on one endpoint.
struct PeerLoad
{
    base::EndpointId endpoint;
    WorkInFlight work;
};

/// All endpoints, their state and their load. For one thread.
class EndpointTable
{
public:
    /// Adds, changes and removes endpoints; what is known of those that stay is kept.
    void setEndpoints(const std::vector<control::Endpoint> &endpoints);

    /// Pace of the models, for estimates.
    void setModels(const std::vector<control::Model> &models);

    void setState(const base::EndpointId &endpoint, EndpointState state);

    /// An order to change role has been carried out; reports taken before it don't undo it.
    void setRole(const base::EndpointId &endpoint, control::Role role, absl::Time now);
    void setWeight(const base::EndpointId &endpoint, double weight);

    /// Own work: each request that was sent must be finished once.
    void noteSent(const base::EndpointId &endpoint, const RequestFacts &request, absl::Time now);
    void noteFirstToken(const base::RequestId &request, absl::Time now);
    void noteFinished(const base::RequestId &request, absl::Time now);

    void noteReport(const base::EndpointId &endpoint, const LoadReport &report);
    void noteCacheEvents(const base::EndpointId &endpoint, const std::vector<CacheEvent> &events);

    /// Replaces what was known of a peer's work.
    void setPeerLoads(const base::InstanceId &peer, const std::vector<PeerLoad> &loads,
                      absl::Time now);
    void removePeer(const base::InstanceId &peer, absl::Time now);

    /// Instances known to send work, this one included.
    std::size_t instanceCount() const { return peers_.size() + 1; }

    /// Own work per endpoint, to tell peers.
    std::vector<PeerLoad> ownLoads() const;

    /// The endpoint a request of this instance runs on; nothing when it runs nowhere.
    std::optional<base::EndpointId> endpointOf(const base::RequestId &request) const;

    /// Requests of this instance on one endpoint.
    std::vector<base::RequestId> requestsOn(const base::EndpointId &endpoint) const;

    const EndpointView *find(const base::EndpointId &endpoint) const;
    const std::map<base::EndpointId, EndpointView> &all() const { return views_; }

    /// Pace of a model; defaults where it is not configured.
    const control::Model &model(const base::ModelId &model) const;

private:
    struct Sent
    {
        base::EndpointId endpoint;
        WorkInFlight work;
        absl::Time at;
    };
    EndpointView *view(const base::EndpointId &endpoint);
    WorkInFlight peerWorkOn(const base::EndpointId &endpoint) const;
    void addPeerWork(const std::vector<PeerLoad> &loads, int sign, absl::Time now);

    std::map<base::EndpointId, EndpointView> views_;
    absl::flat_hash_map<base::ModelId, control::Model> models_;
    absl::flat_hash_map<base::RequestId, Sent> sent_;
    absl::flat_hash_map<base::InstanceId, std::vector<PeerLoad>> peers_;
    control::Model defaultModel_;
};

} // namespace zinniadoor::serving
