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

/// Facts of a model call for queue and router.
serving::RequestFacts factsOf(const ModelCall &call, const base::RequestId &id,
                              const base::OrganisationId &organisation, absl::Time deadline);

/// A model call: streams from engines, checks every event, resumes a broken stream at its
/// token offset and counts what was used.
class ModelRequest : public Request, private CallListener
{
public:
    ModelRequest(RequestServices &services, std::shared_ptr<ports::CallerExchange> exchange,
                 const base::RequestId &id, Caller caller, ModelCall call,
                 serving::RequestFacts facts);
    ~ModelRequest() override;

    const serving::RequestFacts &facts() const { return facts_; }

    /// Waits for an endpoint: a first one through the queue, or another one after a failure.
    bool needsEndpoint(absl::Time now) const;
    bool hasStarted() const { return attempts_ > 0; }

    /// When the request last began to wait for an endpoint.
    absl::Time waitingSince() const { return waitingSince_; }

    /// Endpoints that failed this request.
    const std::vector<base::EndpointId> &failedOn() const { return failedOn_; }

    /// Sends the call (or its rest) to an endpoint.
    void startOn(const base::EndpointId &endpoint, absl::Time now);

    /// Refuses a request that has not been answered in part.
    void giveUp(const base::Reason &reason, absl::Duration retryAfter);

    void onCallerProgress() override;
    void onCallerGone() override;
    void cut(const base::Reason &reason) override;
    void onTick(absl::Time now) override;
    void onProbed(const base::EndpointId &endpoint, bool alive) override;

    /// An endpoint to look at over a new connection, because a call to it broke or went silent.
    std::optional<base::EndpointId> takeProbeWish();

private:
    enum class State { Waiting, Running, InDoubt, Settling, Ended };

    void onCallNews(CallToken call, const CallNews &news) override;
    void onHead(const ResponseHead &head);
    void onBytes(const std::string &bytes);
    void onItem(const serving::StreamItem &item);
    void onFirstToken();
    void onCallEnd(const ports::EndpointCallEnd &end);
    void onCallFailed(const base::Reason &reason, bool mayHaveRun, bool connectionLost);
    void decideAfterFailure(absl::Time now);
    void settle();
    void sendRest();
    void respondWhole();
    void beginStreamOnce();
    void stopCall();
    void leaveEndpoint();

    /// The endpoint has, or may have, begun to work on the request.
    void noteTaken();
    void endWithFault(const base::Reason &reason, absl::Duration retryAfter);
    void countPartialUse();
    ports::EndpointRequest engineRequest(const control::Endpoint &endpoint, absl::Time now) const;

    ModelCall call_;
    serving::RequestFacts facts_;
    serving::StreamCheck check_;
    State state_ = State::Waiting;
    std::uint32_t attempts_ = 0;
    std::uint32_t attemptsWithoutProgress_ = 0;
    std::uint64_t offsetAtStart_ = 0; ///< Of the running call.
    std::vector<base::EndpointId> failedOn_;
    std::optional<base::EndpointId> endpoint_;
    std::optional<base::EndpointId> probeWish_;
    std::optional<CallToken> running_;
    bool held_ = false;
    bool streamBegun_ = false;
    bool mayHaveRun_ = false;
    bool lastMayHaveRun_ = false;
    int engineStatus_ = 0;
    bool taken_ = false; ///< By the present endpoint.
    std::string engineError_;
    bool freshConnection_ = false; ///< A pooled connection failed this request.
    absl::Time startedAt_; ///< Of the running call.
    absl::Time lastByteAt_;
    absl::Time waitingSince_;
    absl::Time notBefore_ = absl::InfinitePast(); ///< Of the next call.
    absl::Time firstTokenAt_ = absl::InfinitePast();
    std::string wholeText_;
    std::string finalBytes_; ///< Held until the usage is settled.
    base::Reason lastReason_;
    std::shared_ptr<int> lifetime_ = std::make_shared<int>(0); ///< For callbacks that come late.
};

} // namespace zinniadoor::daemon
