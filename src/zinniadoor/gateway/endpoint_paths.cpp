#include "zinniadoor/gateway/endpoint_paths.hpp"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "absl/strings/str_cat.h"

#include "zinniadoor/base/events.hpp"
#include "zinniadoor/net/connect_probe.hpp"
#include "zinniadoor/serving/reachability.hpp"

namespace zinniadoor::gateway {

namespace {

using base::EventId;
using base::logEvent;
using serving::Reachability;

/// A relay that gave no connection is not asked again for this time.
constexpr absl::Duration RelayPause = absl::Seconds(1);

class RelayedPaths : public EndpointPaths, public std::enable_shared_from_this<RelayedPaths>
{
public:
    RelayedPaths(boost::asio::io_context &io, const base::Clock &clock,
                 const EndpointDirectory &directory, const PeerTable &peers,
                 base::DataCentreId dataCentre, std::function<void(bool)> onCutOff)
        : io_(io)
        , clock_(clock)
        , directory_(directory)
        , peers_(peers)
        , dataCentre_(std::move(dataCentre))
        , onCutOff_(std::move(onCutOff))
        , timer_(io)
    { }

    bool hasWay() override { return !isCutOff() || !relays().empty(); }
    bool isCutOff() const override { return reach_.isCutOff(); }

    net::CallTarget targetOf(const EndpointRecord &endpoint, bool preferRelay) override
    {
        net::CallTarget target { endpoint.address, endpoint.id.str() };
        if (isCutOff() || preferRelay)
            target.relay = relayFor(target.peer);
        return target;
    }

    void noteRelayFailed(const std::string &relay) override
    {
        const absl::Time now = clock_.now();
        absl::erase_if(pausedUntil_, [&](const auto &entry) { return entry.second <= now; });
        if (pausedUntil_.insert_or_assign(relay, now + RelayPause).second)
            logEvent(EventId::RelayFailed, { { "relay", relay } });
    }

    void noteConnectFailed(const base::EndpointId &endpoint, const std::function<void()> &onFault,
                           const std::function<void()> &onCutOff) override
    {
        if (isCutOff()) {
            onCutOff();
            return;
        }
        if (reach_.isProven(clock_.now())) {
            onFault();
            return;
        }
        failed_.insert(endpoint);
        pending_.emplace_back(onFault, onCutOff);
        startRound();
    }

private:
    /// A round of probes.
    struct Round
    {
        std::size_t tried = 0;
        std::size_t open = 0; ///< Probes without a result.
        bool isOver = false;
    };

    void startRound()
    {
        if (!reach_.takeRound())
            return;
        std::vector<serving::ProbeCandidate> candidates;
        for (const EndpointRecord *record : directory_.all()) {
            if (directory_.acceptsWork(record->id))
                candidates.push_back({ record->id, record->service, record->dataCentre });
        }
        const auto round = std::make_shared<Round>();
        const auto probes = serving::chooseProbes(candidates, failed_, ++rounds_);
        round->tried = probes.size();
        round->open = probes.size();
        if (probes.empty())
            endRound(*round, 0);
        for (const base::EndpointId &id : probes) {
            net::probeConnect(io_, directory_.find(id)->address, Reachability::ProbeTimeout,
                              [weak = weak_from_this(), round](bool connected) {
                                  const auto self = weak.lock();
                                  --round->open;
                                  if (!self || round->isOver || (!connected && round->open > 0))
                                      return;
                                  self->endRound(*round, connected ? 1 : 0);
                              });
        }
    }

    void endRound(Round &round, std::size_t connected)
    {
        round.isOver = true;
        const absl::Time now = clock_.now();
        const bool hearsOthers = peers_.membership(now).reachable > 1;
        const bool hasChanged = reach_.noteRound(round.tried, connected, hearsOthers, now);
        if (hasChanged) {
            logEvent(isCutOff() ? EventId::InstanceCutOff : EventId::InstanceReachesAgain,
                     { { "probes", absl::StrCat(round.tried) },
                       { "failed", absl::StrCat(failed_.size()) } });
            onCutOff_(isCutOff());
        }
        const auto pending = std::exchange(pending_, {});
        failed_.clear();
        if (isCutOff()) {
            timer_.expires_after(absl::ToChronoMilliseconds(Reachability::RoundInterval));
            timer_.async_wait([weak = weak_from_this()](boost::system::error_code error) {
                const auto self = weak.lock();
                if (self && !error)
                    self->startRound();
            });
        }
        for (const auto &[onFault, onCutOff] : pending)
            (isCutOff() ? onCutOff : onFault)();
    }

    /// Relays that have not failed lately, those of this data centre if there are any.
    std::vector<std::string> relays() const
    {
        const absl::Time now = clock_.now();
        const auto isUsable = [&](const std::string &address) {
            const auto paused = pausedUntil_.find(address);
            return !address.empty() && (paused == pausedUntil_.end() || paused->second <= now);
        };
        std::vector<std::string> usable;
        for (const auto &[instance, address] : peers_.reachableIn(dataCentre_, now)) {
            if (isUsable(address))
                usable.push_back(address);
        }
        if (!usable.empty())
            return usable;
        for (const GroupCandidate &peer : peers_.candidates(now)) {
            if (peer.dataCentre != dataCentre_ && isUsable(peer.address))
                usable.push_back(peer.address);
        }
        return usable;
    }

    /// Spread by endpoint, so that connections are used again. Empty if there is none.
    std::string relayFor(const std::string &endpoint) const
    {
        const std::vector<std::string> usable = relays();
        const auto digestOf = [&](const std::string &relay) {
            return std::hash<std::string>()(absl::StrCat(relay, "/", endpoint));
        };
        const auto best
            = std::max_element(usable.begin(), usable.end(), [&](const auto &a, const auto &b) {
                  return digestOf(a) < digestOf(b);
              });
        return best == usable.end() ? "" : *best;
    }

    boost::asio::io_context &io_;
    const base::Clock &clock_;
    const EndpointDirectory &directory_;
    const PeerTable &peers_;
    base::DataCentreId dataCentre_;
    std::function<void(bool)> onCutOff_;
    boost::asio::steady_timer timer_;
    Reachability reach_;
    std::uint64_t rounds_ = 0;
    absl::flat_hash_set<base::EndpointId> failed_; ///< Since the last round.

    /// What runs if an endpoint failed, or else this instance, until that is known.
    std::vector<std::pair<std::function<void()>, std::function<void()>>> pending_;
    absl::flat_hash_map<std::string, absl::Time> pausedUntil_; ///< By address.
};

} // namespace

std::shared_ptr<EndpointPaths>
makeRelayedPaths(boost::asio::io_context &io, const base::Clock &clock,
                 const EndpointDirectory &directory, const PeerTable &peers,
                 const base::DataCentreId &dataCentre, std::function<void(bool)> onCutOff)
{
    return std::make_shared<RelayedPaths>(io, clock, directory, peers, dataCentre,
                                          std::move(onCutOff));
}

} // namespace zinniadoor::gateway
