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

void Request::refuse(const ErrorAnswer &answer)
{
    services_.metrics.countRefusal(caller_.organisation, nameOf(answer.reason.code),
                                   answer.reason.code != base::ReasonCode::InvalidArgument);
    sendError(*exchange_, id_, answer);
    markDone();
}

} // namespace zinniadoor::daemon
