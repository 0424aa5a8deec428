#include "zinniadoor/gateway/quota.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace zinniadoor::gateway {

namespace {

/// Time constant for averaging a peer's consumption rate.
constexpr double UseAveragingSeconds = 2;

/// Fraction of the slack that is used; the rest covers consumption whose reports are in flight.
constexpr double UsedSlack = 0.4;

/// A peer that is silent for longer may be partitioned and still consuming. Longer than the maximum
/// time between two messages.
constexpr absl::Duration MinSilence = absl::Milliseconds(400);

/// After this time the estimated consumption of a silent peer has been refilled.
constexpr absl::Duration MaxSilence = absl::Seconds(10);

/// Time between two views of a quota for the log.
constexpr absl::Duration MinViewInterval = absl::Seconds(1);

/// Limits of the retry time given to a rejected caller.
constexpr absl::Duration MinRetryAfter = absl::Milliseconds(50);
constexpr absl::Duration MaxRetryAfter = absl::Seconds(5);

} // namespace

Quota::Quota(const QuotaOptions &options)
    : options_(options)
{ }

double Quota::groupShare() const
{
    if (!membership_)
        return options_.startQuotaShare;
    const double tracked = std::max<std::uint32_t>(membership_->tracked, 1);
    return std::min(1.0, membership_->reachable / tracked);
}

double Quota::overdraft(const Bucket &bucket) const
{
    return bucket.unit == QuotaUnit::Tokens ? UsedSlack * options_.slack * groupShare() : 0;
}

void Quota::configure(const Configuration &configuration)
{
    absl::flat_hash_map<base::OrganisationId, Bucket> next;
    for (const Organisation &organisation : configuration.parts().organisations) {
        const auto found = buckets_.find(organisation.id);
        Bucket bucket = found == buckets_.end() ? Bucket {} : std::move(found->second);
        bucket.unit = organisation.unit;
        bucket.rate = organisation.ratePerSecond;
        bucket.burst = organisation.burst;
        bucket.level = std::min(bucket.level, bucket.burst * groupShare());
        next[organisation.id] = std::move(bucket);
    }
    buckets_ = std::move(next);
}

void Quota::refill(Bucket &bucket, absl::Time now) const
{
    const double capacity = bucket.burst * groupShare();
    if (bucket.filled == absl::InfinitePast()) {
        bucket.level = options_.startBurstShare * capacity;
    } else {
        const double seconds = std::max(0.0, absl::ToDoubleSeconds(now - bucket.filled));
        bucket.level += seconds * bucket.rate * groupShare();
    }
    bucket.level = std::min(bucket.level, capacity);
    bucket.filled = now;
}

void Quota::setMembership(const Membership &membership, absl::Time now)
{
    for (auto &[id, bucket] : buckets_)
        refill(bucket, now);
    membership_ = membership;
}

void Quota::notePeerCounts(const ProcessName &peer, const ConsumedCounts &consumed, absl::Time now,
                           CountsScope scope)
{
    Peer &tracked = peers_[peer.instance];
    if (peer.incarnation < tracked.incarnation)
        return;
    // The first counts of a process that was running before are a baseline; a new one starts at 0.
    const bool restarted = tracked.isCounted && peer.incarnation > tracked.incarnation;
    tracked.incarnation = peer.incarnation;
    tracked.lastReceived = now;
    if (!tracked.isCounted && scope != CountsScope::All)
        return;
    const bool isBaseline = !std::exchange(tracked.isCounted, true)
        && !options_.start.precedes(peer.incarnation, now);
    for (auto &[id, bucket] : buckets_) {
        if (restarted)
            bucket.peers[peer.instance].consumed = 0;
        const auto count = consumed.find(id.str());
        if (bucket.rate > 0 && count != consumed.end()) {
            refill(bucket, now);
            noteUse(bucket, peer.instance, count->second, isBaseline, now);
        }
    }
}

