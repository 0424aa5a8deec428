#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "absl/time/time.h"

#include "zinniadoor/gateway/peer_message.hpp"
#include "zinniadoor/gateway/platform_ports.hpp"

namespace zinniadoor::gateway {

enum class LeaseRecordKind : std::uint8_t {
    Claim, ///< The writer holds the lease from here on.
    Renewal,
    Release, ///< The holder gives the lease up.
    UsageFigures, ///< The holder fixes what will be reported for a window.
};

/// One record of the lease log. Each is appended only if the log ends where its writer has read
/// to, so a record's writer knew all records before it.
struct LeaseRecord
{
    LeaseRecordKind kind = LeaseRecordKind::Claim;
    ProcessName holder;
    std::uint64_t fencingNumber = 0; ///< Of the holder; a claim's own offset is its number.
    std::uint64_t nonce = 0; ///< Tells a writer's own record when an answer was lost.
    WindowNumber window = 0; ///< UsageFigures; of a renewal: all before it have been reported.
    UsageCounts counts; ///< UsageFigures.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(kind, holder, fencingNumber, nonce, window, counts);
    }
};

struct LeaseOptions
{
    absl::Duration lease;
    absl::Duration margin; ///< For clocks that run apart and for bytes on their way.
};

/// The lease by which one process at a time does the duties towards the platform: a pure function
/// of the log's records and of this process's own clock. The fencing number is the offset of the
/// claim, so it grows with each holder and never repeats. For one thread.
class DutyLease
{
public:
    DutyLease(ProcessName self, const LeaseOptions &options);

    /// Processes of this instance that were started before this one have ended by `start`.
    void noteStart(absl::Time start) { start_ = start; }

    /// Applies the record at `offset`, read at `now`.
    void apply(const LeaseRecord &record, LogOffset offset, absl::Time now);

    /// All up to `end` was read at `now`.
    void noteRead(LogOffset end, absl::Time now);

    /// The records before `first` are no longer kept.
    void noteTrimmed(LogOffset first);

    /// This process's own record with this nonce was sent at `sent`. It counts once it is applied.
    void noteSending(std::uint64_t nonce, absl::Time sent);

    LogOffset end() const { return end_; }

    /// A claim is in order: nobody holds the lease, or it has lapsed by this process's clock.
    bool mayClaim(absl::Time now) const;

    /// This process may act as the holder until then; InfinitePast if it is not.
    absl::Time mayActUntil() const { return actUntil_; }
    bool mayAct(absl::Time now) const { return !stopping_ && now < actUntil_; }

    /// This process gives the lease up soon: no new acts.
    void noteStopping() { stopping_ = true; }
    bool isHolder() const { return holder_ == self_; }
    std::uint64_t fencingNumber() const { return fencingNumber_; }
    const std::optional<ProcessName> &holder() const { return holder_; }

    /// A higher fencing number was met: never act under this one again.
    void noteSuperseded() { actUntil_ = absl::InfinitePast(), superseded_ = fencingNumber_; }

    /// Figures that were fixed for a window, if any: the first record in the log counts.
    const UsageCounts *figuresOf(WindowNumber window) const;
    const std::map<WindowNumber, UsageCounts> &figures() const { return figures_; }
    void forgetFiguresBefore(WindowNumber window);

    /// All windows before this one have been reported, by this or an earlier holder.
    WindowNumber reportedBefore() const { return reportedBefore_; }

private:
    ProcessName self_;
    LeaseOptions options_;
    LogOffset end_ = 0;
    std::optional<ProcessName> holder_;
    std::uint64_t fencingNumber_ = 0;
    std::optional<std::uint64_t> superseded_;
    std::string lastInstance_; ///< Of the newest holder, also after its release.
    absl::Time ownActsEnd_ = absl::InfinitePast(); ///< This instance's processes act no later.
    std::optional<absl::Time> start_; ///< Of this process.
    bool stopping_ = false;
    absl::Time lastSignRead_ = absl::InfinitePast(); ///< When the holder's last record was read.
    bool caughtUp_ = false;
    absl::Time actUntil_ = absl::InfinitePast();
    std::map<std::uint64_t, absl::Time> sent_; ///< By nonce.
    std::map<WindowNumber, UsageCounts> figures_;
    WindowNumber reportedBefore_ = 0;
};

} // namespace zinniadoor::gateway
