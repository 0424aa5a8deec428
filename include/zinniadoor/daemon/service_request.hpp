#pragma once

#include <optional>
#include <string>
#include <vector>

#include "zinniadoor/control/bundle.hpp"
#include "zinniadoor/daemon/request.hpp"

namespace zinniadoor::daemon {

/// Headers of a caller's request that a plain service gets: never the key, nothing that belongs
/// to the connection.
std::vector<ports::HttpHeader> headersForService(const ports::CallerRequest &request,
                                                 const base::RequestId &id);

/// Headers of a service's answer that the caller gets.
std::vector<ports::HttpHeader> headersForCaller(const std::vector<ports::HttpHeader> &headers,
                                                const base::RequestId &id);

/// The call that passes a caller's request on to a service.
ports::EndpointRequest serviceCall(const ports::CallerRequest &request,
                                   const control::Endpoint &endpoint, const base::RequestId &id);

/// A request to a plain service that may be repeated: passes the answer through.
class ServiceRequest : public Request, private CallListener
{
public:
    ServiceRequest(RequestServices &services, std::shared_ptr<ports::CallerExchange> exchange,
                   base::RequestId id, Caller caller, control::Route route);
    ~ServiceRequest() override;

    void onCallerProgress() override;
    void onCallerGone() override;
    void cut(const base::Reason &reason) override;
    void onTick(absl::Time now) override;
    void onProbed(const base::EndpointId &endpoint, bool alive) override;

private:
    void start(absl::Time now);
    void onCallNews(CallToken call, const CallNews &news) override;
    void onHead(const ResponseHead &head);
    void onBytes(const std::string &bytes);
    void onCallEnd(const ports::EndpointCallEnd &end);
    void onCallFailed(const base::Reason &reason, bool mayHaveRun);
    void endWithFault(const base::Reason &reason, absl::Duration retryAfter);
    void leaveEndpoint();

    control::Route route_;
    serving::RequestFacts facts_;
    std::uint32_t attempts_ = 0;
    std::vector<base::EndpointId> failedOn_;
    std::optional<base::EndpointId> endpoint_;
    std::optional<CallToken> running_;
    bool held_ = false;
    bool begun_ = false;
    bool mayHaveRun_ = false;
    absl::Time notBefore_ = absl::InfinitePast();
    absl::Time sentAt_;
    absl::Time headAt_;
    int status_ = 0;
};

} // namespace zinniadoor::daemon
