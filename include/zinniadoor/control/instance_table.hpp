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

/// One process under an instance id.
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

/// What the log says of one process.
struct ProcessInfo
{
    base::DataCentreId dataCentre;
    std::string peerAddress;
    std::vector<base::InstanceId> attestors;
    std::map<base::InstanceId, base::Offset> withdrawnAttestations; ///< By attestor, with offset.
    base::Offset startedAt = 0;
    base::Offset lastFrame = 0; ///< Offset of its last frame that counted.
    std::uint64_t lastSequence = 0; ///< Of its last frame that counted.
    std::uint64_t bundleVersion = 0; ///< In force at it, as its last frame told.
    bool stopped = false;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(dataCentre, peerAddress, attestors, withdrawnAttestations, startedAt, lastFrame,
                lastSequence, bundleVersion, stopped);
    }
};

/// A process without a frame among this many is forgotten, unless it still holds something.
constexpr base::Offset InactivityLimitFrames = 4'000'000;

/// Which processes have written to the log, and which of their frames counted last.
class InstanceTable
{
public:
    /// Notes a frame; fails for one that stands twice, for a process that has not said that it
    /// started (or was forgotten) and for one that has said that it stopped.
    base::Status admit(const Frame &frame, base::Offset offset);

    base::Status apply(const InstanceStarted &record, const Process &writer, base::Offset offset);
    base::Status apply(const InstanceStopped &record, const Process &writer);
    base::Status apply(const AttestationWithdrawn &record, const Process &writer,
                       base::Offset offset);

    /// Null for a process never started or forgotten.
    const ProcessInfo *find(const Process &process) const;

    /// The newest incarnation of an instance; 0 for none.
    base::Incarnation newestIncarnation(const base::InstanceId &instance) const;

    /// The newest process of every instance that has not stopped.
    std::vector<Process> running() const;

    /// Whether the instance started a newer process at the same peer address, which shows that
    /// this one has ended.
    bool restartedAtSameAddress(const Process &process) const;

    /// Whether the process said that it stopped, restarted at its address, or is unknown.
    bool hasEnded(const Process &process) const;

    /// Whether every attestor of the process has withdrawn; true if it has none.
    bool allAttestationsWithdrawn(const Process &process) const;

    /// Offset of the last withdrawal of a vouch for the process; 0 for none.
    base::Offset lastAttestationWithdrawal(const Process &process) const;

    const std::map<Process, ProcessInfo> &processes() const { return processes_; }

    /// Drops processes silent for InactivityLimitFrames, but for those that `isNeeded`.
    void evictInactive(base::Offset offset, const std::function<bool(const Process &)> &isNeeded);

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(processes_);
    }

private:
    std::map<Process, ProcessInfo> processes_;
};

/// Whether a writer is an operator's tool, which may only publish configuration.
bool isOperatorTool(const base::InstanceId &writer);

} // namespace zinniadoor::control
