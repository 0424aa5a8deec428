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

/// Names an action: an organisation's idempotency key.
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
    std::uint64_t claim = 0; ///< Number of the claim that counted, at its owner.
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

/// Actions are kept this much longer than their retention, so that clocks may differ by that
/// much.
constexpr std::int64_t ActionClockSlackSeconds = 600;

/// Who owns each action that may run at most once, and what came of it.
class ActionTable
{
public:
    /// `retentionSeconds`: how long an action is remembered.
    base::Status apply(const ActionClaimed &record, const Process &writer, base::Offset offset,
                       std::int64_t retentionSeconds);
    base::Status apply(const ActionFinished &record, const Process &writer);

    /// Null for an action never claimed, given back as not run, or forgotten.
    const Action *find(const ActionKey &key) const;

    std::size_t size() const { return actions_.size(); }

    /// Calendar time by which actions are forgotten: the lower median of what the instances last
    /// wrote, so that no single wrong clock makes all forget.
    std::int64_t wallSeconds() const;

    /// No longer heeds the clock of this instance.
    void forgetClock(const base::InstanceId &instance);

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(actions_, byAge_, clocks_);
    }

private:
    void forgetOld(std::int64_t retentionSeconds);

    std::map<ActionKey, Action> actions_;
    std::set<std::pair<std::int64_t, ActionKey>> byAge_;
    std::map<base::InstanceId, std::int64_t> clocks_;
};

} // namespace zinniadoor::control
