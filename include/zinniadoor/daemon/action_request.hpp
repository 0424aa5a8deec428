#pragma once

#include <optional>
#include <string>
#include <vector>

#include "zinniadoor/control/action_controller.hpp"
#include "zinniadoor/daemon/control_loop.hpp"
#include "zinniadoor/daemon/request.hpp"

namespace zinniadoor::daemon {

/// Dependencies that action requests share in addition to RequestServices. Used on the core thread.
struct ActionServices
{
    ControlLoop &control;
    control::ActionController &actionController;
};

/// A request to a plain service that is executed at most once. Claims the action in the control
/// log, calls the service if the claim wins, records the outcome in the log and then responds.
class ActionRequest : public Request, private CallListener
{
public:
    ActionRequest(RequestServices &services, ActionServices &actions,
                  std::shared_ptr<ports::CallerExchange> exchange, base::RequestId id,
                  Caller caller, control::Route route);
    ~ActionRequest() override;

    void onApplied() override;
    void onCallerProgress() override { }
    void onCallerDisconnected() override;
    void abort(const base::Reason &reason) override;
    void onTick(absl::Time now) override;
    void onProbed(const base::EndpointId &, bool) override { }

private:
    enum class State { Claiming, Calling, Recording, Ended };

    void submitClaim();
    void handleDecision(const control::ActionDecision &decision);
    void callService();
    void onCallUpdate(CallToken call, const CallUpdate &update) override;
    void onCallEnd(const ports::EndpointCallEnd &end);
    void onCallFailed(const base::Reason &reason, bool mayHaveRun);
    void sendRecordedAnswer();
    void sendServiceAnswer();
    void countAnswer(int status);
    void endWithError(const ErrorResponse &response);
    void releaseEndpoint();

    ActionServices &actions_;
    control::Route route_;
    control::ActionCall call_;
    std::uint64_t claim_ = 0; ///< Identifies this request's claim to the controller.
    State state_ = State::Claiming;
    bool callerDisconnected_ = false;
    std::optional<CallToken> running_;
    std::optional<base::EndpointId> endpoint_;
    serving::RequestFacts facts_;
    ResponseHead head_;
    std::string body_;
    absl::Time recordingSince_;
};

} // namespace zinniadoor::daemon
