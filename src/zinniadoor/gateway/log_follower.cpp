#include "zinniadoor/gateway/log_follower.hpp"

#include <algorithm>
#include <functional>

#include <boost/asio/steady_timer.hpp>

#include "log_updates.hpp"
#include "zinniadoor/base/events.hpp"
#include "zinniadoor/serving/engine_view.hpp"

namespace zinniadoor::gateway {

namespace {

using base::EventId;
using base::logEvent;

/// Long-poll time of configuration reads, as a share of the configuration notice: a lost read is
/// detected and repeated within the remaining time.
constexpr double ConfigurationLongPollShare = 0.25;

/// Time without updates from the instance that reads a log, as a share of the notice, after which
/// an instance reads the log itself: a failed read is repeated within the remaining time.
constexpr double FollowerTimeoutShare = 0.4;

/// Interval between reads of the endpoints' log, as a share of the leaving notice.
constexpr double EndpointsPollShare = 0.25;
constexpr absl::Duration StoreRetryPause = absl::Milliseconds(150);

/// Catch-ups read again at the latest after this time from a failed read.
constexpr absl::Duration MaxCatchUpPause = absl::Milliseconds(500);

/// Of longer responses only the newest record is received, where it replaces the earlier ones.
constexpr std::size_t MaxBacklogBytes = std::size_t { 32 } * 1024;

// Ranks are those of leaders, since these have the most complete view of their data centre.
std::uint64_t rankOf(const ProcessName &process)
{
    return serving::stableDigest(process.instance);
}

ReadScheduleOptions scheduleOptions(const FollowerOptions &options)
{
    ReadScheduleOptions schedule;
    schedule.ownRank = rankOf(options.self);
    schedule.readInterval = options.readInterval;
    schedule.retryDelay = options.retryDelay;
    schedule.relayTimeout = options.relayTimeout;
    schedule.startTimeout = options.startTimeout;
    return schedule;
}

std::string millisecondsOf(absl::Duration time)
{
    return std::to_string(absl::ToInt64Milliseconds(time));
}

class EventThreadTimer : public DelayTimer
{
public:
    explicit EventThreadTimer(boost::asio::io_context &context)
        : timer_(context)
    { }
    void start(absl::Duration delay, std::function<void()> done) override
    {
        timer_.expires_after(absl::ToChronoMilliseconds(delay));
        timer_.async_wait([done = std::move(done)](boost::system::error_code error) {
            if (!error)
                done();
        });
    }
    void cancel() override { timer_.cancel(); }

private:
    boost::asio::steady_timer timer_;
};

class KeyedFollower : public std::enable_shared_from_this<KeyedFollower>
{
public:
    KeyedFollower(boost::asio::io_context &context, const FollowerParts &parts,
                  const FollowerOptions &options)
        : timer_(parts.makeTimer ? parts.makeTimer() : std::make_unique<EventThreadTimer>(context))
        , store_(parts.store)
        , decoder_(parts.decoder)
        , clock_(parts.clock)
        , handler_(&parts.handler)
        , shared_(parts.shared)
        , options_(options)
        , schedule_(scheduleOptions(options))
        , updates_(options, parts.relay)
    { }

    /// Receives the newest records up to `atLeast` or later, from another instance or, when it is
    /// this one's turn, from the store.
    void readNewest(LogPosition atLeast = {})
    {
        tailing_ = false;
        newestFrom_ = atLeast;
        if (shared_)
            awaitShared(atLeast, [this] { readNewestFromStore(); });
        else
            readNewestFromStore();
    }

    void readNewestFromStore()
    {
        auto self = shared_from_this();
        const absl::Time requestedAt = clock_.now();
        const std::uint64_t read = ++newestRead_;
        reading_ = true;
        callsStore_ = true;
        tailing_ = false;
        handler_->onRead(ReadCause::Start);
        if (shared_) { // The store may take long to respond.
            shared_->ask(newestFrom_, [self, requestedAt](const auto &newest) {
                ++self->newestRead_;
                self->reading_ = self->callsStore_ = false;
                if (self->handler_)
                    self->applyShared(*newest, requestedAt);
            });
        }
        store_.readNewest(
            options_.log, [self, requestedAt, read](const base::Outcome<NewestRecords> &newest) {
                if (!self->handler_ || read != self->newestRead_)
                    return;
                self->reading_ = self->callsStore_ = false;
                if (self->shared_)
                    self->shared_->cancel();
                if (!newest) {
                    self->noteFailure(ReadCause::Start, requestedAt, newest.lastReason());
                    self->endCatchUps(requestedAt, false);
                    self->repeatAfterFailure();
                    return;
                }
                if (newest->end.era < self->next_.era) { // A late response of the store.
                    self->repeatAfterFailure();
                    return;
                }
                if (requestedAt >= self->knownEndAt_)
                    self->knownEnd_ = newest->end;
                self->completeAsOf_ = requestedAt;
                self->applyNewest(*newest, requestedAt);
            });
    }

