#include "zinniadoor/control/action_table.hpp"

#include <algorithm>
#include <vector>

namespace zinniadoor::control {

namespace {

base::Reason conflict(const char *text)
{
    return { base::ReasonCode::Conflict, text };
}

} // namespace

base::Status ActionTable::apply(const ActionClaimed &record, const Process &writer,
                                base::Offset offset, std::int64_t retentionSeconds)
{
    if (Process { record.owner, record.incarnation } != writer)
        return conflict("a process can claim only for itself");
    std::int64_t &clock = clocks_[writer.instance];
    clock = std::max(clock, record.wallSeconds);
    evictExpired(retentionSeconds);
    const ActionKey key { record.organisation, record.idempotencyKey };
    Action action;
    action.bodyDigest = record.bodyDigest;
    action.owner = writer;
    action.claim = record.claim;
    action.claimedAt = offset;
    action.wallSeconds = record.wallSeconds;
    if (!actions_.emplace(key, std::move(action)).second)
        return conflict("the action is already claimed");
    byAge_.emplace(record.wallSeconds, key);
    return base::Done {};
}

base::Status ActionTable::apply(const ActionFinished &record, const Process &writer)
{
    const auto found = actions_.find({ record.organisation, record.idempotencyKey });
    if (found == actions_.end() || found->second.stage != ActionStage::InProgress)
        return conflict("the action is not in progress");
    Action &action = found->second;
    // Other processes may only record Unknown: it ends the callers' waiting but never a run.
    if (action.owner != writer && record.result != ActionResult::Unknown)
        return conflict("only the owner may record this outcome");
    if (record.result == ActionResult::NotRun) {
        byAge_.erase({ action.wallSeconds, found->first });
        actions_.erase(found);
        return base::Done {};
    }
    action.stage
        = record.result == ActionResult::Answered ? ActionStage::Answered : ActionStage::Unknown;
    action.status = record.status;
    action.contentType = record.contentType;
    action.bodyRecorded = record.bodyRecorded && record.body.size() <= MaxRecordedAnswerBytes;
    if (action.bodyRecorded)
        action.body = record.body;
    return base::Done {};
}

const Action *ActionTable::find(const ActionKey &key) const
{
    const auto found = actions_.find(key);
    return found == actions_.end() ? nullptr : &found->second;
}

std::int64_t ActionTable::wallSeconds() const
{
    std::vector<std::int64_t> readings;
    readings.reserve(clocks_.size());
    for (const auto &[instance, seconds] : clocks_)
        readings.push_back(seconds);
    if (readings.empty())
        return 0;
    const auto median = readings.begin() + static_cast<std::ptrdiff_t>((readings.size() - 1) / 2);
    std::nth_element(readings.begin(), median, readings.end());
    return *median;
}

void ActionTable::removeClock(const base::InstanceId &instance)
{
    clocks_.erase(instance);
}

void ActionTable::evictExpired(std::int64_t retentionSeconds)
{
    const std::int64_t oldest = wallSeconds() - retentionSeconds - ActionClockSlackSeconds;
    while (!byAge_.empty() && byAge_.begin()->first < oldest) {
        actions_.erase(byAge_.begin()->second);
        byAge_.erase(byAge_.begin());
    }
}

} // namespace zinniadoor::control
