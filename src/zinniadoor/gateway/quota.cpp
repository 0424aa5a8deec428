#include "zinniadoor/gateway/quota.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace zinniadoor::gateway {

namespace {

/// Time over which a peer's use is averaged.
constexpr double UseSeconds = 2;

/// Part of the slack that is used; the rest is for what is taken while news is on its way.
constexpr double UsedSlack = 0.4;

/// A peer that has not been heard for longer may be cut off and go on taking. Longer than the
/// longest pause between two messages.
constexpr absl::Duration SilenceThatCounts = absl::Milliseconds(400);

/// After this time what a silent peer may have taken meanwhile has been refilled.
constexpr absl::Duration SilenceThatIsLoss = absl::Seconds(10);

/// Earliest and latest time at which a refused caller is asked back.
constexpr absl::Duration MinReturn = absl::Milliseconds(50);
constexpr absl::Duration MaxReturn = absl::Seconds(5);

} // namespace

Quota::Quota(const QuotaOptions &options)
    : options_(options)
{ }

double Quota::group() const
{
    if (!membership_)
        return options_.startGroup;
    const double known = std::max<std::uint32_t>(membership_->known, 1);
    return std::min(1.0, membership_->heard / known);
}

double Quota::overdraft(const Bucket &bucket) const
{
    return bucket.unit == QuotaUnit::Tokens ? UsedSlack * options_.slack * group() : 0;
}

void Quota::configure(const Configuration &configuration)
{
    absl::flat_hash_map<base::OrganisationId, Bucket> next;
    for (const Organisation &organisation : configuration.parts().organisations) {
        const auto known = buckets_.find(organisation.id);
        Bucket bucket = known == buckets_.end() ? Bucket {} : std::move(known->second);
        bucket.unit = organisation.unit;
        bucket.rate = organisation.ratePerSecond;
        bucket.burst = organisation.burst;
        bucket.level = std::min(bucket.level, bucket.burst * group());
        next[organisation.id] = std::move(bucket);
    }
    buckets_ = std::move(next);
}

void Quota::refill(Bucket &bucket, absl::Time now) const
{
    const double capacity = bucket.burst * group();
    if (bucket.filled == absl::InfinitePast()) {
        bucket.level = options_.startShare * capacity;
    } else {
        const double seconds = std::max(0.0, absl::ToDoubleSeconds(now - bucket.filled));
        bucket.level += seconds * bucket.rate * group();
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

void Quota::notePeer(const ProcessName &peer, const TakenCounts &taken, absl::Time now,
                     CountsTold told)
{
    Peer &known = peers_[peer.instance];
    if (peer.incarnation < known.incarnation)
        return;
    // A process that was running before counts from what it says first; a new one from zero.
    const bool restarted = known.isCounted && peer.incarnation > known.incarnation;
    known.incarnation = peer.incarnation;
    known.heard = now;
    if (!known.isCounted && told != CountsTold::All)
        return;
    const bool isBaseline
        = !std::exchange(known.isCounted, true) && !options_.start.covers(peer.incarnation, now);
    for (auto &[id, bucket] : buckets_) {
        if (restarted)
            bucket.peers[peer.instance].taken = 0;
        const auto count = taken.find(id.str());
        if (bucket.rate > 0 && count != taken.end()) {
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
    const double silent = absl::ToDoubleSeconds(now - peer->second.heard);
    for (auto &[id, bucket] : buckets_) {
        const auto use = bucket.peers.find(instance);
        if (use == bucket.peers.end())
            continue;
        if (bucket.rate > 0) {
            refill(bucket, now);
            bucket.level -= use->second.rate * std::clamp(silent, 0.0, UseSeconds);
        }
        bucket.peers.erase(use);
    }
    peers_.erase(peer);
}

void Quota::noteUse(Bucket &bucket, const std::string &instance, double taken, bool isBaseline,
                    absl::Time now) const
{
    PeerUse &use = bucket.peers[instance];
    // Less than before: what was taken for a request that did not run was given back.
    const double more = isBaseline ? 0 : taken - use.taken;
    use.taken = taken;
    bucket.level -= more;
    if (use.ratedAt != absl::InfinitePast())
        use.rate *= std::exp(-std::max(0.0, absl::ToDoubleSeconds(now - use.ratedAt)) / UseSeconds);
    use.rate = std::max(0.0, use.rate + more / UseSeconds);
    use.ratedAt = now;
}

double Quota::unheardUse(const Bucket &bucket, absl::Time now) const
{
    double sum = 0;
    for (const auto &[instance, use] : bucket.peers) {
        const auto peer = peers_.find(instance);
        if (peer == peers_.end())
            continue;
        const absl::Duration silent = now - peer->second.heard;
        if (silent > SilenceThatCounts && silent < SilenceThatIsLoss)
            sum += use.rate * absl::ToDoubleSeconds(std::min(silent, absl::Seconds(UseSeconds)));
    }
    return sum;
}

std::optional<absl::Duration> Quota::take(const base::OrganisationId &organisation, double cost,
                                          absl::Time now)
{
    const auto found = buckets_.find(organisation);
    if (found == buckets_.end() || found->second.rate <= 0)
        return std::nullopt;
    Bucket &bucket = found->second;
    refill(bucket, now);
    // A request larger than the whole burst runs from a full bucket, on credit.
    const double needed = std::min(cost, bucket.burst * group()) - overdraft(bucket);
    const double level = bucket.level - unheardUse(bucket, now);
    if (level >= needed) {
        bucket.level -= cost;
        ownTaken_[organisation.str()] += cost;
        return std::nullopt;
    }
    const double rate = std::max(bucket.rate * group(), 1e-6);
    return std::clamp(absl::Seconds((needed - level) / rate), MinReturn, MaxReturn);
}

void Quota::giveBack(const base::OrganisationId &organisation, double cost)
{
    const auto found = buckets_.find(organisation);
    if (found == buckets_.end() || found->second.rate <= 0)
        return;
    found->second.level += cost;
    ownTaken_[organisation.str()] -= cost;
}

} // namespace zinniadoor::gateway
