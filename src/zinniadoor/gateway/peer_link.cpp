#include "zinniadoor/gateway/peer_link.hpp"

#include <boost/asio/steady_timer.hpp>

#include "zinniadoor/base/codec.hpp"
#include "zinniadoor/base/events.hpp"
#include "zinniadoor/net/datagram_socket.hpp"

namespace zinniadoor::gateway {

namespace {

using base::EventId;
using base::logEvent;

/// Between messages, as far as the budget allows it. Choosing an engine needs load that is not
/// much older than the time for reading one prompt.
constexpr absl::Duration MinPause = absl::Milliseconds(60);
constexpr absl::Duration MaxPause = absl::Milliseconds(1200);

/// Bytes a second that an instance sends to all peers together: a tenth of the slowest link met.
constexpr double BytesPerSecond = 128 * 1024;

/// Between messages about quotas: at least, so that several takings share one; at most, so that
/// silence is noticed.
constexpr absl::Duration MinTakenPause = absl::Milliseconds(20);
constexpr absl::Duration MaxTakenPause = absl::Milliseconds(250);

/// Bytes a second for them to all peers together.
constexpr double TakenBytesPerSecond = 32 * 1024;

/// A message stays below one packet of an ordinary network.
constexpr std::size_t MaxPromptsPerMessage = 16;
constexpr std::size_t MaxCrashesPerMessage = 8;

/// Longest time without work that a peer's message may bring about.
constexpr absl::Duration LongestRest = absl::Seconds(10);

/// Between messages that also tell the counts of usage and quotas, which are cumulative: a small
/// part of a window, and not each time where the budget is short.
constexpr absl::Duration MinCountsPause = absl::Milliseconds(250);
constexpr int MessagesPerCounts = 3;

/// Windows whose counts are told.
constexpr std::uint64_t UsageWindowsTold = 2;

class DatagramPeerLink : public PeerLink
{
public:
    DatagramPeerLink(boost::asio::io_context &context, const ProcessName &self,
                     ServingContext &serving, PeerTable &peers,
                     std::function<void(const LogPart &)> onPart)
        : timer_(context)
        , takenTimer_(context)
        , self_(self)
        , serving_(serving)
        , peers_(peers)
        , onPart_(std::move(onPart))
    { }

    base::Status open(boost::asio::io_context &context, const std::string &address)
    {
        auto socket = net::openDatagramSocket(
            context, address,
            [this](const std::string &bytes, const std::string &from) { receive(bytes, from); });
        if (!socket)
            return socket.lastReason();
        socket_ = std::move(*socket);
        return base::Done {};
    }

    void start() override
    {
        tick();
        tickTaken();
    }

    void announceParts(const base::EndpointId &engine,
                       const std::vector<serving::KeyedPart> &parts) override
    {
        PromptNews news;
        news.endpoint = digestOf(engine);
        // The last part is the request's own; nobody else will ask for it.
        for (std::size_t i = 0; i + 1 < parts.size(); ++i)
            news.parts.emplace_back(parts[i].key, parts[i].tokens);
        if (!news.parts.empty())
            prompts_.push_back(std::move(news));
    }

    void announceCrashes(const std::vector<serving::CrashEntry> &crashes) override
    {
        crashes_.insert(crashes_.end(), crashes.begin(), crashes.end());
    }

    void announcePause(const base::EndpointId &endpoint, absl::Duration time) override
    {
        const absl::Time until = serving_.clock.now() + time;
        paused_[endpoint.str()] = until;
        serving_.directory.pause(endpoint, until);
    }

    void tell(const LogPart &part) override
    {
        const std::string bytes = base::encode(part);
        for (const std::string &address : peers_.addressesIn(serving_.dataCentre))
            socket_->send(address, bytes);
    }

private:
    void tick()
    {
        timer_.expires_after(absl::ToChronoMilliseconds(pause_));
        timer_.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            send();
            update();
            tick();
        });
    }

