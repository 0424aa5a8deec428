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
    model.prefillTokensPerSecond = scenario.pace.prefillTokensPerSecond;
    model.decodeTokensPerSecond = scenario.pace.tokensPerSecond * scenario.pace.slots;
    table_.setModels({ model });
    std::vector<base::EndpointId> ids;
    for (const control::Endpoint &endpoint : endpoints)
        ids.push_back(endpoint.id);
    ejection_.setEndpoints(ids);
    for (const Fault &fault : scenario.faults) {
        if (fault.kind == FaultKind::Reclaim)
            firstLoss_ = std::min(firstLoss_, loop.now() + fault.at);
    }
}

void VirtualInstance::submit(const Arrival &arrival, std::size_t record)
{
    const RequestClass &kind = scenario_.classes[arrival.requestClass];
    auto live = std::make_unique<Live>();
    live->record = record;
    live->promptTokens = arrival.promptTokens;
    live->outputTokens = arrival.outputTokens;
    live->phase = fleet_.hasRoles() ? Phase::Prefill : Phase::Whole;
    live->facts.id = base::RequestId("r" + std::to_string(record));
    live->facts.organisation = base::OrganisationId(kind.organisation);
    live->facts.model = benchModel();
    live->facts.urgency = kind.urgency;
    live->facts.deadline = loop_.now() + kind.deadline;
    Live &entry = *(live_[live->facts.id] = std::move(live));
    enqueue(entry);
    pump();
}

void VirtualInstance::describePhase(Live &live)
{
    const EnginePace &pace = scenario_.pace;
    serving::RequestFacts &facts = live.facts;
    facts.promptTokens = live.promptTokens + live.tokensDone;
    facts.importedTokens = live.hasKv ? facts.promptTokens : 0;
    facts.maxOutputTokens = live.outputTokens - live.tokensDone;
    const double prefill = serving::prefillTokens(facts) / pace.prefillTokensPerSecond;
    const double decode = facts.maxOutputTokens / pace.tokensPerSecond;
    facts.serviceTime = absl::Seconds(prefill + decode);
    facts.hasStarted = live.tokensDone > 0;
    if (live.phase == Phase::Prefill)
        facts.maxOutputTokens = 1;
}

void VirtualInstance::enqueue(Live &live)
{
    live.job = 0;
    describePhase(live);
    serving::AdmissionQueue &queue = live.phase == Phase::Decode ? *decodeQueue_ : *queue_;
    if (queue.push(live.facts, loop_.now()))
        finish(live.facts.id, RequestEnd::Refused);
}

RouteChoice VirtualInstance::choose(const Live &live)
{
    serving::RouteQuery query(live.facts);
    query.phase = live.phase;
    query.excluded = live.excluded;
    return router_->choose(query, table_, loop_.now(), random_());
}

void VirtualInstance::expire()
{
    for (serving::AdmissionQueue *queue : { queue_.get(), decodeQueue_.get() }) {
        for (const serving::ExpiredRequest &expired : queue->expire(loop_.now()))
            finish(expired.request.id, RequestEnd::Refused);
    }
}

void VirtualInstance::pump()
{
    expire();
    while (startOne(*decodeQueue_)) { }
    while (startOne(*queue_)) { }
}

bool VirtualInstance::startOne(serving::AdmissionQueue &queue)
{
    if (queue.size() == 0)
        return false;
    const auto popped = queue.pop(loop_.now(), [this](const serving::RequestFacts &facts) {
        return choose(*live_.at(facts.id)).endpoint.has_value();
    });
    if (!popped)
        return false;
    Live &live = *live_.at(popped->id);
    const RouteChoice choice = choose(live);
    if (choice.endpoint)
        start(live, *choice.endpoint, absl::ZeroDuration());
    else
        finish(popped->id, RequestEnd::Refused);
    return true;
}

