#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "zinniadoor/daemon/model_call.hpp"
#include "zinniadoor/daemon/request.hpp"
#include "zinniadoor/serving/request_facts.hpp"
#include "zinniadoor/serving/stream_check.hpp"

namespace zinniadoor::daemon {

/// Properties of a model call that the admission queue and the router use.
serving::RequestFacts factsOf(const ModelCall &call, const base::RequestId &id,
                              const base::OrganisationId &organisation, absl::Time deadline);

/// A model call. Relays the token stream of an engine and validates each event. If the stream
/// breaks, resumes it on another engine at the token offset reached. Records the token usage before
/// the answer is completed.
class ModelRequest : public Request, private CallListener
{
public:
    ModelRequest(RequestServices &services, std::shared_ptr<ports::CallerExchange> exchange,
                 const base::RequestId &id, Caller caller, ModelCall call,
                 serving::RequestFacts facts);
    ~ModelRequest() override;

    const serving::RequestFacts &facts() const { return facts_; }

    /// Whether the request waits for an endpoint: for its first one in the queue, or for another
    /// one after a failure and its back-off.
    bool needsEndpoint(absl::Time now) const;
    bool hasStarted() const { return attempts_ > 0; }

    /// Start of the current or last wait for an endpoint.
    absl::Time waitingSince() const { return waitingSince_; }

    /// Endpoints on which attempts of this request have failed.
    const std::vector<base::EndpointId> &failedEndpoints() const { return failedEndpoints_; }

    /// Sends the call to an endpoint; after a failure, resumes it at the token offset reached.
    void startOn(const base::EndpointId &endpoint, absl::Time now);

    /// Ends the request with an error response, or with an error event if a stream has started.
    void fail(const base::Reason &reason, absl::Duration retryAfter);

    void onCallerProgress() override;
    void onCallerDisconnected() override;
    void abort(const base::Reason &reason) override;
    void onTick(absl::Time now) override;
    void onProbed(const base::EndpointId &endpoint, bool alive) override;

    /// Returns and clears the endpoint that is to be probed over a new connection, because a call
    /// to it failed or went silent.
    std::optional<base::EndpointId> takePendingProbe();

private:
    enum class State { Waiting, Running, AwaitingProbe, RecordingUsage, Ended };

    void onCallUpdate(CallToken call, const CallUpdate &update) override;
    void onHead(const ResponseHead &head);
    void onBytes(const std::string &bytes);
    void onItem(const serving::StreamItem &item);
    void onFirstToken();
    void onCallEnd(const ports::EndpointCallEnd &end);
    void onCallFailed(const base::Reason &reason, bool mayHaveRun, bool connectionLost);
    void decideAfterFailure(absl::Time now);
    void recordUsage();
    void finishAnswer();
    void respondFull();
    void ensureStreamStarted();
    void stopCall();
    void releaseEndpoint();

    /// Records that the endpoint has, or may have, started to execute the request.
    void noteAccepted();
    void endWithError(const base::Reason &reason, absl::Duration retryAfter);
    void countPartialUsage();
    ports::EndpointRequest engineRequest(const control::Endpoint &endpoint, absl::Time now) const;

    ModelCall call_;
    serving::RequestFacts facts_;
    serving::StreamCheck check_;
    State state_ = State::Waiting;
    std::uint32_t attempts_ = 0;
    std::uint32_t attemptsWithoutProgress_ = 0;
    std::uint64_t offsetAtStart_ = 0; ///< Of the running call.
    std::vector<base::EndpointId> failedEndpoints_;
    std::optional<base::EndpointId> endpoint_;
    std::optional<base::EndpointId> pendingProbe_;
    std::optional<CallToken> running_;
    bool deliveryPaused_ = false;
    bool streamStarted_ = false;
    bool mayHaveRun_ = false;
    bool lastMayHaveRun_ = false;
    int engineStatus_ = 0;
    bool accepted_ = false; ///< By the current endpoint.
    std::string engineError_;
    bool freshConnection_ = false; ///< A pooled connection failed this request.
    absl::Time startedAt_; ///< Of the running call.
    absl::Time lastByteAt_;
    absl::Time waitingSince_;
    absl::Time notBefore_ = absl::InfinitePast(); ///< Of the next call.
    absl::Time firstTokenAt_ = absl::InfinitePast();
    std::string fullText_;
    std::string finalBytes_; ///< Withheld until the usage is recorded.
    base::Reason lastReason_;

    /// Expires with the request, so that callbacks can detect that it is gone.
    std::shared_ptr<int> lifetime_ = std::make_shared<int>(0);
};

} // namespace zinniadoor::daemon
