#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "absl/container/flat_hash_map.h"

#include "zinniadoor/daemon/call_buffer.hpp"
#include "zinniadoor/ports/endpoint_client.hpp"

namespace zinniadoor::daemon {

using CallToken = std::uint64_t;

/// Takes what a call brought, on the core thread.
class CallListener
{
public:
    virtual ~CallListener() = default;
    virtual void onCallNews(CallToken call, const CallNews &news) = 0;
};

/// The calls to endpoints in progress. For the core thread.
class CallTable
{
public:
    /// `bufferBytes`: held for each call before its connection is paused.
    CallTable(ports::EndpointClient &client, CoreRing &core, std::size_t bufferBytes);

    /// `listener` must live until the call has ended or `cancel` was called.
    base::Outcome<CallToken> start(ports::EndpointRequest request, CallListener &listener);

    /// Ends a call; the listener hears no more of it.
    void cancel(CallToken call);

    /// While a call is held, what it brings stays in its buffer and then pauses the endpoint.
    void hold(CallToken call);
    void release(CallToken call);

    /// Hands a call's news to its listener.
    void deliver(CallToken call);

    /// Delivers news whose notice found the core's ring full.
    void sweep();

    std::size_t size() const { return calls_.size(); }

private:
    struct Call
    {
        ports::EndpointCallId id = 0;
        std::shared_ptr<CallBuffer> buffer;
        CallListener *listener = nullptr;
        bool held = false;
    };

    ports::EndpointClient &client_;
    CoreRing &core_;
    std::size_t bufferBytes_;
    CallToken lastToken_ = 0;
    absl::flat_hash_map<CallToken, Call> calls_;
};

} // namespace zinniadoor::daemon
