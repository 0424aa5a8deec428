#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>

#include <cereal/types/map.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/control/instance_table.hpp"
#include "zinniadoor/control/records.hpp"

namespace zinniadoor::control {

/// Identifies an action by an organisation's idempotency key.
struct ActionKey
{
    base::OrganisationId organisation;
    std::string idempotencyKey;

    friend bool operator==(const ActionKey &a, const ActionKey &b)
    {
        return a.organisation == b.organisation && a.idempotencyKey == b.idempotencyKey;
    }
    friend bool operator<(const ActionKey &a, const ActionKey &b)
    {
        return std::tie(a.organisation, a.idempotencyKey)
            < std::tie(b.organisation, b.idempotencyKey);
    }

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(organisation, idempotencyKey);
    }
};

enum class ActionStage : std::uint8_t { InProgress, Answered, Unknown };

struct Action
{
    std::string bodyDigest;
    Process owner;
    std::uint64_t claim = 0; ///< The owner's number of the accepted claim.
    base::Offset claimedAt = 0;
    std::int64_t wallSeconds = 0;
    ActionStage stage = ActionStage::InProgress;
    std::uint16_t status = 0;
    std::string contentType;
    std::string body;
    bool bodyRecorded = true;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(bodyDigest, owner, claim, claimedAt, wallSeconds, stage, status, contentType, body,
                bodyRecorded);
    }
};

/// Actions are kept longer than their retention by the maximum clock difference between instances.
constexpr std::int64_t ActionClockSlackSeconds = 600;

/// Owner and outcome of each action that may run at most once.
class ActionTable
{
public:
    /// `retentionSeconds`: how long an action is kept.
    base::Status apply(const ActionClaimed &record, const Process &writer, base::Offset offset,
                       std::int64_t retentionSeconds);
    base::Status apply(const ActionFinished &record, const Process &writer);

    /// Null for an action that was never claimed, was released as not run, or has expired.
    const Action *find(const ActionKey &key) const;

    std::size_t size() const { return actions_.size(); }

    /// Wall time against which actions expire: the lower median of the instances' last recorded
    /// clocks, so that a single wrong clock cannot expire actions early.
    std::int64_t wallSeconds() const;

    /// Excludes the instance's clock from the median.
    void removeClock(const base::InstanceId &instance);

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(actions_, byAge_, clocks_);
    }

private:
    void evictExpired(std::int64_t retentionSeconds);

    std::map<ActionKey, Action> actions_;
    std::set<std::pair<std::int64_t, ActionKey>> byAge_;
    std::map<base::InstanceId, std::int64_t> clocks_;
};

} // namespace zinniadoor::control
