#include "zinniadoor/gateway/peer_link.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include <boost/asio/steady_timer.hpp>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"

#include "zinniadoor/base/codec.hpp"
#include "zinniadoor/base/events.hpp"
#include "zinniadoor/gateway/burst_order.hpp"
#include "zinniadoor/gateway/consumption_totals.hpp"
#include "zinniadoor/gateway/crash_report_link.hpp"
#include "zinniadoor/gateway/crash_report_queue.hpp"
#include "zinniadoor/gateway/failure_link.hpp"
#include "zinniadoor/gateway/paced_queue.hpp"
#include "zinniadoor/gateway/peer_group.hpp"
#include "zinniadoor/gateway/stream_origin_link.hpp"
#include "zinniadoor/net/datagram_socket.hpp"

namespace zinniadoor::gateway {

namespace {

using base::EventId;
using base::logEvent;

/// Time between messages; the byte budget picks a value in this range. Engine selection needs loads
/// that are not much older than the prefill time of one prompt.
constexpr absl::Duration MinInterval = absl::Milliseconds(60);
constexpr absl::Duration MaxInterval = absl::Milliseconds(1200);

/// Send rate to all peers together: a tenth of the slowest link encountered.
constexpr double BytesPerSecond = 128 * 1024;

/// Time between consumption messages. The minimum batches several requests into one message; the
/// maximum makes them heartbeats, so that lost peers are detected.
constexpr absl::Duration MinConsumptionInterval = absl::Milliseconds(20);
constexpr absl::Duration MaxConsumptionInterval = absl::Milliseconds(250);

/// Send rate of consumption messages to all peers together.
constexpr double ConsumptionBytesPerSecond = 32 * 1024;

/// Keeps a message below a usual network MTU.
constexpr std::size_t MaxPrefixesPerMessage = 16;

/// Shorter prefixes are recomputed in less time than it takes to advertise them.
constexpr std::uint64_t MinAdvertisedTokens = 1024;
constexpr std::size_t MaxPrefixesPerSums = 24;

/// Number of crashes of parts that are sent again to a peer that may not know of them, and the time
/// after which they are sent again in any case, for peers that were cut off.
constexpr std::size_t MaxCrashesResent = 16;
constexpr std::size_t MaxCrashesRepeated = 8;
constexpr absl::Duration RepeatInterval = absl::Seconds(2);

/// Older queued updates are dropped: after this many messages they are out of date.
constexpr std::size_t MaxPrefixesQueued = 4 * MaxPrefixesPerSums;

/// Time between messages with limits of endpoints, and their number in one message.
constexpr absl::Duration LimitsInterval = absl::Milliseconds(400);
constexpr std::size_t MaxLimitsPerMessage = 100;

/// Upper limit of an endpoint pause received from a peer.
constexpr absl::Duration MaxPeerPause = absl::Seconds(10);

/// Time between messages that include the usage and quota counts. These are cumulative, so it is
/// enough to send them in a fraction of the messages, several times per usage window.
constexpr absl::Duration MinCountsInterval = absl::Milliseconds(250);
constexpr int MessagesPerCounts = 3;

/// Maximum time between messages when updates go through leaders: from a member to its leader, from
/// a leader, and between the leader messages that include loads, which are longer.
constexpr absl::Duration MaxReportInterval = absl::Milliseconds(250);
constexpr absl::Duration MaxLeaderInterval = absl::Milliseconds(250);
constexpr absl::Duration MaxLoadsInterval = absl::Milliseconds(480);

/// Minimum time between messages of a leader, and its send and receive rates. The intervals are as
/// short as these rates allow, since with stale loads all instances pick the same engines.
constexpr absl::Duration MinLeaderInterval = absl::Milliseconds(80);
constexpr double LeaderBytesPerSecond = 256 * 1024;
constexpr double MembersBytesPerSecond = 128 * 1024;

/// Time between messages with all counts, which make up for lost messages with changed counts.
constexpr absl::Duration FullCountsInterval = absl::Seconds(1);

/// A receiver that has not been sent sums for this time gets all counts: it may have missed
/// changes.
constexpr absl::Duration FullCountsThreshold = absl::Milliseconds(900);

/// Estimate of the number of leaders and candidates that a leader sends to.
constexpr std::size_t MaxLeaderTargets = 16;

/// Parts that wait longer are logged: their receivers act on an old state of the log.
constexpr absl::Duration LongPartWait = absl::Milliseconds(250);

/// If the journal has not been read by this time after start, the membership is taken from received
/// messages alone.
constexpr absl::Duration JournalTimeout = absl::Seconds(3);

/// Sums of a leader are dropped if nothing has been received from it for this time.
constexpr absl::Duration LeaderTimeout = absl::Milliseconds(1500);

/// Prefix of source names, which distinguishes a leader's sums from the instance's own counts.
constexpr char LeaderSourcePrefix[] = "leader/";

/// Number of newest usage windows whose counts are sent.
constexpr std::uint64_t UsageWindowsSent = 2;

class DatagramPeerLink : public PeerLink
{
public:
    DatagramPeerLink(boost::asio::io_context &context, const ProcessName &self,
                     ServingContext &serving, PeerTable &peers,
                     std::function<void(const LogPart &)> onPart)
        : timer_(context)
        , consumptionTimer_(context)
        , leaderTimer_(context)
        , paceTimer_(context)
        , self_(self)
        , group_(self.instance, serving.dataCentre, PeerGroupOptions {})
        , sums_({ self.incarnation, serving.clock.now() })
        , otherSums_({ self.incarnation, serving.clock.now() })
        , serving_(serving)
        , peers_(peers)
        , onPart_(std::move(onPart))
        , failures_(context, self, serving, [this](const auto &bytes) { sendReport(bytes); })
        , bodyReports_(context, self, serving, [this](const auto &bytes) { sendReport(bytes); })
        , origins_(
              context, self, serving, [this] { return peers_.addressesByInstance(); },
              [this](const auto &address, const auto &bytes) { socket_->send(address, bytes); })
    { }

