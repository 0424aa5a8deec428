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

/// Life-cycle state of an endpoint; only live endpoints receive new work.
enum class EndpointState : std::uint8_t { Live, Draining, Leaving, Gone };

const char *nameOf(EndpointState state);

/// Work dispatched to an endpoint and not yet finished.
struct WorkInFlight
{
    std::int64_t requests = 0;
    std::int64_t urgent = 0;
    std::int64_t prefillTokens = 0; ///< Of requests that have not produced a first token.
    std::int64_t kvPages = 0; ///< Reserved for the maximum length of the requests.

    WorkInFlight &operator+=(const WorkInFlight &other);
    WorkInFlight &operator-=(const WorkInFlight &other);
};

/// Load reported by an engine, sampled at `sampledAt`.
struct LoadReport
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t prefillTokensWaiting = 0;
    std::uint32_t kvPagesFree = 0;
    std::uint32_t kvPages = 0; ///< 0 if the engine reports no KV cache.
    control::Role role = control::Role::Mixed;
    absl::Time sampledAt; ///< Time of receipt minus the reported age.
};

/// State of one endpoint as tracked by this instance.
struct EndpointView
{
    control::Endpoint endpoint; ///< As configured.
    EndpointState state = EndpointState::Live;
    control::Role role = control::Role::Mixed; ///< As last reported or ordered.
    double weight = 1; ///< 0 while ejected, rising to 1 during ramp-up.
    WorkInFlight own;
    WorkInFlight peers;
    std::optional<LoadReport> report;
    WorkInFlight unattributed; ///< Reported work that no tracked instance has sent.
    absl::Duration meanServiceTime = absl::Seconds(2); ///< Mean time from dispatch to completion.
    PrefixView prefixes;

    /// Estimated requests at the endpoint: those of all instances, plus unattributed ones weighted
    /// down as the report ages.
    double requests(absl::Time now) const;
    double prefillTokens(absl::Time now) const;

    /// Estimated free KV pages; empty if the endpoint has not reported its KV cache.
    std::optional<double> freeKvPages() const;

private:
    friend class EndpointTable;
    struct Sample
    {
        absl::Time at;
        WorkInFlight work;
    };
    WorkInFlight attributed() const;
    WorkInFlight attributedAt(absl::Time at) const;
    void recordSample(absl::Time now);

    std::deque<Sample> history_; ///< Attributed work of the last seconds.
    std::int64_t kvPagesAtReport_ = 0;
    absl::Time roleSetAt_ = absl::InfinitePast();
};

/// Work of one instance on one endpoint.
struct PeerLoad
{
    base::EndpointId endpoint;
    WorkInFlight work;
};

/// Tracks the state and load of all endpoints. Not thread-safe.
class EndpointTable
{
public:
    /// Adds, updates and removes endpoints. The state of endpoints that remain is kept.
    void setEndpoints(const std::vector<control::Endpoint> &endpoints);

    /// Sets the throughput figures of the models, used in estimates.
    void setModels(const std::vector<control::Model> &models);

    void setState(const base::EndpointId &endpoint, EndpointState state);

    /// Sets the role after a completed role change. Reports sampled earlier don't override it.
    void setRole(const base::EndpointId &endpoint, control::Role role, absl::Time now);
    void setWeight(const base::EndpointId &endpoint, double weight);

    /// Tracks work of this instance. Each `noteSent` needs exactly one `noteFinished`.
    void noteSent(const base::EndpointId &endpoint, const RequestFacts &request, absl::Time now);
    void noteFirstToken(const base::RequestId &request, absl::Time now);
    void noteFinished(const base::RequestId &request, absl::Time now);

    void noteReport(const base::EndpointId &endpoint, const LoadReport &report);
    void noteCacheEvents(const base::EndpointId &endpoint, const std::vector<CacheEvent> &events);

    /// Replaces the work reported by a peer.
    void setPeerLoads(const base::InstanceId &peer, const std::vector<PeerLoad> &loads,
                      absl::Time now);
    void removePeer(const base::InstanceId &peer, absl::Time now);

    /// Number of instances that send work, including this one.
    std::size_t instanceCount() const { return peers_.size() + 1; }

    /// Work of this instance per endpoint, to be reported to peers.
    std::vector<PeerLoad> ownLoads() const;

    /// Endpoint on which a request of this instance runs, if any.
    std::optional<base::EndpointId> endpointOf(const base::RequestId &request) const;

    /// Requests of this instance that run on an endpoint.
    std::vector<base::RequestId> requestsOn(const base::EndpointId &endpoint) const;

    const EndpointView *find(const base::EndpointId &endpoint) const;
    const std::map<base::EndpointId, EndpointView> &all() const { return views_; }

    /// Throughput figures of a model; defaults if the model is not configured.
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
