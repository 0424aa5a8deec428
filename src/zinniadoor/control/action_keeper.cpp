#include "zinniadoor/control/action_keeper.hpp"

#include <array>

#include "absl/strings/ascii.h"

namespace zinniadoor::control {

namespace {

struct AnswerName
{
    ActionAnswer answer;
    const char *name;
};

constexpr std::array<AnswerName, 8> AnswerNames { {
    { ActionAnswer::Claiming, "claiming" },
    { ActionAnswer::Run, "run" },
    { ActionAnswer::Recorded, "recorded" },
    { ActionAnswer::InProgress, "in_progress" },
    { ActionAnswer::Unknown, "unknown" },
    { ActionAnswer::BodyDiffers, "body_differs" },
    { ActionAnswer::KeyDateOutOfRange, "key_date_out_of_range" },
    { ActionAnswer::NotRun, "not_run" },
} };

/// How far in the future a key's date may be, for clocks that differ. Must stay below
/// ActionClockSlackSeconds, by which the table remembers longer.
constexpr absl::Duration MaxKeyDateAhead = absl::Seconds(60);

constexpr std::size_t UuidLength = 36;
constexpr std::size_t UuidVersionPosition = 14;
constexpr std::size_t UuidTimeDigits = 12;

bool isUuidShaped(const std::string &key)
{
    if (key.size() != UuidLength)
        return false;
    for (std::size_t i = 0; i < key.size(); ++i) {
        const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
        const auto c = static_cast<unsigned char>(key[i]);
        if (dash ? c != '-' : !absl::ascii_isxdigit(c))
            return false;
    }
    return true;
}

bool isDateOutOfRange(const std::string &key, absl::Duration retention, absl::Time wallTime)
{
    const std::optional<std::int64_t> milliseconds = uuidV7Milliseconds(key);
    if (!milliseconds)
        return false;
    const absl::Duration age = wallTime - absl::FromUnixMillis(*milliseconds);
    return age > retention || age < -MaxKeyDateAhead;
}

ActionFinished finished(const ActionKey &key, ActionResult result)
{
    ActionFinished record;
    record.organisation = key.organisation;
    record.idempotencyKey = key.idempotencyKey;
    record.result = result;
    return record;
}

absl::Duration retentionOf(const State &state)
{
    const auto &bundle = state.configuration().bundle();
    return absl::Seconds(bundle ? bundle->actionRetentionSeconds
                                : Bundle {}.actionRetentionSeconds);
}

} // namespace

const char *nameOf(ActionAnswer answer)
{
    for (const AnswerName &row : AnswerNames) {
        if (row.answer == answer)
            return row.name;
    }
    return "unknown";
}

std::optional<std::int64_t> uuidV7Milliseconds(const std::string &key)
{
    if (!isUuidShaped(key) || key[UuidVersionPosition] != '7')
        return std::nullopt;
    std::int64_t milliseconds = 0;
    std::size_t digits = 0;
    for (std::size_t i = 0; digits < UuidTimeDigits; ++i) {
        if (key[i] == '-')
            continue;
        const char c = absl::ascii_tolower(static_cast<unsigned char>(key[i]));
        milliseconds = milliseconds * 16 + (c <= '9' ? c - '0' : c - 'a' + 10);
        ++digits;
    }
    return milliseconds;
}

ActionKeeper::ActionKeeper(Process self, ActionTimes times)
    : self_(std::move(self))
    , times_(times)
{ }

bool ActionKeeper::isOwnerLost(const State &state, const FrameAgeTracker &watch, const Process &owner,
                               absl::Time now) const
{
    if (owner == self_)
        return false;
    return state.instances().hasEnded(owner) || watch.timeSinceLastFrame(owner, now) > times_.ownerSilence;
}

ActionDecision ActionKeeper::answerFor(const State &state, const FrameAgeTracker &watch,
                                       const ActionCall &call, const Action &action,
                                       absl::Time now) const
{
    if (action.bodyDigest != call.bodyDigest)
        return { ActionAnswer::BodyDiffers, std::nullopt };
    switch (action.stage) {
    case ActionStage::Answered:
        return { ActionAnswer::Recorded, std::nullopt };
    case ActionStage::Unknown:
        return { ActionAnswer::Unknown, std::nullopt };
    case ActionStage::InProgress:
        break;
    }
    if (isOwnerLost(state, watch, action.owner, now))
        return { ActionAnswer::Unknown, Record(finished(call.key, ActionResult::Unknown)) };
    return { ActionAnswer::InProgress, std::nullopt };
}

ActionDecision ActionKeeper::claimAction(const State &state, const FrameAgeTracker &watch,
                                         const ActionCall &call, bool logAvailable, absl::Time now,
                                         absl::Time wallTime)
{
    if (const Action *action = state.actions().find(call.key))
        return answerFor(state, watch, call, *action, now);
    if (isDateOutOfRange(call.key.idempotencyKey, retentionOf(state), wallTime))
        return { ActionAnswer::KeyDateOutOfRange, std::nullopt };
    if (const auto claim = claims_.find(call.key); claim != claims_.end())
        return { claim->second.abandoned ? ActionAnswer::NotRun : ActionAnswer::InProgress,
                 std::nullopt };
    if (!logAvailable)
        return { ActionAnswer::NotRun, std::nullopt };
    claims_[call.key] = { ++lastClaim_, now, false };
    ActionClaimed record;
    record.organisation = call.key.organisation;
    record.idempotencyKey = call.key.idempotencyKey;
    record.bodyDigest = call.bodyDigest;
    record.owner = self_.instance;
    record.incarnation = self_.incarnation;
    record.claim = lastClaim_;
    record.wallSeconds = absl::ToUnixSeconds(wallTime);
    return { ActionAnswer::Claiming, Record(std::move(record)), lastClaim_ };
}

ActionDecision ActionKeeper::runAction(const State &state, const FrameAgeTracker &watch,
                                       const ActionCall &call, std::uint64_t claim, absl::Time now)
{
    const auto found = claims_.find(call.key);
    const bool pending = found != claims_.end() && found->second.number == claim;
    const Action *action = state.actions().find(call.key);
    if (action != nullptr && !isOwn(*action, claim)) {
        if (pending)
            found->second.abandoned = true;
        return answerFor(state, watch, call, *action, now);
    }
    if (!pending)
        return {};
    Claim &own = found->second;
    if (own.abandoned || now - own.claimedAt > times_.claimWait) {
        // From here on the claim, should it count, is given back: "not run" stays true.
        own.abandoned = true;
        return {};
    }
    if (action == nullptr)
        return { ActionAnswer::Claiming, std::nullopt, claim };
    claims_.erase(found);
    return { ActionAnswer::Run, std::nullopt, claim };
}

bool ActionKeeper::isOwn(const Action &action, std::uint64_t claim) const
{
    return action.owner == self_ && action.claim == claim
        && action.stage == ActionStage::InProgress;
}

void ActionKeeper::onOwnFrame(const Frame &frame, const ApplyResult &result)
{
    for (std::size_t i = 0; i < result.records.size(); ++i) {
        const auto *record = std::get_if<ActionClaimed>(&frame.records[i]);
        if (record == nullptr || result.records[i])
            continue;
        const auto claim = claims_.find({ record->organisation, record->idempotencyKey });
        if (claim != claims_.end() && claim->second.number == record->claim)
            claims_.erase(claim);
    }
}

void ActionKeeper::abandon(const ActionKey &key, std::uint64_t claim)
{
    const auto found = claims_.find(key);
    if (found != claims_.end() && found->second.number == claim)
        found->second.abandoned = true;
}

std::vector<Record> ActionKeeper::giveBackAbandoned(const State &state)
{
    std::vector<Record> records;
    for (auto claim = claims_.begin(); claim != claims_.end();) {
        const Action *action = state.actions().find(claim->first);
        if (!claim->second.abandoned || action == nullptr
            || !isOwn(*action, claim->second.number)) {
            ++claim;
            continue;
        }
        records.push_back(giveBackAction(claim->first));
        claim = claims_.erase(claim);
    }
    return records;
}

Record ActionKeeper::finishAction(const ActionKey &key, const ServiceAnswer &answer) const
{
    ActionFinished record = finished(key, ActionResult::Answered);
    record.status = answer.status;
    record.contentType = answer.contentType;
    record.bodyRecorded = answer.body.size() <= MaxRecordedAnswerBytes;
    if (record.bodyRecorded)
        record.body = answer.body;
    return record;
}

Record ActionKeeper::giveBackAction(const ActionKey &key) const
{
    return finished(key, ActionResult::NotRun);
}

Record ActionKeeper::loseAction(const ActionKey &key) const
{
    return finished(key, ActionResult::Unknown);
}

} // namespace zinniadoor::control