void Quota::retirePeer(const std::string &instance, absl::Time now)
{
    const auto peer = peers_.find(instance);
    if (peer == peers_.end())
        return;
    const double silent = absl::ToDoubleSeconds(now - peer->second.lastReceived);
    for (auto &[id, bucket] : buckets_) {
        const auto use = bucket.peers.find(instance);
        if (use == bucket.peers.end())
            continue;
        if (bucket.rate > 0) {
            refill(bucket, now);
            const double estimate = use->second.rate * std::clamp(silent, 0.0, UseAveragingSeconds);
            bucket.level -= estimate;
            bucket.others += estimate;
            bucket.estimated += estimate;
        }
        bucket.peers.erase(use);
    }
    peers_.erase(peer);
}

void Quota::noteUse(Bucket &bucket, const std::string &instance, double consumed, bool isBaseline,
                    absl::Time now) const
{
    PeerUse &use = bucket.peers[instance];
    // Negative if the cost of a request that did not run was refunded.
    const double more = isBaseline ? 0 : consumed - use.consumed;
    use.consumed = consumed;
    bucket.level -= more;
    bucket.others += more;
    if (use.ratedAt != absl::InfinitePast())
        use.rate *= std::exp(-std::max(0.0, absl::ToDoubleSeconds(now - use.ratedAt))
                             / UseAveragingSeconds);
    use.rate = std::max(0.0, use.rate + more / UseAveragingSeconds);
    use.ratedAt = now;
}

double Quota::estimatedSilentUse(const Bucket &bucket, absl::Time now) const
{
    double sum = 0;
    for (const auto &[instance, use] : bucket.peers) {
        const auto peer = peers_.find(instance);
        if (peer == peers_.end())
            continue;
        const absl::Duration silent = now - peer->second.lastReceived;
        if (silent > MinSilence && silent < MaxSilence)
            sum += use.rate
                * absl::ToDoubleSeconds(std::min(silent, absl::Seconds(UseAveragingSeconds)));
    }
    return sum;
}

std::optional<absl::Duration> Quota::tryConsume(const base::OrganisationId &organisation,
                                                double cost, absl::Time now)
{
    const auto found = buckets_.find(organisation);
    if (found == buckets_.end() || found->second.rate <= 0)
        return std::nullopt;
    Bucket &bucket = found->second;
    refill(bucket, now);
    // A request larger than the burst is admitted with a full bucket and overdraws it.
    const double needed = std::min(cost, bucket.burst * groupShare()) - overdraft(bucket);
    const double level = bucket.level - estimatedSilentUse(bucket, now);
    if (level >= needed) {
        bucket.level -= cost;
        ownConsumption_[organisation.str()] += cost;
        return std::nullopt;
    }
    const double rate = std::max(bucket.rate * groupShare(), 1e-6);
    return std::clamp(absl::Seconds((needed - level) / rate), MinRetryAfter, MaxRetryAfter);
}

std::optional<QuotaView> Quota::takeView(const base::OrganisationId &organisation, absl::Time now)
{
    const auto found = buckets_.find(organisation);
    if (found == buckets_.end() || now - found->second.viewedAt < MinViewInterval)
        return std::nullopt;
    Bucket &bucket = found->second;
    bucket.viewedAt = now;
    QuotaView view;
    view.level = bucket.level;
    view.silentUse = estimatedSilentUse(bucket, now);
    view.share = groupShare();
    const auto own = ownConsumption_.find(organisation.str());
    view.own = own == ownConsumption_.end() ? 0 : own->second;
    view.others = bucket.others;
    view.estimated = bucket.estimated;
    return view;
}

void Quota::refund(const base::OrganisationId &organisation, double cost)
{
    const auto found = buckets_.find(organisation);
    if (found == buckets_.end() || found->second.rate <= 0)
        return;
    found->second.level += cost;
    ownConsumption_[organisation.str()] -= cost;
}

} // namespace zinniadoor::gateway
