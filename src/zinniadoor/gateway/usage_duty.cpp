#include "zinniadoor/gateway/usage_duty.hpp"

#include <algorithm>
#include <deque>
#include <set>
#include <utility>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "absl/strings/str_cat.h"

#include "zinniadoor/base/codec.hpp"
#include "zinniadoor/base/events.hpp"

namespace zinniadoor::gateway {

namespace {

using base::EventId;
using base::logEvent;

constexpr absl::Duration Tick = absl::Milliseconds(250);

/// Times after a window is complete: until the instance that writes for its peers has received
/// their final counts, and until a peer without a notice writes its own counts.
constexpr absl::Duration PeerCountsDelay = absl::Milliseconds(700);
constexpr absl::Duration NoticeTimeout = absl::Milliseconds(2000);

/// Fraction of the report delay after which figures are committed; later counts are lost.
constexpr double CommitShare = 0.45;

/// How much the estimates of cluster time of two instances may differ.
constexpr absl::Duration ClockTolerance = absl::Milliseconds(500);

/// Bytes of the records of one append.
constexpr std::size_t MaxAppendBytes = std::size_t { 64 } * 1024;

/// Windows of this many report delays are written again after a restoration of the store. Older
/// ones have been committed.
constexpr double RewriteAge = 2;

/// Windows older than this many report delays are not reported.
constexpr double MaxReportAge = 4;

/// Time between reads of the journal by the lease holder.
constexpr absl::Duration HolderReadInterval = absl::Seconds(2);
constexpr absl::Duration ReportRetryDelay = absl::Milliseconds(700);

/// Delay after a failed append to the journal.
constexpr absl::Duration WriteRetryDelay = absl::Seconds(1);

class LogUsageDuty : public UsageDuty, public std::enable_shared_from_this<LogUsageDuty>
{
public:
    LogUsageDuty(boost::asio::io_context &context, const UsageDutyParts &parts,
                 const UsageDutyOptions &options)
        : timer_(context)
        , parts_(parts)
        , options_(options)
    { }

    void start() override
    {
        const WindowNumber now = parts_.counter.windowAt(trueNow());
        firstWindow_ = now;
        nextOwnWindow_ = now;
        queueStarted();
        write();
        tick();
    }

    void stop(std::function<void()> done) override
    {
        stopped_ = std::move(done);
        queueLast();
        write();
    }

    void close()
    {
        closed_ = true;
        timer_.cancel();
    }

private:
    absl::Time trueNow() const { return parts_.clusterTime.at(parts_.clock.now()); }

    void tick()
    {
        auto self = shared_from_this();
        timer_.expires_after(absl::ToChronoMilliseconds(Tick));
        timer_.async_wait([self](boost::system::error_code error) {
            if (error || self->closed_)
                return;
            self->step();
            self->tick();
        });
    }

    // The instances of the version before learn of others from the journal only.
    void queueStarted()
    {
        JournalRecord started;
        started.kind = JournalRecordKind::Started;
        started.process = options_.self;
        started.address = options_.peerAddress;
        started.dataCentre = options_.dataCentre;
        unwritten_.push_back(base::encode(started));
    }

    // Records of this instance may be lost, whether a peer or this instance has written them.
    // Records that are not lost count once.
    void noteRestored(absl::Time now)
    {
        announced_ = false;
        queueStarted();
        parts_.peers.forgetUsageWritten();
        const WindowNumber oldest
            = parts_.counter.windowAt(now - options_.reportDelay * RewriteAge);
        nextOwnWindow_ = std::max(firstWindow_, std::min(nextOwnWindow_, oldest));
    }

    /// Queues what a stopping instance leaves behind.
    void queueLast()
    {
        const WindowNumber now = parts_.counter.windowAt(trueNow());
        for (; nextOwnWindow_ <= now; ++nextOwnWindow_) {
            if (!parts_.peers.isUsageWritten(nextOwnWindow_))
                queueOwn(nextOwnWindow_);
        }
        JournalRecord record;
        record.kind = JournalRecordKind::Stopped;
        record.process = options_.self;
        unwritten_.push_back(base::encode(record));
        writeAt_ = absl::InfinitePast();
    }

    bool isRestored(StoreEra era) const { return announced_ && announcedIn_ != era; }

