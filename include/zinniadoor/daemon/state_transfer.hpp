#pragma once

#include <cstdint>
#include <string>

#include "absl/time/time.h"

#include "zinniadoor/base/clock.hpp"
#include "zinniadoor/control/membership.hpp"
#include "zinniadoor/daemon/control_loop.hpp"
#include "zinniadoor/daemon/peer_messenger.hpp"

namespace zinniadoor::daemon {

/// Serves this instance's state to instances that start while the log cannot be read, and fetches
/// the state from a peer when this instance starts in that situation. Used on the core thread only.
class StateTransfer
{
public:
    struct Parts
    {
        const base::Clock &clock;
        ControlLoop &control;
        PeerMessenger &messenger;
        const Settings &settings;
    };

    explicit StateTransfer(Parts parts);

    /// Returns the requested part; an empty response if it is not available.
    control::StateResponse onStateRequest(const control::StateRequest &request);

    void tick(absl::Time now);

private:
    void requestNextPart();
    void onResponse(const base::Outcome<control::PeerMessage> &message);
    void switchPeer();

    Parts parts_;
    // As the server.
    std::string servedState_;
    base::Offset servedThrough_ = 0;
    // As the client.
    absl::Time startAfter_;
    bool requestInFlight_ = false;
    bool done_ = false;
    std::size_t nextPeer_ = 0;
    base::Offset through_ = 0;
    std::uint32_t nextPart_ = 0;
    std::string receivedBytes_;
};

} // namespace zinniadoor::daemon
