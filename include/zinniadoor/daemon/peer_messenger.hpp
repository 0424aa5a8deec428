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

/// Sends typed messages to other instances. For the core thread.
class PeerMessenger
{
public:
    PeerMessenger(ports::PeerLink &link, CoreRing &core, Metrics &metrics);

    /// Where each instance listens; addresses known before stay.
    void setAddress(const base::InstanceId &instance, const std::string &address);
    bool knows(const base::InstanceId &instance) const { return addresses_.contains(instance); }

    /// One way, by UDP if the message fits into a datagram.
    void send(const control::OutgoingMessage &outgoing);

    using Done = std::function<void(base::Outcome<control::PeerMessage>)>;

    /// Question and answer by TCP; `done` is called once, on the core thread.
    void call(const control::OutgoingMessage &outgoing, absl::Duration timeout, Done done);

    /// An answer from the link.
    void onAnswered(const PeerAnswered &answered);

private:
    void startCall(const std::string &address, std::string bytes, absl::Duration timeout,
                   Done done);

    ports::PeerLink &link_;
    CoreRing &core_;
    Metrics &metrics_;
    absl::flat_hash_map<base::InstanceId, std::string> addresses_;
    absl::flat_hash_map<std::uint64_t, Done> calls_;
    std::uint64_t lastCall_ = 0;
};

} // namespace zinniadoor::daemon
