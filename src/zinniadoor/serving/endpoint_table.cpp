#include "zinniadoor/serving/endpoint_table.hpp"

#include <algorithm>
#include <array>

#include "absl/container/flat_hash_set.h"

namespace zinniadoor::serving {

namespace {

constexpr std::size_t MaxSamples = 64;
constexpr absl::Duration SampleSpacing = absl::Milliseconds(100);

/// Time after which reported work that no instance has sent is assumed to have finished.
constexpr absl::Duration UnattributedLifetime = absl::Seconds(10);

/// Maximum delay until peers report work that they sent.
constexpr absl::Duration PeerReportDelay = absl::Seconds(1);
constexpr double MeanServiceStep = 0.1;

constexpr std::array<const char *, 4> StateNames { "live", "draining", "leaving", "gone" };

WorkInFlight positivePart(WorkInFlight work)
{
    work.requests = std::max<std::int64_t>(work.requests, 0);
    work.urgent = std::max<std::int64_t>(work.urgent, 0);
    work.prefillTokens = std::max<std::int64_t>(work.prefillTokens, 0);
    work.kvPages = std::max<std::int64_t>(work.kvPages, 0);
    return work;
}

WorkInFlight largerOf(WorkInFlight a, const WorkInFlight &b)
{
    a.requests = std::max(a.requests, b.requests);
    a.urgent = std::max(a.urgent, b.urgent);
    a.prefillTokens = std::max(a.prefillTokens, b.prefillTokens);
    a.kvPages = std::max(a.kvPages, b.kvPages);
    return a;
}

/// Weight of the unattributed work of a report: falls from 1 to 0 as the report ages.
double ageWeight(const std::optional<LoadReport> &report, absl::Time now)
{
    if (!report)
        return 0;
    const double age = absl::FDivDuration(now - report->sampledAt, UnattributedLifetime);
    return std::clamp(1 - age, 0.0, 1.0);
}

} // namespace

const char *nameOf(EndpointState state)
{
    return StateNames.at(static_cast<std::size_t>(state));
}

WorkInFlight &WorkInFlight::operator+=(const WorkInFlight &other)
{
    requests += other.requests;
    urgent += other.urgent;
    prefillTokens += other.prefillTokens;
    kvPages += other.kvPages;
    return *this;
}

WorkInFlight &WorkInFlight::operator-=(const WorkInFlight &other)
{
    requests -= other.requests;
    urgent -= other.urgent;
    prefillTokens -= other.prefillTokens;
    kvPages -= other.kvPages;
    return *this;
}

WorkInFlight EndpointView::attributed() const
{
    WorkInFlight sum = own;
    sum += peers;
    return sum;
}

// Maximum of the attributed work around `at`. Peers report their work with a delay, so samples
// shortly after `at` count too; otherwise that work would be considered unattributed.
WorkInFlight EndpointView::attributedAt(absl::Time at) const
{
    WorkInFlight before;
    if (history_.size() >= MaxSamples)
        before = history_.front().work;
    for (const Sample &sample : history_) {
        if (sample.at <= at)
            before = sample.work;
    }
    WorkInFlight most = before;
    for (const Sample &sample : history_) {
        if (sample.at > at && sample.at <= at + PeerReportDelay)
            most = largerOf(most, sample.work);
    }
    return most;
}

void EndpointView::recordSample(absl::Time now)
{
    const bool isClose
        = history_.size() > 1 && now - history_[history_.size() - 2].at < SampleSpacing;
    if (isClose) {
        // Replaces the newest sample, so that the samples before it keep their spacing.
        history_.back() = { now, attributed() };
        return;
    }
    history_.push_back({ now, attributed() });
    if (history_.size() > MaxSamples)
        history_.pop_front();
}

double EndpointView::requests(absl::Time now) const
{
    const auto unattributedNow = static_cast<double>(unattributed.requests);
    return static_cast<double>(attributed().requests) + unattributedNow * ageWeight(report, now);
}

double EndpointView::prefillTokens(absl::Time now) const
{
    const auto unattributedNow = static_cast<double>(unattributed.prefillTokens);
    return static_cast<double>(attributed().prefillTokens)
        + unattributedNow * ageWeight(report, now);
}

std::optional<double> EndpointView::freeKvPages() const
{
    if (!report || report->kvPages == 0)
        return std::nullopt;
    const auto sentSince = static_cast<double>(attributed().kvPages - kvPagesAtReport_);
    return std::min(static_cast<double>(report->kvPages), report->kvPagesFree - sentSince);
}

void EndpointTable::setEndpoints(const std::vector<control::Endpoint> &endpoints)
{
    absl::flat_hash_set<base::EndpointId> wanted;
    for (const control::Endpoint &endpoint : endpoints) {
        wanted.insert(endpoint.id);
        const auto [entry, isNew] = views_.try_emplace(endpoint.id);
        EndpointView &view = entry->second;
        const bool isReplaced = !isNew && view.endpoint.address != endpoint.address;
        if (isNew || isReplaced || view.endpoint.role != endpoint.role)
            view.role = endpoint.role;
        if (isReplaced) {
            view.prefixes.clear();
            view.report.reset();
            view.unattributed = {};
            view.state = EndpointState::Live;
        }
        view.endpoint = endpoint;
        if (isNew)
            view.peers = peerWorkOn(endpoint.id);
    }
    for (auto entry = views_.begin(); entry != views_.end();) {
        if (wanted.contains(entry->first)) {
            ++entry;
            continue;
        }
        // Work may still run on an endpoint that was removed from the configuration. The entry is
        // erased by the first configuration applied after that work has finished.
        entry->second.state = EndpointState::Gone;
        entry = entry->second.own.requests == 0 ? views_.erase(entry) : std::next(entry);
    }
}

WorkInFlight EndpointTable::peerWorkOn(const base::EndpointId &endpoint) const
{
    WorkInFlight sum;
    for (const auto &[peer, loads] : peers_) {
        for (const PeerLoad &load : loads) {
            if (load.endpoint == endpoint)
                sum += load.work;
        }
    }
    return sum;
}

void EndpointTable::setModels(const std::vector<control::Model> &models)
{
    models_.clear();
    for (const control::Model &model : models)
        models_[model.id] = model;
}

void EndpointTable::setState(const base::EndpointId &endpoint, EndpointState state)
{
    if (EndpointView *found = view(endpoint))
        found->state = state;
}

void EndpointTable::setRole(const base::EndpointId &endpoint, control::Role role, absl::Time now)
{
    EndpointView *found = view(endpoint);
    if (found == nullptr)
        return;
    found->role = role;
    found->roleSetAt_ = now;
}

void EndpointTable::setWeight(const base::EndpointId &endpoint, double weight)
{
    if (EndpointView *found = view(endpoint))
        found->weight = std::clamp(weight, 0.0, 1.0);
}

void EndpointTable::noteSent(const base::EndpointId &endpoint, const RequestFacts &request,
                             absl::Time now)
{
    EndpointView *found = view(endpoint);
    if (found == nullptr)
        return;
    noteFinished(request.id, now);
    Sent sent;
    sent.endpoint = endpoint;
    sent.at = now;
    sent.work.requests = 1;
    sent.work.urgent = request.urgency == Urgency::Urgent ? 1 : 0;
    sent.work.kvPages = kvPagesNeeded(request);
    const double cached = found->prefixes.expectedTokens(request.prefixes);
    sent.work.prefillTokens
        = std::max<std::int64_t>(1, prefillTokens(request) - static_cast<std::int64_t>(cached));
    found->own += sent.work;
    found->recordSample(now);
    sent_[request.id] = sent;
}

void EndpointTable::noteFirstToken(const base::RequestId &request, absl::Time now)
{
    const auto sent = sent_.find(request);
    if (sent == sent_.end())
        return;
    EndpointView *found = view(sent->second.endpoint);
    if (found == nullptr)
        return;
    found->own.prefillTokens -= sent->second.work.prefillTokens;
    sent->second.work.prefillTokens = 0;
    found->recordSample(now);
}

void EndpointTable::noteFinished(const base::RequestId &request, absl::Time now)
{
    const auto sent = sent_.find(request);
    if (sent == sent_.end())
        return;
    if (EndpointView *found = view(sent->second.endpoint)) {
        found->own -= sent->second.work;
        found->meanServiceTime
            += (now - sent->second.at - found->meanServiceTime) * MeanServiceStep;
        found->recordSample(now);
    }
    sent_.erase(sent);
}

void EndpointTable::noteReport(const base::EndpointId &endpoint, const LoadReport &report)
{
    EndpointView *found = view(endpoint);
    if (found == nullptr)
        return;
    if (found->report && report.sampledAt < found->report->sampledAt)
        return;
    // Reported work beyond the work attributed at that time was sent by an instance from which no
    // update was received.
    const WorkInFlight attributedThen = found->attributedAt(report.sampledAt);
    WorkInFlight extra;
    extra.requests = std::int64_t(report.running) + report.waiting - attributedThen.requests;
    extra.prefillTokens
        = static_cast<std::int64_t>(report.prefillTokensWaiting) - attributedThen.prefillTokens;
    found->unattributed = positivePart(extra);
    found->kvPagesAtReport_ = attributedThen.kvPages;
    if (report.sampledAt >= found->roleSetAt_)
        found->role = report.role;
    found->report = report;
}

void EndpointTable::noteCacheEvents(const base::EndpointId &endpoint,
                                    const std::vector<CacheEvent> &events)
{
    if (EndpointView *found = view(endpoint))
        found->prefixes.apply(events);
}

void EndpointTable::addPeerWork(const std::vector<PeerLoad> &loads, int sign, absl::Time now)
{
    for (const PeerLoad &load : loads) {
        EndpointView *found = view(load.endpoint);
        if (found == nullptr)
            continue;
        if (sign > 0)
            found->peers += load.work;
        else
            found->peers -= load.work;
        found->peers = positivePart(found->peers);
        found->recordSample(now);
    }
}

void EndpointTable::setPeerLoads(const base::InstanceId &peer, const std::vector<PeerLoad> &loads,
                                 absl::Time now)
{
    std::vector<PeerLoad> &current = peers_[peer];
    addPeerWork(current, -1, now);
    current = loads;
    for (PeerLoad &load : current)
        load.work = positivePart(load.work);
    addPeerWork(current, 1, now);
}

void EndpointTable::removePeer(const base::InstanceId &peer, absl::Time now)
{
    const auto found = peers_.find(peer);
    if (found == peers_.end())
        return;
    addPeerWork(found->second, -1, now);
    peers_.erase(found);
}

std::vector<PeerLoad> EndpointTable::ownLoads() const
{
    std::vector<PeerLoad> loads;
    for (const auto &[id, found] : views_) {
        if (found.own.requests > 0)
            loads.push_back({ id, found.own });
    }
    return loads;
}

std::optional<base::EndpointId> EndpointTable::endpointOf(const base::RequestId &request) const
{
    const auto sent = sent_.find(request);
    if (sent == sent_.end())
        return std::nullopt;
    return sent->second.endpoint;
}

std::vector<base::RequestId> EndpointTable::requestsOn(const base::EndpointId &endpoint) const
{
    std::vector<base::RequestId> requests;
    for (const auto &[id, sent] : sent_) {
        if (sent.endpoint == endpoint)
            requests.push_back(id);
    }
    std::sort(requests.begin(), requests.end());
    return requests;
}

const EndpointView *EndpointTable::find(const base::EndpointId &endpoint) const
{
    const auto found = views_.find(endpoint);
    return found == views_.end() ? nullptr : &found->second;
}

EndpointView *EndpointTable::view(const base::EndpointId &endpoint)
{
    const auto found = views_.find(endpoint);
    return found == views_.end() ? nullptr : &found->second;
}

const control::Model &EndpointTable::model(const base::ModelId &model) const
{
    const auto found = models_.find(model);
    return found == models_.end() ? defaultModel_ : found->second;
}

} // namespace zinniadoor::serving