    void tickTaken()
    {
        takenTimer_.expires_after(absl::ToChronoMilliseconds(takenPause_));
        takenTimer_.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            sendTaken();
            tickTaken();
        });
    }

    void sendTaken()
    {
        TakenMessage message;
        message.sender = self_;
        message.sequence = sequence_ + 1;
        for (const auto &[organisation, taken] : serving_.quota.ownTaken()) {
            double &told = toldTaken_[organisation];
            if (told != taken)
                message.taken[organisation] = taken;
            told = taken;
        }
        const absl::Time now = serving_.clock.now();
        if (message.taken.empty() && now - takenSentAt_ < MaxTakenPause - MinTakenPause)
            return;
        takenSentAt_ = now;
        ++sequence_;
        const std::string bytes = base::encode(message);
        const std::vector<std::string> addresses = peers_.addresses();
        for (const std::string &address : addresses)
            socket_->send(address, bytes);
        const double sent = static_cast<double>(bytes.size() * addresses.size());
        takenPause_
            = std::clamp(absl::Seconds(sent / TakenBytesPerSecond), MinTakenPause, MaxTakenPause);
    }

    void send()
    {
        const std::vector<std::string> addresses = peers_.addresses();
        const std::string bytes = base::encode(nextMessage());
        for (const std::string &address : addresses)
            socket_->send(address, bytes);
        const double sent = static_cast<double>(bytes.size() * addresses.size());
        pause_ = std::clamp(absl::Seconds(sent / BytesPerSecond), MinPause, MaxPause);
    }

    PeerMessage nextMessage()
    {
        const absl::Time now = serving_.clock.now();
        PeerMessage message;
        message.sender = self_;
        message.dataCentre = serving_.dataCentre.str();
        message.sequence = ++sequence_;
        message.estimateMs = absl::ToUnixMillis(serving_.trueTime.ownEstimate(now));
        for (const EndpointRecord *endpoint : serving_.directory.all()) {
            const serving::EngineLoad load = serving_.load.ownLoad(endpoint->id);
            if (load.requests > 0)
                message.loads.push_back({ digestOf(endpoint->id), load });
        }
        takeFirst(prompts_, MaxPromptsPerMessage, message.prompts);
        takeFirst(crashes_, MaxCrashesPerMessage, message.crashes);
        for (auto it = paused_.begin(); it != paused_.end();) {
            const auto current = it++;
            if (current->second > now)
                message.paused[current->first] = absl::ToInt64Milliseconds(current->second - now);
            else
                paused_.erase(current);
        }
        if (now - countsToldAt_ >= std::max(MinCountsPause, MessagesPerCounts * pause_)) {
            countsToldAt_ = now;
            addCounts(message, now);
        }
        return message;
    }

    void addCounts(PeerMessage &message, absl::Time now) const
    {
        message.taken = serving_.quota.ownTaken();
        const WindowNumber window = serving_.usage.windowAt(serving_.trueTime.at(now));
        for (std::uint64_t back = 0; back < UsageWindowsTold; ++back) {
            const UsageCounts counts = serving_.usage.countsOf(window - back);
            if (!counts.empty())
                message.usage[window - back] = counts;
        }
    }

    template <typename T>
    static void takeFirst(std::vector<T> &from, std::size_t limit, std::vector<T> &to)
    {
        const auto count = static_cast<std::ptrdiff_t>(std::min(from.size(), limit));
        to.assign(from.begin(), from.begin() + count);
        from.erase(from.begin(), from.begin() + count);
    }

    void receive(const std::string &bytes, const std::string &from)
    {
        if (formatOf(bytes) == LogPart::CurrentFormat)
            receivePart(bytes, from);
        else if (formatOf(bytes) == TakenMessage::CurrentFormat)
            receiveTaken(bytes, from);
        else
            receiveNews(bytes, from);
    }

    void receivePart(const std::string &bytes, const std::string &from)
    {
        const auto part = base::decode<LogPart>(bytes);
        if (part && !(part->sender == self_))
            onPart_(*part);
        else if (!part)
            logRejected(from, part.lastReason().text);
    }

    void receiveTaken(const std::string &bytes, const std::string &from)
    {
        const auto message = base::decode<TakenMessage>(bytes);
        if (!message) {
            logRejected(from, message.lastReason().text);
            return;
        }
        const absl::Time now = serving_.clock.now();
        if (peers_.noteSign(message->sender, message->sequence, now))
            serving_.quota.notePeer(message->sender, message->taken, now);
    }

    static void logRejected(const std::string &from, const std::string &reason)
    {
        logEvent(EventId::PeerMessageRejected, { { "from", from }, { "reason", reason } });
    }

    void receiveNews(const std::string &bytes, const std::string &from)
    {
        const auto message = base::decode<PeerMessage>(bytes);
        if (!message || message->format != PeerMessage::CurrentFormat) {
            logRejected(from, message ? "another format" : message.lastReason().text);
            return;
        }
        const absl::Time now = serving_.clock.now();
        peers_.setOwnEstimate(serving_.trueTime.ownEstimate(now));
        if (!peers_.noteMessage(*message, from, now))
            return;
        serving_.quota.notePeer(message->sender, message->taken, now);
        absl::flat_hash_map<base::EndpointId, serving::EngineLoad> loads;
        for (const EndpointLoad &load : message->loads) {
            if (const base::EndpointId *id = serving_.directory.findByDigest(load.endpoint))
                loads[*id] = load.load;
        }
        serving_.load.setPeerLoad(base::InstanceId(message->sender.instance), std::move(loads),
                                  now);
        for (const PromptNews &news : message->prompts) {
            const base::EndpointId *id = serving_.directory.findByDigest(news.endpoint);
            if (!id)
                continue; // Not listed here yet, or not any more.
            std::vector<serving::KeyedPart> parts;
            for (const auto &[key, tokens] : news.parts)
                parts.push_back({ key, tokens });
            serving_.load.noteParts(*id, parts);
        }
        for (const auto &[endpoint, milliseconds] : message->paused)
            serving_.directory.pause(base::EndpointId(endpoint),
                                     now + std::min(absl::Milliseconds(milliseconds), LongestRest));
        serving_.crashes.merge(message->crashes, now);
    }

    void update()
    {
        const absl::Time now = serving_.clock.now();
        const Membership membership = peers_.membership(now);
        serving_.quota.setMembership(membership, now);
        serving_.budget.setInstances(membership.known);
        serving_.trueTime.setPeerOffsets(peers_.timeOffsets(now));
        for (const PeerTable::Change &change : peers_.takeChanges(now)) {
            logEvent(change.heard ? EventId::PeerFound : EventId::PeerLost,
                     { { "peer", change.instance },
                       { "heard", std::to_string(membership.heard) },
                       { "known", std::to_string(membership.known) } });
        }
    }

    boost::asio::steady_timer timer_;
    boost::asio::steady_timer takenTimer_;
    ProcessName self_;
    ServingContext &serving_;
    PeerTable &peers_;
    std::function<void(const LogPart &)> onPart_;
    std::unique_ptr<net::DatagramSocket> socket_;
    std::uint64_t sequence_ = 0;
    absl::Time countsToldAt_ = absl::InfinitePast();
    absl::Duration pause_ = MinPause;
    absl::Duration takenPause_ = MinTakenPause;
    absl::Time takenSentAt_ = absl::InfinitePast();
    TakenCounts toldTaken_;
    std::vector<PromptNews> prompts_;
    std::vector<serving::CrashEntry> crashes_;
    std::map<std::string, absl::Time> paused_;
};

} // namespace

base::Outcome<std::unique_ptr<PeerLink>>
makePeerLink(boost::asio::io_context &context, const std::string &address, const ProcessName &self,
             ServingContext &serving, PeerTable &peers, std::function<void(const LogPart &)> onPart)
{
    auto link
        = std::make_unique<DatagramPeerLink>(context, self, serving, peers, std::move(onPart));
    const base::Status opened = link->open(context, address);
    if (!opened)
        return opened.lastReason();
    return std::unique_ptr<PeerLink>(std::move(link));
}

} // namespace zinniadoor::gateway
