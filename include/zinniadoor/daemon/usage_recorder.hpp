#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/control/membership.hpp"
#include "zinniadoor/control/usage_reporting.hpp"
#include "zinniadoor/daemon/control_loop.hpp"
#include "zinniadoor/daemon/peer_messenger.hpp"
#include "zinniadoor/daemon/request.hpp"

namespace zinniadoor::daemon {

/// Counts what requests used: copies each count to a peer in another data centre before the
/// end of the answer goes out, and hands it to the log in batches. Holds copies for peers.
/// For the core thread.
class UsageRecorder : public UsageSink
{
public:
    struct Parts
    {
        const base::Clock &clock;
        ControlLoop &control;
        PeerMessenger &messenger;
        const control::Membership &membership;
        base::DataCentreId dataCentre;
        absl::Duration peerSilence;
    };

    explicit UsageRecorder(Parts parts);

    void count(const UsedTokens &used, std::function<void()> settled) override;

    /// A peer's copy; the answer tells it what is held.
    control::UsageCopyAck onCopy(const control::UsageCopy &copy);

    /// Some frames were applied.
    void onApplied(absl::Time now);

    void tick(absl::Time now);

    /// Nothing waits for a peer or for the log.
    bool isIdle() const { return unsettled_.empty() && counter_.waiting() == 0; }

private:
    struct Unsettled
    {
        control::UsageItem item;
        std::function<void()> settled;
        absl::Time giveUpAt;
        bool copying = false;
        int tries = 0;
    };

    void settle(std::uint64_t sequence);
    void copyToPeer(absl::Time now);
    void onCopied(const std::vector<std::uint64_t> &sequences,
                  const base::Outcome<control::PeerMessage> &answer);
    void appendBatches();
    std::vector<base::InstanceId> copyTargets(absl::Time now) const;

    Parts parts_;
    control::UsageCounter counter_;
    control::UsageCopies copies_;
    std::map<std::uint64_t, Unsettled> unsettled_; ///< By sequence.
    std::size_t nextTarget_ = 0;
};

} // namespace zinniadoor::daemon
