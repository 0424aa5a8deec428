#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/control/records.hpp"

namespace zinniadoor::control {

/// One process (incarnation) of an instance.
struct Process
{
    base::InstanceId instance;
    base::Incarnation incarnation = 0;

    friend bool operator==(const Process &a, const Process &b)
    {
        return a.instance == b.instance && a.incarnation == b.incarnation;
    }
    friend bool operator!=(const Process &a, const Process &b) { return !(a == b); }
    friend bool operator<(const Process &a, const Process &b)
    {
        return std::tie(a.instance, a.incarnation) < std::tie(b.instance, b.incarnation);
    }

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(instance, incarnation);
    }
};

/// What the log records about one process.
struct ProcessInfo
{
    base::DataCentreId dataCentre;
    std::string peerAddress;
    std::vector<base::InstanceId> attestors;
    std::map<base::InstanceId, base::Offset> withdrawnAttestations; ///< Offsets, by attestor.
    base::Offset startedAt = 0;
    base::Offset lastFrame = 0; ///< Offset of its last accepted frame.
    std::uint64_t lastSequence = 0; ///< Sequence number of its last accepted frame.
    std::uint64_t bundleVersion = 0; ///< In force at the process, as reported by its last frame.
    bool stopped = false;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(dataCentre, peerAddress, attestors, withdrawnAttestations, startedAt, lastFrame,
                lastSequence, bundleVersion, stopped);
    }
};

/// A process is evicted if none of this many frames is its own, unless it still holds a lease or
/// has an open order.
constexpr base::Offset InactivityLimitFrames = 4'000'000;

/// The processes that have written to the log and the last accepted frame of each.
class InstanceTable
{
public:
    /// Accepts or rejects a frame. Rejects duplicates, frames of processes that have not recorded
    /// their start (or were evicted), and frames of processes that have recorded their stop.
    base::Status admit(const Frame &frame, base::Offset offset);

    base::Status apply(const InstanceStarted &record, const Process &writer, base::Offset offset);
    base::Status apply(const InstanceStopped &record, const Process &writer);
    base::Status apply(const AttestationWithdrawn &record, const Process &writer,
                       base::Offset offset);

    /// Null for a process that was never started or has been evicted.
    const ProcessInfo *find(const Process &process) const;

    /// The newest incarnation of an instance; 0 if none.
    base::Incarnation newestIncarnation(const base::InstanceId &instance) const;

    /// The newest process of every instance, without those that have stopped.
    std::vector<Process> running() const;

    /// Whether the instance started a newer process at the same peer address, which implies that
    /// this one has ended.
    bool restartedAtSameAddress(const Process &process) const;

    /// Whether the process recorded its stop, was restarted at its address, or is not in the table.
    bool hasEnded(const Process &process) const;

    /// Whether every attestor of the process has withdrawn its attestation; true if it has none.
    bool allAttestationsWithdrawn(const Process &process) const;

    /// Offset of the last withdrawal of an attestation for the process; 0 if none.
    base::Offset lastAttestationWithdrawal(const Process &process) const;

    const std::map<Process, ProcessInfo> &processes() const { return processes_; }

    /// Evicts processes without a frame for InactivityLimitFrames, except those for which
    /// `isNeeded` holds.
    void evictInactive(base::Offset offset, const std::function<bool(const Process &)> &isNeeded);

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(processes_);
    }

private:
    std::map<Process, ProcessInfo> processes_;
};

/// Whether a writer is an operator's tool, which may only write configuration records.
bool isOperatorTool(const base::InstanceId &writer);

} // namespace zinniadoor::control