    base::Status open(boost::asio::io_context &context, const std::string &address)
    {
        auto socket
            = net::openDatagramSocket(context, address, serving_.clock,
                                      [this](const net::Datagram &datagram) { receive(datagram); });
        if (!socket)
            return socket.lastReason();
        socket_ = std::move(*socket);
        return base::Done {};
    }

    void start() override
    {
        startedAt_ = now();
        peers_.onUsageWritten(
            [this](const UsageWrittenNotice &notice) { notifyUsageWritten(notice); });
        tick();
        tickConsumption();
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
            return; // Advertising every reuse would take too many messages.

        PrefixUpdate update;
        update.endpoint = digestOf(engine);
        // The last part belongs to this request alone; no other request will share it.
        for (std::size_t i = 0; i + 1 < parts.size(); ++i)
            update.parts.emplace_back(parts[i].key, parts[i].tokens);
        std::uint64_t tokens = 0;
        for (const auto &[key, length] : update.parts)
            tokens += length;
        if (tokens >= MinAdvertisedTokens)
            prefixes_.push_back(std::move(update));
    }

    void announceBodyReports(const serving::CrashReports &reports) override
    {
        bodyReports_.announce(reports);
    }

    void announcePartReports(const serving::CrashReports &reports) override
    {
        partReports_.push(reports, now());
    }

    void announceFailure(const serving::FailureReport &report) override
    {
        failures_.announce(report);
    }

    void announceOrigin(std::uint64_t stream, const std::string &version) override
    {
        origins_.announce(stream, version);
    }

    void askOrigin(std::uint64_t stream, const std::string &service,
                   const OriginCallback &done) override
    {
        origins_.ask(stream, service, done);
    }

    void announcePause(const base::EndpointId &endpoint, absl::Duration time) override
    {
        const absl::Time until = serving_.clock.now() + time;
        paused_[endpoint.str()] = until;
        serving_.directory.pause(endpoint, until);
    }

    void publish(const LogPart &part) override
    {
        if (!group_.hasLeaders()) {
            sendPaced(peers_.addresses(), part);
            return;
        }
        if (!leader_) // Other leaders first, since they forward it.
            sendPaced(group_.leaderAddresses(now()), part);
        sendPaced(peers_.addressesIn(serving_.dataCentre), part);
    }

    std::size_t capacity() const override
    {
        const std::size_t receivers = group_.hasLeaders()
            ? peers_.addressesIn(serving_.dataCentre).size() + (leader_ ? 0 : MaxLeaderTargets)
            : peers_.addresses().size();
        return paced_.capacityFor(receivers);
    }

private:
    void sendPaced(const std::vector<std::string> &addresses, const LogPart &part)
    {
        paced_.push(addresses, part, now());
        if (!pacing_)
            sendStep();
    }

    void sendStep()
    {
        std::size_t sent = 0;
        while (sent < PacedQueue::BytesPerStep) {
            const auto datagram = paced_.pop(now());
            if (!datagram)
                break;
            socket_->send(datagram->address, datagram->bytes);
            sent += datagram->bytes.size();
            serving_.metrics.observeLogPartWait(datagram->waited);
            noteWait(*datagram);
        }
        pacing_ = sent > 0;
        if (!pacing_)
            return;
        paceTimer_.expires_after(absl::ToChronoMilliseconds(PacedQueue::Step));
        paceTimer_.async_wait([this](boost::system::error_code error) {
            if (!error)
                sendStep();
        });
    }

    /// Logs the first datagram of each period in which they wait too long.
    void noteWait(const PacedQueue::Datagram &datagram)
    {
        const bool late = datagram.waited >= LongPartWait;
        if (late && !partsLate_) {
            logEvent(EventId::LogPartsDelayed,
                     { { "log", nameOf(datagram.log) },
                       { "waited_ms", std::to_string(absl::ToInt64Milliseconds(datagram.waited)) },
                       { "queued_bytes", std::to_string(paced_.bytes()) } });
        }
        partsLate_ = late;
    }

    void tick()
    {
        timer_.expires_after(absl::ToChronoMilliseconds(interval_));
        timer_.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            send();
            update();
            tick();
        });
    }

