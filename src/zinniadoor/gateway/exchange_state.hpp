#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "absl/strings/string_view.h"

#include "endpoint_choice.hpp"
#include "zinniadoor/gateway/event_framer.hpp"
#include "zinniadoor/gateway/exchange.hpp"
#include "zinniadoor/serving/request_arrivals.hpp"

namespace zinniadoor::gateway {

/// RAII registration of the load that a call puts on an endpoint.
class LoadReservation
{
public:
    LoadReservation() = default;
    LoadReservation(serving::EngineView &view, base::EndpointId endpoint, serving::EngineLoad load);
    ~LoadReservation() { release(); }
    LoadReservation(LoadReservation &&other) noexcept;
    LoadReservation &operator=(LoadReservation &&other) noexcept;
    LoadReservation(const LoadReservation &) = delete;
    LoadReservation &operator=(const LoadReservation &) = delete;

    /// The prompt has been prefilled: removes its tokens from the load.
    void releaseTokens();
    void release();

    /// The call goes to a plain endpoint, whose answer time is measured.
    void measure(ServingContext &context, const EndpointChoice &choice);
    void noteAnswered();

private:
    serving::EngineView *view_ = nullptr;
    base::EndpointId endpoint_;
    serving::EngineLoad load_;
    ServingContext *measuredIn_ = nullptr;
    std::uint64_t plainCall_ = 0; ///< While `measuredIn_` is set.
};

/// Retry-After of requests rejected because of a transient state.
constexpr absl::Duration DefaultRetryAfter = absl::Milliseconds(300);

/// Size limit of one buffered answer; streams are forwarded event by event. See
/// `serving::HeldAnswers` for all answers together.
constexpr std::size_t MaxAnswerBytes = std::size_t { 8 } * 1024 * 1024;

/// Half of the time after which callers usually abandon a silent stream.
constexpr absl::Duration MinSilenceTimeout = absl::Seconds(1);

/// Whole milliseconds, for logs.
inline std::string wholeMs(absl::Duration time)
{
    return std::to_string(absl::ToInt64Milliseconds(time));
}

/// Why an attempt did not serve the request.
struct CallOutcome
{
    bool mayHaveRun = true;
    bool crashed = false; ///< Connection lost while the endpoint was working on the request.
    bool arrived = true; ///< Bytes of the request were, or may have been, sent.
    bool noConnection = false; ///< The endpoint accepted none.
    std::string relay {}; ///< Through which the call ran; empty if it was a direct one.
    bool relayFailed = false; ///< The relay gave no connection, for reasons of its own.
    bool rejected = false; ///< The endpoint accepts no work at the moment.
    bool endpointAtFault = true; ///< Counts against the endpoint's health.
    std::string reason; ///< Stable identifier for logs and metrics.
};

/// Stable identifier, for logs and metrics, of why an answer does not serve the request.
const char *notRunReason(const AnswerFacts &facts);

/// Whether an answer with this head is the endpoint's own, complete answer to a request.
bool isServed(const net::ResponseHead &head, const AnswerFacts &facts);

/// Outcome of an answer that does not serve the request.
CallOutcome rejectionOf(const AnswerFacts &facts);

/// Second run of a request whose endpoint is silent. The endpoint whose answer goes on first is
/// kept.
struct Standby
{
    std::uint32_t attempt = 0; ///< Number of this attempt within the exchange.
    EndpointChoice choice;
    EndpointRecord endpoint;
    absl::Time startedAt;
    LoadReservation load;
    std::shared_ptr<net::Call> call;
    std::optional<net::ResponseHead> head; ///< Held back, like `body`, until the standby is kept.
    std::string body;
    EventFramer framer; ///< Of a stream.
    std::shared_ptr<serving::HeldAnswer> held; ///< Null while `body` is short.
};

/// State machine of one HTTP exchange: admission, endpoint choice, prefill, run and retries.
class Exchange : public EndableExchange, public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(ServingContext &context, net::Request request,
             std::shared_ptr<net::Responder> responder);

    /// Admits and dispatches the request.
    void begin();

    /// Rejects the request without admission.
    void reject(const Refusal &refusal);

    void endForStop() override;

    /// Events of the prefill call.
    void onPrefillHead(const AnswerFacts &facts);
    void onPrefillDone(const std::string &handle);
    void onPrefillRejected(const AnswerFacts &facts);
    void onPrefillFailed(const CallOutcome &outcome);

    /// Events of the call that executes the request.
    void onRunUnacknowledged();
    bool onRunHead(const net::ResponseHead &head); ///< Returns false if the call is abandoned.
    void onRunBody(const std::string &bytes);
    void onRunEnd();
    void onRunFailed(const CallOutcome &outcome);

    /// Events of a standby call, until it replaces the silent one.
    bool isStandby(std::uint32_t attempt) const;
    void onStandbyHead(const net::ResponseHead &head);
    void onStandbyBody(const std::string &bytes);
    bool onStandbyEnd(); ///< Returns whether the standby has replaced the silent call.
    void onStandbyFailed(const CallOutcome &outcome);

private:
    enum class Phase : std::uint8_t { Deciding, Prefilling, Running, Streaming, Ended };

