#include "exchange_state.hpp"

namespace zinniadoor::gateway {

namespace {

/// Size limit of a prefill answer, which normally has a few hundred bytes.
constexpr std::size_t MaxHandleBytes = std::size_t { 16 } * 1024;

CallOutcome outcomeOf(const net::CallFailure &failure)
{
    CallOutcome outcome;
    outcome.mayHaveRun = failure.sendStarted;
    outcome.arrived = failure.sendStarted;
    outcome.noConnection = failure.error == net::CallError::ConnectFailed && !failure.isLocal;
    outcome.relay = failure.relay;
    outcome.relayFailed = failure.relayFailed;
    outcome.endpointAtFault = !failure.isLocal && !failure.relayFailed;
    // A stale keep-alive connection is no evidence that this request crashed the endpoint.
    // Neither is the end of a relay.
    outcome.crashed = failure.reachedPeer && failure.error == net::CallError::ConnectionLost
        && failure.relay.empty();
    outcome.reason = net::nameOf(failure.error);
    return outcome;
}

class PrefillHandler : public net::CallHandler
{
public:
    PrefillHandler(std::shared_ptr<Exchange> exchange, const EndpointDialect &dialect)
        : exchange_(std::move(exchange))
        , dialect_(dialect)
    { }

    void onHead(const net::ResponseHead &head) override
    {
        facts_ = dialect_.decode(head);
        exchange_->onPrefillHead(facts_);
    }

    void onBody(std::string bytes) override
    {
        if (!exchange_)
            return;
        body_.append(bytes);
        if (body_.size() <= MaxHandleBytes)
            return;
        CallOutcome outcome;
        outcome.reason = "answer_too_long";
        const auto exchange = std::move(exchange_);
        exchange->onPrefillFailed(outcome);
    }

    void onEnd() override
    {
        const auto exchange = std::move(exchange_);
        const auto handle = dialect_.decodePromptHandle(body_);
        if (facts_.status / 100 == 2 && handle) {
            exchange->onPrefillDone(*handle);
            return;
        }
        exchange->onPrefillRejected(facts_);
    }

    void onFailure(const net::CallFailure &failure) override
    {
        const auto exchange = std::move(exchange_);
        exchange->onPrefillFailed(outcomeOf(failure));
    }

private:
    std::shared_ptr<Exchange> exchange_;
    const EndpointDialect &dialect_;
    AnswerFacts facts_;
    std::string body_;
};

class RunHandler : public net::CallHandler
{
public:
    explicit RunHandler(std::shared_ptr<Exchange> exchange)
        : exchange_(std::move(exchange))
    { }

    void onHead(const net::ResponseHead &head) override
    {
        const auto exchange = exchange_;
        if (!exchange->onRunHead(head))
            exchange_.reset();
    }

    void onBody(std::string bytes) override
    {
        if (const auto exchange = exchange_)
            exchange->onRunBody(bytes);
    }

    void onUnacknowledged() override
    {
        if (const auto exchange = exchange_)
            exchange->onRunUnacknowledged();
    }

    void onEnd() override
    {
        if (const auto exchange = std::move(exchange_))
            exchange->onRunEnd();
    }

    void onFailure(const net::CallFailure &failure) override
    {
        if (const auto exchange = std::move(exchange_))
            exchange->onRunFailed(outcomeOf(failure));
    }

private:
    std::shared_ptr<Exchange> exchange_;
};

/// Passes events on like `RunHandler` once the call has replaced the silent one.
class StandbyHandler : public net::CallHandler
{
public:
    StandbyHandler(std::shared_ptr<Exchange> exchange, std::uint32_t attempt)
        : exchange_(exchange)
        , run_(std::move(exchange))
        , attempt_(attempt)
    { }