    void onPart(const LogPart &part)
    {
        if (!handler_ || part.to < next_)
            return;
        if (part.to > knownEnd_) {
            // Short records may follow long ones that are still missing.
            endIsLong_ = !part.includesRecords || (endIsLong_ && lacksRecords());
            knownEnd_ = part.to;
            knownEndAt_ = clock_.now();
        }
        if (!tailing_)
            return;
        const bool hasReader = noteOtherReader(part);
        if (part.to.era > next_.era) { // The store was restored.
            if (!reading_)
                readNewest({ part.to.era, 0 });
            return;
        }
        const bool hasGap = part.from > next_; // An earlier part was lost.
        if (hasGap || (!part.includesRecords && part.to > next_)) {
            if (!reading_) {
                cause_ = ReadCause::Gap;
                readMissing();
            }
            return;
        }
        for (const LogPartRecord &record : part.records) {
            if (record.offset >= next_.offset)
                applyRecord(record.offset, { record.key, record.value });
        }
        next_ = part.to;
        updates_.discardBefore(part.from);
        completeAsOf_ = std::max(completeAsOf_, clock_.now() - absl::Milliseconds(part.ageMs));
        noteCurrent();
        if (hasReader && !reading_)
            scheduleNextRead();
    }

    void stop()
    {
        handler_ = nullptr;
        timer_->cancel();
        catchUps_.clear();
        if (shared_)
            shared_->cancel();
    }

    void catchUp(const CatchUpCallback &done)
    {
        // Until the next read is due, one more would fail like the last ones.
        if (schedule_.failures() > 1 && clock_.now() < failedUntil_) {
            done(false);
            return;
        }
        catchUps_.push_back({ clock_.now(), done });
        if (!reading_ && tailing_)
            scheduleCatchUp();
    }

    SnapshotState state(LogPosition atLeast) const
    {
        if (isWhole_ && next_ >= atLeast)
            return SnapshotState::Ready;
        return callsStore_ ? SnapshotState::Reading : SnapshotState::Absent;
    }

    LogPosition position() const { return next_; }
    bool isConfirming() const { return isConfirming_; }

    absl::Time completeAsOf() const
    {
        return isWhole_ && !lacksRecords() ? completeAsOf_ : absl::InfinitePast();
    }

private:
    /// Waits for the newest records up to `atLeast` from another instance; `readStore` is called
    /// when it is this instance's turn to read them.
    void awaitShared(LogPosition atLeast, const std::function<void()> &readStore)
    {
        auto self = shared_from_this();
        const absl::Time requestedAt = clock_.now();
        reading_ = true;
        shared_->await(atLeast,
                       [self, requestedAt, readStore](const std::optional<NewestRecords> &newest) {
                           self->reading_ = false;
                           if (!self->handler_)
                               return;
                           if (newest)
                               self->applyShared(*newest, requestedAt);
                           else
                               readStore();
                       });
    }

    void applyShared(const NewestRecords &newest, absl::Time requestedAt)
    {
        if (newest.end < next_) { // Overtaken by relayed records.
            tailing_ = true;
            continueTo(next_);
            return;
        }
        const bool isFirst = !isWhole_;
        knownEnd_ = std::max(knownEnd_, newest.end);
        applyNewest(newest, requestedAt);
        if (isFirst && !reading_ && !lacksRecords())
            confirm();
    }

    /// Reads the tail once after the first records, which another instance may have had for a
    /// while.
    void confirm()
    {
        isConfirming_ = true;
        cause_ = ReadCause::Gap;
        readTail();
    }

    void applyNewest(const NewestRecords &newest, absl::Time requestedAt)
    {
        if (shared_)
            shared_->noteSuccess();
        schedule_.noteNewest(requestedAt);
        next_ = newest.end;
        updates_.discardBefore(newest.end);
        tailing_ = true;
        isWhole_ = true;
        handler_->onNewest(newest);
        noteCurrent();
        if (lacksRecords()) // A notice came during the read.
            scheduleGapRead();
        else
            scheduleNextRead();
    }