    void step()
    {
        const absl::Time now = trueNow();
        const StoreEra era = parts_.store.era();
        if (next_.era != era)
            next_ = { era, 0 };
        if (isRestored(era))
            noteRestored(now);
        queueWindows(now);
        write();
        const bool isHolder = parts_.lease.lease().mayAct(parts_.clock.now());
        if (isHolder) {
            readJournal(HolderReadInterval);
            report();
        }
        discardOldWindows(now);
    }

    /// One instance writes the counts of its reachable peers; these write their own only if they do
    /// not receive its notice in time.
    void queueWindows(absl::Time now)
    {
        const WindowNumber complete = parts_.counter.completeBefore(now - PeerCountsDelay);
        const bool writes = parts_.peers.writesUsageForPeers(parts_.clock.now());
        for (; nextOwnWindow_ < complete; ++nextOwnWindow_) {
            if (parts_.peers.isUsageWritten(nextOwnWindow_))
                continue;
            if (!writes && nextOwnWindow_ >= parts_.counter.completeBefore(now - NoticeTimeout))
                return;
            queueOwn(nextOwnWindow_);
            if (writes)
                queuePeers(nextOwnWindow_);
        }
    }

    void queueOwn(WindowNumber window)
    {
        queueCounts(options_.self, window, parts_.counter.countsOf(window));
    }

    void queuePeers(WindowNumber window)
    {
        UsageWrittenNotice notice;
        notice.sender = options_.self;
        notice.window = window;
        for (const auto &[process, counts] : parts_.peers.finalUsageOf(window)) {
            queueCounts(process, window, counts);
            notice.processes.push_back(digestOf(process));
        }
        pendingNotices_.push_back(std::move(notice));
    }

    void queueCounts(const ProcessName &process, WindowNumber window, const UsageCounts &counts)
    {
        if (counts.empty())
            return;
        JournalRecord record;
        record.kind = JournalRecordKind::Usage;
        record.process = process;
        record.window = window;
        record.counts = counts;
        unwritten_.push_back(base::encode(record));
    }

    void notifyUsageWritten()
    {
        for (const UsageWrittenNotice &notice : std::exchange(pendingNotices_, {}))
            parts_.peers.notifyUsageWritten(notice);
    }

    /// As many as one call carries: after an outage there may be more than a thin link transfers
    /// within the limit of a call.
    std::vector<std::string> nextRecords() const
    {
        std::vector<std::string> records;
        std::size_t bytes = 0;
        for (const std::string &record : unwritten_) {
            bytes += record.size();
            if (!records.empty() && bytes > MaxAppendBytes)
                break;
            records.push_back(record);
        }
        return records;
    }

    // Repeating an append with unknown outcome is safe: only the first record counts.
    void write()
    {
        if (writing_ || unwritten_.empty() || parts_.clock.now() < writeAt_) {
            if (unwritten_.empty() && stopped_)
                finishStop();
            return;
        }
        writing_ = true;
        auto self = shared_from_this();
        const std::vector<std::string> records = nextRecords();
        parts_.store.append(
            LogName::Journal, records, std::nullopt,
            [self, count = records.size()](const base::Outcome<AppendResult> &result) {
                self->writing_ = false;
                if (self->closed_)
                    return;
                // After a restoration, nothing is reported until the journal has been read again.
                if (result && !std::exchange(self->announced_, true)) {
                    self->announcedIn_ = result->first.era;
                    self->lastRead_ = self->journalReadAt_ = self->journalAsOf_
                        = absl::InfinitePast();
                }
                if (result) {
                    auto &pending = self->unwritten_;
                    pending.erase(pending.begin(),
                                  pending.begin() + static_cast<std::ptrdiff_t>(count));
                    if (pending.empty())
                        self->notifyUsageWritten();
                    if (self->stopped_ && self->isRestored(result->first.era)) {
                        self->noteRestored(self->trueNow());
                        self->queueLast();
                        self->write();
                        return;
                    }
                } else
                    self->writeAt_ = self->parts_.clock.now() + WriteRetryDelay;
                if (self->stopped_ && (!result || self->unwritten_.empty()))
                    self->finishStop();
                else if (result && !self->unwritten_.empty())
                    self->write();
            });
    }

