#include "zinniadoor/gateway/instance_register.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "zinniadoor/base/codec.hpp"
#include "zinniadoor/gateway/instance_list.hpp"
#include "zinniadoor/gateway/journal.hpp"
#include "zinniadoor/serving/engine_view.hpp"

namespace zinniadoor::gateway {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds Tick(250);

/// Time between reads by the lease holder and by instances that write for their peers. The others
/// learn of new instances from messages.
constexpr absl::Duration HolderReadInterval = absl::Seconds(2);
constexpr absl::Duration WriterReadInterval = absl::Seconds(15);

/// Delays after a failed call and before starts are copied from the journal: the shortest, and the
/// range over which instances are spread.
constexpr milliseconds RetryDelay(300);
constexpr milliseconds RetrySpread(300);
constexpr milliseconds CopyDelay(500);
constexpr milliseconds CopySpread(1500);

/// Bytes of the records of one append.
constexpr std::size_t MaxAppendBytes = std::size_t { 64 } * 1024;

class LogInstanceRegister : public InstanceRegister,
                            public std::enable_shared_from_this<LogInstanceRegister>
{
public:
    LogInstanceRegister(boost::asio::io_context &context, const InstanceRegisterParts &parts,
                        const InstanceRegisterOptions &options)
        : tickTimer_(context)
        , announceTimer_(context)
        , readTimer_(context)
        , journalTimer_(context)
        , copyTimer_(context)
        , parts_(parts)
        , options_(options)
        , digest_(serving::stableDigest(options.self.instance))
    { }

    void start() override
    {
        enterEra(parts_.store.era());
        announce();
        read();
        tick();
    }

    void stop(std::function<void()> done) override
    {
        stopped_ = std::move(done);
        if (!announcing_)
            recordStop();
    }

    void close()
    {
        closed_ = true;
        for (auto *timer :
             { &tickTimer_, &announceTimer_, &readTimer_, &journalTimer_, &copyTimer_ })
            timer->cancel();
    }

private:
    void after(boost::asio::steady_timer &timer, milliseconds delay,
               void (LogInstanceRegister::*next)())
    {
        timer.expires_after(delay);
        timer.async_wait([self = shared_from_this(), next](boost::system::error_code error) {
            if (!error && !self->closed_)
                (self.get()->*next)();
        });
    }

    milliseconds spread(milliseconds shortest, milliseconds range) const
    {
        return shortest + milliseconds(digest_ % static_cast<std::uint64_t>(range.count()));
    }

    void tick()
    {
        after(tickTimer_, Tick, &LogInstanceRegister::tick);
        if (parts_.store.era() != next_.era)
            enterEra(parts_.store.era());
        if (announced_ && announcedAt_.era != next_.era) {
            announced_ = false;
            announce();
        }
        const absl::Duration since = parts_.clock.now() - lastRead_;
        if ((isHolder() && since >= HolderReadInterval)
            || (writesForPeers() && since >= WriterReadInterval))
            read();
    }

    bool isHolder() const { return parts_.lease.lease().mayAct(parts_.clock.now()); }
    bool writesForPeers() const { return parts_.peers.writesUsageForPeers(parts_.clock.now()); }

    void enterEra(StoreEra era)
    {
        next_ = journalNext_ = { era, 0 };
        list_ = InstanceList();
        journalIsRead_ = copyIsDue_ = false;
    }

    void announce()
    {
        if (announcing_ || announced_ || stopped_)
            return;
        JournalRecord started;
        started.kind = JournalRecordKind::Started;
        started.process = options_.self;
        started.address = options_.peerAddress;
        started.dataCentre = options_.dataCentre;
        announcing_ = true;
        // Repeating an append with unknown outcome is safe: the same start counts once.
        parts_.store.append(LogName::Instances, { base::encode(started) }, std::nullopt,
                            [self = shared_from_this()](const base::Outcome<AppendResult> &result) {
                                self->announcing_ = false;
                                if (!self->closed_)
                                    self->onAnnounced(result);
                            });
    }

    void onAnnounced(const base::Outcome<AppendResult> &result)
    {
        if (stopped_) {
            recordStop();
            return;
        }
        if (!result) {
            after(announceTimer_, spread(RetryDelay, RetrySpread), &LogInstanceRegister::announce);
            return;
        }
        announced_ = true;
        announcedAt_ = result->first;
        if (next_ <= announcedAt_)
            read();
    }

    void recordStop()
    {
        JournalRecord record;
        record.kind = JournalRecordKind::Stopped;
        record.process = options_.self;
        parts_.store.append(LogName::Instances, { base::encode(record) }, std::nullopt,
                            [self = shared_from_this()](const base::Outcome<AppendResult> &) {
                                const auto stopped = std::exchange(self->stopped_, nullptr);
                                if (stopped && !self->closed_)
                                    stopped();
                            });
    }

    void retryRead()
    {
        after(readTimer_, spread(RetryDelay, RetrySpread), &LogInstanceRegister::read);
    }

    void read()
    {
        if (reading_ || stopped_)
            return;
        reading_ = true;
        lastRead_ = parts_.clock.now();
        parts_.store.read(
            LogName::Instances, next_, absl::ZeroDuration(),
            [self = shared_from_this(), from = next_](const base::Outcome<LogRecords> &read) {
                self->reading_ = false;
                if (self->closed_)
                    return;
                if (read)
                    self->apply(from, *read);
                else
                    self->retryRead();
            });
    }

    /// Whether the records read at `from` follow those that were read before. The first read tells
    /// the era; later, another one means that the store was restored.
    static bool follows(LogPosition from, const LogRecords &read, LogPosition &next)
    {
        if (from.offset == 0 && next.offset == 0)
            next.era = from.era = std::max(next.era, read.end.era);
        return from == next && next.era == read.end.era;
    }

    void apply(LogPosition from, const LogRecords &read)
    {
        if (!follows(from, read, next_)) {
            if (from == next_)
                enterEra(read.end.era);
            this->read();
            return;
        }
        if (read.trimmed) {
            // The store keeps both logs for the same time, so that the journal has no more.
            list_.setComplete();
            const bool hasProgressed = next_ < read.first;
            next_ = std::max(next_, read.first);
            readOn(hasProgressed);
            return;
        }
        for (const std::string &bytes : read.records) {
            if (const auto record = base::decode<JournalRecord>(bytes)) {
                list_.apply(*record);
                tellPeers(*record);
                if (record->kind == JournalRecordKind::Started && record->process == options_.self
                    && !std::exchange(announced_, true))
                    announcedAt_ = next_;
            }
            next_ = next_ + 1;
        }
        const bool misses = next_ < read.end
            || (announced_ && announcedAt_.era == next_.era && next_ <= announcedAt_);
        if (misses)
            readOn(!read.records.empty());
        else
            onRead();
    }

    void readOn(bool atOnce)
    {
        if (atOnce)
            read();
        else
            retryRead();
    }

    void tellPeers(const JournalRecord &record)
    {
        if (record.kind == JournalRecordKind::Started)
            parts_.peers.noteStarted(record.process, record.address, record.dataCentre);
        else if (record.kind == JournalRecordKind::Stopped)
            parts_.peers.noteStopped(record.process);
    }

    void onRead()
    {
        noteKnown();
        if (list_.isComplete()) {
            copyTimer_.cancel();
            return;
        }
        if (!journalIsRead_) {
            // After a restoration, the others know their peers.
            if (!parts_.peers.hasReadJournal() || isHolder() || writesForPeers())
                readJournal();
        } else if (std::exchange(copyIsDue_, false))
            copy();
    }

    void noteKnown()
    {
        if (announced_ && announcedAt_ < next_ && announcedAt_.era == next_.era
            && (list_.isComplete() || journalIsRead_))
            parts_.peers.noteJournalRead(parts_.clock.now());
    }

    void readJournal()
    {
        if (readingJournal_ || stopped_ || list_.isComplete())
            return;
        readingJournal_ = true;
        parts_.store.read(LogName::Journal, journalNext_, absl::ZeroDuration(),
                          [self = shared_from_this(),
                           from = journalNext_](const base::Outcome<LogRecords> &read) {
                              self->readingJournal_ = false;
                              if (self->closed_)
                                  return;
                              if (read)
                                  self->applyJournal(from, *read);
                              else
                                  self->retryJournal();
                          });
    }

    void retryJournal()
    {
        after(journalTimer_, spread(RetryDelay, RetrySpread), &LogInstanceRegister::readJournal);
    }

    void applyJournal(LogPosition from, const LogRecords &read)
    {
        if (!follows(from, read, journalNext_)) {
            if (from == journalNext_)
                enterEra(read.end.era);
            this->read();
            return;
        }
        const bool hasProgressed = !read.records.empty() || journalNext_ < read.first;
        if (read.trimmed)
            journalNext_ = std::max(journalNext_, read.first);
        for (const std::string &bytes : read.records) {
            journalNext_ = journalNext_ + 1;
            if (const auto record = base::decode<JournalRecord>(bytes)) {
                list_.applyJournal(*record);
                tellPeers(*record);
            }
        }
        if (read.trimmed || journalNext_ < read.end) {
            if (hasProgressed)
                readJournal();
            else
                retryJournal();
            return;
        }
        journalIsRead_ = true;
        noteKnown();
        scheduleCopy();
    }

    void scheduleCopy()
    {
        after(copyTimer_, spread(CopyDelay, CopySpread), &LogInstanceRegister::readBeforeCopy);
    }

    void readBeforeCopy()
    {
        copyIsDue_ = true;
        read();
    }

    // Appended only at the end that was read, so that one instance copies and not all of them.
    void copy()
    {
        if (copying_ || stopped_)
            return;
        copying_ = true;
        parts_.store.append(LogName::Instances, list_.nextCopies(MaxAppendBytes), next_,
                            [self = shared_from_this()](const base::Outcome<AppendResult> &result) {
                                self->copying_ = false;
                                if (self->closed_)
                                    return;
                                if (result && result->appended)
                                    self->readBeforeCopy();
                                else
                                    self->scheduleCopy();
                            });
    }

    boost::asio::steady_timer tickTimer_;
    boost::asio::steady_timer announceTimer_;
    boost::asio::steady_timer readTimer_;
    boost::asio::steady_timer journalTimer_;
    boost::asio::steady_timer copyTimer_;
    InstanceRegisterParts parts_;
    InstanceRegisterOptions options_;
    std::uint64_t digest_;
    InstanceList list_;
    LogPosition next_; ///< In the log of instances.
    LogPosition journalNext_;
    LogPosition announcedAt_; ///< Position of this instance's start, if announced.
    absl::Time lastRead_ = absl::InfinitePast();
    bool announced_ = false; ///< This instance's start is recorded.
    bool announcing_ = false;
    bool reading_ = false;
    bool readingJournal_ = false;
    bool journalIsRead_ = false;
    bool copyIsDue_ = false;
    bool copying_ = false;
    bool closed_ = false;
    std::function<void()> stopped_;
};

class OwnedInstanceRegister : public InstanceRegister
{
public:
    explicit OwnedInstanceRegister(std::shared_ptr<LogInstanceRegister> instances)
        : instances_(std::move(instances))
    { }
    ~OwnedInstanceRegister() override { instances_->close(); }
    void start() override { instances_->start(); }
    void stop(std::function<void()> done) override { instances_->stop(std::move(done)); }

private:
    std::shared_ptr<LogInstanceRegister> instances_;
};

} // namespace

std::unique_ptr<InstanceRegister> makeInstanceRegister(boost::asio::io_context &context,
                                                       const InstanceRegisterParts &parts,
                                                       const InstanceRegisterOptions &options)
{
    return std::make_unique<OwnedInstanceRegister>(
        std::make_shared<LogInstanceRegister>(context, parts, options));
}

} // namespace zinniadoor::gateway