    /// After a failed read of the newest records.
    void repeatAfterFailure()
    {
        const absl::Duration delay = schedule_.noteFailure(true);
        if (!shared_) {
            scheduleRead(delay);
            return;
        }
        shared_->noteFailure(); // The time until the next turn.
        readNewest(newestFrom_);
    }

    /// Receives records that a part has shown to be missing.
    void readMissing()
    {
        if (shared_ && endIsLong_ && lacksRecords())
            awaitShared(knownEnd_, [this] { readTail(); });
        else
            readTail();
    }

    /// Returns whether the part shows that another instance reads the log, so that this one need
    /// not. A part that only names records counts too: they are read at once.
    bool noteOtherReader(const LogPart &part)
    {
        const absl::Time now = clock_.now();
        const bool hasReader
            = schedule_.notePart(rankOf(part.sender), now - absl::Milliseconds(part.ageMs), now);
        logReaderChange();
        return hasReader;
    }

    /// Reads that were requested before a catch-up may not show what the log held then. Nor may the
    /// newest records, whose reading the store client goes on with after a failure.
    void scheduleCatchUp()
    {
        const absl::Time now = clock_.now();
        if (cause_ != ReadCause::Gap) {
            const ReadSchedule::Next next = schedule_.next(now);
            const bool isDue = next.delay <= absl::ZeroDuration(); // Others rely on it.
            cause_ = isDue ? next.cause : ReadCause::CatchUp;
        }
        startTimer(std::max(absl::ZeroDuration(), failedUntil_ - now));
    }

    /// A read that was requested then has shown the end of the log, or has failed.
    void endCatchUps(absl::Time requestedAt, bool isCurrent)
    {
        while (!catchUps_.empty() && catchUps_.front().since <= requestedAt) {
            const CatchUpCallback done = std::move(catchUps_.front().done);
            catchUps_.pop_front();
            done(isCurrent);
        }
    }

    void scheduleRead(absl::Duration delay)
    {
        if (tailing_ && !catchUps_.empty())
            scheduleCatchUp();
        else
            startTimer(delay);
    }

    void startTimer(absl::Duration delay)
    {
        auto self = shared_from_this();
        timer_->start(delay, [self] {
            if (!self->handler_ || self->reading_)
                return;
            if (!self->tailing_)
                self->readNewest(self->newestFrom_);
            else if (self->cause_ == ReadCause::Gap)
                self->readMissing();
            else
                self->readTail();
        });
    }

    /// Schedules the read that takes place unless a part arrives before it.
    void scheduleNextRead(absl::Duration minDelay = absl::ZeroDuration())
    {
        const ReadSchedule::Next next = schedule_.next(clock_.now());
        cause_ = next.cause;
        scheduleRead(std::max(minDelay, next.delay));
    }

    void scheduleGapRead()
    {
        cause_ = ReadCause::Gap;
        scheduleRead(absl::ZeroDuration());
    }

    void readTail()
    {
        auto self = shared_from_this();
        reading_ = true;
        callsStore_ = cause_ == ReadCause::Gap;
        const absl::Time requestedAt = clock_.now();
        const LogPosition from = next_;
        // Only the reader waits for records: the others would notice a lost response later.
        const absl::Duration wait
            = cause_ == ReadCause::Poll ? options_.readWait : absl::ZeroDuration();
        handler_->onRead(cause_);
        const absl::Time answerDue = requestedAt + wait;
        store_.readIf(
            options_.log, from, wait,
            [self, from, answerDue](const ReadProspect &prospect) {
                self->announce(prospect, answerDue);
                const bool isShared = self->isConfirming_ && prospect.bytes > MaxRelayedBytes;
                return !isShared && !self->isReplaced(from, prospect);
            },
            [self, requestedAt, from, answerDue](const base::Outcome<LogRecords> &read) {
                self->reading_ = self->callsStore_ = false;
                const bool wasConfirming = std::exchange(self->isConfirming_, false);
                if (!self->isUsable(read, requestedAt))
                    return;
                if (read->trimmed || read->end.era != from.era || read->end < from) {
                    self->readNewest(std::max(read->first, read->end));
                    return;
                }
                if (read->wasDeclined) {
                    self->noteEnd(read->end, requestedAt);
                    self->endIsLong_ = self->endIsLong_ || wasConfirming;
                    if (wasConfirming)
                        self->readMissing();
                    else
                        self->readLast(read->end);
                    return;
                }
                self->logRead(from, *read, requestedAt);
                self->apply(from, *read);
                if (self->relaysRead())
                    self->relayUpdates(from, answerDue);
                self->updates_.discardBefore(from);
                self->noteEnd(read->end, requestedAt);
                if (self->next_ >= read->end) {
                    self->completeAsOf_ = std::max(self->completeAsOf_, requestedAt);
                    self->endCatchUps(requestedAt, true);
                }
                self->continueTo(read->end);
            });
    }

