#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "absl/time/time.h"

#include "zinniadoor/gateway/peer_message.hpp"
#include "zinniadoor/gateway/platform_ports.hpp"

namespace zinniadoor::gateway {

enum class LeaseRecordKind : std::uint8_t {
    Claim, ///< The writer holds the lease from this record on.
    Renewal,
    Release, ///< The holder gives up the lease.
    UsageFigures, ///< The holder commits the figures that will be reported for a window.
};

/// One record of the lease log. It is appended only if the log still ends where its writer has
/// read to, so the writer has seen all records before it.
struct LeaseRecord
{
    LeaseRecordKind kind = LeaseRecordKind::Claim;
    ProcessName holder;
    std::uint64_t fencingNumber = 0; ///< Of the holder; of a claim: of the expected position.
    std::uint64_t nonce = 0; ///< Identifies the writer's own record if the reply was lost.
    WindowNumber window = 0; ///< UsageFigures: its window; Renewal: all before it are reported;
                             ///< Claim: those before it without figures may have been reported.
    UsageCounts counts; ///< UsageFigures only.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(kind, holder, fencingNumber, nonce, window, counts);
    }
};

struct LeaseOptions
{
    absl::Duration lease;
    absl::Duration margin; ///< Allows for clock drift and for bytes in flight.

    /// The first window for which no holder can have committed figures by a given time.
    std::function<WindowNumber(absl::Time)> firstUncommitted = nullptr;
};

/// Fencing number of a claim at this position: the era in the upper half, the offset in the lower.
/// It increases with each claim, also over restorations of the store.
std::uint64_t fencingNumberAt(LogPosition position);

/// State of the duty lease, which lets one process at a time perform the duties towards the
/// platform. A pure function of the log's records and of the local clock. Only records written in
/// the log's present era show a holder. Not thread-safe.
class DutyLease
{
public:
    DutyLease(ProcessName self, const LeaseOptions &options);

    /// Earlier processes of this instance have exited by `start`.
    void noteStart(absl::Time start) { start_ = start; }

    /// Applies the record at `position`, read at `now`; ignores one of another era.
    void apply(const LeaseRecord &record, LogPosition position, absl::Time now);

    /// The log was read up to its end `end` at `now`.
    void noteRead(LogPosition end, absl::Time now);

    /// The store has trimmed the records before `first`.
    void noteTrimmed(LogPosition first);

    /// The store has entered a later era: the log is to be read from its start, and the lease to be
    /// claimed again. Figures of windows before `uncommitted` may have been reported and lost.
    void noteRestored(StoreEra era, WindowNumber uncommitted, absl::Time now);

    /// Corrects the window passed to `noteRestored`, as long as no claim of the present era is
    /// known.
    void noteUncommitted(WindowNumber uncommitted);

    /// Whether this process held the lease at the restoration and is to claim it again.
    bool isToClaimAgain() const { return continues_ && !holder_; }

    /// A record of this process with this nonce was sent at `sent`. It takes effect when applied.
    void noteSent(std::uint64_t nonce, absl::Time sent);

    LogPosition end() const { return end_; }

    /// Whether a claim is allowed: the lease is free, or it has expired by the local clock.
    bool mayClaim(absl::Time now) const;

    /// Until when this process may act as the holder; InfinitePast if it is not the holder.
    absl::Time mayActUntil() const { return actUntil_; }
    bool mayAct(absl::Time now) const { return !stopping_ && now < actUntil_; }

    /// This process is shutting down and will release the lease: it must not act any more.
    void noteStopping() { stopping_ = true; }
    bool isHolder() const { return holder_ == self_; }
    std::uint64_t fencingNumber() const { return fencingNumber_; }
    const std::optional<ProcessName> &holder() const { return holder_; }

    /// A receiver has seen a higher fencing number: never act under the current one again.
    void noteSuperseded() { actUntil_ = absl::InfinitePast(), superseded_ = fencingNumber_; }

    /// Figures committed for a window that may be reported, or null. The first record in the log
    /// counts.
    const UsageCounts *figuresOf(WindowNumber window) const;

    /// The oldest window with committed figures.
    std::optional<WindowNumber> firstFigures() const;
    void discardFiguresBefore(WindowNumber window);

    /// All windows before this one have been reported by this or an earlier holder.
    WindowNumber reportedBefore() const { return reportedBefore_; }

    /// Windows before this one may have been reported with figures that the log no longer shows.
    WindowNumber uncertainBefore() const { return uncertainBefore_; }

    /// Whether this process, as the holder, may choose the figures of a window that has none.
    bool mayCommit(WindowNumber window) const { return window >= commitFrom_; }

private:
    ProcessName self_;
    LeaseOptions options_;
    LogPosition end_;
    std::optional<ProcessName> holder_;
    std::uint64_t fencingNumber_ = 0;
    std::optional<std::uint64_t> superseded_;
    std::string lastInstance_; ///< Of the latest holder; kept after its release.
    absl::Time ownActsEnd_ = absl::InfinitePast(); ///< No process of this instance acts later.
    std::optional<absl::Time> start_; ///< Of this process.
    bool stopping_ = false;
    absl::Time holderSeenAt_ = absl::InfinitePast(); ///< When the holder's last record was read.
    absl::Time restoredAt_ = absl::InfinitePast(); ///< When the present era was noticed, until one
                                                   ///< of its records shows a holder.
    bool sawRestoration_ = false; ///< This process knows an earlier era.
    bool continues_ = false; ///< This process held the lease at the restoration, and none since.
    WindowNumber uncertainBefore_ = 0;
    WindowNumber commitFrom_ = 0; ///< As `uncertainBefore_`, but for what this process knows.
    bool caughtUp_ = false;
    absl::Time actUntil_ = absl::InfinitePast();
    std::map<std::uint64_t, absl::Time> sent_; ///< By nonce.
    std::map<WindowNumber, UsageCounts> figures_;
    WindowNumber reportedBefore_ = 0;
};

} // namespace zinniadoor::gateway
