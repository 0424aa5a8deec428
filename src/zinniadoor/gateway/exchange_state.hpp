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

namespace zinniadoor::gateway {

/// Load that a call brings to an endpoint, as long as it lives.
class LoadShare
{
public:
    LoadShare() = default;
    LoadShare(serving::EngineView &view, base::EndpointId endpoint, serving::EngineLoad load);
    ~LoadShare() { release(); }
    LoadShare(LoadShare &&other) noexcept;
    LoadShare &operator=(LoadShare &&other) noexcept;
    LoadShare(const LoadShare &) = delete;
    LoadShare &operator=(const LoadShare &) = delete;

    /// The prompt has been read.
    void releaseTokens();
    void release();

private:
    serving::EngineView *view_ = nullptr;
    base::EndpointId endpoint_;
    serving::EngineLoad load_;
};

/// When a caller whose request met a passing state may come back.
constexpr absl::Duration UsualReturn = absl::Milliseconds(300);

/// Half of the usual time until callers abandon a silent stream.
constexpr absl::Duration EventSilence = absl::Seconds(1);

/// Whole milliseconds, for logs.
inline std::string shortMs(absl::Duration time)
{
    return std::to_string(absl::ToInt64Milliseconds(time));
}

/// Why a call did not serve the request.
struct CallOutcome
{
    bool mayHaveRun = true;
    bool crashed = false; ///< The endpoint closed the connection while at work.
    bool turnedAway = false; ///< The endpoint takes no work now.
    bool endpointAtFault = true; ///< Counts against the endpoint's health.
    std::string reason; ///< Stable, for logs and metrics.
};

/// Stable reason of an answer that did not run the request, for logs and metrics.
const char *notRunReason(const AnswerFacts &facts);

/// One request on its way through this instance.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(ServingContext &context, net::Request request,
             std::shared_ptr<net::Responder> responder);

    void begin();

    /// Answers with `refusal` in place of `begin`.
    void turnAway(const Refusal &refusal);

    /// From the call that reads the prompt.
    void onPromptHead(const AnswerFacts &facts);
    void onPromptRead(const std::string &handle);
    void onPromptRefused(const AnswerFacts &facts);
    void onPromptFailed(const CallOutcome &outcome);

    /// From the call that runs the request.
    bool onRunHead(const net::ResponseHead &head); ///< False: the call is dropped.
    void onRunBody(const std::string &bytes);
    void onRunEnd();
    void onRunFailed(const CallOutcome &outcome);

private:
    enum class Phase : std::uint8_t { Deciding, ReadingPrompt, Running, Streaming, Ended };

    bool admit();
    bool authenticate(const Configuration &configuration);
    bool takeQuota();
    void dispatch();
    void failWithoutEndpoint();
    void send(const EndpointChoice &choice);
    void readPrompt(const EndpointChoice &choice);
    void run();
    void retryOrFail(const CallOutcome &outcome);
    std::optional<std::string> reasonNotToRetry(const CallOutcome &outcome);
    void noteCallEnded(const base::EndpointId &endpoint, const CallOutcome &outcome);
    void noteMisdirected(const base::EndpointId &endpoint, const AnswerFacts &facts);
    void noteStarted();
    void noteBodyTaken();
    void endFlight(); ///< The body is not at the writer any more.
    void deliverEvents(absl::string_view bytes);
    void noteBegin(absl::Duration time); ///< The first event came this long after the run's call.
    void startStream(const net::ResponseHead &head);

    void refuse(RefusalKind kind, const std::string &why,
                std::optional<absl::Duration> returnAfter = std::nullopt);

    /// The same, with a time that is known for certain.
    void refuseUntil(RefusalKind kind, const std::string &why,
                     std::optional<absl::Duration> returnAfter);
    void end(const char *outcome, const std::string &why);
    void cancelCalls();
    void releasePrompt();
    void onCallerLeft();
    void onTimeOver();
    void onSilence();
    void armEndTimer();
    void armSilenceTimer(absl::Duration time);
    absl::Duration timeLeft() const;
    absl::Duration firstByteLimit() const;
    std::string copySource() const; ///< Address, or nothing.
    Dispatch dispatchTo(const EndpointRecord &endpoint) const;
    net::CallOptions callOptions() const;
    std::size_t rank() const;
    std::optional<int> enginePriority() const;

    ServingContext &context_;
    net::Request request_;
    std::shared_ptr<net::Responder> responder_;
    boost::asio::steady_timer endTimer_;
    boost::asio::steady_timer silenceTimer_;
    ConfigurationPtr configuration_;
    RequestFacts facts_;
    Route route_;
    std::string service_;
    const Organisation *organisation_ = nullptr; ///< In `configuration_`.
    std::vector<serving::KeyedPart> parts_;
    std::string bodyDigest_;
    double quotaCost_ = 0;
    bool quotaTaken_ = false;

    Phase phase_ = Phase::Deciding;
    absl::Time arrived_;
    absl::Time endsAt_;
    absl::Time callBegan_;
    absl::Time runBegan_;
    std::optional<absl::Duration> readFor_; ///< The last prompt read, from its sending on.
    bool mayHaveWaited_ = false; ///< For a slot of the writer.
    EndpointChoice choice_;
    EndpointRecord reader_;
    EndpointRecord writer_;
    std::uint64_t waitingTokens_ = 0; ///< At the engine that reads, before this request.
    LoadShare readerLoad_;
    LoadShare writerLoad_;
    std::optional<PromptHandle> prompt_;
    bool bodyTaken_ = false; ///< The writer has, or may have, begun to work on the request.
    bool promptTaken_ = false; ///< The writer has the prompt: its answer began.
    std::shared_ptr<net::Call> call_;
    std::vector<base::EndpointId> tried_;
    std::uint32_t mayHaveRunAt_ = 0; ///< Endpoints.
    std::uint32_t sendings_ = 0;
    bool promptReadBefore_ = false;
    bool wholePathFailed_ = false; ///< Reading apart did not lead to a run.

    EventFramer framer_;
    std::optional<std::uint64_t> lastEvent_;
    net::ResponseHead answerHead_;
    std::string answerBody_;
    std::optional<absl::Time> startedAt_; ///< When an endpoint began to run it.
    std::optional<absl::Time> firstByteAt_;
    bool streamBegun_ = false; ///< The caller has the head of the answer.
    bool usageCounted_ = false;
};

/// Handlers of the two kinds of call; they hold the exchange while the call is under way.
std::shared_ptr<net::CallHandler> makePromptHandler(std::shared_ptr<Exchange> exchange,
                                                    const EndpointDialect &dialect);
std::shared_ptr<net::CallHandler> makeRunHandler(std::shared_ptr<Exchange> exchange,
                                                 const EndpointDialect &dialect);

} // namespace zinniadoor::gateway
