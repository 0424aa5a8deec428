#pragma once

#include <optional>
#include <string>
#include <vector>

#include "zinniadoor/control/action_controller.hpp"
#include "zinniadoor/daemon/control_loop.hpp"
#include "zinniadoor/daemon/request.hpp"

namespace zinniadoor::daemon {

/// What requests for actions share beside RequestServices. For the core thread.
struct ActionServices
{
    ControlLoop &control;
    control::ActionController &keeper;
};

/// A request to a plain service that may run at most once: claims the action in the log, calls
/// the service once if the claim counts, records the outcome and answers.
class ActionRequest : public Request, private CallListener
{
public:
    ActionRequest(RequestServices &services, ActionServices &actions,
                  std::shared_ptr<ports::CallerExchange> exchange, base::RequestId id,
                  Caller caller, control::Route route);
    ~ActionRequest() override;

    void onApplied() override;
    void onCallerProgress() override { }
    void onCallerGone() override;
    void cut(const base::Reason &reason) override;
    void onTick(absl::Time now) override;
    void onProbed(const base::EndpointId &, bool) override { }

private:
    enum class State { Claiming, Calling, Recording, Ended };

    void begin();
    void follow(const control::ActionDecision &decision);
    void runOnce();
    void onCallNews(CallToken call, const CallNews &news) override;
    void onCallEnd(const ports::EndpointCallEnd &end);
    void onBroken(const base::Reason &reason, bool mayHaveRun);
    void answerRecorded();
    void answerRan();
    void countAnswered(int status);
    void refuseOnce(const ErrorAnswer &answer);
    void leaveEndpoint();

    ActionServices &actions_;
    control::Route route_;
    control::ActionCall call_;
    std::uint64_t claim_ = 0; ///< Names this request's claim at the keeper.
    State state_ = State::Claiming;
    bool callerGone_ = false;
    std::optional<CallToken> running_;
    std::optional<base::EndpointId> endpoint_;
    serving::RequestFacts facts_;
    ResponseHead head_;
    std::string body_;
    absl::Time recordedAt_;
};

} // namespace zinniadoor::daemon