    void finishStop()
    {
        const auto stopped = std::move(stopped_);
        stopped_ = nullptr;
        if (stopped)
            stopped();
    }

    void readJournal(absl::Duration minInterval)
    {
        const absl::Time now = parts_.clock.now();
        if (reading_ || now - lastRead_ < minInterval)
            return;
        reading_ = true;
        lastRead_ = now;
        auto self = shared_from_this();
        parts_.store.read(LogName::Journal, next_, absl::ZeroDuration(),
                          [self, now, from = next_](const base::Outcome<LogRecords> &read) {
                              self->reading_ = false;
                              if (!self->closed_ && read)
                                  self->applyJournal(from, *read, now);
                          });
    }

    void applyJournal(LogPosition from, const LogRecords &read, absl::Time requestedAt)
    {
        // Otherwise the store was restored meanwhile: these records do not follow those read
        // before.
        if (from != next_ || read.end.era != next_.era) {
            lastRead_ = absl::InfinitePast();
            return;
        }
        if (read.trimmed) {
            next_ = std::max(next_, read.first);
            lastRead_ = absl::InfinitePast();
            return;
        }
        for (const std::string &bytes : read.records) {
            next_ = next_ + 1;
            const auto record = base::decode<JournalRecord>(bytes);
            if (!record)
                continue;
            ledger_.apply(*record);
            if (record->kind == JournalRecordKind::Started)
                parts_.peers.noteStarted(record->process, record->address, record->dataCentre);
            else if (record->kind == JournalRecordKind::Stopped)
                parts_.peers.noteStopped(record->process);
        }
        if (next_ < read.end) { // The rest follows.
            lastRead_ = absl::InfinitePast();
            if (!read.records.empty())
                readJournal(absl::ZeroDuration());
            return;
        }
        journalReadAt_ = parts_.clock.now();
        journalAsOf_ = requestedAt;
    }

    /// The oldest window that is due and has no record of being reported.
    std::optional<WindowNumber> nextToReport() const
    {
        const absl::Time now = trueNow();
        WindowNumber window
            = std::max(parts_.counter.windowAt(now - options_.reportDelay * MaxReportAge),
                       parts_.lease.lease().reportedBefore());
        for (; now >= parts_.counter.endOf(window) + options_.reportDelay * CommitShare; ++window) {
            const bool isReportable
                = window >= firstReportable() && parts_.lease.lease().mayCommit(window);
            if (reported_.count(window) == 0 && (isReportable || isCommitted(window)))
                return window;
        }
        return std::nullopt;
    }

    /// Whether the journal was read since others have written their counts of the window. The
    /// answer to an earlier read may have lain unread since.
    bool hasReadCountsOf(WindowNumber window) const
    {
        const absl::Duration writeTime
            = std::min(NoticeTimeout, options_.reportDelay * CommitShare / 2);
        return journalAsOf_ != absl::InfinitePast()
            && parts_.clusterTime.at(journalAsOf_) >= parts_.counter.endOf(window) + writeTime;
    }

    bool isCommitted(WindowNumber window) const
    {
        return parts_.lease.lease().figuresOf(window) != nullptr;
    }

    /// The first window that can have usage: that of the start or of the oldest committed figures.
    WindowNumber firstReportable() const
    {
        return std::min(firstWindow_, parts_.lease.lease().firstFigures().value_or(firstWindow_));
    }

    void report()
    {
        const absl::Time now = parts_.clock.now();
        if (reporting_ || now < retryAt_ || now - journalReadAt_ > 2 * HolderReadInterval)
            return;
        const auto window = nextToReport();
        if (!window)
            return;
        if (const UsageCounts *figures = parts_.lease.lease().figuresOf(*window)) {
            send(*window, *figures);
            return;
        }
        if (!hasReadCountsOf(*window))
            return;
        reporting_ = true;
        auto self = shared_from_this();
        const UsageCounts counts = ledger_.sum(*window, reportedAndOwnCounts(*window));
        parts_.lease.commitFigures(*window, counts, [self](bool) { self->reporting_ = false; });
    }

    std::map<ProcessName, UsageCounts> reportedAndOwnCounts(WindowNumber window) const
    {
        std::map<ProcessName, UsageCounts> reported = parts_.peers.usageOf(window);
        reported[options_.self] = parts_.counter.countsOf(window);
        return reported;
    }

