#include "zinniadoor/gateway/shared_reads.hpp"

#include <algorithm>

#include <boost/asio/steady_timer.hpp>

#include "absl/strings/str_cat.h"

#include "zinniadoor/base/events.hpp"
#include "zinniadoor/gateway/log_snapshot.hpp"
#include "zinniadoor/gateway/read_turn.hpp"
#include "zinniadoor/gateway/snapshot_service.hpp"
#include "zinniadoor/net/fetch.hpp"
#include "zinniadoor/serving/engine_view.hpp"

namespace zinniadoor::gateway {

namespace {

using base::EventId;
using base::logEvent;

/// Time between questions to other instances; doubles after some of them, up to a limit.
constexpr std::chrono::milliseconds AskInterval(50);
constexpr std::size_t QuestionsPerDoubling = 10;
constexpr std::size_t MaxDoublings = 3;

/// While records arrive, the turn comes later by the first fraction of the notice, up to the second
/// one of it since the wait began.
constexpr double ReceivingShare = 0.25;
constexpr double MaxReceivingShare = 0.9;

/// An instance on a small processor may be busy decoding what it has just received.
constexpr absl::Duration AskTimeout = absl::Milliseconds(400);

/// A slower transfer is given up for another one.
constexpr double MinBytesPerSecond = 32 * 1024;
constexpr std::size_t MaxBytes = std::size_t { 8 } * 1024 * 1024; ///< Compressed.

/// The first instances in the order of turns that are asked, in turn with any others.
constexpr std::size_t FirstReaders = 2;

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusAccepted = 202;

std::string milliseconds(absl::Duration time)
{
    return std::to_string(absl::ToInt64Milliseconds(time));
}

class PeerReads : public SharedReads, public std::enable_shared_from_this<PeerReads>
{
public:
    using Done = std::function<void(const std::optional<NewestRecords> &)>;

    PeerReads(boost::asio::io_context &context, net::HttpClient &client, const base::Clock &clock,
              std::function<KnownPeers()> peers, const SharedReadsOptions &options)
        : context_(context)
        , timer_(context)
        , client_(client)
        , clock_(clock)
        , peers_(std::move(peers))
        , options_(options)
        , turn_({ rankOf(options.instance), options.notice })
    { }

    void await(LogPosition atLeast, Done done) override
    {
        turn_.begin(clock_.now());
        hasTurn_ = true;
        begin(atLeast, std::move(done));
    }

    void ask(LogPosition atLeast, Done done) override
    {
        hasTurn_ = false;
        begin(atLeast, std::move(done));
    }

    void noteFailure() override { turn_.noteFailure(clock_.now()); }
    void noteSuccess() override { turn_.noteSuccess(); }

    void cancel() override
    {
        done_ = nullptr;
        timer_.cancel();
        if (const auto call = std::move(call_))
            call->cancel();
        call_.reset();
    }

private:
    struct Peer
    {
        std::uint64_t rank = 0;
        std::string address;
    };

    /// The order of turns differs by log, so that not the same instances read all of them.
    std::uint64_t rankOf(const std::string &instance) const
    {
        return serving::stableDigest(absl::StrCat(nameOf(options_.log), "/", instance));
    }

    void begin(LogPosition atLeast, Done done)
    {
        cancel();
        atLeast_ = atLeast;
        done_ = std::move(done);
        begunAt_ = clock_.now();
        questions_ = 0;
        step();
    }

    /// Records that are arriving are worth a short wait.
    bool isDue(absl::Time now) const
    {
        const absl::Time due = turn_.due();
        const absl::Time late = std::min(due + options_.notice * ReceivingShare,
                                         begunAt_ + options_.notice * MaxReceivingShare);
        return hasTurn_ && now >= (receiving_ ? std::max(due, late) : due);
    }

    /// Long waits, as while the store is away, must not keep the first readers busy.
    std::chrono::milliseconds askInterval() const
    {
        const std::size_t doublings = std::min(questions_ / QuestionsPerDoubling, MaxDoublings);
        return AskInterval * (1 << doublings);
    }

    void step()
    {
        const absl::Time now = clock_.now();
        notePeers(now);
        if (isDue(now)) {
            logTurn(now);
            finish(std::nullopt);
            return;
        }
        if (!call_ && now >= nextQuestionAt_) {
            askNext();
            nextQuestionAt_ = now + absl::FromChrono(askInterval());
        }
        timer_.expires_after(AskInterval);
        timer_.async_wait([weak = weak_from_this()](boost::system::error_code error) {
            const auto self = weak.lock();
            if (!error && self && self->done_)
                self->step();
        });
    }

    void notePeers(absl::Time now)
    {
        neighbours_.clear();
        others_.clear();
        std::vector<std::uint64_t> ranks;
        const KnownPeers known = peers_();
        for (const GroupCandidate &peer : known.peers) {
            if (peer.address.empty() || peer.instance == options_.instance)
                continue;
            if (peer.dataCentre == options_.dataCentre) {
                neighbours_.push_back({ rankOf(peer.instance), peer.address });
                ranks.push_back(neighbours_.back().rank);
            } else
                others_.push_back({ rankOf(peer.instance), peer.address });
        }
        std::sort(neighbours_.begin(), neighbours_.end(),
                  [](const Peer &a, const Peer &b) { return a.rank < b.rank; });
        // With a part of them, many would take themselves for the first.
        if (known.isComplete)
            turn_.setNeighbours(ranks, now);
    }

