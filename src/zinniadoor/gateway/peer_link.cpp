#include "zinniadoor/gateway/peer_link.hpp"

#include <algorithm>
#include <deque>
#include <limits>

#include <boost/asio/steady_timer.hpp>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"

#include "zinniadoor/base/codec.hpp"
#include "zinniadoor/base/events.hpp"
#include "zinniadoor/gateway/peer_group.hpp"
#include "zinniadoor/gateway/taken_sums.hpp"
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

/// Beginnings of fewer tokens are read anew sooner than they are told of.
constexpr std::uint64_t MinTokensTold = 1024;
constexpr std::size_t MaxPromptsPerSums = 24;
constexpr std::size_t MaxCrashesPerMessage = 8;

/// News of prompts that waits for more than so many messages is out of date.
constexpr std::size_t MaxPromptsWaiting = 4 * MaxPromptsPerSums;

/// Longest time without work that a peer's message may bring about.
constexpr absl::Duration LongestRest = absl::Seconds(10);

/// Between messages that also tell the counts of usage and quotas, which are cumulative: a small
/// part of a window, and not each time where the budget is short.
constexpr absl::Duration MinCountsPause = absl::Milliseconds(250);
constexpr int MessagesPerCounts = 3;

/// Where news takes two hops: longest pauses between messages to a leader, and between those of a
/// leader; some of these also tell loads, which are longer.
constexpr absl::Duration ReportPause = absl::Milliseconds(250);
constexpr absl::Duration LeaderPause = absl::Milliseconds(250);
constexpr absl::Duration LoadsPause = absl::Milliseconds(480);

/// Shortest pause of a leader, and bytes a second that it sends to all and gets from its members:
/// pauses are as short as these allow, since choices by old loads crowd the same engines.
constexpr absl::Duration MinLeaderPause = absl::Milliseconds(80);
constexpr double LeaderBytesPerSecond = 256 * 1024;
constexpr double MembersBytesPerSecond = 128 * 1024;

/// Between messages that tell all counts, in case that one that told a change was lost.
constexpr absl::Duration AllCountsPause = absl::Seconds(1);

/// Who has not been told sums for longer is told all counts: it cannot tell which ones it missed.
constexpr absl::Duration ToldLately = absl::Milliseconds(900);

/// Parts of logs go to many instances at once; they leave at a pace that sockets and slow links
/// bear: so many bytes a step.
constexpr absl::Duration PaceStep = absl::Milliseconds(10);
constexpr std::size_t BytesPerStep = std::size_t { 4 } * 1024;

/// Without the journal an instance goes by the peers that it hears from this time on.
constexpr absl::Duration BlindStart = absl::Seconds(3);

/// Sums of a leader that has not been heard for this time are dropped.
constexpr absl::Duration LeaderSilence = absl::Milliseconds(1500);

/// Sources of sums are kept apart from instances of the same name.
constexpr char LeaderPrefix[] = "leader/";

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
        , leaderTimer_(context)
        , paceTimer_(context)
        , self_(self)
        , group_(self.instance, serving.dataCentre, PeerGroupOptions {})
        , sums_({ self.incarnation, serving.clock.now() })
        , otherSums_({ self.incarnation, serving.clock.now() })
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
        startedAt_ = now();
        peers_.onWritten([this](const UsageWritten &written) { tellWritten(written); });
        tick();
        tickTaken();
        tickLeader();
    }

    void noteStopping() override
    {
        stopping_ = true;
        group_.noteStopping();
    }

    void announceParts(const base::EndpointId &engine,
                       const std::vector<serving::KeyedSegment> &parts, bool held) override
    {
        if (held && group_.hasLeaders())
            return; // Too many to be told each time.

        PromptNews news;
        news.endpoint = digestOf(engine);
        // The last part is the request's own; nobody else will ask for it.
        for (std::size_t i = 0; i + 1 < parts.size(); ++i)
            news.parts.emplace_back(parts[i].key, parts[i].tokens);
        std::uint64_t tokens = 0;
        for (const auto &[key, length] : news.parts)
            tokens += length;
        if (tokens >= MinTokensTold)
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
        if (!group_.hasLeaders()) {
            sendPaced(peers_.addresses(), bytes);
            return;
        }
        if (!leader_) // First: they pass it on.
            sendPaced(group_.leaderAddresses(now()), bytes);
        sendPaced(peers_.addressesIn(serving_.dataCentre), bytes);
    }

