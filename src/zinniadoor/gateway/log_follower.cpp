#include "zinniadoor/gateway/log_follower.hpp"

#include <algorithm>
#include <deque>
#include <functional>

#include <boost/asio/steady_timer.hpp>

#include "zinniadoor/base/events.hpp"
#include "zinniadoor/serving/engine_view.hpp"

namespace zinniadoor::gateway {

namespace {

using base::EventId;
using base::logEvent;

/// Instances lose patience up to this part of it later, each at its own time, so that the first
/// one to read spares the others their reads.
constexpr double PatienceSpread = 0.3;
constexpr std::size_t SpreadSteps = 1000;

/// Pauses between failed reads double, up to a part of the patience.
constexpr int MaxDoublings = 6;
constexpr double RetryShare = 0.5;

/// A part stays below one packet of an ordinary network.
constexpr std::size_t MaxPartBytes = 1100;

/// More than this is read from the store by each instance itself: it would take too long to tell.
constexpr std::size_t MaxToldBytes = std::size_t { 8 } * 1024;

/// What a record takes beside its key and value.
constexpr std::size_t RecordOverhead = 32;

const char *nameOf(LogName log)
{
    return log == LogName::Configuration ? "configuration" : "endpoints";
}

std::size_t sizeOf(const LogPartRecord &record)
{
    return RecordOverhead + record.key.size() + (record.value ? record.value->size() : 0);
}

class KeyedFollower : public std::enable_shared_from_this<KeyedFollower>
{
public:
    KeyedFollower(boost::asio::io_context &context, const FollowerParts &parts,
                  const FollowerOptions &options)
        : timer_(context)
        , store_(parts.store)
        , decoder_(parts.decoder)
        , clock_(parts.clock)
        , relay_(parts.relay)
        , handler_(&parts.handler)
        , options_(options)
        , rank_(rankOf(options.self))
    {
        const double share = static_cast<double>(rank_ % SpreadSteps) / SpreadSteps;
        patience_ = options.patience * (1 + PatienceSpread * share);
    }

    void readNewest()
    {
        auto self = shared_from_this();
        reading_ = true;
        store_.readNewest(options_.log, [self](const base::Outcome<NewestRecords> &newest) {
            self->reading_ = false;
            if (!self->handler_)
                return;
            if (!newest) {
                self->handler_->onFailure(newest.lastReason());
                self->again(self->nextRetry());
                return;
            }
            self->retries_ = 0;
            self->next_ = newest->end;
            self->forgetNewsBefore(newest->end);
            self->tailing_ = true;
            self->handler_->onNewest(newest->records);
            self->handler_->onCurrent();
            self->again(self->nextPause());
        });
    }

    void onPart(const LogPart &part)
    {
        if (!handler_ || !tailing_ || part.to < next_)
            return;
        const bool misses = part.from > next_; // A part before this one was lost.
        if (misses || (!part.whole && part.to > next_)) {
            if (!reading_)
                readTail();
            return;
        }
        for (const LogPartRecord &record : part.records) {
            if (record.offset >= next_)
                take(record.offset, { record.key, record.value });
        }
        next_ = part.to;
        forgetNewsBefore(part.from);
        handler_->onCurrent();
        if (rankOf(part.sender) >= rank_)
            return; // That one will hear this instance and stop reading.
        heard_ = clock_.now();
        noteReader(false);
        if (!reading_)
            again(patience_);
    }

    void stop()
    {
        handler_ = nullptr;
        timer_.cancel();
    }

private:
    // Of two instances that read, the one with the larger rank stops. The order is that of leaders,
    // who know the instances of their data centre best.
    static std::uint64_t rankOf(const ProcessName &process)
    {
        return serving::stableDigest(process.instance);
    }

    void again(absl::Duration pause)
    {
        auto self = shared_from_this();
        timer_.expires_after(absl::ToChronoMilliseconds(pause));
        timer_.async_wait([self](boost::system::error_code error) {
            if (error || !self->handler_ || self->reading_)
                return;
            if (self->tailing_)
                self->readTail();
            else
                self->readNewest();
        });
    }

    absl::Duration nextPause() const
    {
        const absl::Duration silent = clock_.now() - heard_;
        return silent < patience_ ? patience_ - silent : options_.pause;
    }

    absl::Duration nextRetry()
    {
        const absl::Duration pause = options_.retryPause * (1 << retries_);
        if (retries_ < MaxDoublings)
            ++retries_;
        return std::min(pause, std::max(options_.retryPause, options_.patience * RetryShare));
    }