    void tickConsumption()
    {
        consumptionTimer_.expires_after(absl::ToChronoMilliseconds(consumptionInterval_));
        consumptionTimer_.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            sendConsumption();
            tickConsumption();
        });
    }

    void tickLeader()
    {
        leaderTimer_.expires_after(absl::ToChronoMilliseconds(leaderInterval_));
        leaderTimer_.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            // A leader that is shutting down still names its successor to its members.
            const bool leads = !leader_ || stopping_;
            if (group_.hasLeaders() && leads)
                sendLeaderSums();
            tickLeader();
        });
    }

    void sendConsumption()
    {
        if (group_.hasLeaders() && !leader_)
            return; // Included in the sums.
        ConsumptionMessage message;
        message.sender = self_;
        message.sequence = sequence_ + 1;
        for (const auto &[organisation, consumed] : serving_.quota.ownConsumption()) {
            double &sent = sentCounts_[organisation];
            if (sent != consumed)
                message.consumed[organisation] = consumed;
            sent = consumed;
        }
        const absl::Time now = serving_.clock.now();
        if (message.consumed.empty()
            && now - consumptionSentAt_ < MaxConsumptionInterval - MinConsumptionInterval)
            return;
        consumptionSentAt_ = now;
        ++sequence_;
        const std::size_t sent = sendToReceivers(base::encode(message));
        consumptionInterval_ = std::clamp(
            absl::Seconds(static_cast<double>(sent) / ConsumptionBytesPerSecond),
            leader_ ? MaxReportInterval / 2 : MinConsumptionInterval, MaxConsumptionInterval);
    }

    void send()
    {
        interval_ = MaxReportInterval;
        if (group_.hasLeaders() && !leader_)
            return; // The sums include this instance's state.
        const std::size_t sent = sendToReceivers(base::encode(nextMessage()));
        if (leader_) {
            const std::size_t members = peers_.addressesIn(serving_.dataCentre).size();
            interval_ = std::clamp(
                absl::Seconds(static_cast<double>(sent * members) / MembersBytesPerSecond),
                MinInterval, MaxReportInterval);
        } else {
            interval_ = std::clamp(absl::Seconds(static_cast<double>(sent) / BytesPerSecond),
                                   MinInterval, MaxInterval);
        }
    }

    void sendLimits()
    {
        const absl::Time time = now();
        if (time - limitsSentAt_ < LimitsInterval)
            return;
        limitsSentAt_ = time;
        LimitsMessage message;
        message.sender = self_;
        const auto reports = serving_.directory.limits().reports(time);
        for (std::size_t i = 0; i < reports.size(); ++i) {
            PackedLimit limit;
            limit.endpoint = digestOf(reports[i].endpoint);
            if (reports[i].perSecond)
                limit.perSecond = *reports[i].perSecond;
            limit.ageMs = static_cast<std::uint16_t>(absl::ToInt64Milliseconds(reports[i].age));
            message.limits.push_back(limit);
            if (message.limits.size() < MaxLimitsPerMessage && i + 1 < reports.size())
                continue;
            sendReport(base::encode(message));
            message.limits.clear();
        }
    }

    void sendReport(const std::string &bytes)
    {
        if (group_.hasLeaders() && !leader_)
            sendToGroup(bytes, now());
        else
            sendToReceivers(bytes);
    }

    /// Sends to the other leaders and to the members of the own data centre.
    void sendToGroup(const std::string &bytes, absl::Time time)
    {
        for (const std::string &address : group_.leaderAddresses(time))
            socket_->send(address, bytes);
        for (const auto &[instance, address] : peers_.reachableIn(serving_.dataCentre, time))
            socket_->send(address, bytes);
    }

    /// Sends to the leader, or to all peers in a full mesh. Returns the number of bytes sent.
    std::size_t sendToReceivers(const std::string &bytes)
    {
        const std::vector<std::string> addresses
            = leader_ ? std::vector<std::string> { leader_->address } : peers_.addresses();
        for (const std::string &address : addresses)
            socket_->send(address, bytes);
        return bytes.size() * addresses.size();
    }

    void notifyUsageWritten(const UsageWrittenNotice &notice)
    {
        const std::string bytes = base::encode(notice);
        for (const auto &[instance, address] : peers_.reachableIn(serving_.dataCentre, now()))
            socket_->send(address, bytes);
        if (group_.hasLeaders())
            return;
        for (const std::string &address : peers_.addresses())
            socket_->send(address, bytes);
    }

    absl::Time now() const { return serving_.clock.now(); }

    // Other leaders get the sums of the members; each member gets the sums of all but itself.
    void sendLeaderSums()
    {
        const absl::Time time = now();
        sums_.note(self_, serving_.quota.ownConsumption(), CountsScope::All, time);
        LeaderMessage message;
        message.sender = self_;
        message.dataCentre = serving_.dataCentre.str();
        message.estimateMs = absl::ToUnixMillis(serving_.trueTime.at(time));
        message.leader = leader_ ? leader_->instance : self_.instance;
        message.tracked = peers_.directMembership(time).tracked;
        message.hasLoads = time - loadsSentAt_ >= loadsInterval_;
        if (message.hasLoads)
            loadsSentAt_ = time;
        message.hasAllCounts = time - fullCountsSentAt_ >= FullCountsInterval;
        if (message.hasAllCounts)
            fullCountsSentAt_ = time;
        moveFirst(prefixes_, MaxPrefixesPerSums, message.prefixes);
        message.partReports = partReports_.take(time);
        message.paused = pausedHere(time);
        const std::vector<base::EndpointId> engines = loadedEngines(time);
        leaderBytes_ = 0;
        sendToLeaders(message, engines, time);
        sendToMembers(message, engines, time);
        const absl::Duration pace
            = absl::Seconds(static_cast<double>(leaderBytes_) / LeaderBytesPerSecond);
        leaderInterval_ = std::clamp(pace, MinLeaderInterval, MaxLeaderInterval);
        if (message.hasLoads)
            loadsInterval_ = std::clamp(pace, MinLeaderInterval, MaxLoadsInterval);
        for (const auto &[organisation, sum] : sums_.total())
            sentSums_[organisation] = sum;
        for (const auto &[organisation, sum] : otherSums_.total())
            sentOtherSums_[organisation] = sum;
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

    void sendToLeaders(LeaderMessage message, const std::vector<base::EndpointId> &engines,
                       absl::Time time)
    {
        message.sequence = ++sequence_;
        message.reachable = 1;
        for (const auto &[instance, address] : peers_.reachableIn(serving_.dataCentre, time))
            message.reachable += otherLeaders_.count(instance) > 0 ? 0 : 1;
        for (const base::EndpointId &engine : engines) {
            serving::EngineLoad load = serving_.load.load(engine, time);
            for (const auto &[instance, leader] : otherLeaders_)
                load = load - serving_.load.peerLoad(sourceOf(instance), engine, time);
            if (message.hasLoads && load.requests > 0)
                message.loads.push_back(PackedLoad::of(digestOf(engine), load));
        }
        LeaderMessage full = message;
        full.hasAllCounts = true;
        for (const auto &[organisation, sum] : sums_.total()) {
            full.consumed.emplace_back(shortDigestOf(organisation), sum);
            if (sentSums_[organisation] != sum)
                message.consumed.emplace_back(full.consumed.back());
        }
        const std::string fullBytes = base::encode(full);
        const std::string bytes = message.hasAllCounts ? fullBytes : base::encode(message);
        for (const std::string &address : group_.leaderAddresses(time))
            sendSums(address, updateLastSent(address, time) ? bytes : fullBytes);
    }

    /// Returns whether sums were sent to the address recently.
    bool updateLastSent(const std::string &address, absl::Time time)
    {
        const auto [it, isFirst] = sumsSentAt_.try_emplace(address, absl::InfinitePast());
        const bool isRecent = !isFirst && time - it->second < FullCountsThreshold;
        it->second = time;
        return isRecent;
    }

    void sendToMembers(LeaderMessage message, const std::vector<base::EndpointId> &engines,
                       absl::Time time)
    {
        message.toMember = true;
        message.reachable = reachableViaLeaders(time);
        const auto pausedElsewhere = pausedByOtherLeaders(time);
        message.paused.insert(pausedElsewhere.begin(), pausedElsewhere.end());
        const serving::CrashReports otherReports = otherPartReports_.take(time);
        append(message.partReports.crashes, otherReports.crashes);
        append(message.partReports.successes, otherReports.successes);
        std::vector<PrefixUpdate> others;
        moveFirst(otherPrefixes_, MaxPrefixesPerSums, others);
        message.prefixes.insert(message.prefixes.end(), others.begin(), others.end());
        struct Sum
        {
            std::string organisation;
            double consumed = 0;
            bool changed = false;
        };
        std::vector<Sum> sums;
        for (const auto &[organisation, sum] : allSums()) {
            const bool changed = sentSums_[organisation] != sumOf(sums_, organisation)
                || sentOtherSums_[organisation] != sumOf(otherSums_, organisation);
            sums.push_back({ organisation, sum, changed });
        }
        const bool fullForAll = message.hasAllCounts;
        std::vector<std::pair<base::EndpointId, serving::EngineLoad>> loads;
        if (message.hasLoads) {
            for (const base::EndpointId &engine : engines)
                loads.emplace_back(engine, serving_.load.load(engine, time));
        }
        for (const auto &[instance, address] :
             memberOrder_.next(peers_.reachableIn(serving_.dataCentre, time))) {
            if (otherLeaders_.count(instance) > 0)
                continue;
            message.sequence = ++sequence_;
            message.loads.clear();
            message.consumed.clear();
            const base::InstanceId member(instance);
            for (const auto &[engine, all] : loads) {
                const serving::EngineLoad load = all - serving_.load.peerLoad(member, engine, time);
                if (load.requests > 0)
                    message.loads.push_back(PackedLoad::of(digestOf(engine), load));
            }
            const bool isRecent = updateLastSent(address, time);
            message.hasAllCounts = fullForAll || !isRecent;
            for (const Sum &sum : sums) {
                if (!message.hasAllCounts && !sum.changed)
                    continue;
                message.consumed.emplace_back(shortDigestOf(sum.organisation),
                                              sum.consumed
                                                  - sums_.contribution(instance, sum.organisation));
            }
            sendSums(address, base::encode(message));
        }
    }

    void sendSums(const std::string &address, const std::string &bytes)
    {
        socket_->send(address, bytes);
        leaderBytes_ += bytes.size();
    }

    static double sumOf(const ConsumptionTotals &sums, const std::string &organisation)
    {
        const auto found = sums.total().find(organisation);
        return found == sums.total().end() ? 0 : found->second;
    }

    ConsumedCounts allSums() const
    {
        ConsumedCounts all = sums_.total();
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
        return base::InstanceId(absl::StrCat(LeaderSourcePrefix, leader));
    }

    std::uint32_t reachableViaLeaders(absl::Time time) const
    {
        std::uint32_t reachable = 1;
        for (const auto &[instance, address] : peers_.reachableIn(serving_.dataCentre, time))
            reachable += otherLeaders_.count(instance) > 0 ? 0 : 1;
        for (const auto &[instance, leader] : otherLeaders_)
            reachable += leader.instances;
        return reachable;
    }

    std::map<std::string, std::int64_t> pausedByOtherLeaders(absl::Time time)
    {
        return remainingTimes(otherPaused_, time);
    }

    std::map<std::string, std::int64_t> pausedHere(absl::Time time)
    {
        return remainingTimes(paused_, time);
    }

    /// Remaining milliseconds by endpoint; removes expired entries.
    static std::map<std::string, std::int64_t>
    remainingTimes(std::map<std::string, absl::Time> &until, absl::Time time)
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
        moveFirst(prefixes_, MaxPrefixesPerMessage, message.prefixes);
        message.partReports = partReports_.take(now);
        message.paused = pausedHere(now);
        if (now - countsSentAt_ >= std::max(MinCountsInterval, MessagesPerCounts * interval_)) {
            countsSentAt_ = now;
            addCounts(message, now);
        }
        return message;
    }

    void addCounts(PeerMessage &message, absl::Time now) const
    {
        message.hasCounts = true;
        message.consumed = serving_.quota.ownConsumption();
        message.usageFinalBefore = serving_.usage.completeBefore(serving_.trueTime.at(now));
        const WindowNumber window = serving_.usage.windowAt(serving_.trueTime.at(now));
        for (std::uint64_t back = 0; back < UsageWindowsSent; ++back) {
            const UsageCounts counts = serving_.usage.countsOf(window - back);
            if (!counts.empty())
                message.usage[window - back] = counts;
        }
    }

    template <typename T>
    static void append(std::vector<T> &to, const std::vector<T> &from)
    {
        to.insert(to.end(), from.begin(), from.end());
    }

    template <typename T>
    static void moveFirst(std::vector<T> &from, std::size_t limit, std::vector<T> &to)
    {
        const auto count = static_cast<std::ptrdiff_t>(std::min(from.size(), limit));
        to.assign(from.begin(), from.begin() + count);
        from.erase(from.begin(), from.begin() + count);
    }

    void receive(const net::Datagram &datagram)
    {
        const std::string &bytes = datagram.bytes;
        const std::string &from = datagram.from;
        if (formatOf(bytes) == LogPart::CurrentFormat)
            receivePart(datagram);
        else if (formatOf(bytes) == ConsumptionMessage::CurrentFormat)
            receiveConsumption(bytes, from);
        else if (formatOf(bytes) == LeaderMessage::CurrentFormat)
            receiveSums(bytes, from);
        else if (formatOf(bytes) == UsageWrittenNotice::CurrentFormat)
            receiveUsageWritten(bytes, from);
        else if (formatOf(bytes) == LimitsMessage::CurrentFormat)
            receiveLimits(bytes, from);
        else if (formatOf(bytes) == BodyReportsMessage::CurrentFormat)
            receiveBodyReports(bytes, from);
        else if (formatOf(bytes) == EndpointFailuresMessage::CurrentFormat)
            receiveFailures(bytes, from);
        else if (formatOf(bytes) == StreamOriginMessage::CurrentFormat)
            receiveOrigin(bytes, from);
        else
            receivePeerMessage(bytes, from);
    }

    void receivePart(const net::Datagram &datagram)
    {
        auto part = base::decode<LogPart>(datagram.bytes);
        if (!part) {
            logRejected(datagram.from, part.lastReason().text);
            return;
        }
        if (part->sender == self_)
            return;
        part->ageMs += static_cast<std::uint32_t>(absl::ToInt64Milliseconds(datagram.waited));
        const bool fromElsewhere
            = peers_.dataCentreOf(part->sender.instance) != serving_.dataCentre;
        if (group_.hasLeaders() && !leader_ && fromElsewhere)
            sendPaced(peers_.addressesIn(serving_.dataCentre), *part);
        onPart_(*part);
    }

    void receiveConsumption(const std::string &bytes, const std::string &from)
    {
        const auto message = base::decode<ConsumptionMessage>(bytes);
        if (!message) {
            logRejected(from, message.lastReason().text);
            return;
        }
        const absl::Time now = serving_.clock.now();
        if (!peers_.noteLiveness(message->sender, message->sequence, now))
            return;
        serving_.quota.notePeerCounts(message->sender, message->consumed, now,
                                      CountsScope::Changed);
        sums_.note(message->sender, message->consumed, CountsScope::Changed, now);
    }

    /// Replies to an instance that reports to this one although it is not the leader.
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

    void receiveUsageWritten(const std::string &bytes, const std::string &from)
    {
        const auto notice = base::decode<UsageWrittenNotice>(bytes);
        if (notice)
            peers_.noteUsageWritten(*notice);
        else
            logRejected(from, notice.lastReason().text);
    }

    void receiveLimits(const std::string &bytes, const std::string &from)
    {
        const auto message = base::decode<LimitsMessage>(bytes);
        if (!message) {
            logRejected(from, message.lastReason().text);
            return;
        }
        if (message->sender == self_)
            return;
        const absl::Time time = now();
        for (const PackedLimit &limit : message->limits) {
            const base::EndpointId *id = serving_.directory.findByDigest(limit.endpoint);
            if (!id || !std::isfinite(limit.perSecond))
                continue;
            const auto perSecond
                = limit.perSecond < 0 ? std::nullopt : std::optional<double>(limit.perSecond);
            serving_.directory.limits().note(*id, perSecond, time - absl::Milliseconds(limit.ageMs),
                                             time);
        }
    }

    void receiveFailures(const std::string &bytes, const std::string &from)
    {
        const base::Status received = failures_.receive(bytes, group_.hasLeaders() && !leader_);
        if (!received)
            logRejected(from, received.lastReason().text);
    }

    void receiveOrigin(const std::string &bytes, const std::string &from)
    {
        const base::Status received = origins_.receive(bytes, from);
        if (!received)
            logRejected(from, received.lastReason().text);
    }

    void receiveBodyReports(const std::string &bytes, const std::string &from)
    {
        const base::Status received = bodyReports_.receive(bytes, group_.hasLeaders() && !leader_);
        if (!received)
            logRejected(from, received.lastReason().text);
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
        if (!peers_.noteLiveness(sender, message->sequence, time))
            return;
        if (message->toMember) {
            group_.noteLeaderReply(sender.instance, message->leader, time);
            if (!leader_ || leader_->instance != sender.instance
                || message->leader != sender.instance)
                return;
            const absl::Duration ahead
                = absl::FromUnixMillis(message->estimateMs) - serving_.trueTime.ownEstimate(time);
            leaderOffset_ = ahead;
            leaderReceivedAt_ = time;
            groupStatus_.membership = { message->tracked, message->reachable };
        } else {
            group_.noteLeaderMessage(sender.instance, message->leader,
                                     base::DataCentreId(message->dataCentre), from, time);
            if (leader_)
                return;
            otherLeaders_[sender.instance] = { time, message->reachable };
        }
        applySums(*message, time);
    }

    void applySums(const LeaderMessage &message, absl::Time time)
    {
        const base::InstanceId source = sourceOf(message.sender.instance);
        if (message.hasLoads)
            serving_.load.setPeerLoad(source, unpacked(message.loads), time);
        const ConsumedCounts consumed = namedCounts(message.consumed);
        const ProcessName name { source.str(), message.sender.incarnation };
        const CountsScope scope = message.hasAllCounts ? CountsScope::All : CountsScope::Changed;
        serving_.quota.notePeerCounts(name, consumed, time, scope);
        if (!message.toMember)
            otherSums_.note(name, consumed, scope, time);
        for (const auto &[endpoint, milliseconds] : message.paused) {
            const absl::Time until
                = time + std::min(absl::Milliseconds(milliseconds), MaxPeerPause);
            serving_.directory.pause(base::EndpointId(endpoint), until);
            if (!message.toMember)
                otherPaused_[endpoint] = until;
        }
        for (const PrefixUpdate &update : message.prefixes) {
            if (applyPrefixUpdate(update) && !message.toMember)
                enqueueBounded(otherPrefixes_, update);
        }
        partReports_.push(serving_.partCrashes.merge(message.partReports, time).reply, time);
        if (!message.toMember)
            otherPartReports_.push(message.partReports, time);
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
            if (found != byDigest.end()) // Otherwise not listed here yet, or removed.
                result[found->second->id] = load.unpacked();
        }
        return result;
    }

    ConsumedCounts namedCounts(const std::vector<std::pair<std::uint32_t, double>> &consumed) const
    {
        ConsumedCounts named;
        if (!serving_.configuration)
            return named;
        absl::flat_hash_map<std::uint32_t, double> byDigest(consumed.begin(), consumed.end());
        for (const Organisation &organisation : serving_.configuration->parts().organisations) {
            const auto found = byDigest.find(shortDigestOf(organisation.id.str()));
            if (found != byDigest.end())
                named[organisation.id.str()] = found->second;
        }
        return named;
    }

    /// Returns whether the update adds parts to an engine that is listed here.
    bool applyPrefixUpdate(const PrefixUpdate &update)
    {
        const base::EndpointId *id = serving_.directory.findByDigest(update.endpoint);
        if (!id)
            return false; // Not listed here yet, or removed.
        std::vector<serving::KeyedSegment> parts;
        for (const auto &[key, tokens] : update.parts)
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

    static void enqueueBounded(std::vector<PrefixUpdate> &queue, const PrefixUpdate &update)
    {
        if (queue.size() >= MaxPrefixesQueued)
            queue.erase(queue.begin());
        queue.push_back(update);
    }

    static void logRejected(const std::string &from, const std::string &reason)
    {
        logEvent(EventId::PeerMessageRejected, { { "from", from }, { "reason", reason } });
    }

    void receivePeerMessage(const std::string &bytes, const std::string &from)
    {
        const auto message = base::decode<PeerMessage>(bytes);
        if (!message || message->format != PeerMessage::CurrentFormat) {
            logRejected(from, message ? "unsupported message format" : message.lastReason().text);
            return;
        }
        const absl::Time now = serving_.clock.now();
        peers_.setOwnEstimate(serving_.trueTime.ownEstimate(now));
        if (!peers_.noteMessage(*message, from, now))
            return;
        if (leader_ && !stopping_)
            redirect(from);
        const CountsScope scope = message->hasCounts ? CountsScope::All : CountsScope::Changed;
        serving_.quota.notePeerCounts(message->sender, message->consumed, now, scope);
        sums_.note(message->sender, message->consumed, scope, now);
        absl::flat_hash_map<base::EndpointId, serving::EngineLoad> loads;
        for (const EndpointLoad &load : message->loads) {
            if (const base::EndpointId *id = serving_.directory.findByDigest(load.endpoint))
                loads[*id] = load.load;
        }
        serving_.load.setPeerLoad(base::InstanceId(message->sender.instance), std::move(loads),
                                  now);
        for (const PrefixUpdate &update : message->prefixes) {
            if (applyPrefixUpdate(update) && group_.hasLeaders())
                enqueueBounded(prefixes_, update);
        }
        for (const auto &[endpoint, milliseconds] : message->paused) {
            const absl::Time until = now + std::min(absl::Milliseconds(milliseconds), MaxPeerPause);
            serving_.directory.pause(base::EndpointId(endpoint), until);
            if (group_.hasLeaders())
                paused_[endpoint] = std::max(paused_[endpoint], until);
        }
        partReports_.push(serving_.partCrashes.merge(message->partReports, now).reply, now);
        if (group_.hasLeaders())
            partReports_.push(message->partReports, now);
    }

    void update()
    {
        const absl::Time now = serving_.clock.now();
        updateGroupStatus(now);
        const Membership membership = peers_.membership(now);
        if (peers_.hasReadJournal() || now - startedAt_ >= JournalTimeout)
            serving_.quota.setMembership(membership, now);
        // Before, the received peers are only a part of the instances.
        if (peers_.hasReadJournal()) {
            serving_.budget.setInstances(membership.tracked);
            updateLimits(now);
        }
        sendLimits();
        // A leader's estimate is already a median; given twice, it outweighs the own one.
        serving_.trueTime.setPeerOffsets(
            leader_ ? std::vector<absl::Duration> { leaderOffset_, leaderOffset_ }
                    : peers_.timeOffsets(now));
        bool peerFound = false;
        for (const PeerTable::Change &change : peers_.takeChanges(now)) {
            logEvent(change.reachable ? EventId::PeerFound : EventId::PeerLost,
                     { { "peer", change.instance },
                       { "heard", std::to_string(membership.reachable) },
                       { "known", std::to_string(membership.tracked) } });
            peerFound = peerFound || change.reachable;
        }
        resendReports(peerFound, now);
    }

    void updateLimits(absl::Time now)
    {
        std::vector<std::string> instances { self_.instance };
        std::vector<std::string> neighbours { self_.instance };
        for (const GroupCandidate &peer : peers_.candidates(now)) {
            instances.push_back(peer.instance);
            if (peer.dataCentre == serving_.dataCentre)
                neighbours.push_back(peer.instance);
        }
        serving_.directory.failures().setInstances(self_.instance, std::move(neighbours));
        serving_.directory.cold().setInstances(self_.instance, instances, now);
        serving_.bodyCrashes.setInstances(self_.instance, instances);
        serving_.directory.limits().setInstances(self_.instance, std::move(instances), now);
    }

    /// A peer that has started, or was cut off, has missed earlier reports. If it is the leader,
    /// its members are the only ones that know them.
    void resendReports(bool peerFound, absl::Time now)
    {
        serving_.partCrashes.expire(now);
        serving_.bodyCrashes.expire(now);
        const std::uint64_t heard = peers_.heardProcesses();
        const bool isNew = peerFound || heard != heardProcesses_;
        heardProcesses_ = heard;
        const bool isMember = group_.hasLeaders() && leader_;
        if (isMember && !isNew)
            return; // The leader does it.
        if (isNew && !isMember) {
            partReports_.pushAgain(serving_.partCrashes.entries(now, MaxCrashesResent), now);
            bodyReports_.resend();
        } else if (isNew || now - repeatedAt_ >= RepeatInterval) {
            partReports_.pushOnce(serving_.partCrashes.entries(now, MaxCrashesRepeated), now);
            bodyReports_.repeat();
        } else {
            return;
        }
        repeatedAt_ = now;
    }

    void updateGroupStatus(absl::Time time)
    {
        group_.setOthers(peers_.candidates(time));
        if (!group_.hasLeaders()) {
            leader_.reset();
            peers_.setGroupStatus(std::nullopt);
            return;
        }
        const auto before = leader_;
        leader_ = group_.leader(time);
        if (before && (!leader_ || leader_->instance != before->instance))
            removeSource(before->instance, time);
        for (auto it = otherLeaders_.begin(); it != otherLeaders_.end();) {
            const auto current = it++;
            if (leader_ || time - current->second.lastReceived >= LeaderTimeout) {
                removeSource(current->first, time);
                otherLeaders_.erase(current);
            }
        }
        groupStatus_.leads = !leader_;
        if (leader_) {
            groupStatus_.rank = std::numeric_limits<std::size_t>::max();
            if (time - leaderReceivedAt_ >= LeaderTimeout)
                groupStatus_.membership = { peers_.directMembership(time).tracked, 1 };
        } else {
            leaderReceivedAt_ = time;
            groupStatus_.rank = group_.leadersBefore(time);
            groupStatus_.membership
                = { peers_.directMembership(time).tracked, reachableViaLeaders(time) };
        }
        peers_.setGroupStatus(groupStatus_);
        logLeaderChange(before);
    }

    void removeSource(const std::string &leader, absl::Time time)
    {
        serving_.load.setPeerLoad(sourceOf(leader), {}, time);
        serving_.quota.retirePeer(sourceOf(leader).str(), time);
    }

    void logLeaderChange(const std::optional<GroupCandidate> &before)
    {
        const std::string now = leader_ ? leader_->instance : self_.instance;
        if (now == leaderLogged_)
            return;
        leaderLogged_ = now;
        logEvent(EventId::PeerLeaderChanged,
                 { { "leader", now },
                   { "before", before ? before->instance : "" },
                   { "heard", std::to_string(groupStatus_.membership.reachable) },
                   { "known", std::to_string(groupStatus_.membership.tracked) } });
    }

    /// State of the sums received from another leader.
    struct OtherLeader
    {
        absl::Time lastReceived;
        std::uint32_t instances = 0; ///< Included in the sums.
    };

    boost::asio::steady_timer timer_;
    boost::asio::steady_timer consumptionTimer_;
    boost::asio::steady_timer leaderTimer_;
    boost::asio::steady_timer paceTimer_;
    bool pacing_ = false;
    bool stopping_ = false;
    PacedQueue paced_;
    bool partsLate_ = false;
    ProcessName self_;
    PeerGroup group_;
    std::optional<GroupCandidate> leader_; ///< Empty: this instance leads, or full mesh.
    std::string leaderLogged_;
    absl::Time startedAt_;
    absl::Duration leaderOffset_;
    absl::Time leaderReceivedAt_ = absl::InfinitePast();
    PeerTable::GroupStatus groupStatus_;
    std::map<std::string, OtherLeader> otherLeaders_; ///< By instance.
    ConsumptionTotals sums_; ///< Of this instance and its directly reachable peers.
    ConsumptionTotals otherSums_; ///< Of other leaders.
    ConsumedCounts sentSums_;
    ConsumedCounts sentOtherSums_;
    absl::flat_hash_map<std::string, absl::Time> sumsSentAt_; ///< By address.
    absl::Duration leaderInterval_ = MaxLeaderInterval;
    absl::Duration loadsInterval_ = MaxLoadsInterval;
    BurstOrder memberOrder_;
    std::size_t leaderBytes_ = 0; ///< Size of the last sums sent.
    absl::Time loadsSentAt_ = absl::InfinitePast();
    absl::Time fullCountsSentAt_ = absl::InfinitePast();
    std::vector<PrefixUpdate> otherPrefixes_; ///< From other leaders, for the members.
    CrashReportQueue otherPartReports_; ///< From other leaders, for the members.
    std::map<std::string, absl::Time> otherPaused_; ///< From other leaders, for the members.
    ServingContext &serving_;
    PeerTable &peers_;
    std::function<void(const LogPart &)> onPart_;
    std::unique_ptr<net::DatagramSocket> socket_;
    std::uint64_t sequence_ = 0;
    absl::Time countsSentAt_ = absl::InfinitePast();
    absl::Duration interval_ = MinInterval;
    absl::Duration consumptionInterval_ = MinConsumptionInterval;
    absl::Time consumptionSentAt_ = absl::InfinitePast();
    ConsumedCounts sentCounts_;
    std::vector<PrefixUpdate> prefixes_;
    FailureLink failures_;
    CrashReportLink bodyReports_;
    StreamOriginLink origins_;
    CrashReportQueue partReports_;
    std::uint64_t heardProcesses_ = 0; ///< When reports were last sent again.
    absl::Time repeatedAt_ = absl::InfinitePast();
    absl::Time limitsSentAt_ = absl::InfinitePast();
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
