#include "zinniadoor/gateway/lease_runner.hpp"

#include <algorithm>
#include <functional>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "zinniadoor/base/codec.hpp"
#include "zinniadoor/base/events.hpp"

namespace zinniadoor::gateway {

namespace {

using base::EventId;
using base::logEvent;

/// Interval between checks for due actions.
constexpr absl::Duration Tick = absl::Milliseconds(100);

/// Fractions of the lease duration: between renewals, and between reads by the watchers, which are
/// the first-ranked instances and the only ones that may claim. The others need not read: an
/// instance that cannot reach any watcher ranks first itself.
constexpr double RenewalShare = 1.0 / 3;
constexpr double WatchShare = 1.0 / 2;
constexpr std::size_t Watchers = 2;

/// Interval between reads of the log by the holder until it has seen the store's present era.
constexpr absl::Duration EraReadInterval = absl::Milliseconds(300);

/// Maximum wait after start for the first read of the journal; until then an instance cannot
/// determine its rank.
constexpr absl::Duration JournalTimeout = absl::Milliseconds(1500);

/// Claims are delayed by up to this fraction of the lease duration, differently on each instance,
/// to avoid conflicts.
constexpr double ClaimSpread = 0.15;

/// A permit under one fencing number. It becomes invalid when the lease expires, another process
/// gets the lease or this one shuts down.
class LeasePermit : public DutyPermit
{
public:
    LeasePermit(std::shared_ptr<const DutyLease> lease, const base::Clock &clock)
        : lease_(std::move(lease))
        , clock_(clock)
        , fencingNumber_(lease_->fencingNumber())
    { }
    std::uint64_t fencingNumber() const override { return fencingNumber_; }
    bool isValid() const override
    {
        return lease_->mayAct(clock_.now()) && lease_->fencingNumber() == fencingNumber_;
    }
    absl::Duration timeLeft() const override
    {
        return std::max(absl::ZeroDuration(), lease_->mayActUntil() - clock_.now());
    }

private:
    std::shared_ptr<const DutyLease> lease_;
    const base::Clock &clock_;
    std::uint64_t fencingNumber_;
};

class LogLeaseRunner : public LeaseRunner, public std::enable_shared_from_this<LogLeaseRunner>
{
public:
    LogLeaseRunner(boost::asio::io_context &context, LogStore &store, const base::Clock &clock,
                   const ProcessName &self, const LeaseOptions &options, const PeerTable &peers)
        : timer_(context)
        , store_(store)
        , clock_(clock)
        , self_(self)
        , options_(options)
        , peers_(peers)
        , lease_(std::make_shared<DutyLease>(self, options))
    {
        constexpr std::size_t Steps = 1000;
        const std::size_t step = std::hash<std::string> {}(self.instance) % Steps;
        claimDelay_ = options.lease * ClaimSpread * (static_cast<double>(step) / Steps);
    }

    void start() override
    {
        journalDeadline_ = clock_.now() + JournalTimeout;
        lease_->noteStart(clock_.now());
        tick();
    }
    const DutyLease &lease() const override { return *lease_; }
    DutyPermitPtr permit() override
    {
        if (!lease_->mayAct(clock_.now()))
            return nullptr;
        removeEndedPermits();
        auto permit = std::make_shared<LeasePermit>(lease_, clock_);
        permits_.push_back(permit);
        return permit;
    }
    void noteSuperseded() override
    {
        lease_->noteSuperseded();
        noteChange();
    }
    void discardFiguresBefore(WindowNumber window) override
    {
        lease_->discardFiguresBefore(window);
    }
    void noteReportedBefore(WindowNumber window) override { reportedBefore_ = window; }

    void commitFigures(WindowNumber window, const UsageCounts &counts,
                       std::function<void(bool)> done) override
    {
        if (busy_ || !lease_->isHolder() || !lease_->mayAct(clock_.now())) {
            done(false);
            return;
        }
        LeaseRecord record = newRecord(LeaseRecordKind::UsageFigures);
        record.window = window;
        record.counts = counts;
        append(record, done);
    }

