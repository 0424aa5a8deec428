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

/// Records the token usage of requests: copies each count to a peer, preferably in another data
/// centre, before the end of the response is sent, and appends counts to the log in batches. Also
/// stores the copies of peers. Used on the core thread only.
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

    void count(const TokenUsage &used, std::function<void()> done) override;

    /// Stores a peer's copy; the reply lists the sequence numbers that are now stored.
    control::UsageCopyAck onCopy(const control::UsageCopy &copy);

    /// Call after applying the entries of a read.
    void onApplied(absl::Time now);

    void tick(absl::Time now);

    /// Whether no count awaits a copy or an append.
    bool isIdle() const { return pending_.empty() && counter_.waiting() == 0; }

private:
    struct PendingUsage
    {
        control::UsageItem item;
        std::function<void()> done;
        absl::Time deadline;
        bool copyInFlight = false;
        int copyAttempts = 0;
    };

    void complete(std::uint64_t sequence);
    void copyToPeer(absl::Time now);
    void onCopied(const std::vector<std::uint64_t> &sequences,
                  const base::Outcome<control::PeerMessage> &reply);
    void appendBatches();
    std::vector<base::InstanceId> copyTargets(absl::Time now) const;

    Parts parts_;
    control::UsageCounter counter_;
    control::UsageCopies copies_;
    std::map<std::uint64_t, PendingUsage> pending_; ///< By sequence.
    std::size_t nextTarget_ = 0;
};

} // namespace zinniadoor::daemon
