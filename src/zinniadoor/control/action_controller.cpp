#include "zinniadoor/control/action_controller.hpp"

#include <array>

#include "absl/strings/ascii.h"

namespace zinniadoor::control {

namespace {

struct VerdictName
{
    ActionVerdict verdict;
    const char *name;
};

constexpr std::array<VerdictName, 8> VerdictNames { {
    { ActionVerdict::Claiming, "claiming" },
    { ActionVerdict::Run, "run" },
    { ActionVerdict::Recorded, "recorded" },
    { ActionVerdict::InProgress, "in_progress" },
    { ActionVerdict::Unknown, "unknown" },
    { ActionVerdict::BodyDiffers, "body_differs" },
    { ActionVerdict::KeyDateOutOfRange, "key_date_out_of_range" },
    { ActionVerdict::NotRun, "not_run" },
} };

/// How far a key's date may lie in the future, since clocks differ. Must stay below
/// ActionClockSlackSeconds, by which the table keeps actions beyond their retention.
constexpr absl::Duration MaxKeyDateAhead = absl::Seconds(60);

constexpr std::size_t UuidLength = 36;
constexpr std::size_t UuidVersionPosition = 14;
constexpr std::size_t UuidTimeDigits = 12;

bool hasUuidFormat(const std::string &key)
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

const char *nameOf(ActionVerdict verdict)
{
    for (const VerdictName &row : VerdictNames) {
        if (row.verdict == verdict)
            return row.name;
    }
    return "unknown";
}

std::optional<std::int64_t> uuidV7Milliseconds(const std::string &key)
{
    if (!hasUuidFormat(key) || key[UuidVersionPosition] != '7')
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

ActionController::ActionController(Process self, ActionTimeouts times)
    : self_(std::move(self))
    , times_(times)
{ }

bool ActionController::isOwnerLost(const State &state, const FrameAgeTracker &watch,
                                   const Process &owner, absl::Time now) const
{
    if (owner == self_)
        return false;
    return state.instances().hasEnded(owner)
        || watch.timeSinceLastFrame(owner, now) > times_.ownerTimeout;
}

ActionDecision ActionController::verdictFor(const State &state, const FrameAgeTracker &watch,
                                            const ActionCall &call, const Action &action,
                                            absl::Time now) const
{
    if (action.bodyDigest != call.bodyDigest)
        return { ActionVerdict::BodyDiffers, std::nullopt };
    switch (action.stage) {
    case ActionStage::Answered:
        return { ActionVerdict::Recorded, std::nullopt };
    case ActionStage::Unknown:
        return { ActionVerdict::Unknown, std::nullopt };
    case ActionStage::InProgress:
        break;
    }
    if (isOwnerLost(state, watch, action.owner, now))
        return { ActionVerdict::Unknown, Record(finished(call.key, ActionResult::Unknown)) };
    return { ActionVerdict::InProgress, std::nullopt };
}

ActionDecision ActionController::claimAction(const State &state, const FrameAgeTracker &watch,
                                             const ActionCall &call, bool logAvailable,
                                             absl::Time now, absl::Time wallTime)
{
    if (const Action *action = state.actions().find(call.key))
        return verdictFor(state, watch, call, *action, now);
    if (isDateOutOfRange(call.key.idempotencyKey, retentionOf(state), wallTime))
        return { ActionVerdict::KeyDateOutOfRange, std::nullopt };
    if (const auto claim = claims_.find(call.key); claim != claims_.end())
        return { claim->second.abandoned ? ActionVerdict::NotRun : ActionVerdict::InProgress,
                 std::nullopt };
    if (!logAvailable)
        return { ActionVerdict::NotRun, std::nullopt };
    claims_[call.key] = { ++lastClaim_, now, false };
    ActionClaimed record;
    record.organisation = call.key.organisation;
    record.idempotencyKey = call.key.idempotencyKey;
    record.bodyDigest = call.bodyDigest;
    record.owner = self_.instance;
    record.incarnation = self_.incarnation;
    record.claim = lastClaim_;
    record.wallSeconds = absl::ToUnixSeconds(wallTime);
    return { ActionVerdict::Claiming, Record(std::move(record)), lastClaim_ };
}

ActionDecision ActionController::pollClaim(const State &state, const FrameAgeTracker &watch,
                                           const ActionCall &call, std::uint64_t claim,
                                           absl::Time now)
{
    const auto found = claims_.find(call.key);
    const bool pending = found != claims_.end() && found->second.number == claim;
    const Action *action = state.actions().find(call.key);
    if (action != nullptr && !isOwn(*action, claim)) {
        if (pending)
            found->second.abandoned = true;
        return verdictFor(state, watch, call, *action, now);
    }
    if (!pending)
        return {};
    Claim &own = found->second;
    if (own.abandoned || now - own.claimedAt > times_.claimTimeout) {
        // If the log still accepts the claim, it is released: the response "not run" has to hold.
        own.abandoned = true;
        return {};
    }
    if (action == nullptr)
        return { ActionVerdict::Claiming, std::nullopt, claim };
    claims_.erase(found);
    return { ActionVerdict::Run, std::nullopt, claim };
}

bool ActionController::isOwn(const Action &action, std::uint64_t claim) const
{
    return action.owner == self_ && action.claim == claim
        && action.stage == ActionStage::InProgress;
}

void ActionController::onOwnFrame(const Frame &frame, const ApplyResult &result)
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

void ActionController::abandon(const ActionKey &key, std::uint64_t claim)
{
    const auto found = claims_.find(key);
    if (found != claims_.end() && found->second.number == claim)
        found->second.abandoned = true;
}

std::vector<Record> ActionController::releaseAbandonedClaims(const State &state)
{
    std::vector<Record> records;
    for (auto claim = claims_.begin(); claim != claims_.end();) {
        const Action *action = state.actions().find(claim->first);
        if (!claim->second.abandoned || action == nullptr
            || !isOwn(*action, claim->second.number)) {
            ++claim;
            continue;
        }
        records.push_back(releaseAction(claim->first));
        claim = claims_.erase(claim);
    }
    return records;
}

Record ActionController::finishAction(const ActionKey &key, const ServiceResponse &response) const
{
    ActionFinished record = finished(key, ActionResult::Answered);
    record.status = response.status;
    record.contentType = response.contentType;
    record.bodyRecorded = response.body.size() <= MaxRecordedAnswerBytes;
    if (record.bodyRecorded)
        record.body = response.body;
    return record;
}

Record ActionController::releaseAction(const ActionKey &key) const
{
    return finished(key, ActionResult::NotRun);
}

Record ActionController::recordUnknownOutcome(const ActionKey &key) const
{
    return finished(key, ActionResult::Unknown);
}

} // namespace zinniadoor::control