    bool admit();
    /// Finds out which version began the stream that the caller takes up, then dispatches.
    void takeUp();
    void onOrigin(const OriginFinding &origin);
    /// A stream goes on, and endpoints may have been replaced under their ids unnoticed.
    bool needsCurrentDirectory() const;
    bool isVersionListed() const; ///< An endpoint of the stream's version accepts work.
    void continueStream(bool isCurrent); ///< `isCurrent`: the directory lacks nothing.
    std::string directoryAge() const; ///< For logs.
    /// The stream cannot go on; with `retryAfter`, it may later.
    void rejectStream(const std::string &reason, OriginSource source,
                      std::optional<absl::Duration> retryAfter = std::nullopt);
    void noteOrigin(); ///< The first event is about to be sent.
    void noteFirstVersion(); ///< The stream began at the serving endpoint.
    void announceOrigin();
    bool mayBeAnotherVersion() const; ///< The serving endpoint, than when it was sent the request.
    bool authenticate(const Configuration &configuration);
    /// Refuses what the configuration does not know; as not run where a newer one may know it.
    void refuseUnknown(RefusalKind kind, const std::string &why);
    bool consumeQuota();
    void logQuota() const;
    void dispatch();
    bool refuseIfHarmful(); ///< Returns whether the request was refused.
    /// Why the request must not be sent: its body, or a part of its prompt, crashes endpoints.
    std::optional<std::string> reasonOfHarm() const;
    void noteTrialIfRefused(); ///< The request is about to be sent to its first endpoint.
    void noteAnswered(); ///< The endpoint has answered the request to its end.
    void refuseWithoutEndpoint();
    void send(const EndpointChoice &choice);
    void startPrefill(const EndpointChoice &choice);
    void abandonPrefill(const CallOutcome &outcome);
    void run();
    void retryOrFail(const CallOutcome &outcome);
    void retryByDirectory(const CallOutcome &outcome);
    /// Takes a retry with its endpoint; returns the reason if there is none.
    std::optional<std::string> takeRetry(const CallOutcome &outcome, EndpointChoice &choice);
    bool takeBudget(); ///< For the next attempt, where it is an extra arrival.
    std::optional<std::string> reasonNotToRetry(const CallOutcome &outcome) const;
    /// `runs`: endpoints that may have executed the request by then.
    std::optional<std::string> reasonNotToRepeat(std::uint32_t runs) const;
    /// Takes a retry in place of the prefill, with its endpoint; returns the reason if there is
    /// none.
    std::optional<std::string> takeRetryOfPrefill(EndpointChoice &choice);
    void beginStandby(); ///< The current call is silent.
    /// Returns the reason if there is no standby.
    std::optional<std::string> startStandby();
    void keepStandby(); ///< Gives up the silent call.
    void activateStandby(); ///< The silent call is over.
    bool standbyIsWhole() const; ///< Its answer is passed on when it is complete.
    void discardStandby(bool mayHaveRun);
    void logCallFailed(const base::EndpointId &endpoint, const CallOutcome &outcome,
                       const std::string &decision) const;
    ChoiceFacts choiceFacts() const;
    void noteDispatched(const EndpointChoice &choice, const EndpointRecord &endpoint,
                        const base::EndpointId &executor);
    void noteCallFailed(const base::EndpointId &endpoint, const CallOutcome &outcome);
    void noteMisdirected(const base::EndpointId &endpoint, const AnswerFacts &facts);
    void noteExecutionStarted();
    void noteCrash(const base::EndpointId &endpoint);
    void deliverEvents(absl::string_view bytes);

    /// Counts the bytes held for the caller. May end the current call.
    void hold(std::size_t bytes);
    void holdStandby();
    serving::HeldAnswerActions heldActions();
    void setReadingPaused(bool paused);
    std::size_t unsentBytes() const; ///< Of a stream.
    /// `time`: from the start of the run call to the first event.
    void noteFirstEvent(absl::Duration time);

    /// Whether the answer is expected in time, or the request is a trial of the estimate. Rejects
    /// it otherwise.
    bool admitInTime(const EndpointChoice &choice);
    serving::AnswerClass answerClass() const;
    /// `time`: from the start of the call to the end of a plain answer, or to its first event.
    void noteAnswerTime(absl::Duration time);
    void startStream(const net::ResponseHead &head);
    void resumeReading(); ///< The caller has taken what was sent to it.

    void refuse(RefusalKind kind, const std::string &why,
                std::optional<absl::Duration> retryAfter = std::nullopt);