    /// Reads the last record. If its key is the one whose newest record replaces all earlier ones,
    /// only the other keys remain to be read.
    void readLast(LogPosition end)
    {
        auto self = shared_from_this();
        reading_ = true;
        callsStore_ = true;
        const absl::Time requestedAt = clock_.now();
        const LogPosition from { end.era, end.offset - 1 };
        handler_->onRead(cause_);
        store_.readIf(
            options_.log, from, absl::ZeroDuration(),
            [self, from](const ReadProspect &prospect) {
                return !self->isReplaced(from, prospect);
            },
            [self, requestedAt, from](const base::Outcome<LogRecords> &read) {
                self->reading_ = self->callsStore_ = false;
                if (!self->isUsable(read, requestedAt))
                    return;
                if (read->wasDeclined) { // More versions were written meanwhile.
                    self->noteEnd(read->end, requestedAt);
                    self->readLast(read->end);
                    return;
                }
                const auto last = read->trimmed || read->records.empty()
                    ? std::nullopt
                    : self->replacingRecord(read->records.front());
                if (!last || read->end.era != from.era || from < self->next_) {
                    self->readNewest(std::max(read->first, read->end));
                    return;
                }
                self->logRead(from, *read, requestedAt);
                self->next_ = from;
                self->isWhole_ = false; // Until the other keys have been read.
                self->updates_.discardBefore(from);
                self->apply(from, *read);
                if (self->relaysRead())
                    self->relayUpdates(from, requestedAt);
                self->noteEnd(read->end, requestedAt);
                self->readOthers(*last, read->end, requestedAt);
            });
    }

    void readOthers(const KeyedRecord &last, LogPosition end, absl::Time requestedAt)
    {
        auto self = shared_from_this();
        reading_ = true;
        callsStore_ = true;
        store_.readNewestAfter(
            options_.log, last.key,
            [self, last, end, requestedAt](const base::Outcome<NewestRecords> &newest) {
                self->reading_ = self->callsStore_ = false;
                if (!self->handler_)
                    return;
                if (!newest || newest->end.era != self->next_.era) {
                    if (!newest)
                        self->noteFailure(ReadCause::Start, requestedAt, newest.lastReason());
                    self->tailing_ = false; // The next read is one of all keys.
                    self->scheduleRead(self->schedule_.noteFailure(true));
                    return;
                }
                NewestRecords all = *newest;
                all.records.push_back(last);
                self->isWhole_ = true;
                self->handler_->onNewest(all);
                self->noteCurrent();
                self->continueTo(end);
            });
    }

    std::optional<KeyedRecord> replacingRecord(const std::string &bytes) const
    {
        const auto record = decoder_.keyed(bytes);
        if (!record || record->key != decoder_.configurationKey())
            return std::nullopt;
        return *record;
    }

    /// Whether a response from `from` brings long records that a later one replaces.
    bool isReplaced(LogPosition from, const ReadProspect &prospect) const
    {
        return options_.log == LogName::Configuration && prospect.bytes > MaxBacklogBytes
            && prospect.end.era == from.era && prospect.end.offset > from.offset + 1;
    }

    /// Handles a read that failed or is outdated. Returns whether it can be used.
    bool isUsable(const base::Outcome<LogRecords> &read, absl::Time requestedAt)
    {
        if (!handler_)
            return false;
        if (!read) {
            noteFailure(cause_, requestedAt, read.lastReason());
            const absl::Duration retry
                = schedule_.noteFailure(lacksRecords(), clock_.now() - requestedAt);
            failedUntil_ = clock_.now() + std::min(retry, MaxCatchUpPause);
            endCatchUps(requestedAt, false);
            if (shared_ && cause_ == ReadCause::Gap && endIsLong_ && lacksRecords()) {
                shared_->noteFailure();
                readNewest(knownEnd_); // More patient where the store is slow.
            } else if (lacksRecords())
                scheduleRead(retry);
            else
                scheduleNextRead(retry);
            return false;
        }
        if (read->end.era < next_.era) { // A late response of the store.
            failedUntil_ = clock_.now() + options_.retryDelay;
            scheduleRead(schedule_.noteFailure(true));
            return false;
        }
        if (read->cut)
            noteFailure(cause_, requestedAt, *read->cut);
        schedule_.noteAnswer();
        return true;
    }

