#include "virtual_instance.hpp"

#include <algorithm>
#include <utility>

namespace zinniadoor::bench {

namespace {

using serving::Phase;
using serving::RouteChoice;

constexpr std::uint64_t TicksPerReport = 5;

std::unique_ptr<serving::Router> makeRouter(const Variant &variant,
                                            const serving::RouterOptions &options)
{
    if (variant.router == "round_robin")
        return serving::roundRobinRouter(options);
    if (variant.router == "least_in_flight")
        return serving::leastInFlightRouter(options);
    return serving::firstTokenRouter(options);
}

std::unique_ptr<serving::AdmissionQueue> makeQueue(const Variant &variant)
{
    if (variant.queue == "fifo")
        return serving::fifoQueue({});
    return serving::fairQueue({});
}

std::unique_ptr<serving::RetryPolicy> makeRetries(const Variant &variant)
{
    if (variant.retry == "plain")
        return serving::plainRetryPolicy({});
    return serving::budgetRetryPolicy({});
}

} // namespace

VirtualInstance::VirtualInstance(const Scenario &scenario, const Variant &variant,
                                 std::uint32_t number, VirtualFleet &fleet, EventLoop &loop,
                                 RunResult &result)
    : scenario_(scenario)
    , variant_(variant)
    , id_("instance-" + std::to_string(number))
    , fleet_(fleet)
    , loop_(loop)
    , result_(result)
    , random_(scenario.seed * 7919 + number)
    , queue_(makeQueue(variant))
    , decodeQueue_(makeQueue(variant))
    , retries_(makeRetries(variant))
    , ejection_(serving::EjectionOptions {})
{
    const auto endpoints = fleet.endpoints();
    serving::RouterOptions options;
    options.instance = id_;
    options.dataCentre = endpoints[number % endpoints.size()].dataCentre;
    router_ = makeRouter(variant, options);
    table_.setEndpoints(endpoints);
    control::Model model;
    model.id = benchModel();
    model.prefillTokensPerSecond = scenario.profile.prefillTokensPerSecond;
    model.decodeTokensPerSecond = scenario.profile.tokensPerSecond * scenario.profile.slots;
    table_.setModels({ model });
    std::vector<base::EndpointId> ids;
    for (const control::Endpoint &endpoint : endpoints)
        ids.push_back(endpoint.id);
    ejection_.setEndpoints(ids);
    for (const Fault &fault : scenario.faults) {
        if (fault.kind == FaultKind::Reclaim)
            firstReclaimAt_ = std::min(firstReclaimAt_, loop.now() + fault.at);
    }
}

void VirtualInstance::submit(const Arrival &arrival, std::size_t record)
{
    const RequestClass &kind = scenario_.classes[arrival.requestClass];
    auto request = std::make_unique<ActiveRequest>();
    request->record = record;
    request->promptTokens = arrival.promptTokens;
    request->outputTokens = arrival.outputTokens;
    request->phase = fleet_.hasRoles() ? Phase::Prefill : Phase::Whole;
    request->facts.id = base::RequestId("r" + std::to_string(record));
    request->facts.organisation = base::OrganisationId(kind.organisation);
    request->facts.model = benchModel();
    request->facts.urgency = kind.urgency;
    request->facts.deadline = loop_.now() + kind.deadline;
    ActiveRequest &entry = *(activeRequests_[request->facts.id] = std::move(request));
    enqueue(entry);
    dispatchQueued();
}

void VirtualInstance::describePhase(ActiveRequest &request)
{
    const EngineProfile &profile = scenario_.profile;
    serving::RequestFacts &facts = request.facts;
    facts.promptTokens = request.promptTokens + request.tokensDone;
    facts.importedTokens = request.hasKv ? facts.promptTokens : 0;
    facts.maxOutputTokens = request.outputTokens - request.tokensDone;
    const double prefill = serving::prefillTokens(facts) / profile.prefillTokensPerSecond;
    const double decode = facts.maxOutputTokens / profile.tokensPerSecond;
    facts.serviceTime = absl::Seconds(prefill + decode);
    facts.hasStarted = request.tokensDone > 0;
    if (request.phase == Phase::Prefill)
        facts.maxOutputTokens = 1;
}

void VirtualInstance::enqueue(ActiveRequest &request)
{
    request.job = 0;
    describePhase(request);
    serving::AdmissionQueue &queue = request.phase == Phase::Decode ? *decodeQueue_ : *queue_;
    if (queue.push(request.facts, loop_.now()))
        finish(request.facts.id, RequestOutcome::Refused);
}

RouteChoice VirtualInstance::choose(const ActiveRequest &request)
{
    serving::RouteQuery query(request.facts);
    query.phase = request.phase;
    query.excluded = request.excluded;
    return router_->choose(query, table_, loop_.now(), random_());
}

void VirtualInstance::expire()
{
    for (serving::AdmissionQueue *queue : { queue_.get(), decodeQueue_.get() }) {
        for (const serving::ExpiredRequest &expired : queue->expire(loop_.now()))
            finish(expired.request.id, RequestOutcome::Refused);
    }
}

void VirtualInstance::dispatchQueued()
{
    expire();
    while (dispatchOne(*decodeQueue_)) { }
    while (dispatchOne(*queue_)) { }
}

bool VirtualInstance::dispatchOne(serving::AdmissionQueue &queue)
{
    if (queue.size() == 0)
        return false;
    const auto popped = queue.pop(loop_.now(), [this](const serving::RequestFacts &facts) {
        return choose(*activeRequests_.at(facts.id)).endpoint.has_value();
    });
    if (!popped)
        return false;
    ActiveRequest &request = *activeRequests_.at(popped->id);
    const RouteChoice choice = choose(request);
    if (choice.endpoint)
        dispatch(request, *choice.endpoint, absl::ZeroDuration());
    else
        finish(popped->id, RequestOutcome::Refused);
    return true;
}

// Assigns the request to the endpoint immediately, so that peers see its load, and starts it after
// `delay` and a KV transfer, if any.
void VirtualInstance::dispatch(ActiveRequest &request, const base::EndpointId &endpoint,
                               absl::Duration delay)
{
    if (request.attempts == 0) {
        ++result_.firstCalls;
        result_.faultCalls += fleet_.isFailing() ? 1 : 0;
        retries_->noteCall();
        request.attempts = 1;
    }
    request.endpoint = endpoint;
    request.job = 0;
    request.sentAt = loop_.now();
    table_.noteSent(endpoint, request.facts, loop_.now());
    const bool isTransfer = request.phase == Phase::Decode && request.hasKv;
    const auto wait = delay + (isTransfer ? scenario_.profile.kvMove : absl::ZeroDuration());
    if (wait == absl::ZeroDuration())
        startJob(request.facts.id);
    else
        loop_.scheduleAfter(wait, [this, id = request.facts.id] { startJob(id); });
}

void VirtualInstance::startJob(const base::RequestId &id)
{
    ActiveRequest &request = *activeRequests_.at(id);
    EngineJob job;
    job.isDeferable = request.facts.urgency == serving::Urgency::Deferable;
    job.prefillTokens = serving::prefillTokens(request.facts);
    job.outputTokens = request.facts.maxOutputTokens;
    job.onFirstToken = [this, id] { onFirstToken(id); };
    job.onFinish = [this, id] { onFinish(id); };
    job.onAborted = [this, id](std::uint32_t tokens) { onAborted(id, tokens); };
    request.job = fleet_.find(request.endpoint).engine->start(std::move(job));
    if (request.job == 0)
        onRefused(request);
}

void VirtualInstance::onFirstToken(const base::RequestId &id)
{
    ActiveRequest &request = *activeRequests_.at(id);
    table_.noteFirstToken(id, loop_.now());
    RequestRecord &record = result_.records[request.record];
    const RequestClass &kind = scenario_.classes[record.requestClass];
    if (!record.firstToken)
        record.firstToken = loop_.now() - (request.facts.deadline - kind.deadline);
    ejection_.noteSuccess(request.endpoint, loop_.now() - request.sentAt, loop_.now());
}

void VirtualInstance::countTokens(const ActiveRequest &request)
{
    if (loop_.now() >= firstReclaimAt_)
        return;
    result_.tokens += request.facts.maxOutputTokens;
    if (fleet_.find(request.endpoint).endpoint.reclaimable)
        result_.tokensOnReclaimable += request.facts.maxOutputTokens;
}

void VirtualInstance::onFinish(const base::RequestId &id)
{
    ActiveRequest &request = *activeRequests_.at(id);
    table_.noteFinished(id, loop_.now());
    countTokens(request);
    if (request.phase == Phase::Prefill && request.tokensDone + 1 < request.outputTokens) {
        request.tokensDone += 1;
        request.hasKv = true;
        request.phase = Phase::Decode;
        enqueue(request);
    } else {
        const bool isInTime = loop_.now() <= request.facts.deadline;
        finish(id, isInTime ? RequestOutcome::Good : RequestOutcome::Late);
    }
    dispatchQueued();
}

void VirtualInstance::onRefused(ActiveRequest &request)
{
    table_.noteFinished(request.facts.id, loop_.now());
    if (variant_.ejection && !fleet_.find(request.endpoint).isChangingRole)
        ejection_.noteFailure(request.endpoint, loop_.now());
    retry(request, false);
}

void VirtualInstance::onAborted(const base::RequestId &id, std::uint32_t tokens)
{
    ActiveRequest &request = *activeRequests_.at(id);
    request.job = 0;
    table_.noteFinished(id, loop_.now());
    // Without draining, the response is restarted from the beginning.
    request.tokensDone = variant_.drain ? request.tokensDone + tokens : 0;
    request.hasKv = false;
    request.phase = fleet_.hasRoles() ? Phase::Prefill : Phase::Whole;
    retry(request, true);
}

void VirtualInstance::retry(ActiveRequest &request, bool mayHaveRun)
{
    serving::FailedCall call;
    call.attempts = request.attempts;
    call.mayHaveRun = mayHaveRun;
    call.idempotent = true;
    call.hasStarted = request.tokensDone > 0;
    call.deadline = request.facts.deadline;
    call.serviceTime = request.facts.serviceTime;
    const auto decision = retries_->decide(call, loop_.now(), random_());
    const base::RequestId id = request.facts.id;
    if (!decision.retry) {
        finish(id, RequestOutcome::Failed);
        return;
    }
    ++result_.retries;
    result_.faultRetries += fleet_.isFailing() ? 1 : 0;
    ++request.attempts;
    request.excluded.push_back(request.endpoint);
    loop_.scheduleAfter(decision.backoff, [this, id] {
        enqueue(*activeRequests_.at(id));
        dispatchQueued();
    });
}

void VirtualInstance::tick()
{
    const absl::Time now = loop_.now();
    if (++ticks_ % TicksPerReport == 0) {
        for (FleetEngine &engine : fleet_.all()) {
            if (!engine.engine->isTerminated())
                table_.noteReport(engine.endpoint.id, engine.engine->report());
        }
    }
    for (const FleetEngine &engine : fleet_.all())
        table_.setWeight(engine.endpoint.id, ejection_.weight(engine.endpoint.id, now));
    migrateDueStreams();
    dispatchQueued();
}

void VirtualInstance::onLeaving(const base::EndpointId &endpoint, absl::Time leavesAt)
{
    table_.setState(endpoint, serving::EndpointState::Leaving);
    if (!variant_.drain)
        return;
    std::vector<serving::DrainStream> streams;
    for (const base::RequestId &id : table_.requestsOn(endpoint)) {
        const ActiveRequest &request = *activeRequests_.at(id);
        serving::DrainStream stream;
        stream.request = id;
        stream.contextTokens = request.facts.promptTokens;
        stream.tokensLeft = request.facts.maxOutputTokens;
        streams.push_back(stream);
    }
    serving::DrainOptions options;
    options.streamTokensPerSecond = scenario_.profile.tokensPerSecond;
    options.kvSetup = scenario_.profile.kvMove;
    const auto steps = serving::planDrain(streams, leavesAt, options, loop_.now());
    for (const serving::DrainStep &step : steps) {
        if (step.action != serving::DrainAction::Finish)
            pendingMigrations_.push_back(step);
    }
}

// A stream stays on its engine until another engine has capacity for it.
void VirtualInstance::migrateDueStreams()
{
    std::vector<serving::DrainStep> waiting;
    for (const serving::DrainStep &step : std::exchange(pendingMigrations_, {})) {
        const auto found = activeRequests_.find(step.request);
        if (found == activeRequests_.end())
            continue;
        const bool isDue = step.startAt <= loop_.now();
        if (!isDue || !migrate(*found->second, step.action))
            waiting.push_back(step);
    }
    pendingMigrations_ = std::move(waiting);
}

bool VirtualInstance::migrate(ActiveRequest &request, serving::DrainAction action)
{
    if (request.job == 0 || !fleet_.find(request.endpoint).isLeaving)
        return true;
    ActiveRequest migrated = request;
    migrated.hasKv = action == serving::DrainAction::MoveKv;
    describePhase(migrated);
    const RouteChoice choice = choose(migrated);
    if (!choice.endpoint)
        return false;
    request.tokensDone += fleet_.find(request.endpoint).engine->cancel(request.job);
    table_.noteFinished(request.facts.id, loop_.now());
    request.hasKv = action == serving::DrainAction::MoveKv && request.tokensDone > 0;
    if (request.tokensDone >= request.outputTokens)
        request.tokensDone = request.outputTokens - 1;
    ++result_.streamsMoved;
    describePhase(request);
    dispatch(request, *choice.endpoint,
             request.hasKv ? scenario_.profile.kvMove : absl::ZeroDuration());
    return true;
}

void VirtualInstance::finish(const base::RequestId &id, RequestOutcome outcome)
{
    const auto found = activeRequests_.find(id);
    const ActiveRequest &request = *found->second;
    RequestRecord &record = result_.records[request.record];
    const RequestClass &kind = scenario_.classes[record.requestClass];
    record.outcome = outcome;
    record.responseTime = loop_.now() - (request.facts.deadline - kind.deadline);
    record.tokens = request.outputTokens;
    activeRequests_.erase(found);
}

} // namespace zinniadoor::bench