    void readTail()
    {
        auto self = shared_from_this();
        reading_ = true;
        const absl::Time asked = clock_.now();
        const LogOffset from = next_;
        store_.read(options_.log, from, options_.wait,
                    [self, asked, from](const base::Outcome<LogRecords> &read) {
                        self->reading_ = false;
                        if (!self->handler_)
                            return;
                        if (!read) {
                            self->handler_->onFailure(read.lastReason());
                            self->again(std::max(self->nextRetry(), self->nextPause()));
                            return;
                        }
                        self->retries_ = 0;
                        // An end before our place means that the store lost its history.
                        if (read->trimmed || read->end < from) {
                            self->tailing_ = false;
                            self->readNewest();
                            return;
                        }
                        self->apply(from, *read);
                        self->tell(from, asked);
                        self->again(self->next_ < read->end ? absl::ZeroDuration()
                                                            : self->nextPause());
                    });
    }

    // Parts of others may have come while the read was under way.
    void apply(LogOffset from, const LogRecords &read)
    {
        LogOffset offset = from;
        for (const std::string &bytes : read.records) {
            if (offset >= next_) {
                const auto record = decoder_.keyed(bytes);
                if (record)
                    take(offset, *record);
                else
                    handler_->onUnreadable(record.lastReason());
            }
            ++offset;
        }
        next_ = std::max(next_, offset);
        handler_->onCurrent();
    }

    void take(LogOffset offset, const KeyedRecord &record)
    {
        if (!handler_->onRecord(record))
            return;
        news_.push_back({ offset, record.key, std::nullopt });
        if (options_.tellsRecords)
            news_.back().value = record.value;
    }

    // What was told last time is told again, so that one lost part is made good by the next.
    void tell(LogOffset from, absl::Time asked)
    {
        if (clock_.now() - heard_ >= patience_)
            noteReader(true);
        std::size_t bytes = 0;
        for (const LogPartRecord &record : news_)
            bytes += sizeOf(record);
        // After a freeze in between, the answer is not current any more.
        const bool current = clock_.now() - asked <= options_.wait + options_.patience / 2;
        if (current && !news_.empty() && (!options_.tellsRecords || bytes > MaxToldBytes))
            relay_.tell(newPart(newsFrom_, false));
        else if (current)
            tellRecords();
        forgetNewsBefore(from);
    }

    void tellRecords()
    {
        LogPart part = newPart(newsFrom_, true);
        std::size_t bytes = 0;
        for (const LogPartRecord &record : news_) {
            if (bytes > 0 && bytes + sizeOf(record) > MaxPartBytes) {
                part.to = record.offset;
                relay_.tell(part);
                part = newPart(record.offset, true);
                bytes = 0;
            }
            part.records.push_back(record);
            bytes += sizeOf(record);
        }
        relay_.tell(part);
    }

    LogPart newPart(LogOffset from, bool whole) const
    {
        LogPart part;
        part.sender = options_.self;
        part.log = options_.log;
        part.from = from;
        part.to = next_;
        part.whole = whole;
        return part;
    }

    void forgetNewsBefore(LogOffset offset)
    {
        newsFrom_ = std::max(newsFrom_, offset);
        while (!news_.empty() && news_.front().offset < newsFrom_)
            news_.pop_front();
    }

    void noteReader(bool reads)
    {
        if (reads == reads_)
            return;
        reads_ = reads;
        logEvent(EventId::LogReaderChanged,
                 { { "log", nameOf(options_.log) },
                   { "reader", reads ? "this" : "another" },
                   { "offset", std::to_string(next_) } });
    }

    boost::asio::steady_timer timer_;
    LogStore &store_;
    const RecordDecoder &decoder_;
    const base::Clock &clock_;
    LogRelay &relay_;
    FollowerHandler *handler_;
    FollowerOptions options_;
    std::uint64_t rank_;
    absl::Duration patience_;
    LogOffset next_ = 0;
    std::deque<LogPartRecord> news_; ///< Of the records from `newsFrom_` to `next_`.
    LogOffset newsFrom_ = 0;
    absl::Time heard_ = absl::InfinitePast(); ///< The last part of a reader of smaller rank.
    int retries_ = 0; ///< Failed reads in a row, up to `MaxDoublings`.
    bool tailing_ = false;
    bool reading_ = false;
    bool reads_ = false;
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

private:
    std::shared_ptr<KeyedFollower> follower_;
};

} // namespace

std::unique_ptr<LogFollower> makeLogFollower(boost::asio::io_context &context,
                                             const FollowerParts &parts,
                                             const FollowerOptions &options)
{
    return std::make_unique<OwnedFollower>(
        std::make_shared<KeyedFollower>(context, parts, options));
}

} // namespace zinniadoor::gateway