    /// The log ended there when a read was requested.
    void noteEnd(LogPosition end, absl::Time requestedAt)
    {
        if (requestedAt >= knownEndAt_ || end > knownEnd_) // Newer than any notice.
            knownEnd_ = end;
    }

    void continueTo(LogPosition end)
    {
        if (next_ < end)
            scheduleRead(absl::ZeroDuration());
        else if (lacksRecords()) // A notice came during the read.
            scheduleGapRead();
        else
            scheduleNextRead();
    }

    bool lacksRecords() const { return next_ < knownEnd_; }

    /// Whether others have not been relayed what the current read brings.
    bool relaysRead() const
    {
        return cause_ == ReadCause::CatchUp ? schedule_.isReader() : cause_ != ReadCause::Gap;
    }

    /// Notifies others of records that are too long to be relayed before they have been received.
    void announce(const ReadProspect &prospect, absl::Time answerDue)
    {
        if (!handler_ || !relaysRead() || prospect.bytes <= MaxRelayedBytes
            || prospect.end <= next_)
            return;
        callsStore_ = true;
        updates_.noteAge(clock_.now() - answerDue);
        updates_.announce(prospect.end);
    }

    void noteFailure(ReadCause cause, absl::Time requestedAt, const base::Reason &reason)
    {
        const absl::Time now = clock_.now();
        const absl::Time since = lacksRecords() ? knownEndAt_ : currentAt_;
        const bool sameEra = next_.era == knownEnd_.era;
        logEvent(
            EventId::StoreReadFailed,
            { { "log", nameOf(options_.log) },
              { "cause", nameOf(cause) },
              { "from", std::to_string(next_.offset) },
              { "missing",
                lacksRecords() && sameEra ? std::to_string(knownEnd_.offset - next_.offset) : "" },
              { "age_ms", since == absl::InfinitePast() ? "" : millisecondsOf(now - since) },
              { "bytes", std::to_string(reason.droppedBytes) },
              { "took_ms", millisecondsOf(now - requestedAt) },
              { "reason", reason.text } });
        handler_->onFailure(reason);
    }

    void noteCurrent()
    {
        currentAt_ = clock_.now();
        handler_->onCurrent();
    }

    void logRead(LogPosition from, const LogRecords &read, absl::Time requestedAt) const
    {
        // Endpoints write all the time; their reader would log each of its reads.
        if (read.records.empty() || (options_.relaysRecords && cause_ == ReadCause::Poll))
            return;
        const absl::Time now = clock_.now();
        const absl::Time lastShown = schedule_.lastShown();
        const std::string silent
            = lastShown == absl::InfinitePast() ? "" : millisecondsOf(now - lastShown);
        std::size_t bytes = 0;
        for (const std::string &record : read.records)
            bytes += record.size();
        logEvent(EventId::LogRecordsRead,
                 { { "log", nameOf(options_.log) },
                   { "cause", nameOf(cause_) },
                   { "from", std::to_string(from.offset) },
                   { "records", std::to_string(read.records.size()) },
                   { "bytes", std::to_string(bytes) },
                   { "took_ms", millisecondsOf(now - requestedAt) },
                   { "silent_ms", silent } });
    }

    // Skips records that were received in relayed parts during the read.
    void apply(LogPosition from, const LogRecords &read)
    {
        LogOffset offset = from.offset;
        for (const std::string &bytes : read.records) {
            if (offset >= next_.offset) {
                const auto record = decoder_.keyed(bytes);
                if (record)
                    applyRecord(offset, *record);
                else
                    handler_->onUnreadable(record.lastReason());
            }
            ++offset;
        }
        next_.offset = std::max(next_.offset, offset);
        noteCurrent();
    }

    void applyRecord(LogOffset offset, const KeyedRecord &record)
    {
        if (!handler_->onRecord(record))
            return;
        updates_.add(offset, record);
    }