    void stop() override
    {
        stopped_ = true;
        lease_->noteStopping();
        releaseOnceIdle();
    }

    void close()
    {
        closed_ = true;
        timer_.cancel();
    }

private:
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

    void removeEndedPermits()
    {
        permits_.erase(std::remove_if(permits_.begin(), permits_.end(),
                                      [](const auto &permit) { return permit.expired(); }),
                       permits_.end());
    }

    /// The next holder may act as soon as it reads the release, so all calls must have ended
    /// before.
    void releaseOnceIdle()
    {
        removeEndedPermits();
        if (!busy_ && !released_ && permits_.empty() && clock_.now() < lease_->mayActUntil()) {
            released_ = true;
            append(newRecord(LeaseRecordKind::Release), [](bool) {});
        }
    }

    void step()
    {
        noteChange();
        if (stopped_) {
            releaseOnceIdle();
            return;
        }
        if (busy_ || (clock_.now() < journalDeadline_ && !peers_.hasReadJournal()))
            return;
        const absl::Time now = clock_.now();
        const bool isHolder = lease_->isHolder() && !lease_->mayClaim(now);
        if (isHolder && store_.era() != lease_->end().era) {
            if (now - lastRead_ >= EraReadInterval)
                read();
        } else if (isHolder && now - lastAppend_ >= options_.lease * RenewalShare) {
            append(newRecord(LeaseRecordKind::Renewal), [](bool) {});
        } else if (!isHolder && !lease_->isToClaimAgain() && peers_.ownRank(now) >= Watchers) {
            mayClaimSince_ = absl::InfiniteFuture();
        } else if (!isHolder && now - lastRead_ >= options_.lease * WatchShare) {
            read();
        } else if (!isHolder && lease_->mayClaim(now)) {
            mayClaimSince_ = std::min(mayClaimSince_, now);
            // Claims based on an old read would probably fail.
            const bool fresh = now - lastRead_ < options_.lease * WatchShare;
            if (fresh && now - mayClaimSince_ >= claimDelay_)
                append(newRecord(LeaseRecordKind::Claim), [](bool) {});
        } else if (!isHolder) {
            mayClaimSince_ = absl::InfiniteFuture();
        }
    }

    LeaseRecord newRecord(LeaseRecordKind kind)
    {
        LeaseRecord record;
        record.kind = kind;
        record.holder = self_;
        record.fencingNumber = lease_->fencingNumber();
        record.nonce = ++nonce_;
        if (kind == LeaseRecordKind::Renewal)
            record.window = std::max(reportedBefore_, lease_->reportedBefore());
        if (kind == LeaseRecordKind::Claim) {
            // Only now the estimate of cluster time includes those of the peers.
            lease_->noteUncommitted(firstUncommitted(restorationNoticedAt_));
            record.fencingNumber = fencingNumberAt(lease_->end());
            record.window = lease_->uncertainBefore();
        }
        return record;
    }

    void append(const LeaseRecord &record, const std::function<void(bool)> &done)
    {
        auto self = shared_from_this();
        const absl::Time now = clock_.now();
        busy_ = true;
        lastAppend_ = now;
        mayClaimSince_ = absl::InfiniteFuture();
        lease_->noteSent(record.nonce, now);
        store_.append(LogName::Lease, { base::encode(record) }, lease_->end(),
                      [self, record, done](const base::Outcome<AppendResult> &result) {
                          self->busy_ = false;
                          if (self->closed_)
                              return;
                          const bool appended = result && result->appended;
                          if (appended)
                              self->lease_->apply(record, result->first, self->clock_.now());
                          done(appended);
                          self->noteChange();
                          // On a conflict or an unknown outcome, read the log to find out.
                          if (!appended && !self->busy_)
                              self->read();
                      });
    }

    void read()
    {
        auto self = shared_from_this();
        busy_ = true;
        lastRead_ = clock_.now();
        store_.read(LogName::Lease, lease_->end(), absl::ZeroDuration(),
                    [self](const base::Outcome<LogRecords> &read) {
                        self->busy_ = false;
                        if (self->closed_ || !read)
                            return;
                        self->applyRecords(*read);
                        self->noteChange();
                    });
    }