    void onHead(const net::ResponseHead &head) override
    {
        const auto exchange = exchange_;
        if (exchange->isStandby(attempt_))
            exchange->onStandbyHead(head);
        else
            run_.onHead(head);
    }
    void onBody(std::string bytes) override
    {
        const auto exchange = exchange_;
        if (exchange->isStandby(attempt_))
            exchange->onStandbyBody(bytes);
        else
            run_.onBody(std::move(bytes));
    }
    void onEnd() override
    {
        const auto exchange = exchange_;
        if (!exchange->isStandby(attempt_) || exchange->onStandbyEnd())
            run_.onEnd();
    }
    void onFailure(const net::CallFailure &failure) override
    {
        const auto exchange = exchange_;
        if (exchange->isStandby(attempt_))
            exchange->onStandbyFailed(outcomeOf(failure));
        else
            run_.onFailure(failure);
    }

private:
    std::shared_ptr<Exchange> exchange_;
    RunHandler run_;
    std::uint32_t attempt_;
};

} // namespace

LoadReservation::LoadReservation(serving::EngineView &view, base::EndpointId endpoint,
                                 serving::EngineLoad load)
    : view_(&view)
    , endpoint_(std::move(endpoint))
    , load_(load)
{
    view_->addLoad(endpoint_, load_);
}

LoadReservation::LoadReservation(LoadReservation &&other) noexcept
    : view_(std::exchange(other.view_, nullptr))
    , endpoint_(std::move(other.endpoint_))
    , load_(other.load_)
    , measuredIn_(std::exchange(other.measuredIn_, nullptr))
    , plainCall_(other.plainCall_)
{ }

LoadReservation &LoadReservation::operator=(LoadReservation &&other) noexcept
{
    if (this != &other) {
        release();
        view_ = std::exchange(other.view_, nullptr);
        endpoint_ = std::move(other.endpoint_);
        load_ = other.load_;
        measuredIn_ = std::exchange(other.measuredIn_, nullptr);
        plainCall_ = other.plainCall_;
    }
    return *this;
}

void LoadReservation::releaseTokens()
{
    if (!view_)
        return;
    serving::EngineLoad tokens = load_;
    tokens.requests = 0;
    view_->removeLoad(endpoint_, tokens);
    load_.promptTokens = {};
}

void LoadReservation::release()
{
    if (!view_)
        return;
    view_->removeLoad(endpoint_, load_);
    view_ = nullptr;
    if (ServingContext *context = std::exchange(measuredIn_, nullptr))
        context->plainChoice.noteAbandoned(plainCall_, context->clock.now());
}

void LoadReservation::measure(ServingContext &context, const EndpointChoice &choice)
{
    measuredIn_ = &context;
    plainCall_
        = context.plainChoice.noteStart(choice.endpoint, choice.queueFactor, context.clock.now());
}

void LoadReservation::noteAnswered()
{
    if (ServingContext *context = std::exchange(measuredIn_, nullptr))
        context->plainChoice.noteAnswer(plainCall_, context->clock.now());
}

std::shared_ptr<net::CallHandler> makePrefillHandler(std::shared_ptr<Exchange> exchange,
                                                     const EndpointDialect &dialect)
{
    return std::make_shared<PrefillHandler>(std::move(exchange), dialect);
}

std::shared_ptr<net::CallHandler> makeRunHandler(std::shared_ptr<Exchange> exchange,
                                                 const EndpointDialect &)
{
    return std::make_shared<RunHandler>(std::move(exchange));
}

std::shared_ptr<net::CallHandler> makeStandbyHandler(std::shared_ptr<Exchange> exchange,
                                                     std::uint32_t attempt)
{
    return std::make_shared<StandbyHandler>(std::move(exchange), attempt);
}

const char *nameOf(RefusalKind kind)
{
    switch (kind) {
    case RefusalKind::Malformed:
        return "malformed";
    case RefusalKind::UnknownKey:
        return "unknown_key";
    case RefusalKind::NoRoute:
        return "no_route";
    case RefusalKind::OverQuota:
        return "over_quota";
    case RefusalKind::NotRun:
        return "not_run";
    case RefusalKind::OutcomeUnknown:
        return "outcome_unknown";
    case RefusalKind::Harmful:
        return "harmful";
    case RefusalKind::TimedOut:
        return "timed_out";
    }
    return "unknown";
}

} // namespace zinniadoor::gateway
