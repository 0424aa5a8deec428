#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "absl/container/flat_hash_map.h"

#include "zinniadoor/daemon/call_buffer.hpp"
#include "zinniadoor/ports/endpoint_client.hpp"

namespace zinniadoor::daemon {

using CallToken = std::uint64_t;

/// Receives updates of calls, on the core thread.
class CallListener
{
public:
    virtual ~CallListener() = default;
    virtual void onCallUpdate(CallToken call, const CallUpdate &update) = 0;
};

/// The calls to endpoints that are in progress. Used on the core thread.
class CallTable
{
public:
    /// `bufferBytes`: buffered for each call before its connection is paused.
    CallTable(ports::EndpointClient &client, CoreRing &core, std::size_t bufferBytes);

    /// `listener` must outlive the call: until its end was delivered or `cancel` was called.
    base::Outcome<CallToken> start(ports::EndpointRequest request, CallListener &listener);

    /// Aborts a call; the listener receives no further updates.
    void cancel(CallToken call);

    /// While delivery is paused, received bytes stay in the call's buffer; once it is full, the
    /// endpoint's connection is paused.
    void pauseDelivery(CallToken call);
    void resumeDelivery(CallToken call);

    /// Passes everything received on a call to its listener.
    void deliver(CallToken call);

    /// Delivers updates that the core was not notified of, because its ring was full.
    void deliverMissed();

    std::size_t size() const { return calls_.size(); }

private:
    struct Call
    {
        ports::EndpointCallId id = 0;
        std::shared_ptr<CallBuffer> buffer;
        CallListener *listener = nullptr;
        bool deliveryPaused = false;
    };

    ports::EndpointClient &client_;
    CoreRing &core_;
    std::size_t bufferBytes_;
    CallToken lastToken_ = 0;
    absl::flat_hash_map<CallToken, Call> calls_;
};

} // namespace zinniadoor::daemon