    // `answerDue`: when the store has answered at the latest, unless it or the way is slow.
    void relayUpdates(LogPosition from, absl::Time answerDue)
    {
        schedule_.noteRead(clock_.now());
        logReaderChange();
        if (!schedule_.isReader()) // Heard another reader meanwhile, which must not yield to this.
            return;
        updates_.noteAge(clock_.now() - answerDue);
        updates_.relay(from, next_);
    }

    void logReaderChange()
    {
        const ReaderChange change = schedule_.takeChange();
        if (change == ReaderChange::None)
            return;
        logEvent(EventId::LogReaderChanged,
                 { { "log", nameOf(options_.log) },
                   { "reader", schedule_.isReader() ? "this" : "another" },
                   { "cause", nameOf(change) },
                   { "era", std::to_string(next_.era) },
                   { "offset", std::to_string(next_.offset) } });
    }

    struct CatchUp
    {
        absl::Time since;
        CatchUpCallback done;
    };

    std::unique_ptr<DelayTimer> timer_;
    LogStore &store_;
    const RecordDecoder &decoder_;
    const base::Clock &clock_;
    FollowerHandler *handler_;
    SharedReads *shared_;
    FollowerOptions options_;
    ReadSchedule schedule_;
    LogPosition next_; ///< Of the next record to apply.
    std::uint64_t newestRead_ = 0; ///< Counts reads of the newest records, and those overtaken.
    LogPosition newestFrom_; ///< What the newest records that are awaited have to include.
    LogPosition knownEnd_; ///< Largest end of a part, or end of the last read if that is newer.
    absl::Time knownEndAt_ = absl::InfinitePast(); ///< When a part last raised it.
    absl::Time currentAt_ = absl::InfinitePast(); ///< When records were last applied.
    absl::Time completeAsOf_ = absl::InfinitePast(); ///< The log ended at `next_` then.
    std::deque<CatchUp> catchUps_; ///< In order of time.
    absl::Time failedUntil_ = absl::InfinitePast(); ///< No read for them before it.
    LogUpdates updates_;
    ReadCause cause_ = ReadCause::Poll; ///< Of the read under way, or of the next one.
    bool endIsLong_ = false; ///< The records before `knownEnd_` are too long to be relayed.
    bool tailing_ = false;
    bool reading_ = false; ///< Or waiting for another instance's records.
    bool callsStore_ = false; ///< For records that others may lack, too.
    bool isConfirming_ = false; ///< Reads the tail after the first records.
    bool isWhole_ = false; ///< The newest records of all keys up to `next_` have been applied.
};

class OwnedFollower : public LogFollower
{
public:
    explicit OwnedFollower(std::shared_ptr<KeyedFollower> follower)
        : follower_(std::move(follower))
    { }
    ~OwnedFollower() override { follower_->stop(); }
    void start() override { follower_->readNewest(); }
    void onPart(const LogPart &part) override { follower_->onPart(part); }
    void stop() override { follower_->stop(); }
    void catchUp(const CatchUpCallback &done) override { follower_->catchUp(done); }
    SnapshotState state(LogPosition atLeast) const override { return follower_->state(atLeast); }
    LogPosition position() const override { return follower_->position(); }
    bool isConfirming() const override { return follower_->isConfirming(); }
    absl::Time completeAsOf() const override { return follower_->completeAsOf(); }

private:
    std::shared_ptr<KeyedFollower> follower_;
};

} // namespace

const char *nameOf(LogName log)
{
    switch (log) {
    case LogName::Configuration:
        return "configuration";
    case LogName::Endpoints:
        return "endpoints";
    case LogName::Lease:
        return "lease";
    case LogName::Journal:
        return "journal";
    case LogName::Instances:
        return "instances";
    }
    return "unknown";
}

FollowerOptions followerOptions(LogName log, absl::Duration notice)
{
    FollowerOptions options;
    options.log = log;
    options.retryDelay = StoreRetryPause;
    options.relayTimeout = notice * FollowerTimeoutShare;
    options.startTimeout = options.relayTimeout;
    if (log == LogName::Configuration)
        options.readWait = notice * ConfigurationLongPollShare;
    else
        options.readInterval = notice * EndpointsPollShare;
    return options;
}

std::unique_ptr<LogFollower> makeLogFollower(boost::asio::io_context &context,
                                             const FollowerParts &parts,
                                             const FollowerOptions &options)
{
    return std::make_unique<OwnedFollower>(
        std::make_shared<KeyedFollower>(context, parts, options));
}

} // namespace zinniadoor::gateway