// Places the request at once, so that others see it, and calls after `delay` (a KV transfer).
void VirtualInstance::start(Live &live, const base::EndpointId &endpoint, absl::Duration delay)
{
    if (live.attempts == 0) {
        ++result_.firstCalls;
        result_.faultCalls += fleet_.isFailing() ? 1 : 0;
        retries_->noteCall();
        live.attempts = 1;
    }
    live.endpoint = endpoint;
    live.job = 0;
    live.sentAt = loop_.now();
    table_.noteSent(endpoint, live.facts, loop_.now());
    const bool isTransfer = live.phase == Phase::Decode && live.hasKv;
    const auto wait = delay + (isTransfer ? scenario_.pace.kvMove : absl::ZeroDuration());
    if (wait == absl::ZeroDuration())
        begin(live.facts.id);
    else
        loop_.after(wait, [this, id = live.facts.id] { begin(id); });
}

void VirtualInstance::begin(const base::RequestId &id)
{
    Live &live = *live_.at(id);
    EngineJob job;
    job.isDeferable = live.facts.urgency == serving::Urgency::Deferable;
    job.prefillTokens = serving::prefillTokens(live.facts);
    job.outputTokens = live.facts.maxOutputTokens;
    job.onFirstToken = [this, id] { onFirstToken(id); };
    job.onFinish = [this, id] { onFinish(id); };
    job.onBroken = [this, id](std::uint32_t tokens) { onBroken(id, tokens); };
    live.job = fleet_.find(live.endpoint).engine->start(std::move(job));
    if (live.job == 0)
        onRefused(live);
}

void VirtualInstance::onFirstToken(const base::RequestId &id)
{
    Live &live = *live_.at(id);
    table_.noteFirstToken(id, loop_.now());
    RequestRecord &record = result_.records[live.record];
    const RequestClass &kind = scenario_.classes[record.requestClass];
    if (!record.firstToken)
        record.firstToken = loop_.now() - (live.facts.deadline - kind.deadline);
    ejection_.noteSuccess(live.endpoint, loop_.now() - live.sentAt, loop_.now());
}

void VirtualInstance::countTokens(const Live &live)
{
    if (loop_.now() >= firstLoss_)
        return;
    result_.tokens += live.facts.maxOutputTokens;
    if (fleet_.find(live.endpoint).endpoint.reclaimable)
        result_.tokensOnReclaimable += live.facts.maxOutputTokens;
}

void VirtualInstance::onFinish(const base::RequestId &id)
{
    Live &live = *live_.at(id);
    table_.noteFinished(id, loop_.now());
    countTokens(live);
    if (live.phase == Phase::Prefill && live.tokensDone + 1 < live.outputTokens) {
        live.tokensDone += 1;
        live.hasKv = true;
        live.phase = Phase::Decode;
        enqueue(live);
    } else {
        const bool isInTime = loop_.now() <= live.facts.deadline;
        finish(id, isInTime ? RequestEnd::Good : RequestEnd::Late);
    }
    pump();
}

void VirtualInstance::onRefused(Live &live)
{
    table_.noteFinished(live.facts.id, loop_.now());
    if (variant_.ejection && !fleet_.find(live.endpoint).isChanging)
        ejection_.noteFailure(live.endpoint, loop_.now());
    retry(live, false);
}

void VirtualInstance::onBroken(const base::RequestId &id, std::uint32_t tokens)
{
    Live &live = *live_.at(id);
    live.job = 0;
    table_.noteFinished(id, loop_.now());
    // Without resuming the answer begins afresh.
    live.tokensDone = variant_.drain ? live.tokensDone + tokens : 0;
    live.hasKv = false;
    live.phase = fleet_.hasRoles() ? Phase::Prefill : Phase::Whole;
    retry(live, true);
}

