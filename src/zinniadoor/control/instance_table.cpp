#include "zinniadoor/control/instance_table.hpp"

#include <algorithm>
#include <limits>

namespace zinniadoor::control {

namespace {

const std::string ToolPrefix = "tool/";

base::Reason conflict(const char *text)
{
    return { base::ReasonCode::Conflict, text };
}

bool beginsWithOwnStart(const Frame &frame)
{
    if (frame.records.empty())
        return false;
    const auto *started = std::get_if<InstanceStarted>(&frame.records.front());
    return started != nullptr && started->instance == frame.writer
        && started->incarnation == frame.incarnation;
}

} // namespace

bool isOperatorTool(const base::InstanceId &writer)
{
    return writer.str().rfind(ToolPrefix, 0) == 0;
}

base::Status InstanceTable::admit(const Frame &frame, base::Offset offset)
{
    const Process writer { frame.writer, frame.incarnation };
    auto found = processes_.find(writer);
    if (found == processes_.end()) {
        if (!isOperatorTool(frame.writer) && !beginsWithOwnStart(frame))
            return conflict("the log has no start record of the writer");
        if (frame.incarnation <= newestIncarnation(frame.writer))
            return conflict("a newer process of the instance has started");
        found = processes_.emplace(writer, ProcessInfo {}).first;
        found->second.startedAt = offset;
    }
    ProcessInfo &info = found->second;
    // A writer appends frame n+1 only once frame n is in the log, so comparing with the highest
    // sequence number detects every duplicate.
    if (frame.sequence <= info.lastSequence)
        return conflict("duplicate frame");
    if (info.stopped)
        return conflict("the writer has stopped");
    info.lastSequence = frame.sequence;
    info.lastFrame = offset;
    info.bundleVersion = frame.bundleVersion;
    return base::Done {};
}

base::Status InstanceTable::apply(const InstanceStarted &record, const Process &writer,
                                  base::Offset offset)
{
    ProcessInfo &info = processes_[writer];
    if (Process { record.instance, record.incarnation } != writer)
        return conflict("a process may only record its own start");
    if (info.startedAt != offset)
        return conflict("the process has already recorded its start");
    info.dataCentre = record.dataCentre;
    info.peerAddress = record.peerAddress;
    info.attestors = record.attestors;
    return base::Done {};
}

base::Status InstanceTable::apply(const InstanceStopped &record, const Process &writer)
{
    if (Process { record.instance, record.incarnation } != writer)
        return conflict("a process may only record its own stop");
    processes_[writer].stopped = true;
    return base::Done {};
}

base::Status InstanceTable::apply(const AttestationWithdrawn &record, const Process &writer,
                                  base::Offset offset)
{
    if (record.attestor != writer.instance)
        return conflict("an attestor may only withdraw its own attestation");
    // A late frame of an ended process must not withdraw an attestation that its successor upholds.
    if (newestIncarnation(writer.instance) != writer.incarnation)
        return conflict("a newer process of the attestor has started");
    const auto found = processes_.find({ record.instance, record.incarnation });
    if (found == processes_.end())
        return conflict("the attested process is not in the table");
    const std::vector<base::InstanceId> &attestors = found->second.attestors;
    if (std::find(attestors.begin(), attestors.end(), record.attestor) == attestors.end())
        return conflict("the process did not name this attestor");
    if (!found->second.withdrawnAttestations.emplace(record.attestor, offset).second)
        return conflict("the attestation has already been withdrawn");
    return base::Done {};
}

const ProcessInfo *InstanceTable::find(const Process &process) const
{
    const auto found = processes_.find(process);
    return found == processes_.end() ? nullptr : &found->second;
}

base::Incarnation InstanceTable::newestIncarnation(const base::InstanceId &instance) const
{
    auto next = processes_.upper_bound({ instance, std::numeric_limits<base::Incarnation>::max() });
    if (next == processes_.begin())
        return 0;
    --next;
    return next->first.instance == instance ? next->first.incarnation : 0;
}

std::vector<Process> InstanceTable::running() const
{
    std::vector<Process> result;
    for (const auto &[process, info] : processes_) {
        const bool newest = newestIncarnation(process.instance) == process.incarnation;
        if (newest && !info.stopped && !isOperatorTool(process.instance))
            result.push_back(process);
    }
    return result;
}

bool InstanceTable::restartedAtSameAddress(const Process &process) const
{
    const ProcessInfo *info = find(process);
    if (info == nullptr)
        return false;
    for (auto later = processes_.upper_bound(process);
         later != processes_.end() && later->first.instance == process.instance; ++later) {
        if (later->second.peerAddress == info->peerAddress)
            return true;
    }
    return false;
}

bool InstanceTable::hasEnded(const Process &process) const
{
    const ProcessInfo *info = find(process);
    return info == nullptr || info->stopped || restartedAtSameAddress(process);
}

bool InstanceTable::allAttestationsWithdrawn(const Process &process) const
{
    const ProcessInfo *info = find(process);
    if (info == nullptr)
        return true;
    for (const base::InstanceId &attestor : info->attestors) {
        if (info->withdrawnAttestations.count(attestor) == 0)
            return false;
    }
    return true;
}

base::Offset InstanceTable::lastAttestationWithdrawal(const Process &process) const
{
    base::Offset last = 0;
    if (const ProcessInfo *info = find(process)) {
        for (const auto &[attestor, offset] : info->withdrawnAttestations)
            last = std::max(last, offset);
    }
    return last;
}

void InstanceTable::evictInactive(base::Offset offset,
                                  const std::function<bool(const Process &)> &isNeeded)
{
    for (auto row = processes_.begin(); row != processes_.end();) {
        const bool inactive = row->second.lastFrame + InactivityLimitFrames < offset;
        if (inactive && !isNeeded(row->first))
            row = processes_.erase(row);
        else
            ++row;
    }
}

} // namespace zinniadoor::control
