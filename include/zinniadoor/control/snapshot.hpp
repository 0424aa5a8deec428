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

/// The records that carry a snapshot of the state.
std::vector<SnapshotPart> splitSnapshot(const State &state);

/// Whether so much was applied since the newest snapshot that another is due.
bool isSnapshotDue(const State &state, base::Offset everyFrames);

/// Puts snapshots together from the frames of the log.
class SnapshotAssembler
{
public:
    /// Frames in log order; gives the state of a snapshot with its last part.
    std::optional<State> add(const Frame &frame);

private:
    struct Parts
    {
        base::Offset through = 0;
        std::uint32_t count = 0;
        std::uint32_t next = 0;
        std::string bytes;
    };

    std::optional<State> add(const SnapshotPart &part, const Process &writer);

    std::map<Process, Parts> begun_;
};

/// A page of the log with its frames read and prepared.
struct PreparedPage
{
    struct Entry
    {
        base::Offset offset = 0;
        std::optional<PreparedFrame> frame; ///< None where the record is no frame.
    };

    std::vector<Entry> entries;
    base::Offset firstOffset = 0;
    base::Offset lastOffset = 0;
    std::uint64_t bytes = 0;
};

/// Reads the frames of a page: the costly part of a replay, which needs no state and may run on
/// another thread.
PreparedPage preparePage(const ports::LogPage &page);

/// Hears of every frame that a Replayer applied.
class ReplayObserver
{
public:
    virtual ~ReplayObserver() = default;
    virtual void onApplied(const Frame &frame, base::Offset offset, const ApplyResult &result) = 0;

    /// The state has jumped: frames in between were not told.
    virtual void onSnapshotLoaded(const State &state) = 0;
};

/// Which records of the log to read next.
struct ReplayRead
{
    base::Offset after = 0;
    std::size_t limit = 0;
    bool mayWait = false; ///< Whether to wait for records that are not there yet.
};

/// Builds the state from the log: finds the newest snapshot that the newest frames name, loads
/// it, applies what follows and goes on with the tail. Without a snapshot it applies all that
/// the log still keeps. Gaps left by retention are bridged by the next snapshot.
class Replayer
{
public:
    Replayer() = default;

    /// Goes on from a state that a peer gave.
    explicit Replayer(State start);

    ReplayRead nextRead() const;

    /// What the read that `nextRead` asked for gave.
    void onPage(const PreparedPage &page, ReplayObserver &observer);

    /// The read failed with Gone.
    void onLogTruncated();

    /// Whether the state is that of all readers, up to the end that the last page told of. A
    /// process acts on the state only then.
    bool caughtUp() const { return phase_ == Phase::Apply && atEnd_ && !historyLost_; }

    /// The log's beginning is gone and no snapshot is left: the state lacks what came before and
    /// may differ from that of others. Ends when another instance writes a snapshot.
    bool historyLost() const { return historyLost_; }

    /// Whether the log was read to the end that the last page told of.
    bool atEnd() const { return phase_ == Phase::Apply && atEnd_; }

    const State &state() const { return state_; }

    std::uint64_t recordsRead() const { return recordsRead_; }
    std::uint64_t bytesRead() const { return bytesRead_; }

private:
    enum class Phase { Locate, Tail, Snapshot, Scan, Apply };

    void onLocated(const PreparedPage &page);
    void onTail(const PreparedPage &page);
    void onParts(const PreparedPage &page, ReplayObserver &observer);
    void onEntries(const PreparedPage &page, ReplayObserver &observer);
    void beginCollecting(Phase phase, base::Offset after);
    void beginWithoutSnapshot(base::Offset firstOffset);
    void load(State state, ReplayObserver &observer);
    bool bridgeLostHistory(const Frame &frame, ReplayObserver &observer);

    Phase phase_ = Phase::Locate;
    base::Offset readAfter_ = 0;
    base::Offset firstOffset_ = 0;
    State state_;
    SnapshotAssembler collector_;
    int attempts_ = 0;
    bool atEnd_ = false;
    bool historyLost_ = false;
    std::uint64_t recordsRead_ = 0;
    std::uint64_t bytesRead_ = 0;
};

} // namespace zinniadoor::control
