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

/// What a process has taken of each organisation's quota since its start, in its unit.
using TakenCounts = std::map<std::string, double>;

/// What a message says of the counts.
enum class CountsTold : std::uint8_t {
    All, ///< Organisations that it does not name have taken nothing.
    Changed, ///< They are as before.
};

/// How many instances there are, and how many of them this one hears (itself included).
struct Membership
{
    std::uint32_t known = 1;
    std::uint32_t heard = 1;
};

struct QuotaOptions
{
    /// What all instances together may take beyond rate and burst, and pay back. In the
    /// organisation's unit; for quotas that count tokens.
    double slack = 0;

    /// Part of the burst that a new instance begins with; it does not know yet what was taken.
    double startShare = 1;

    /// Part of the quotas that a new instance uses until it knows who the others are.
    double startGroup = 1;

    /// Peers whose counts it covers count from zero, others from what they first tell.
    ProcessStart start;
};

/// The level of each organisation's quota as this instance knows it. All instances tell each other
/// what they have taken; a group of instances that is cut off from others uses (heard / known) of
/// the quota, so that groups together never add up to more than the whole. For one thread.
class Quota
{
public:
    explicit Quota(const QuotaOptions &options);

    /// Takes over new limits; a lower one binds at once.
    void configure(const Configuration &configuration);

    void setMembership(const Membership &membership, absl::Time now);

    /// What a peer says that it has taken. A peer that was running before is counted from what it
    /// first tells in full.
    void notePeer(const ProcessName &peer, const TakenCounts &taken, absl::Time now,
                  CountsTold told = CountsTold::All);

    /// A peer will say nothing more under this name; what it is likely to have taken since it was
    /// heard is taken off.
    void retirePeer(const std::string &instance, absl::Time now);

    /// Takes `cost` if the organisation is within its quota; else says when to come back.
    std::optional<absl::Duration> take(const base::OrganisationId &organisation, double cost,
                                       absl::Time now);

    /// Gives back what was taken for a request that did not run.
    void giveBack(const base::OrganisationId &organisation, double cost);

    /// What this instance has taken; for its peers.
    const TakenCounts &ownTaken() const { return ownTaken_; }

private:
    struct PeerUse
    {
        double taken = 0; ///< As last told.
        double rate = 0; ///< A second, smoothed.
        absl::Time ratedAt = absl::InfinitePast();
    };
    struct Bucket
    {
        QuotaUnit unit = QuotaUnit::Requests;
        double rate = 0; ///< Of the organisation as a whole; 0: no limit.
        double burst = 0;
        double level = 0;
        absl::Time filled = absl::InfinitePast();
        absl::flat_hash_map<std::string, PeerUse> peers; ///< By instance.
    };
    struct Peer
    {
        std::uint64_t incarnation = 0;
        absl::Time heard;
        bool isCounted = false; ///< It has told its counts in full.
    };

    /// Part of the quotas that the instances that hear each other use.
    double group() const;
    void refill(Bucket &bucket, absl::Time now) const;
    void noteUse(Bucket &bucket, const std::string &instance, double taken, bool isBaseline,
                 absl::Time now) const;

    /// What silent peers are likely to have taken since they were heard.
    double unheardUse(const Bucket &bucket, absl::Time now) const;

    /// How far a level may go below zero.
    double overdraft(const Bucket &bucket) const;

    QuotaOptions options_;
    absl::flat_hash_map<base::OrganisationId, Bucket> buckets_;
    absl::flat_hash_map<std::string, Peer> peers_;
    std::optional<Membership> membership_;
    TakenCounts ownTaken_;
};

} // namespace zinniadoor::gateway