    /// The next instance to ask; null if none is known. Those that read first are asked every
    /// second time, the others since they may have been handed the records already.
    const Peer *nextPeer()
    {
        const std::size_t question = questions_++;
        const std::uint64_t random = serving::stableDigest(
            absl::StrCat(options_.instance, absl::ToUnixNanos(begunAt_), "/", question));
        const bool asksFirst = question % 2 == 0;
        if (!neighbours_.empty() && asksFirst) {
            const std::size_t first = question / 2 % std::min(neighbours_.size(), FirstReaders);
            return &neighbours_[first];
        }
        const bool asksOther = neighbours_.empty() || question % 4 == 3;
        const std::vector<Peer> &list = asksOther && !others_.empty() ? others_ : neighbours_;
        return list.empty() ? nullptr : &list[random % list.size()];
    }

    void askNext()
    {
        const Peer *peer = nextPeer();
        if (!peer)
            return;
        net::Request request(net::http::verb::get, snapshotTarget(options_.log, atLeast_), 11);
        request.set(net::http::field::host, peer->address);
        request.keep_alive(false);
        net::FetchOptions fetch;
        fetch.timeout = AskTimeout;
        fetch.pace = net::TransferPace { AskTimeout, MinBytesPerSecond };
        fetch.newConnection = true;
        fetch.maxBodyBytes = MaxBytes;
        fetch.wantsRest = [weak = weak_from_this()](const net::FullResponse &) {
            if (const auto self = weak.lock())
                self->receiving_ = true;
            return true;
        };
        call_ = net::fetch(context_, client_, { peer->address, "snapshots" }, std::move(request),
                           std::move(fetch),
                           [weak = weak_from_this(), address = peer->address](const auto &answer) {
                               if (const auto self = weak.lock())
                                   self->onAnswer(address, answer);
                           });
    }

    void onAnswer(const std::string &address, const base::Outcome<net::FullResponse> &answer)
    {
        call_.reset();
        receiving_ = false;
        if (!done_ || !answer)
            return;
        const absl::Time now = clock_.now();
        const unsigned status = answer->head.result_int();
        if (status == StatusAccepted)
            turn_.noteReading(now);
        if (status != StatusOk)
            return;
        const auto field = answer->head.find(SnapshotPositionField);
        const auto position = field == answer->head.end()
            ? std::nullopt
            : parsePosition({ field->value().data(), field->value().size() });
        auto records = decodeSnapshot(answer->body);
        if (!position || !records || *position < atLeast_) {
            logEvent(EventId::PeerMessageRejected,
                     { { "from", address }, { "reason", "invalid snapshot of a log" } });
            return;
        }
        logEvent(EventId::SnapshotReceived,
                 { { "log", nameOf(options_.log) },
                   { "from", address },
                   { "era", std::to_string(position->era) },
                   { "offset", std::to_string(position->offset) },
                   { "bytes", std::to_string(answer->body.size()) },
                   { "waited_ms", milliseconds(now - begunAt_) } });
        finish(NewestRecords { std::move(*records), *position });
    }

    void logTurn(absl::Time now) const
    {
        const auto position = turn_.position();
        logEvent(EventId::StoreReadTurn,
                 { { "log", nameOf(options_.log) },
                   { "position", position ? std::to_string(*position) : "" },
                   { "neighbours", std::to_string(neighbours_.size()) },
                   { "waited_ms", milliseconds(now - begunAt_) } });
    }

    void finish(const std::optional<NewestRecords> &records)
    {
        const Done done = std::move(done_);
        cancel();
        receiving_ = false;
        done(records);
    }

    boost::asio::io_context &context_;
    boost::asio::steady_timer timer_;
    net::HttpClient &client_;
    const base::Clock &clock_;
    std::function<KnownPeers()> peers_;
    SharedReadsOptions options_;
    ReadTurn turn_;
    LogPosition atLeast_;
    Done done_; ///< While waiting.
    absl::Time begunAt_;
    std::vector<Peer> neighbours_; ///< In the order of their turns.
    std::vector<Peer> others_;
    std::size_t questions_ = 0; ///< Since the wait began.
    absl::Time nextQuestionAt_ = absl::InfinitePast();
    bool hasTurn_ = true; ///< Ends with this instance's turn.
    std::shared_ptr<net::Call> call_;
    bool receiving_ = false; ///< Records are arriving.
};

class OwnedPeerReads : public SharedReads
{
public:
    explicit OwnedPeerReads(std::shared_ptr<PeerReads> reads)
        : reads_(std::move(reads))
    { }
    ~OwnedPeerReads() override { reads_->cancel(); }
    void await(LogPosition atLeast, PeerReads::Done done) override
    {
        reads_->await(atLeast, std::move(done));
    }
    void ask(LogPosition atLeast, PeerReads::Done done) override
    {
        reads_->ask(atLeast, std::move(done));
    }
    void noteFailure() override { reads_->noteFailure(); }
    void noteSuccess() override { reads_->noteSuccess(); }
    void cancel() override { reads_->cancel(); }

private:
    std::shared_ptr<PeerReads> reads_;
};

} // namespace

std::unique_ptr<SharedReads> makeSharedReads(boost::asio::io_context &context,
                                             net::HttpClient &client, const base::Clock &clock,
                                             std::function<KnownPeers()> peers,
                                             const SharedReadsOptions &options)
{
    return std::make_unique<OwnedPeerReads>(
        std::make_shared<PeerReads>(context, client, clock, std::move(peers), options));
}

} // namespace zinniadoor::gateway
