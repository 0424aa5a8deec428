#include "zinniadoor/gateway/usage_duty.hpp"

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

/// After a window is complete: all have told the instance that writes for them, and the longest
/// time until the others write for themselves.
constexpr absl::Duration PeersHaveTold = absl::Milliseconds(700);
constexpr absl::Duration WriterPatience = absl::Milliseconds(2000);

/// Part of the due time after which figures are fixed; counts that come later are lost.
constexpr double FixShare = 0.45;

/// Windows this many due times old are not reported any more.
constexpr double OldestReport = 4;

/// Between reads of the journal, by the holder and by the others.
constexpr absl::Duration HolderRead = absl::Seconds(2);
constexpr absl::Duration OtherRead = absl::Seconds(15);
constexpr absl::Duration ReportRetry = absl::Milliseconds(700);

/// After an append to the journal that failed.
constexpr absl::Duration WriteRetry = absl::Seconds(1);

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
        const WindowNumber now = parts_.book.windowAt(trueNow());
        firstWindow_ = now;
        nextOwn_ = now;
        JournalRecord started;
        started.kind = JournalKind::Started;
        started.process = options_.self;
        started.address = options_.peerAddress;
        started.dataCentre = options_.dataCentre;
        unwritten_.push_back(base::encode(started));
        write(); // Until the journal has been read, little may be admitted.
        tick();
    }

    void stop(std::function<void()> done) override
    {
        stopped_ = std::move(done);
        const WindowNumber now = parts_.book.windowAt(trueNow());
        for (; nextOwn_ <= now; ++nextOwn_) {
            if (!parts_.peers.isWritten(nextOwn_))
                queueOwn(nextOwn_);
        }
        JournalRecord record;
        record.kind = JournalKind::Stopped;
        record.process = options_.self;
        unwritten_.push_back(base::encode(record));
        writeAt_ = absl::InfinitePast();
        write();
    }

    void close()
    {
        closed_ = true;
        timer_.cancel();
    }