    void applyRecords(const LogRecords &read)
    {
        const absl::Time now = clock_.now();
        if (read.end.era < lease_->end().era)
            return; // A late response of the store.
        if (read.end.era > lease_->end().era) {
            restorationNoticedAt_ = now;
            lease_->noteRestored(read.end.era, firstUncommitted(now), now);
            lastRead_ = absl::InfinitePast();
            return;
        }
        if (read.trimmed) {
            lease_->noteTrimmed(read.first);
            lastRead_ = absl::InfinitePast();
            return;
        }
        LogPosition position = read.first;
        for (const std::string &bytes : read.records) {
            const auto record = base::decode<LeaseRecord>(bytes);
            if (record)
                lease_->apply(*record, position, now);
            position = position + 1;
        }
        if (position >= read.end)
            lease_->noteRead(position, now);
        else
            lastRead_ = absl::InfinitePast();
    }

    WindowNumber firstUncommitted(absl::Time at) const
    {
        return options_.firstUncommitted ? options_.firstUncommitted(at) : 0;
    }

    void noteChange()
    {
        const bool acts = lease_->mayAct(clock_.now());
        if (acts == mayActLogged_)
            return;
        mayActLogged_ = acts;
        const auto &holder = lease_->holder();
        logEvent(acts ? EventId::DutyLeaseGained : EventId::DutyLeaseLost,
                 { { "fencing_number", std::to_string(lease_->fencingNumber()) },
                   { "holder", holder ? holder->instance : "" } });
    }

    boost::asio::steady_timer timer_;
    LogStore &store_;
    const base::Clock &clock_;
    ProcessName self_;
    LeaseOptions options_;
    const PeerTable &peers_;
    std::shared_ptr<DutyLease> lease_;
    std::vector<std::weak_ptr<const DutyPermit>> permits_; ///< Of calls in progress.
    absl::Duration claimDelay_;
    absl::Time journalDeadline_;
    absl::Time lastAppend_ = absl::InfinitePast();
    absl::Time lastRead_ = absl::InfinitePast();
    absl::Time mayClaimSince_ = absl::InfiniteFuture();
    absl::Time restorationNoticedAt_; ///< Of the present era.
    std::uint64_t nonce_ = 0;
    WindowNumber reportedBefore_ = 0;
    bool busy_ = false;
    bool stopped_ = false;
    bool released_ = false;
    bool closed_ = false;
    bool mayActLogged_ = false;
};

class OwnedLeaseRunner : public LeaseRunner
{
public:
    explicit OwnedLeaseRunner(std::shared_ptr<LogLeaseRunner> runner)
        : runner_(std::move(runner))
    { }
    ~OwnedLeaseRunner() override { runner_->close(); }
    void start() override { runner_->start(); }
    const DutyLease &lease() const override { return runner_->lease(); }
    DutyPermitPtr permit() override { return runner_->permit(); }
    void commitFigures(WindowNumber window, const UsageCounts &counts,
                       std::function<void(bool)> done) override
    {
        runner_->commitFigures(window, counts, std::move(done));
    }
    void noteSuperseded() override { runner_->noteSuperseded(); }
    void discardFiguresBefore(WindowNumber window) override
    {
        runner_->discardFiguresBefore(window);
    }
    void noteReportedBefore(WindowNumber window) override { runner_->noteReportedBefore(window); }
    void stop() override { runner_->stop(); }

private:
    std::shared_ptr<LogLeaseRunner> runner_;
};

} // namespace

std::unique_ptr<LeaseRunner> makeLeaseRunner(boost::asio::io_context &context, LogStore &store,
                                             const base::Clock &clock, const ProcessName &self,
                                             const LeaseOptions &options, const PeerTable &peers)
{
    return std::make_unique<OwnedLeaseRunner>(
        std::make_shared<LogLeaseRunner>(context, store, clock, self, options, peers));
}

} // namespace zinniadoor::gateway
