#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/control/peer_messages.hpp"
#include "zinniadoor/daemon/core_messages.hpp"
#include "zinniadoor/daemon/metrics.hpp"
#include "zinniadoor/ports/peer_link.hpp"

namespace zinniadoor::daemon {

/// Sends messages to other instances and matches replies to calls. Used on the core thread only.
class PeerMessenger
{
public:
    PeerMessenger(ports::PeerLink &link, CoreRing &core, Metrics &metrics);

    /// Sets or replaces an instance's address; addresses are never removed.
    void setAddress(const base::InstanceId &instance, const std::string &address);
    bool hasAddress(const base::InstanceId &instance) const
    {
        return addresses_.contains(instance);
    }

    /// Sends a one-way message: by UDP if it fits into a datagram, else by TCP.
    void send(const control::OutgoingMessage &outgoing);

    using ReplyCallback = std::function<void(base::Outcome<control::PeerMessage>)>;

    /// Sends a request by TCP. `done` is called at most once, on the core thread.
    void call(const control::OutgoingMessage &outgoing, absl::Duration timeout, ReplyCallback done);

    /// A call of the link has completed.
    void onCallCompleted(const PeerCallCompleted &completed);

private:
    void startCall(const std::string &address, std::string bytes, absl::Duration timeout,
                   ReplyCallback done);

    ports::PeerLink &link_;
    CoreRing &core_;
    Metrics &metrics_;
    absl::flat_hash_map<base::InstanceId, std::string> addresses_;
    absl::flat_hash_map<std::uint64_t, ReplyCallback> calls_;
    std::uint64_t lastCall_ = 0;
};

} // namespace zinniadoor::daemon
