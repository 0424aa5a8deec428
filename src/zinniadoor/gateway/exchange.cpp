#include "zinniadoor/gateway/exchange.hpp"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "endpoint_signs.hpp"
#include "exchange_state.hpp"
#include "zinniadoor/base/events.hpp"

namespace zinniadoor::gateway {

namespace {

using base::EventId;
using base::logEvent;

/// Share of the time until a caller gives up by which the first byte must be expected.
constexpr double ExpectedShare = 0.9;

/// Longest gaps without an event after which a stream counts as silent.
constexpr int GapsUntilSilent = 4;

/// Longest answer that is held until it is whole; streams pass event by event.
constexpr std::size_t MaxAnswerBytes = std::size_t { 8 } * 1024 * 1024;

/// A connection that takes longer is given up; several round trips between data centres.
constexpr absl::Duration ConnectTimeout = absl::Milliseconds(400);

} // namespace

void Exchange::dispatch()
{
    const absl::Time now = context_.clock.now();
    phase_ = Phase::Deciding;
    ChoiceFacts facts;
    facts.service = service_;
    facts.request = facts_.id;
    facts.parts = &parts_;
    facts.promptTokens = facts_.promptTokens;
    facts.carriesPrompt = route_.carriesPrompt;
    facts.rank = rank();
    facts.readInPlace = wholePathFailed_ || lastEvent_.has_value();
    facts.avoid = &tried_;
    const auto choice = chooseEndpoint(context_, facts, now);
    const bool first = sendings_ == 0;
    if (!choice) {
        failWithoutEndpoint();
        return;
    }
    const absl::Duration limit = ExpectedShare * std::min(firstByteLimit(), timeLeft());
    if (first && choice->firstByte > limit) {
        refuse(RefusalKind::NotRun, "too_late", choice->firstByte - limit);
        return;
    }
    send(*choice);
}

void Exchange::failWithoutEndpoint()
{
    const absl::Time now = context_.clock.now();
    const auto from = context_.directory.callableFrom(service_, now);
    if (from && *from > now)
        refuseUntil(RefusalKind::NotRun, "all_resting", *from - now);
    else
        refuse(RefusalKind::NotRun, "no_endpoint", UsualReturn);
}

void Exchange::send(const EndpointChoice &choice)
{
    const absl::Time now = context_.clock.now();
    const EndpointRecord *writer = context_.directory.find(choice.endpoint);
    const EndpointRecord *reader
        = choice.reader ? context_.directory.find(*choice.reader) : nullptr;
    if (!writer || (choice.reader && !reader)) {
        refuse(RefusalKind::NotRun, "endpoint_left", UsualReturn);
        return;
    }
    choice_ = choice;
    writer_ = *writer;
    if (reader)
        reader_ = *reader;
    callBegan_ = now;
    if (sendings_ == 0)
        context_.budget.noteRequest(service_, now);
    ++sendings_;
    const base::EndpointId &reads = reader ? reader_.id : writer_.id;
    const serving::EngineLoad before = context_.load.load(reads, now);
    waitingTokens_ = before.tokensAhead(rank());
    logEvent(EventId::RequestDispatched,
             { { "request", facts_.id },
               { "route", route_.name },
               { "endpoint", writer_.id.str() },
               { "reader", reader ? reader_.id.str() : "" },
               { "copied_from", choice.source ? choice.source->str() : "" },
               { "sending", std::to_string(sendings_) },
               { "tokens_to_read", std::to_string(choice.tokensToRead) },
               { "tokens_waiting", std::to_string(waitingTokens_) },
               { "requests_there", std::to_string(before.requests) },
               { "expected_ms", shortMs(choice.firstByte) },
               { "left_ms", shortMs(timeLeft()) },
               { "version", std::to_string(configuration_->version()) } });
    if (route_.carriesPrompt) {
        const bool held = context_.load.holdsShared(reads, parts_);
        context_.load.noteParts(reads, parts_);
        context_.news.announceParts(reads, parts_, held);
    }
    armSilenceTimer(firstByteLimit());
    if (reader) {
        readPrompt(choice);
        return;
    }
    writerLoad_ = LoadShare(
        context_.load, writer_.id,
        serving::EngineLoad::ofRequest(static_cast<std::uint32_t>(choice.tokensToRead), rank()));
    run();
}

void Exchange::readPrompt(const EndpointChoice &choice)
{
    phase_ = Phase::ReadingPrompt;
    readerLoad_ = LoadShare(
        context_.load, reader_.id,
        serving::EngineLoad::ofRequest(static_cast<std::uint32_t>(choice.tokensToRead), rank()));
    writerLoad_ = LoadShare(context_.load, writer_.id, serving::EngineLoad::ofRequest(0, rank()));
    Dispatch dispatch = dispatchTo(reader_);
    dispatch.copyFrom = copySource();
    net::Request request = context_.endpoints.readPrompt(request_, dispatch);
    call_ = context_.client.start({ reader_.address, reader_.id.str() }, std::move(request),
                                  callOptions(),
                                  makePromptHandler(shared_from_this(), context_.endpoints));
}

void Exchange::onPromptRead(const std::string &handle)
{
    call_.reset();
    const absl::Time now = context_.clock.now();
    readFor_ = now - callBegan_;
    readerLoad_.release();
    context_.directory.noteSuccess(reader_.id);
    context_.speeds.noteRead(service_, choice_.tokensToRead, waitingTokens_, *readFor_);
    prompt_ = PromptHandle { reader_.address, handle };
    promptTaken_ = false;
    promptReadBefore_ = true;
    if (!context_.directory.mayCall(writer_.id, now)) { // Another one takes the prompt over.
        ChoiceFacts facts;
        facts.service = service_;
        facts.parts = &parts_;
        facts.carriesPrompt = true;
        facts.readInPlace = true;
        facts.avoid = &tried_;
        const auto choice = chooseEndpoint(context_, facts, now);
        const EndpointRecord *other = choice ? context_.directory.find(choice->endpoint) : nullptr;
        if (!other) {
            failWithoutEndpoint();
            return;
        }
        writer_ = *other;
        writerLoad_
            = LoadShare(context_.load, writer_.id, serving::EngineLoad::ofRequest(0, rank()));
    }
    run();
}

void Exchange::onPromptHead(const AnswerFacts &facts)
{
    noteEndpointSigns(context_, reader_.id, facts);
}

void Exchange::onPromptRefused(const AnswerFacts &facts)
{
    CallOutcome outcome;
    outcome.endpointAtFault = !facts.notRun;
    outcome.turnedAway = facts.notRun;
    outcome.reason = facts.notRun ? notRunReason(facts) : absl::StrCat("status_", facts.status);
    noteMisdirected(reader_.id, facts);
    onPromptFailed(outcome);
}

void Exchange::onPromptFailed(const CallOutcome &outcome)
{
    if (const auto call = std::move(call_))
        call->cancel();
    call_.reset();
    readerLoad_.release();
    writerLoad_.release();
    noteCallEnded(reader_.id, outcome);
    tried_.push_back(reader_.id);
    logEvent(EventId::PromptReadFailed,
             { { "request", facts_.id },
               { "endpoint", reader_.id.str() },
               { "reason", outcome.reason },
               { "after_ms", shortMs(context_.clock.now() - callBegan_) } });
    CallOutcome notRun = outcome;
    notRun.mayHaveRun = false; // Reading a prompt is not a run.
    wholePathFailed_ = true;
    retryOrFail(notRun);
}

void Exchange::run()
{
    phase_ = Phase::Running;
    runBegan_ = context_.clock.now();
    mayHaveWaited_ = context_.load.load(writer_.id, runBegan_).requests >= writer_.slots;
    Dispatch dispatch = dispatchTo(writer_);
    dispatch.prompt = prompt_;
    if (!prompt_)
        dispatch.copyFrom = copySource();
    if (streamBegun_)
        dispatch.resumeAfter = lastEvent_;
    context_.crashes.begin(bodyDigest_, writer_.id);
    net::Request request = context_.endpoints.run(request_, dispatch);
    call_ = context_.client.start({ writer_.address, writer_.id.str() }, std::move(request),
                                  callOptions(),
                                  makeRunHandler(shared_from_this(), context_.endpoints));
}

bool Exchange::onRunHead(const net::ResponseHead &head)
{
    if (phase_ != Phase::Running)
        return false;
    const AnswerFacts facts = context_.endpoints.decode(head);
    noteEndpointSigns(context_, writer_.id, facts);
    if (!facts.notRun)
        noteBodyTaken();
    const bool success = facts.status / 100 == 2;
    const bool encoded = head.find(net::http::field::content_encoding) != head.end();
    if (facts.notRun || !facts.isSigned || encoded) {
        CallOutcome outcome;
        outcome.mayHaveRun = !facts.notRun;
        outcome.endpointAtFault = !facts.notRun;
        outcome.turnedAway = facts.notRun;
        outcome.reason = notRunReason(facts);
        noteMisdirected(writer_.id, facts);
        onRunFailed(outcome);
        return false;
    }
    const bool mayRepeat = route_.repeatability != Repeatability::AtMostOnce;
    if (!success && facts.status >= 500 && mayRepeat && !startedAt_) {
        // Another endpoint may do better; if none can be asked, this answer stands.
        CallOutcome outcome;
        outcome.reason = absl::StrCat("status_", facts.status);
        outcome.endpointAtFault = true;
        const std::uint32_t ranBefore = mayHaveRunAt_;
        ++mayHaveRunAt_;
        noteStarted();
        const auto refusal = reasonNotToRetry(outcome);
        mayHaveRunAt_ = ranBefore;
        startedAt_.reset();
        if (!refusal) {
            onRunFailed(outcome);
            return false;
        }
    }
    promptTaken_ = true;
    noteStarted();
    if (startedAt_ && phase_ == Phase::Running && success && route_.streaming) {
        startStream(head);
        return true;
    }
    answerHead_ = head;
    answerBody_.clear();
    return true;
}

void Exchange::noteMisdirected(const base::EndpointId &endpoint, const AnswerFacts &facts)
{
    if (!facts.misdirected || facts.endpoint.empty())
        return;
    if (facts.endpoint != endpoint.str())
        context_.directory.noteReplaced(endpoint, context_.clock.now());
    else if (context_.directory.noteOtherStage(endpoint))
        context_.news.onDirectoryChanged();
}

const char *notRunReason(const AnswerFacts &facts)
{
    if (facts.misdirected)
        return "misdirected";
    return facts.notRun ? "shed" : "unsigned_answer";
}

void Exchange::startStream(const net::ResponseHead &head)
{
    phase_ = Phase::Streaming;
    framer_.reset();
    if (!streamBegun_) {
        streamBegun_ = true;
        responder_->begin(context_.callers.forwardedHead(head));
        const std::weak_ptr<Exchange> weak = weak_from_this();
        responder_->onDrained([weak] {
            const auto self = weak.lock();
            if (self && self->call_)
                self->call_->setPaused(false);
        });
    }
}

void Exchange::onRunBody(const std::string &bytes)
{
    constexpr std::size_t MaxPendingBytes = std::size_t { 256 } * 1024; // Of one slow caller.
    if (phase_ != Phase::Streaming) {
        answerBody_.append(bytes);
        if (answerBody_.size() > MaxAnswerBytes) {
            CallOutcome outcome;
            outcome.reason = "answer_too_long";
            onRunFailed(outcome);
        }
        return;
    }
    deliverEvents(bytes);
    if (call_ && responder_->pendingBytes() > MaxPendingBytes)
        call_->setPaused(true);
}

void Exchange::deliverEvents(absl::string_view bytes)
{
    const auto events = framer_.feed(bytes);
    CallOutcome outcome;
    outcome.reason = "bad_event";
    if (!events) {
        onRunFailed(outcome);
        return;
    }
    for (const StreamEvent &event : *events) {
        if (event.id && lastEvent_ && *event.id <= *lastEvent_) {
            onRunFailed(outcome); // Belongs to another run.
            return;
        }
        if (event.id)
            lastEvent_ = event.id;
        if (!firstByteAt_) {
            firstByteAt_ = context_.clock.now();
            context_.metrics.observeFirstByte(*firstByteAt_ - arrived_);
            noteBegin(*firstByteAt_ - runBegan_);
            writerLoad_.releaseTokens();
        }
        responder_->send(event.bytes);
    }
    if (!events->empty())
        armSilenceTimer(std::max(EventSilence, route_.longestGap * GapsUntilSilent));
}

void Exchange::noteBegin(absl::Duration time)
{
    if (!route_.carriesPrompt || mayHaveWaited_)
        return;
    if (prompt_)
        context_.speeds.noteFirstStep(service_, time);
    else
        context_.speeds.noteInPlace(service_, choice_.tokensToRead, time);
}

void Exchange::onRunEnd()
{
    call_.reset();
    endFlight();
    const absl::Time now = context_.clock.now();
    if (phase_ == Phase::Streaming) {
        if (framer_.hasPartialEvent()) {
            CallOutcome outcome;
            outcome.reason = "cut_event";
            onRunFailed(outcome);
            return;
        }
        context_.directory.noteSuccess(writer_.id);
        context_.health.noteSuccess(writer_.id, now - callBegan_, now);
        if (firstByteAt_)
            context_.speeds.noteWriting(service_, now - *firstByteAt_);
        responder_->finish();
        end("served", "");
        return;
    }
    const bool ok = answerHead_.result_int() < 500;
    if (ok)
        context_.health.noteSuccess(writer_.id, now - callBegan_, now);
    context_.directory.noteSuccess(writer_.id);
    context_.speeds.noteAnswer(service_, now - callBegan_);
    context_.metrics.observeFirstByte(now - arrived_);
    net::Response answer;
    answer.base() = context_.callers.forwardedHead(answerHead_);
    answer.body() = std::move(answerBody_);
    responder_->answer(std::move(answer));
    end(ok ? "served" : "endpoint_error", "");
}

void Exchange::onRunFailed(const CallOutcome &outcome)
{
    if (const auto call = std::move(call_))
        call->cancel();
    call_.reset();
    writerLoad_.release();
    releasePrompt();
    if (outcome.crashed) {
        noteBodyTaken();
        context_.news.announceCrashes(
            context_.crashes.endpointCrashed(writer_.id, context_.clock.now()));
    }
    endFlight();
    if (outcome.mayHaveRun)
        ++mayHaveRunAt_;
    noteCallEnded(writer_.id, outcome);
    tried_.push_back(writer_.id);
    if (promptReadBefore_)
        wholePathFailed_ = true;
    retryOrFail(outcome);
}

Dispatch Exchange::dispatchTo(const EndpointRecord &endpoint) const
{
    Dispatch dispatch;
    dispatch.endpoint = &endpoint;
    dispatch.timeLeft = timeLeft();
    if (organisation_)
        dispatch.organisation = organisation_->id;
    dispatch.enginePriority = enginePriority();
    return dispatch;
}

std::string Exchange::copySource() const
{
    const EndpointRecord *source
        = choice_.source ? context_.directory.find(*choice_.source) : nullptr;
    return source ? source->address : "";
}

std::size_t Exchange::rank() const
{
    return static_cast<std::size_t>(std::max(route_.priority, 0));
}

std::optional<int> Exchange::enginePriority() const
{
    if (!route_.carriesPrompt)
        return std::nullopt;
    constexpr int MostUrgent = 2; // Leaves room for what may have to go first.
    constexpr int PerRank = 2;
    constexpr int LeastUrgent = 9;
    return std::min(LeastUrgent, MostUrgent + PerRank * route_.priority);
}

net::CallOptions Exchange::callOptions() const
{
    net::CallOptions options;
    options.connectTimeout = std::min(ConnectTimeout, timeLeft());
    const EndpointDialect &dialect = context_.endpoints;
    const std::string id = facts_.id;
    options.matchesCall
        = [&dialect, id](const net::ResponseHead &head) { return dialect.answers(head, id); };
    return options;
}

} // namespace zinniadoor::gateway
