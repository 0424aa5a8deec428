#pragma once

#include <cstdint>
#include <string>

#include "absl/time/time.h"

#include "zinniadoor/base/clock.hpp"
#include "zinniadoor/control/membership.hpp"
#include "zinniadoor/daemon/control_loop.hpp"
#include "zinniadoor/daemon/peer_messenger.hpp"

namespace zinniadoor::daemon {

/// Gives this instance's state to instances that start while the log cannot be read, and takes
/// it from others in that case. For the core thread.
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

    /// The part that a peer asks for.
    control::StateResponse onAsk(const control::StateRequest &ask);

    void tick(absl::Time now);

private:
    void askNext();
    void onAnswer(const base::Outcome<control::PeerMessage> &message);
    void giveUpPeer();

    Parts parts_;
    // As the giver.
    std::string given_;
    base::Offset givenThrough_ = 0;
    // As the taker.
    absl::Time startAfter_;
    bool asking_ = false;
    bool done_ = false;
    std::size_t nextPeer_ = 0;
    base::Offset through_ = 0;
    std::uint32_t nextPart_ = 0;
    std::string taken_;
};

} // namespace zinniadoor::daemon