private:
    void sendPaced(const std::vector<std::string> &addresses, const std::string &bytes)
    {
        const auto shared = std::make_shared<const std::string>(bytes);
        for (const std::string &address : addresses)
            paced_.emplace_back(address, shared);
        if (!pacing_)
            sendStep();
    }

    void sendStep()
    {
        std::size_t sent = 0;
        while (!paced_.empty() && sent < BytesPerStep) {
            socket_->send(paced_.front().first, *paced_.front().second);
            sent += paced_.front().second->size();
            paced_.pop_front();
        }
        pacing_ = sent > 0;
        if (!pacing_)
            return;
        paceTimer_.expires_after(absl::ToChronoMilliseconds(PaceStep));
        paceTimer_.async_wait([this](boost::system::error_code error) {
            if (!error)
                sendStep();
        });
    }

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

    void tickLeader()
    {
        leaderTimer_.expires_after(absl::ToChronoMilliseconds(leaderPause_));
        leaderTimer_.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            // A leader that stops tells its members where to go.
            const bool leads = !leader_ || stopping_;
            if (group_.hasLeaders() && leads)
                lead();
            tickLeader();
        });
    }

    void sendTaken()
    {
        if (group_.hasLeaders() && !leader_)
            return; // Told with the sums.
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
        const std::size_t sent = sendToHearers(base::encode(message));
        takenPause_ = std::clamp(absl::Seconds(static_cast<double>(sent) / TakenBytesPerSecond),
                                 leader_ ? ReportPause / 2 : MinTakenPause, MaxTakenPause);
    }

    void send()
    {
        pause_ = ReportPause;
        if (group_.hasLeaders() && !leader_)
            return; // The sums tell what this instance has, too.
        const std::size_t sent = sendToHearers(base::encode(nextMessage()));
        if (leader_) {
            const std::size_t members = peers_.addressesIn(serving_.dataCentre).size();
            pause_ = std::clamp(
                absl::Seconds(static_cast<double>(sent * members) / MembersBytesPerSecond),
                MinPause, ReportPause);
        } else {
            pause_ = std::clamp(absl::Seconds(static_cast<double>(sent) / BytesPerSecond), MinPause,
                                MaxPause);
        }
    }

    /// Those that hear this instance directly: its leader, or all. Returns the bytes sent.
    std::size_t sendToHearers(const std::string &bytes)
    {
        const std::vector<std::string> addresses
            = leader_ ? std::vector<std::string> { leader_->address } : peers_.addresses();
        for (const std::string &address : addresses)
            socket_->send(address, bytes);
        return bytes.size() * addresses.size();
    }

    void tellWritten(const UsageWritten &written)
    {
        const std::string bytes = base::encode(written);
        for (const auto &[instance, address] : peers_.heardIn(serving_.dataCentre, now()))
            socket_->send(address, bytes);
        if (group_.hasLeaders())
            return;
        for (const std::string &address : peers_.addresses())
            socket_->send(address, bytes);
    }

    absl::Time now() const { return serving_.clock.now(); }

    // Sums of the members go to the other leaders; sums of all but itself go to each member.
    void lead()
    {
        const absl::Time time = now();
        sums_.note(self_, serving_.quota.ownTaken(), CountsTold::All, time);
        LeaderMessage message;
        message.sender = self_;
        message.dataCentre = serving_.dataCentre.str();
        message.estimateMs = absl::ToUnixMillis(serving_.trueTime.at(time));
        message.leader = leader_ ? leader_->instance : self_.instance;
        message.known = peers_.directMembership(time).known;
        message.hasLoads = time - loadsToldAt_ >= loadsPause_;
        if (message.hasLoads)
            loadsToldAt_ = time;
        message.hasAllCounts = time - allToldAt_ >= AllCountsPause;
        if (message.hasAllCounts)
            allToldAt_ = time;
        takeFirst(prompts_, MaxPromptsPerSums, message.prompts);
        takeFirst(crashes_, MaxCrashesPerMessage, message.crashes);
        message.paused = pausedNow(time);
        const std::vector<base::EndpointId> engines = loadedEngines(time);
        leaderBytes_ = 0;
        tellLeaders(message, engines, time);
        tellMembers(message, engines, time);
        const absl::Duration pace
            = absl::Seconds(static_cast<double>(leaderBytes_) / LeaderBytesPerSecond);
        leaderPause_ = std::clamp(pace, MinLeaderPause, LeaderPause);
        if (message.hasLoads)
            loadsPause_ = std::clamp(pace, MinLeaderPause, LoadsPause);
        for (const auto &[organisation, sum] : sums_.total())
            toldSums_[organisation] = sum;
        for (const auto &[organisation, sum] : otherSums_.total())
            toldOtherSums_[organisation] = sum;
    }

    std::vector<base::EndpointId> loadedEngines(absl::Time time) const
    {
        std::vector<base::EndpointId> loaded;
        for (const EndpointRecord *endpoint : serving_.directory.all()) {
            if (serving_.load.load(endpoint->id, time).requests > 0)
                loaded.push_back(endpoint->id);
        }
        return loaded;
    }

    void tellLeaders(LeaderMessage message, const std::vector<base::EndpointId> &engines,
                     absl::Time time)
    {
        message.sequence = ++sequence_;
        message.heard = 1;
        for (const auto &[instance, address] : peers_.heardIn(serving_.dataCentre, time))
            message.heard += otherLeaders_.count(instance) > 0 ? 0 : 1;
        for (const base::EndpointId &engine : engines) {
            serving::EngineLoad load = serving_.load.load(engine, time);
            for (const auto &[instance, leader] : otherLeaders_)
                load = load - serving_.load.peerLoad(sourceOf(instance), engine, time);
            if (message.hasLoads && load.requests > 0)
                message.loads.push_back(PackedLoad::of(digestOf(engine), load));
        }
        LeaderMessage whole = message;
        whole.hasAllCounts = true;
        for (const auto &[organisation, sum] : sums_.total()) {
            whole.taken.emplace_back(shortDigestOf(organisation), sum);
            if (toldSums_[organisation] != sum)
                message.taken.emplace_back(whole.taken.back());
        }
        const std::string wholeBytes = base::encode(whole);
        const std::string bytes = message.hasAllCounts ? wholeBytes : base::encode(message);
        for (const std::string &address : group_.leaderAddresses(time))
            tellSums(address, noteTold(address, time) ? bytes : wholeBytes);
    }

    /// Returns whether sums were told there lately.
    bool noteTold(const std::string &address, absl::Time time)
    {
        const auto [it, isFirst] = toldAt_.try_emplace(address, absl::InfinitePast());
        const bool lately = !isFirst && time - it->second < ToldLately;
        it->second = time;
        return lately;
    }

    void tellMembers(LeaderMessage message, const std::vector<base::EndpointId> &engines,
                     absl::Time time)
    {
        message.toMember = true;
        message.heard = heardByLeaders(time);
        const auto pausedElsewhere = pausedOthers(time);
        message.paused.insert(pausedElsewhere.begin(), pausedElsewhere.end());
        message.crashes.insert(message.crashes.end(), otherCrashes_.begin(), otherCrashes_.end());
        otherCrashes_.clear();
        std::vector<PromptNews> others;
        takeFirst(otherPrompts_, MaxPromptsPerSums, others);
        message.prompts.insert(message.prompts.end(), others.begin(), others.end());
        struct Sum
        {
            std::string organisation;
            double taken = 0;
            bool changed = false;
        };
        std::vector<Sum> sums;
        for (const auto &[organisation, sum] : allSums()) {
            const bool changed = toldSums_[organisation] != sumOf(sums_, organisation)
                || toldOtherSums_[organisation] != sumOf(otherSums_, organisation);
            sums.push_back({ organisation, sum, changed });
        }
        const bool allForAll = message.hasAllCounts;
        std::vector<std::pair<base::EndpointId, serving::EngineLoad>> loads;
        if (message.hasLoads) {
            for (const base::EndpointId &engine : engines)
                loads.emplace_back(engine, serving_.load.load(engine, time));
        }
        for (const auto &[instance, address] : peers_.heardIn(serving_.dataCentre, time)) {
            if (otherLeaders_.count(instance) > 0)
                continue;
            message.sequence = ++sequence_;
            message.loads.clear();
            message.taken.clear();
            const base::InstanceId member(instance);
            for (const auto &[engine, all] : loads) {
                const serving::EngineLoad load = all - serving_.load.peerLoad(member, engine, time);
                if (load.requests > 0)
                    message.loads.push_back(PackedLoad::of(digestOf(engine), load));
            }
            const bool lately = noteTold(address, time);
            message.hasAllCounts = allForAll || !lately;
            for (const Sum &sum : sums) {
                if (!message.hasAllCounts && !sum.changed)
                    continue;
                message.taken.emplace_back(shortDigestOf(sum.organisation),
                                           sum.taken
                                               - sums_.contribution(instance, sum.organisation));
            }
            tellSums(address, base::encode(message));
        }
    }

    void tellSums(const std::string &address, const std::string &bytes)
    {
        socket_->send(address, bytes);
        leaderBytes_ += bytes.size();
    }

    static double sumOf(const TakenSums &sums, const std::string &organisation)
    {
        const auto found = sums.total().find(organisation);
        return found == sums.total().end() ? 0 : found->second;
    }

    TakenCounts allSums() const
    {
        TakenCounts all = sums_.total();
        for (const auto &[organisation, sum] : otherSums_.total())
            all[organisation] += sum;
        return all;
    }

    static std::uint32_t shortDigestOf(const std::string &organisation)
    {
        return static_cast<std::uint32_t>(serving::stableDigest(organisation));
    }

    static base::InstanceId sourceOf(const std::string &leader)
    {
        return base::InstanceId(absl::StrCat(LeaderPrefix, leader));
    }

    std::uint32_t heardByLeaders(absl::Time time) const
    {
        std::uint32_t heard = 1;
        for (const auto &[instance, address] : peers_.heardIn(serving_.dataCentre, time))
            heard += otherLeaders_.count(instance) > 0 ? 0 : 1;
        for (const auto &[instance, leader] : otherLeaders_)
            heard += leader.stands;
        return heard;
    }

    std::map<std::string, std::int64_t> pausedOthers(absl::Time time)
    {
        return leftOf(otherPaused_, time);
    }

    std::map<std::string, std::int64_t> pausedNow(absl::Time time) { return leftOf(paused_, time); }

    /// Milliseconds that are left; forgets what is over.
    static std::map<std::string, std::int64_t> leftOf(std::map<std::string, absl::Time> &until,
                                                      absl::Time time)
    {
        std::map<std::string, std::int64_t> left;
        for (auto it = until.begin(); it != until.end();) {
            const auto current = it++;
            if (current->second > time)
                left[current->first] = absl::ToInt64Milliseconds(current->second - time);
            else
                until.erase(current);
        }
        return left;
    }

    PeerMessage nextMessage()
    {
        const absl::Time now = serving_.clock.now();
        PeerMessage message;
        message.sender = self_;
        message.dataCentre = serving_.dataCentre.str();
        message.sequence = ++sequence_;
        message.stopping = stopping_;
        message.estimateMs = absl::ToUnixMillis(serving_.trueTime.ownEstimate(now));
        for (const EndpointRecord *endpoint : serving_.directory.all()) {
            const serving::EngineLoad load = serving_.load.ownLoad(endpoint->id);
            if (load.requests > 0)
                message.loads.push_back({ digestOf(endpoint->id), load });
        }
        takeFirst(prompts_, MaxPromptsPerMessage, message.prompts);
        takeFirst(crashes_, MaxCrashesPerMessage, message.crashes);
        message.paused = pausedNow(now);
        if (now - countsToldAt_ >= std::max(MinCountsPause, MessagesPerCounts * pause_)) {
            countsToldAt_ = now;
            addCounts(message, now);
        }
        return message;
    }

    void addCounts(PeerMessage &message, absl::Time now) const
    {
        message.hasCounts = true;
        message.taken = serving_.quota.ownTaken();
        message.usageFinalBefore = serving_.usage.completeBefore(serving_.trueTime.at(now));
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
        else if (formatOf(bytes) == LeaderMessage::CurrentFormat)
            receiveSums(bytes, from);
        else if (formatOf(bytes) == UsageWritten::CurrentFormat)
            receiveWritten(bytes, from);
        else
            receiveNews(bytes, from);
    }

    void receivePart(const std::string &bytes, const std::string &from)
    {
        const auto part = base::decode<LogPart>(bytes);
        if (!part) {
            logRejected(from, part.lastReason().text);
            return;
        }
        if (part->sender == self_)
            return;
        const bool fromElsewhere
            = peers_.dataCentreOf(part->sender.instance) != serving_.dataCentre;
        if (group_.hasLeaders() && !leader_ && fromElsewhere)
            sendPaced(peers_.addressesIn(serving_.dataCentre), bytes);
        onPart_(*part);
    }

    void receiveTaken(const std::string &bytes, const std::string &from)
    {
        const auto message = base::decode<TakenMessage>(bytes);
        if (!message) {
            logRejected(from, message.lastReason().text);
            return;
        }
        const absl::Time now = serving_.clock.now();
        if (!peers_.noteSign(message->sender, message->sequence, now))
            return;
        serving_.quota.notePeer(message->sender, message->taken, now, CountsTold::Changed);
        sums_.note(message->sender, message->taken, CountsTold::Changed, now);
    }

    /// Answers an instance that takes this one for its leader.
    void redirect(const std::string &address)
    {
        LeaderMessage message;
        message.sender = self_;
        message.dataCentre = serving_.dataCentre.str();
        message.sequence = ++sequence_;
        message.toMember = true;
        message.leader = leader_->instance;
        socket_->send(address, base::encode(message));
    }

    void receiveWritten(const std::string &bytes, const std::string &from)
    {
        const auto written = base::decode<UsageWritten>(bytes);
        if (written)
            peers_.noteWritten(*written);
        else
            logRejected(from, written.lastReason().text);
    }

    void receiveSums(const std::string &bytes, const std::string &from)
    {
        const auto message = base::decode<LeaderMessage>(bytes);
        if (!message) {
            logRejected(from, message.lastReason().text);
            return;
        }
        const absl::Time time = now();
        const ProcessName &sender = message->sender;
        if (sender.instance == self_.instance)
            return;
        peers_.noteStarted(sender, from, message->dataCentre);
        if (!peers_.noteSign(sender, message->sequence, time))
            return;
        if (message->toMember) {
            group_.noteAnswer(sender.instance, message->leader, time);
            if (!leader_ || leader_->instance != sender.instance
                || message->leader != sender.instance)
                return;
            const absl::Duration ahead
                = absl::FromUnixMillis(message->estimateMs) - serving_.trueTime.ownEstimate(time);
            leaderOffset_ = ahead;
            leaderHeardAt_ = time;
            standing_.membership = { message->known, message->heard };
        } else {
            group_.noteLeading(sender.instance, message->leader,
                               base::DataCentreId(message->dataCentre), from, time);
            if (leader_)
                return;
            otherLeaders_[sender.instance] = { time, message->heard };
        }
        takeSums(*message, time);
    }

    void takeSums(const LeaderMessage &message, absl::Time time)
    {
        const base::InstanceId source = sourceOf(message.sender.instance);
        if (message.hasLoads)
            serving_.load.setPeerLoad(source, unpacked(message.loads), time);
        const TakenCounts taken = namedCounts(message.taken);
        const ProcessName name { source.str(), message.sender.incarnation };
        const CountsTold told = message.hasAllCounts ? CountsTold::All : CountsTold::Changed;
        serving_.quota.notePeer(name, taken, time, told);
        if (!message.toMember)
            otherSums_.note(name, taken, told, time);
        for (const auto &[endpoint, milliseconds] : message.paused) {
            const absl::Time until = time + std::min(absl::Milliseconds(milliseconds), LongestRest);
            serving_.directory.pause(base::EndpointId(endpoint), until);
            if (!message.toMember)
                otherPaused_[endpoint] = until;
        }
        for (const PromptNews &news : message.prompts) {
            if (notePrompt(news) && !message.toMember)
                addWaiting(otherPrompts_, news);
        }
        serving_.crashes.merge(message.crashes, time);
        if (!message.toMember)
            otherCrashes_.insert(otherCrashes_.end(), message.crashes.begin(),
                                 message.crashes.end());
    }

    absl::flat_hash_map<base::EndpointId, serving::EngineLoad>
    unpacked(const std::vector<PackedLoad> &loads) const
    {
        absl::flat_hash_map<std::uint32_t, const EndpointRecord *> byDigest;
        for (const EndpointRecord *endpoint : serving_.directory.all())
            byDigest[static_cast<std::uint32_t>(digestOf(endpoint->id))] = endpoint;
        absl::flat_hash_map<base::EndpointId, serving::EngineLoad> result;
        for (const PackedLoad &load : loads) {
            const auto found = byDigest.find(load.endpoint);
            if (found != byDigest.end()) // Else not listed here yet, or not any more.
                result[found->second->id] = load.unpacked();
        }
        return result;
    }

    TakenCounts namedCounts(const std::vector<std::pair<std::uint32_t, double>> &taken) const
    {
        TakenCounts named;
        if (!serving_.configuration)
            return named;
        absl::flat_hash_map<std::uint32_t, double> byDigest(taken.begin(), taken.end());
        for (const Organisation &organisation : serving_.configuration->parts().organisations) {
            const auto found = byDigest.find(shortDigestOf(organisation.id.str()));
            if (found != byDigest.end())
                named[organisation.id.str()] = found->second;
        }
        return named;
    }

    /// Returns whether an engine listed here holds parts that it was not known to hold.
    bool notePrompt(const PromptNews &news)
    {
        const base::EndpointId *id = serving_.directory.findByDigest(news.endpoint);
        if (!id)
            return false; // Not listed here yet, or not any more.
        std::vector<serving::KeyedSegment> parts;
        for (const auto &[key, tokens] : news.parts)
            parts.push_back({ key, tokens });
        const bool isNew = serving_.load.cachedTokens(*id, parts) < tokensOf(parts);
        serving_.load.recordSegments(*id, parts);
        return isNew;
    }

    static std::uint64_t tokensOf(const std::vector<serving::KeyedSegment> &parts)
    {
        std::uint64_t tokens = 0;
        for (const serving::KeyedSegment &part : parts)
            tokens += part.tokens;
        return tokens;
    }

    static void addWaiting(std::vector<PromptNews> &waiting, const PromptNews &news)
    {
        if (waiting.size() >= MaxPromptsWaiting)
            waiting.erase(waiting.begin());
        waiting.push_back(news);
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
        if (leader_ && !stopping_)
            redirect(from);
        const CountsTold told = message->hasCounts ? CountsTold::All : CountsTold::Changed;
        serving_.quota.notePeer(message->sender, message->taken, now, told);
        sums_.note(message->sender, message->taken, told, now);
        absl::flat_hash_map<base::EndpointId, serving::EngineLoad> loads;
        for (const EndpointLoad &load : message->loads) {
            if (const base::EndpointId *id = serving_.directory.findByDigest(load.endpoint))
                loads[*id] = load.load;
        }
        serving_.load.setPeerLoad(base::InstanceId(message->sender.instance), std::move(loads),
                                  now);
        for (const PromptNews &news : message->prompts) {
            if (notePrompt(news) && group_.hasLeaders())
                addWaiting(prompts_, news);
        }
        for (const auto &[endpoint, milliseconds] : message->paused) {
            const absl::Time until = now + std::min(absl::Milliseconds(milliseconds), LongestRest);
            serving_.directory.pause(base::EndpointId(endpoint), until);
            if (group_.hasLeaders())
                paused_[endpoint] = std::max(paused_[endpoint], until);
        }
        serving_.crashes.merge(message->crashes, now);
        if (group_.hasLeaders())
            crashes_.insert(crashes_.end(), message->crashes.begin(), message->crashes.end());
    }

    void update()
    {
        const absl::Time now = serving_.clock.now();
        updateStanding(now);
        const Membership membership = peers_.membership(now);
        if (peers_.knowsInstances() || now - startedAt_ >= BlindStart)
            serving_.quota.setMembership(membership, now);
        serving_.budget.setInstances(membership.known);
        // A leader's estimate is the middle of many.
        serving_.trueTime.setPeerOffsets(
            leader_ ? std::vector<absl::Duration> { leaderOffset_, leaderOffset_ }
                    : peers_.timeOffsets(now));
        for (const PeerTable::Change &change : peers_.takeChanges(now)) {
            logEvent(change.heard ? EventId::PeerFound : EventId::PeerLost,
                     { { "peer", change.instance },
                       { "heard", std::to_string(membership.heard) },
                       { "known", std::to_string(membership.known) } });
        }
    }

    void updateStanding(absl::Time time)
    {
        group_.setOthers(peers_.candidates(time));
        if (!group_.hasLeaders()) {
            leader_.reset();
            peers_.setStanding(std::nullopt);
            return;
        }
        const auto before = leader_;
        leader_ = group_.leader(time);
        if (before && (!leader_ || leader_->instance != before->instance))
            forgetSource(before->instance, time);
        for (auto it = otherLeaders_.begin(); it != otherLeaders_.end();) {
            const auto current = it++;
            if (leader_ || time - current->second.heard >= LeaderSilence) {
                forgetSource(current->first, time);
                otherLeaders_.erase(current);
            }
        }
        standing_.leads = !leader_;
        if (leader_) {
            standing_.rank = std::numeric_limits<std::size_t>::max();
            if (time - leaderHeardAt_ >= LeaderSilence)
                standing_.membership = { peers_.directMembership(time).known, 1 };
        } else {
            leaderHeardAt_ = time;
            standing_.rank = group_.leadersBefore(time);
            standing_.membership = { peers_.directMembership(time).known, heardByLeaders(time) };
        }
        peers_.setStanding(standing_);
        noteRole(before);
    }

    void forgetSource(const std::string &leader, absl::Time time)
    {
        serving_.load.setPeerLoad(sourceOf(leader), {}, time);
        serving_.quota.retirePeer(sourceOf(leader).str(), time);
    }

    void noteRole(const std::optional<GroupCandidate> &before)
    {
        const std::string now = leader_ ? leader_->instance : self_.instance;
        if (now == leaderLogged_)
            return;
        leaderLogged_ = now;
        logEvent(EventId::PeerLeaderChanged,
                 { { "leader", now },
                   { "before", before ? before->instance : "" },
                   { "heard", std::to_string(standing_.membership.heard) },
                   { "known", std::to_string(standing_.membership.known) } });
    }

    /// What another leader's sums stand for.
    struct OtherLeader
    {
        absl::Time heard;
        std::uint32_t stands = 0; ///< Instances.
    };

    boost::asio::steady_timer timer_;
    boost::asio::steady_timer takenTimer_;
    boost::asio::steady_timer leaderTimer_;
    boost::asio::steady_timer paceTimer_;
    bool pacing_ = false;
    bool stopping_ = false;
    std::deque<std::pair<std::string, std::shared_ptr<const std::string>>> paced_; ///< By address.
    ProcessName self_;
    PeerGroup group_;
    std::optional<GroupCandidate> leader_; ///< Nothing: this instance leads, or all tell all.
    std::string leaderLogged_;
    absl::Time startedAt_;
    absl::Duration leaderOffset_;
    absl::Time leaderHeardAt_ = absl::InfinitePast();
    PeerTable::Standing standing_;
    std::map<std::string, OtherLeader> otherLeaders_; ///< By instance.
    TakenSums sums_; ///< Of this instance and those that it hears directly.
    TakenSums otherSums_; ///< Of other leaders.
    TakenCounts toldSums_;
    TakenCounts toldOtherSums_;
    absl::flat_hash_map<std::string, absl::Time> toldAt_; ///< Sums, by address.
    absl::Duration leaderPause_ = LeaderPause;
    absl::Duration loadsPause_ = LoadsPause;
    std::size_t leaderBytes_ = 0; ///< Of the last sums told.
    absl::Time loadsToldAt_ = absl::InfinitePast();
    absl::Time allToldAt_ = absl::InfinitePast();
    std::vector<PromptNews> otherPrompts_; ///< Told by other leaders, for the members.
    std::vector<serving::CrashEntry> otherCrashes_; ///< Told by other leaders, for the members.
    std::map<std::string, absl::Time> otherPaused_; ///< The same of endpoints without work.
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
