#pragma once

#include <optional>
#include <string>
#include <vector>

#include "zinniadoor/control/bundle.hpp"
#include "zinniadoor/daemon/request.hpp"

namespace zinniadoor::daemon {

/// Headers to forward from a caller's request to a plain service. Drops hop-by-hop headers,
/// credentials and Zinniadoor headers.
std::vector<ports::HttpHeader> headersForService(const ports::CallerRequest &request,
                                                 const base::RequestId &id);

/// Headers to forward from a service's response to the caller.
std::vector<ports::HttpHeader> headersForCaller(const std::vector<ports::HttpHeader> &headers,
                                                const base::RequestId &id);

/// Call that forwards a caller's request to a service.
ports::EndpointRequest serviceCall(const ports::CallerRequest &request,
                                   const control::Endpoint &endpoint, const base::RequestId &id);

/// A request to a plain service that may be retried. Streams the response to the caller.
class ServiceRequest : public Request, private CallListener
{
public:
    ServiceRequest(RequestServices &services, std::shared_ptr<ports::CallerExchange> exchange,
                   base::RequestId id, Caller caller, control::Route route);
    ~ServiceRequest() override;

    void onCallerProgress() override;
    void onCallerDisconnected() override;
    void abort(const base::Reason &reason) override;
    void onTick(absl::Time now) override;
    void onProbed(const base::EndpointId &endpoint, bool alive) override;

private:
    void start(absl::Time now);
    void onCallUpdate(CallToken call, const CallUpdate &update) override;
    void onHead(const ResponseHead &head);
    void onBytes(const std::string &bytes);
    void onCallEnd(const ports::EndpointCallEnd &end);
    void onCallFailed(const base::Reason &reason, bool mayHaveRun);
    void endWithError(const base::Reason &reason, absl::Duration retryAfter);
    void releaseEndpoint();

    control::Route route_;
    serving::RequestFacts facts_;
    std::uint32_t attempts_ = 0;
    std::vector<base::EndpointId> failedEndpoints_;
    std::optional<base::EndpointId> endpoint_;
    std::optional<CallToken> running_;
    bool deliveryPaused_ = false;
    bool streamStarted_ = false;
    bool mayHaveRun_ = false;
    absl::Time notBefore_ = absl::InfinitePast();
    absl::Time sentAt_;
    absl::Time headAt_;
    int status_ = 0;
};

} // namespace zinniadoor::daemon