void VirtualInstance::retry(Live &live, bool mayHaveRun)
{
    serving::FailedCall call;
    call.attempts = live.attempts;
    call.mayHaveRun = mayHaveRun;
    call.idempotent = true;
    call.hasStarted = live.tokensDone > 0;
    call.deadline = live.facts.deadline;
    call.serviceTime = live.facts.serviceTime;
    const auto decision = retries_->decide(call, loop_.now(), random_());
    const base::RequestId id = live.facts.id;
    if (!decision.retry) {
        finish(id, RequestEnd::Failed);
        return;
    }
    ++result_.retries;
    result_.faultRetries += fleet_.isFailing() ? 1 : 0;
    ++live.attempts;
    live.excluded.push_back(live.endpoint);
    loop_.after(decision.backoff, [this, id] {
        enqueue(*live_.at(id));
        pump();
    });
}

void VirtualInstance::tick()
{
    const absl::Time now = loop_.now();
    if (++ticks_ % TicksPerReport == 0) {
        for (FleetEngine &engine : fleet_.all()) {
            if (!engine.engine->isGone())
                table_.noteReport(engine.endpoint.id, engine.engine->report());
        }
    }
    for (const FleetEngine &engine : fleet_.all())
        table_.setWeight(engine.endpoint.id, ejection_.weight(engine.endpoint.id, now));
    moveDue();
    pump();
}

void VirtualInstance::onLeaving(const base::EndpointId &endpoint, absl::Time leavesAt)
{
    table_.setState(endpoint, serving::EndpointState::Leaving);
    if (!variant_.drain)
        return;
    std::vector<serving::DrainStream> streams;
    for (const base::RequestId &id : table_.requestsOn(endpoint)) {
        const Live &live = *live_.at(id);
        serving::DrainStream stream;
        stream.request = id;
        stream.contextTokens = live.facts.promptTokens;
        stream.tokensLeft = live.facts.maxOutputTokens;
        streams.push_back(stream);
    }
    serving::DrainOptions options;
    options.streamTokensPerSecond = scenario_.pace.tokensPerSecond;
    options.kvSetup = scenario_.pace.kvMove;
    const auto steps = serving::planDrain(streams, leavesAt, options, loop_.now());
    for (const serving::DrainStep &step : steps) {
        if (step.action != serving::DrainAction::Finish)
            moves_.push_back(step);
    }
}

// A stream stays where it is until another place has room for it.
void VirtualInstance::moveDue()
{
    std::vector<serving::DrainStep> waiting;
    for (const serving::DrainStep &step : std::exchange(moves_, {})) {
        const auto found = live_.find(step.request);
        if (found == live_.end())
            continue;
        const bool isDue = step.startAt <= loop_.now();
        if (!isDue || !move(*found->second, step.action))
            waiting.push_back(step);
    }
    moves_ = std::move(waiting);
}

bool VirtualInstance::move(Live &live, serving::DrainAction action)
{
    if (live.job == 0 || !fleet_.find(live.endpoint).isLeaving)
        return true;
    Live moved = live;
    moved.hasKv = action == serving::DrainAction::MoveKv;
    describePhase(moved);
    const RouteChoice choice = choose(moved);
    if (!choice.endpoint)
        return false;
    live.tokensDone += fleet_.find(live.endpoint).engine->cancel(live.job);
    table_.noteFinished(live.facts.id, loop_.now());
    live.hasKv = action == serving::DrainAction::MoveKv && live.tokensDone > 0;
    if (live.tokensDone >= live.outputTokens)
        live.tokensDone = live.outputTokens - 1;
    ++result_.moves;
    describePhase(live);
    start(live, *choice.endpoint, live.hasKv ? scenario_.pace.kvMove : absl::ZeroDuration());
    return true;
}

void VirtualInstance::finish(const base::RequestId &id, RequestEnd end)
{
    const auto found = live_.find(id);
    const Live &live = *found->second;
    RequestRecord &record = result_.records[live.record];
    const RequestClass &kind = scenario_.classes[record.requestClass];
    record.end = end;
    record.whole = loop_.now() - (live.facts.deadline - kind.deadline);
    record.tokens = live.outputTokens;
    live_.erase(found);
}

} // namespace zinniadoor::bench