private:
    absl::Time trueNow() const { return parts_.trueTime.at(parts_.clock.now()); }

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

    void step()
    {
        const absl::Time now = trueNow();
        queueWindows(now);
        write();
        const bool holds = parts_.lease.lease().mayAct(parts_.clock.now());
        // Who does not write for others learns of instances by those that do.
        const bool needsPeers = parts_.peers.writesForOthers(parts_.clock.now());
        const bool hasRead = currentAt_ != absl::InfinitePast();
        if (holds || needsPeers || !hasRead)
            readJournal(holds ? HolderRead : OtherRead);
        if (holds)
            report();
        forgetOld(now);
    }

    /// One instance writes for those that it hears; the others only if it does not say so in time.
    void queueWindows(absl::Time now)
    {
        const WindowNumber complete = parts_.book.completeBefore(now - PeersHaveTold);
        const bool writes = parts_.peers.writesForOthers(parts_.clock.now());
        for (; nextOwn_ < complete; ++nextOwn_) {
            if (parts_.peers.isWritten(nextOwn_))
                continue;
            if (!writes && nextOwn_ >= parts_.book.completeBefore(now - WriterPatience))
                return;
            queueOwn(nextOwn_);
            if (writes)
                queueOthers(nextOwn_);
        }
    }

    void queueOwn(WindowNumber window)
    {
        queueCounts(options_.self, window, parts_.book.countsOf(window));
    }

    void queueOthers(WindowNumber window)
    {
        UsageWritten written;
        written.sender = options_.self;
        written.window = window;
        for (const auto &[process, counts] : parts_.peers.finalUsageOf(window)) {
            queueCounts(process, window, counts);
            written.processes.push_back(digestOf(process));
        }
        unsaid_.push_back(std::move(written));
    }

    void queueCounts(const ProcessName &process, WindowNumber window, const UsageCounts &counts)
    {
        if (counts.empty())
            return;
        JournalRecord record;
        record.kind = JournalKind::Usage;
        record.process = process;
        record.window = window;
        record.counts = counts;
        unwritten_.push_back(base::encode(record));
    }

    void tellWritten()
    {
        for (const UsageWritten &written : std::exchange(unsaid_, {}))
            parts_.peers.tellWritten(written);
    }

    // A repeated append after a lost answer does no harm: the first record counts.
    void write()
    {
        if (writing_ || unwritten_.empty() || parts_.clock.now() < writeAt_) {
            if (unwritten_.empty() && stopped_)
                finishStop();
            return;
        }
        writing_ = true;
        auto self = shared_from_this();
        const std::vector<std::string> records(unwritten_.begin(), unwritten_.end());
        parts_.store.append(
            LogName::Journal, records, std::nullopt,
            [self, count = records.size()](const base::Outcome<AppendResult> &result) {
                self->writing_ = false;
                if (self->closed_)
                    return;
                // Whoever starts meanwhile reads this record, or is read here after it.
                if (result && !std::exchange(self->announced_, true)) {
                    self->lastRead_ = self->currentAt_ = absl::InfinitePast();
                    self->readJournal(absl::ZeroDuration());
                }
                if (result) {
                    auto &waiting = self->unwritten_;
                    waiting.erase(waiting.begin(),
                                  waiting.begin() + static_cast<std::ptrdiff_t>(count));
                    if (waiting.empty())
                        self->tellWritten();
                } else
                    self->writeAt_ = self->parts_.clock.now() + WriteRetry;
                if (self->stopped_ && (!result || self->unwritten_.empty()))
                    self->finishStop();
            });
    }

    void finishStop()
    {
        const auto stopped = std::move(stopped_);
        stopped_ = nullptr;
        if (stopped)
            stopped();
    }

    void readJournal(absl::Duration pause)
    {
        const absl::Time now = parts_.clock.now();
        if (reading_ || now - lastRead_ < pause)
            return;
        reading_ = true;
        lastRead_ = now;
        auto self = shared_from_this();
        parts_.store.read(LogName::Journal, next_, absl::ZeroDuration(),
                          [self](const base::Outcome<LogRecords> &read) {
                              self->reading_ = false;
                              if (!self->closed_ && read)
                                  self->take(*read);
                          });
    }

    void take(const LogRecords &read)
    {
        if (read.trimmed) {
            next_ = std::max(next_, read.first);
            lastRead_ = absl::InfinitePast();
            return;
        }
        for (const std::string &bytes : read.records) {
            ++next_;
            const auto record = base::decode<JournalRecord>(bytes);
            if (!record)
                continue;
            ledger_.apply(*record);
            if (record->kind == JournalKind::Started)
                parts_.peers.noteStarted(record->process, record->address, record->dataCentre);
            else if (record->kind == JournalKind::Stopped)
                parts_.peers.noteStopped(record->process);
        }
        currentAt_ = parts_.clock.now();
        if (announced_)
            parts_.peers.noteJournalRead(currentAt_);
    }

    /// The oldest window that is due and not known to be reported.
    std::optional<WindowNumber> nextToReport() const
    {
        const absl::Time now = trueNow();
        WindowNumber window = std::max(parts_.book.windowAt(now - options_.due * OldestReport),
                                       parts_.lease.lease().reportedBefore());
        for (; now >= parts_.book.endOf(window) + options_.due * FixShare; ++window) {
            if (reported_.count(window) == 0 && (window >= firstKnown() || fixed(window)))
                return window;
        }
        return std::nullopt;
    }

    bool fixed(WindowNumber window) const
    {
        return parts_.lease.lease().figuresOf(window) != nullptr;
    }

    /// Windows before the first start of this system have no usage.
    WindowNumber firstKnown() const
    {
        const auto &figures = parts_.lease.lease().figures();
        return figures.empty() ? firstWindow_ : std::min(firstWindow_, figures.begin()->first);
    }

    void report()
    {
        const absl::Time now = parts_.clock.now();
        if (reporting_ || now < retryAt_ || now - currentAt_ > 2 * HolderRead)
            return;
        const auto window = nextToReport();
        if (!window)
            return;
        if (const UsageCounts *figures = parts_.lease.lease().figuresOf(*window)) {
            send(*window, *figures);
            return;
        }
        reporting_ = true;
        auto self = shared_from_this();
        const UsageCounts counts = ledger_.sum(*window, heardAndOwn(*window));
        parts_.lease.fixFigures(*window, counts, [self](bool) { self->reporting_ = false; });
    }

    std::map<ProcessName, UsageCounts> heardAndOwn(WindowNumber window) const
    {
        std::map<ProcessName, UsageCounts> heard = parts_.peers.usageOf(window);
        heard[options_.self] = parts_.book.countsOf(window);
        return heard;
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
            report.requestsOf.emplace_back(organisation, requests);
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
        retryAt_ = parts_.clock.now() + ReportRetry;
    }

    void forgetOld(absl::Time now)
    {
        const WindowNumber oldest = parts_.book.windowAt(now - options_.due * (OldestReport + 2));
        parts_.book.forgetBefore(oldest);
        parts_.peers.forgetUsageBefore(oldest);
        parts_.lease.forgetFiguresBefore(oldest);
        ledger_.forgetBefore(oldest);
        reported_.erase(reported_.begin(), reported_.lower_bound(oldest));
    }

    boost::asio::steady_timer timer_;
    UsageDutyParts parts_;
    UsageDutyOptions options_;
    UsageLedger ledger_;
    std::deque<std::string> unwritten_;
    std::vector<UsageWritten> unsaid_; ///< Told once all of `unwritten_` is written.
    std::set<WindowNumber> reported_;
    WindowNumber firstWindow_ = 0;
    WindowNumber nextOwn_ = 0;
    LogOffset next_ = 0;
    absl::Time lastRead_ = absl::InfinitePast();
    absl::Time currentAt_ = absl::InfinitePast();
    absl::Time retryAt_ = absl::InfinitePast();
    absl::Time writeAt_ = absl::InfinitePast();
    bool announced_ = false; ///< This instance's start stands in the journal.
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

std::unique_ptr<UsageDuty> makeUsageDuty(boost::asio::io_context &context,
                                         const UsageDutyParts &parts,
                                         const UsageDutyOptions &options)
{
    return std::make_unique<OwnedUsageDuty>(
        std::make_shared<LogUsageDuty>(context, parts, options));
}

} // namespace zinniadoor::gateway