    void send(WindowNumber window, const UsageCounts &figures)
    {
        const DutyPermitPtr permit = parts_.lease.permit();
        if (!permit)
            return;
        const std::uint64_t number = permit->fencingNumber();
        reporting_ = true;
        UsageReport report;
        report.window = window;
        for (const auto &[organisation, requests] : figures)
            report.requestsByOrganisation.emplace_back(organisation, requests);
        auto self = shared_from_this();
        parts_.platform.reportUsage(
            report, permit, [self, window, number](const base::Outcome<DutyAnswer> &answer) {
                self->reporting_ = false;
                if (!self->closed_)
                    self->onReported(window, number, answer);
            });
    }

    void onReported(WindowNumber window, std::uint64_t number,
                    const base::Outcome<DutyAnswer> &answer)
    {
        const std::string windowText = std::to_string(window);
        const std::string numberText = std::to_string(number);
        if (answer && *answer == DutyAnswer::Accepted) {
            reported_.insert(window);
            parts_.lease.noteReportedBefore(nextToReport().value_or(window + 1));
            logEvent(EventId::UsageReported,
                     { { "window", windowText }, { "fencing_number", numberText } });
            return;
        }
        logEvent(EventId::UsageReportFailed,
                 { { "window", windowText },
                   { "fencing_number", numberText },
                   { "reason", answer ? "refused" : answer.lastReason().text } });
        if (answer && *answer == DutyAnswer::Superseded)
            parts_.lease.noteSuperseded();
        retryAt_ = parts_.clock.now() + ReportRetryDelay;
    }

    void discardOldWindows(absl::Time now)
    {
        const WindowNumber oldest
            = parts_.counter.windowAt(now - options_.reportDelay * (MaxReportAge + 2));
        parts_.counter.discardBefore(oldest);
        parts_.peers.discardUsageBefore(oldest);
        parts_.lease.discardFiguresBefore(oldest);
        ledger_.discardBefore(oldest);
        reported_.erase(reported_.begin(), reported_.lower_bound(oldest));
    }

    boost::asio::steady_timer timer_;
    UsageDutyParts parts_;
    UsageDutyOptions options_;
    UsageLedger ledger_;
    std::deque<std::string> unwritten_;
    std::vector<UsageWrittenNotice> pendingNotices_; ///< Sent once all of `unwritten_` is written.
    std::set<WindowNumber> reported_;
    WindowNumber firstWindow_ = 0;
    WindowNumber nextOwnWindow_ = 0;
    LogPosition next_; ///< In the journal.
    absl::Time lastRead_ = absl::InfinitePast();
    absl::Time journalReadAt_ = absl::InfinitePast();
    absl::Time journalAsOf_ = absl::InfinitePast(); ///< When that read was requested.
    absl::Time retryAt_ = absl::InfinitePast();
    absl::Time writeAt_ = absl::InfinitePast();
    bool announced_ = false; ///< This instance's start is recorded in the journal.
    StoreEra announcedIn_ = 0; ///< The era in which it was recorded.
    bool writing_ = false;
    bool reading_ = false;
    bool reporting_ = false;
    bool closed_ = false;
    std::function<void()> stopped_;
};

class OwnedUsageDuty : public UsageDuty
{
public:
    explicit OwnedUsageDuty(std::shared_ptr<LogUsageDuty> duty)
        : duty_(std::move(duty))
    { }
    ~OwnedUsageDuty() override { duty_->close(); }
    void start() override { duty_->start(); }
    void stop(std::function<void()> done) override { duty_->stop(std::move(done)); }

private:
    std::shared_ptr<LogUsageDuty> duty_;
};

} // namespace

WindowNumber firstUncommittedWindow(const UsageWindowCounter &counter, absl::Time clusterTime,
                                    absl::Duration reportDelay)
{
    return counter.windowAt(clusterTime + ClockTolerance - reportDelay * CommitShare);
}

std::unique_ptr<UsageDuty> makeUsageDuty(boost::asio::io_context &context,
                                         const UsageDutyParts &parts,
                                         const UsageDutyOptions &options)
{
    return std::make_unique<OwnedUsageDuty>(
        std::make_shared<LogUsageDuty>(context, parts, options));
}

} // namespace zinniadoor::gateway