    /// Like `refuse`, but sends `retryAfter` without clamping it.
    void refuseWithExactRetryAfter(RefusalKind kind, const std::string &why,
                                   std::optional<absl::Duration> retryAfter);
    void end(const char *outcome, const std::string &why);
    void cancelCalls();
    void releasePrompt();
    void onCallerLeft();
    void onDeadline();
    void onSilenceTimeout();
    void onSilentPrefill();
    void noteSilence(const std::string &decision);
    const EndpointRecord &currentEndpoint() const; ///< Of the current call.
    void noteSignOfLife(); ///< The current call has received a head or an event.
    void armDeadlineTimer();
    void armSilenceTimer(absl::Duration time, bool isExtension = false);
    bool hasStoodStill() const; ///< This process, during the current call.
    absl::Duration timeLeft() const;
    absl::Duration firstByteTimeout() const;
    absl::Duration longestExpected() const; ///< Longest expected time to the first byte.
    absl::Duration silenceTimeout() const; ///< Between two events of a stream.
    /// Empty if there is no prefix source.
    std::string prefixSourceAddress(const EndpointChoice &choice) const;
    net::CallTarget targetOf(const EndpointRecord &endpoint) const;
    Dispatch dispatchTo(const EndpointRecord &endpoint) const;
    net::CallOptions callOptions() const;
    std::size_t rank() const;
    std::optional<int> enginePriority() const;

    ServingContext &context_;
    net::Request request_;
    std::shared_ptr<net::Responder> responder_;
    boost::asio::steady_timer deadlineTimer_;
    boost::asio::steady_timer silenceTimer_;
    std::uint64_t silenceTurn_ = 0; ///< Counts the times it was set.
    ConfigurationPtr configuration_;
    RequestFacts facts_;
    Route route_;
    std::string service_;
    AllowedRegions regions_;
    const Organisation *organisation_ = nullptr; ///< In `configuration_`.
    std::vector<serving::KeyedSegment> parts_;
    std::vector<serving::SuspectKey> sharedParts_;
    std::string bodyDigest_;
    serving::SuspectKey bodyKey_ = 0; ///< Of `bodyDigest_`.
    double quotaCost_ = 0;
    bool quotaConsumed_ = false;

    Phase phase_ = Phase::Deciding;
    absl::Time arrivedAt_;
    absl::Time deadline_;
    absl::Time callStartedAt_;
    absl::Time runStartedAt_;
    absl::Time lastSignAt_; ///< Start of the call, or its last head or event.
    bool paused_ = false; ///< Reading of the current call is paused for a slow caller.
    absl::Time silenceDue_ = absl::InfiniteFuture(); ///< Of the silence timer.
    bool stoodStill_ = false; ///< The silence timer of the current call was late.
    bool silent_ = false; ///< Since `lastSignAt_`, for at least the silence timeout.
    std::optional<absl::Duration> prefillTime_; ///< Duration of the last remote prefill.
    bool mayHaveQueued_ = false; ///< All slots of the serving endpoint were in use.
    EndpointChoice choice_;
    absl::Duration expected_; ///< Time to first byte for which the request was rejected.
    std::optional<absl::Duration> trialLimit_; ///< Of the expected time; set in a trial of it.
    EndpointRecord prefillEngine_;
    EndpointRecord servingEndpoint_;
    std::uint64_t queuedTokens_ = 0; ///< Ahead of this request at the prefilling engine.
    LoadReservation prefillLoad_;
    LoadReservation servingLoad_;
    std::optional<PromptHandle> prompt_;
    bool onTrial_ = false; ///< Sent although the body is refused; no endpoint has crashed since.
    bool promptTransferred_ = false; ///< The answer has started, so the prompt was fetched.
    std::shared_ptr<net::Call> call_;
    std::optional<Standby> standby_;
    std::vector<base::EndpointId> tried_;
    std::uint32_t mayHaveRunCount_ = 0; ///< Endpoints that may have executed the request.
    std::uint32_t attempts_ = 0;
    serving::RequestArrivals arrivals_;
    bool prefilledBefore_ = false;
    bool remotePrefillFailed_ = false; ///< Remote prefill did not lead to a successful run.

    EventFramer framer_;
    std::optional<std::uint64_t> lastEventId_;
    std::uint64_t stream_ = 0; ///< Digest of the id of the request that brought the first event.
    std::optional<std::string> origin_; ///< Version that began the stream; it goes on only there.
    net::ResponseHead answerHead_;
    std::string answerBody_;
    std::shared_ptr<serving::HeldAnswer> held_; ///< Null while the bytes held are few.
    std::optional<absl::Time> executionStartedAt_;
    std::optional<absl::Time> firstByteAt_;
    bool streamStarted_ = false; ///< The head of the answer was sent to the caller.
    bool usageCounted_ = false;
};

/// Handlers for the two kinds of call; they keep the exchange alive while the call is in flight.
std::shared_ptr<net::CallHandler> makePrefillHandler(std::shared_ptr<Exchange> exchange,
                                                     const EndpointDialect &dialect);
std::shared_ptr<net::CallHandler> makeRunHandler(std::shared_ptr<Exchange> exchange,
                                                 const EndpointDialect &dialect);
std::shared_ptr<net::CallHandler> makeStandbyHandler(std::shared_ptr<Exchange> exchange,
                                                     std::uint32_t attempt);

} // namespace zinniadoor::gateway
