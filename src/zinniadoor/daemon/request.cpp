#include "zinniadoor/daemon/request.hpp"

#include <utility>

namespace zinniadoor::daemon {

Request::Request(RequestServices &services, std::shared_ptr<ports::CallerExchange> exchange,
                 base::RequestId id, Caller caller)
    : services_(services)
    , exchange_(std::move(exchange))
    , id_(std::move(id))
    , caller_(std::move(caller))
    , arrivedAt_(services.clock.now())
{ }

void Request::countCompleted(absl::Time firstByteAt)
{
    services_.burn.countAnswer(caller_.organisation, routeName_, firstByteAt - arrivedAt_);
}

void Request::countFailure(base::ReasonCode code)
{
    services_.burn.countFailure(caller_.organisation, routeName_, code);
}

void Request::refuse(const ErrorResponse &response)
{
    countFailure(response.reason.code);
    services_.metrics.countRefusal(caller_.organisation, nameOf(response.reason.code),
                                   response.reason.code != base::ReasonCode::InvalidArgument);
    sendError(*exchange_, id_, response);
    markDone();
}

} // namespace zinniadoor::daemon
