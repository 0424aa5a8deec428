#include "zinniadoor/daemon/call_table.hpp"

#include <utility>
#include <vector>

namespace zinniadoor::daemon {

CallTable::CallTable(ports::EndpointClient &client, CoreRing &core, std::size_t bufferBytes)
    : client_(client)
    , core_(core)
    , bufferBytes_(bufferBytes)
{ }

base::Outcome<CallToken> CallTable::start(ports::EndpointRequest request, CallListener &listener)
{
    const CallToken token = ++lastToken_;
    auto buffer = std::make_shared<CallBuffer>(token, bufferBytes_, core_);
    const base::Outcome<ports::EndpointCallId> id = client_.start(std::move(request), buffer);
    if (!id)
        return id.lastReason();
    calls_[token] = Call { *id, std::move(buffer), &listener, false };
    return token;
}

void CallTable::cancel(CallToken call)
{
    const auto found = calls_.find(call);
    if (found == calls_.end())
        return;
    client_.cancel(found->second.id);
    calls_.erase(found);
}

void CallTable::pauseDelivery(CallToken call)
{
    const auto found = calls_.find(call);
    if (found != calls_.end())
        found->second.deliveryPaused = true;
}

void CallTable::resumeDelivery(CallToken call)
{
    const auto found = calls_.find(call);
    if (found == calls_.end() || !found->second.deliveryPaused)
        return;
    found->second.deliveryPaused = false;
    deliver(call);
}

void CallTable::deliver(CallToken call)
{
    const auto found = calls_.find(call);
    if (found == calls_.end() || found->second.deliveryPaused)
        return;
    const CallUpdate update = found->second.buffer->take();
    if (update.paused)
        client_.resume(found->second.id);
    CallListener *listener = found->second.listener;
    // The listener may start or cancel calls, which invalidates `found`.
    if (update.end)
        calls_.erase(found);
    listener->onCallUpdate(call, update);
}

void CallTable::deliverMissed()
{
    std::vector<CallToken> missed;
    for (const auto &[token, call] : calls_) {
        if (call.buffer->hasMissedNotification())
            missed.push_back(token);
    }
    for (const CallToken token : missed)
        deliver(token);
}

} // namespace zinniadoor::daemon
