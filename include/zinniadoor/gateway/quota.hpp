#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/gateway/configuration.hpp"
#include "zinniadoor/gateway/process_name.hpp"

namespace zinniadoor::gateway {

/// Cumulative consumption of a process since its start, by organisation, in the unit of its quota.
using ConsumedCounts = std::map<std::string, double>;

/// Which counts a message contains.
enum class CountsScope : std::uint8_t {
    All, ///< Organisations that are not listed have consumed nothing.
    Changed, ///< Organisations that are not listed are unchanged.
};

/// Number of running instances, and of those reachable from this one. Both include this instance.
struct Membership
{
    std::uint32_t tracked = 1;
    std::uint32_t reachable = 1;
};

struct QuotaOptions
{
    /// Amount that all instances together may consume beyond rate and burst; it is paid back by
    /// later refills. In tokens; applies to quotas that count tokens only.
    double slack = 0;

    /// Fraction of the burst available at start, when earlier consumption is still unknown.
    double startBurstShare = 1;

    /// Fraction of the quotas to use until the membership has been set.
    double startQuotaShare = 1;

    /// Peers that started after this have a baseline of zero, others their first full counts.
    ProcessStart start;
};

/// State of an organisation's quota as this instance sees it, for the log.
struct QuotaView
{
    double level = 0;
    double silentUse = 0; ///< Estimated consumption of silent peers, to be deducted.
    double share = 0; ///< Fraction of the quota that this side of a partition may use.
    double own = 0; ///< Consumed by this instance since its start.
    double others = 0; ///< Charged for all others since this instance's start.
    double estimated = 0; ///< The part of `others` that was estimated as peers were retired.
};

/// Token bucket of each organisation, shared by all instances, which report their consumption to
/// each other. During a partition each side uses only (reachable / tracked) of the quota, so that
/// all sides together never exceed it. Not thread-safe.
class Quota
{
public:
    explicit Quota(const QuotaOptions &options);

    /// Applies new limits; a lower limit takes effect at once.
    void configure(const Configuration &configuration);

    void setMembership(const Membership &membership, absl::Time now);

    /// Counts reported by a peer. The first full counts of a peer that was running before this
    /// instance are its baseline and not charged.
    void notePeerCounts(const ProcessName &peer, const ConsumedCounts &consumed, absl::Time now,
                        CountsScope scope = CountsScope::All);

    /// A peer will send no more counts under this name; its estimated consumption since the last
    /// ones is deducted.
    void retirePeer(const std::string &instance, absl::Time now);

    /// Consumes `cost` if the organisation is within its quota; else returns the time to retry
    /// after.
    std::optional<absl::Duration> tryConsume(const base::OrganisationId &organisation, double cost,
                                             absl::Time now);

    /// The state of a quota that rejects requests, at most once a second for each organisation.
    std::optional<QuotaView> takeView(const base::OrganisationId &organisation, absl::Time now);

    /// Returns the cost of a request that did not run.
    void refund(const base::OrganisationId &organisation, double cost);

    /// Consumption of this instance, to be reported to its peers.
    const ConsumedCounts &ownConsumption() const { return ownConsumption_; }

private:
    struct PeerUse
    {
        double consumed = 0; ///< As last reported.
        double rate = 0; ///< Per second, smoothed.
        absl::Time ratedAt = absl::InfinitePast();
    };
    struct Bucket
    {
        QuotaUnit unit = QuotaUnit::Requests;
        double rate = 0; ///< Per second, for all instances together; 0: unlimited.
        double burst = 0;
        double level = 0;
        double others = 0; ///< Charged for all others.
        double estimated = 0; ///< The part of `others` that was estimated as peers were retired.
        absl::Time filled = absl::InfinitePast();
        absl::Time viewedAt = absl::InfinitePast();
        absl::flat_hash_map<std::string, PeerUse> peers; ///< By instance.
    };
    struct Peer
    {
        std::uint64_t incarnation = 0;
        absl::Time lastReceived;
        bool isCounted = false; ///< Has reported its full counts.
    };

    /// Fraction of the quotas that this side of a partition may use.
    double groupShare() const;
    void refill(Bucket &bucket, absl::Time now) const;
    void noteUse(Bucket &bucket, const std::string &instance, double consumed, bool isBaseline,
                 absl::Time now) const;

    /// Estimated consumption of silent peers since their last reports.
    double estimatedSilentUse(const Bucket &bucket, absl::Time now) const;

    /// How far the level may fall below zero.
    double overdraft(const Bucket &bucket) const;

    QuotaOptions options_;
    absl::flat_hash_map<base::OrganisationId, Bucket> buckets_;
    absl::flat_hash_map<std::string, Peer> peers_;
    std::optional<Membership> membership_;
    ConsumedCounts ownConsumption_;
};

} // namespace zinniadoor::gateway
