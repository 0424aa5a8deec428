#include "zinniadoor/control/snapshot.hpp"

#include <algorithm>
#include <variant>

namespace zinniadoor::control {

namespace {

/// Beyond the end of any log, yet exactly representable as a JSON number.
constexpr base::Offset BeyondEnd = (base::Offset(1) << 53) - 1;
constexpr std::size_t TailFrames
    = 64; ///< Number of newest frames searched for the newest snapshot.
constexpr std::size_t PageFrames = 1000;
constexpr int MaxSnapshotAttempts = 3;

base::Offset previous(base::Offset offset)
{
    return offset == 0 ? 0 : offset - 1;
}

} // namespace

std::vector<SnapshotPart> splitSnapshot(const State &state)
{
    const std::string bytes = encodeState(state);
    const std::size_t count = (bytes.size() + SnapshotPartBytes - 1) / SnapshotPartBytes;
    std::vector<SnapshotPart> parts;
    for (std::size_t i = 0; i < count; ++i) {
        SnapshotPart part;
        part.through = state.appliedThrough();
        part.part = static_cast<std::uint32_t>(i);
        part.parts = static_cast<std::uint32_t>(count);
        part.bytes = bytes.substr(i * SnapshotPartBytes, SnapshotPartBytes);
        parts.push_back(std::move(part));
    }
    return parts;
}

PreparedPage preparePage(const ports::LogPage &page)
{
    PreparedPage prepared;
    prepared.firstOffset = page.firstOffset;
    prepared.lastOffset = page.lastOffset;
    for (const ports::LogEntry &entry : page.entries) {
        prepared.bytes += entry.data.size();
        prepared.entries.push_back({ entry.offset, std::nullopt });
        if (base::Outcome<Frame> frame = decodeFrame(entry.data))
            prepared.entries.back().frame = prepareFrame(std::move(*frame));
    }
    return prepared;
}

bool isSnapshotDue(const State &state, base::Offset everyFrames)
{
    return state.appliedThrough() >= state.snapshots().newest().through + everyFrames;
}

std::optional<State> SnapshotAssembler::add(const Frame &frame)
{
    std::optional<State> completed;
    for (const Record &record : frame.records) {
        const auto *part = std::get_if<SnapshotPart>(&record);
        if (part == nullptr)
            continue;
        if (std::optional<State> state = add(*part, { frame.writer, frame.incarnation }))
            completed = std::move(state);
    }
    return completed;
}

std::optional<State> SnapshotAssembler::add(const SnapshotPart &part, const Process &writer)
{
    if (part.part >= part.parts)
        return std::nullopt;
    if (part.part == 0)
        partials_[writer] = { part.through, part.parts, 0, "" };
    const auto found = partials_.find(writer);
    if (found == partials_.end())
        return std::nullopt;
    PartialSnapshot &partial = found->second;
    // Skips duplicate parts and parts of another snapshot.
    if (part.through != partial.through || part.parts != partial.parts
        || part.part != partial.nextPart)
        return std::nullopt;
    if (partial.bytes.size() + part.bytes.size() > MaxSnapshotBytes) {
        partials_.erase(found);
        return std::nullopt;
    }
    partial.bytes += part.bytes;
    ++partial.nextPart;
    if (partial.nextPart < partial.parts)
        return std::nullopt;
    base::Outcome<State> state = decodeState(partial.bytes);
    const base::Offset through = partial.through;
    partials_.erase(found);
    if (!state || state->appliedThrough() != through)
        return std::nullopt;
    return std::move(*state);
}

Replayer::Replayer(State start)
    : phase_(start.appliedThrough() == 0 ? Phase::Locate : Phase::Apply)
    , readAfter_(start.appliedThrough())
    , state_(std::move(start))
{ }

ReplayRead Replayer::nextRead() const
{
    switch (phase_) {
    case Phase::Locate:
        return { BeyondEnd, 1, false };
    case Phase::Tail:
        return { readAfter_, TailFrames, false };
    case Phase::Snapshot:
    case Phase::Scan:
        return { readAfter_, PageFrames, false };
    case Phase::Apply:
        break;
    }
    return { readAfter_, PageFrames, atEnd_ };
}

void Replayer::onPage(const PreparedPage &page, ReplayObserver &observer)
{
    recordsRead_ += page.entries.size();
    bytesRead_ += page.bytes;
    switch (phase_) {
    case Phase::Locate:
        return onLocated(page);
    case Phase::Tail:
        return onTail(page);
    case Phase::Snapshot:
    case Phase::Scan:
        return onSnapshotPage(page, observer);
    case Phase::Apply:
        return onApplyPage(page, observer);
    }
}

void Replayer::onLogTruncated()
{
    phase_ = Phase::Locate;
    atEnd_ = false;
}

void Replayer::onLocated(const PreparedPage &page)
{
    firstOffset_ = page.firstOffset;
    if (page.lastOffset == 0) {
        phase_ = Phase::Apply;
        readAfter_ = state_.appliedThrough();
        atEnd_ = true;
        return;
    }
    phase_ = Phase::Tail;
    const base::Offset tail = page.lastOffset > TailFrames ? page.lastOffset - TailFrames : 0;
    readAfter_ = std::max(tail, previous(firstOffset_));
}

void Replayer::onTail(const PreparedPage &page)
{
    base::Offset snapshot = 0;
    for (const PreparedPage::Entry &entry : page.entries) {
        if (!entry.frame)
            continue;
        const base::Offset named = entry.frame->frame.snapshotOffset;
        if (named <= page.lastOffset)
            snapshot = std::max(snapshot, named);
    }
    ++snapshotAttempts_;
    if (snapshot >= firstOffset_ && snapshot != 0 && snapshotAttempts_ <= MaxSnapshotAttempts)
        startAssembling(Phase::Snapshot, snapshot - 1);
    else
        startWithoutSnapshot(firstOffset_);
}

void Replayer::startAssembling(Phase phase, base::Offset after)
{
    phase_ = phase;
    readAfter_ = after;
    assembler_ = SnapshotAssembler();
}

void Replayer::startWithoutSnapshot(base::Offset firstOffset)
{
    // Nothing is missing if the state extends to the oldest entry that the log retains.
    if (state_.appliedThrough() + 1 >= firstOffset) {
        phase_ = Phase::Apply;
        readAfter_ = state_.appliedThrough();
        return;
    }
    // The newest frames name no retained snapshot, but the log may still hold an unnamed one.
    startAssembling(Phase::Scan, previous(firstOffset));
}

void Replayer::onSnapshotPage(const PreparedPage &page, ReplayObserver &observer)
{
    for (const PreparedPage::Entry &entry : page.entries) {
        readAfter_ = entry.offset;
        if (!entry.frame)
            continue;
        std::optional<State> snapshot = assembler_.add(entry.frame->frame);
        if (snapshot && snapshot->appliedThrough() >= state_.appliedThrough())
            return load(std::move(*snapshot), observer);
    }
    if (readAfter_ < page.lastOffset && !page.entries.empty())
        return;
    if (phase_ == Phase::Snapshot)
        return startWithoutSnapshot(page.firstOffset);
    historyLost_ = true;
    state_ = State();
    state_.skip(previous(page.firstOffset));
    observer.onSnapshotLoaded(state_);
    phase_ = Phase::Apply;
    readAfter_ = state_.appliedThrough();
    assembler_ = SnapshotAssembler();
}

void Replayer::load(State state, ReplayObserver &observer)
{
    state_ = std::move(state);
    observer.onSnapshotLoaded(state_);
    phase_ = Phase::Apply;
    readAfter_ = state_.appliedThrough();
    historyLost_ = false;
    atEnd_ = false;
    assembler_ = SnapshotAssembler();
}

bool Replayer::restoreLostHistory(const Frame &frame, ReplayObserver &observer)
{
    if (!historyLost_)
        return false;
    std::optional<State> snapshot = assembler_.add(frame);
    if (!snapshot)
        return false;
    load(std::move(*snapshot), observer);
    return true;
}

void Replayer::onApplyPage(const PreparedPage &page, ReplayObserver &observer)
{
    for (const PreparedPage::Entry &entry : page.entries) {
        if (entry.offset <= state_.appliedThrough())
            continue;
        if (entry.offset != state_.appliedThrough() + 1)
            return onLogTruncated();
        if (!entry.frame) {
            state_.skip(entry.offset);
            continue;
        }
        const Frame &frame = entry.frame->frame;
        const ApplyResult result = state_.applyPrepared(*entry.frame, entry.offset);
        observer.onApplied(frame, entry.offset, result);
        if (restoreLostHistory(frame, observer))
            return;
    }
    readAfter_ = state_.appliedThrough();
    atEnd_ = readAfter_ >= page.lastOffset;
    if (atEnd_)
        snapshotAttempts_ = 0;
}

} // namespace zinniadoor::control
