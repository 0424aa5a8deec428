#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/control/records.hpp"
#include "zinniadoor/control/state.hpp"
#include "zinniadoor/ports/log.hpp"

namespace zinniadoor::control {

constexpr std::size_t SnapshotPartBytes = 250'000;
constexpr std::size_t MaxSnapshotBytes = 500'000'000;

/// Serialises the state and splits it into records for the log.
std::vector<SnapshotPart> splitSnapshot(const State &state);

/// Whether at least `everyFrames` log entries were applied since the newest snapshot.
bool isSnapshotDue(const State &state, base::Offset everyFrames);

/// Reassembles snapshots from the frames of the log.
class SnapshotAssembler
{
public:
    /// Adds a frame, in log order. Returns the state once a snapshot's last part has been added.
    std::optional<State> add(const Frame &frame);

private:
    struct PartialSnapshot
    {
        base::Offset through = 0;
        std::uint32_t parts = 0;
        std::uint32_t nextPart = 0;
        std::string bytes;
    };

    std::optional<State> add(const SnapshotPart &part, const Process &writer);

    std::map<Process, PartialSnapshot> partials_;
};

/// A page of the log with decoded and prepared frames.
struct PreparedPage
{
    struct Entry
    {
        base::Offset offset = 0;
        std::optional<PreparedFrame> frame; ///< Empty if the entry is not a valid frame.
    };

    std::vector<Entry> entries;
    base::Offset firstOffset = 0;
    base::Offset lastOffset = 0;
    std::uint64_t bytes = 0;
};

/// Decodes the frames of a page. This is the expensive part of a replay; it needs no state and may
/// run on another thread.
PreparedPage preparePage(const ports::LogPage &page);

/// Notified of every frame that a Replayer applies.
class ReplayObserver
{
public:
    virtual ~ReplayObserver() = default;
    virtual void onApplied(const Frame &frame, base::Offset offset, const ApplyResult &result) = 0;

    /// The state was replaced; the frames in between were not reported.
    virtual void onSnapshotLoaded(const State &state) = 0;
};

/// The next read of the log.
struct ReplayRead
{
    base::Offset after = 0;
    std::size_t limit = 0;
    bool mayWait = false; ///< Whether the read may wait for new entries.
};

/// Builds the state from the log: locates the newest snapshot named by the newest frames, loads
/// it, applies the entries that follow and then follows the tail of the log. Without a snapshot it
/// applies all entries that the log retains. Gaps due to log retention are bridged by the next
/// snapshot.
class Replayer
{
public:
    Replayer() = default;

    /// Continues from a state received from a peer.
    explicit Replayer(State start);

    ReplayRead nextRead() const;

    /// Handles the result of the read requested by `nextRead`.
    void onPage(const PreparedPage &page, ReplayObserver &observer);

    /// Handles a read that failed with Gone, since the log no longer retains its entries.
    void onLogTruncated();

    /// Whether the state is complete up to the end of the log reported by the last page. A process
    /// acts on the state only then.
    bool caughtUp() const { return phase_ == Phase::Apply && atEnd_ && !historyLost_; }

    /// Whether the start of the log was truncated and no snapshot is left, so that the state lacks
    /// earlier entries and may differ from that of other readers. Ends with the next snapshot
    /// written by another instance.
    bool historyLost() const { return historyLost_; }

    /// Whether the log was read to the end reported by the last page.
    bool atEnd() const { return phase_ == Phase::Apply && atEnd_; }

    const State &state() const { return state_; }

    std::uint64_t recordsRead() const { return recordsRead_; }
    std::uint64_t bytesRead() const { return bytesRead_; }

private:
    enum class Phase { Locate, Tail, Snapshot, Scan, Apply };

    void onLocated(const PreparedPage &page);
    void onTail(const PreparedPage &page);
    void onSnapshotPage(const PreparedPage &page, ReplayObserver &observer);
    void onApplyPage(const PreparedPage &page, ReplayObserver &observer);
    void startAssembling(Phase phase, base::Offset after);
    void startWithoutSnapshot(base::Offset firstOffset);
    void load(State state, ReplayObserver &observer);
    bool restoreLostHistory(const Frame &frame, ReplayObserver &observer);

    Phase phase_ = Phase::Locate;
    base::Offset readAfter_ = 0;
    base::Offset firstOffset_ = 0;
    State state_;
    SnapshotAssembler assembler_;
    int snapshotAttempts_ = 0;
    bool atEnd_ = false;
    bool historyLost_ = false;
    std::uint64_t recordsRead_ = 0;
    std::uint64_t bytesRead_ = 0;
};

} // namespace zinniadoor::control
