#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include "zinniadoor/base/ring.hpp"
#include "zinniadoor/ports/peer_link.hpp"

#include "peer_connection.hpp"

namespace zinniadoor::adapters::detail {

struct PeerCallCommand
{
    std::string address;
    std::string bytes;
    absl::Time deadline;
    ports::PeerLink::CallDone done;
};

struct PeerReplyCommand
{
    PeerConnectionId connection = 0;
    std::uint64_t callId = 0;
    std::optional<std::string> bytes; ///< Unset if the handler dropped the call without a reply.
};

using PeerCommand = std::variant<PeerCallCommand, PeerReplyCommand>;

/// Commands from any thread to the link's thread. Pending replies keep it alive after the link is
/// destroyed.
class PeerCommandQueue
{
public:
    /// `capacity`: commands that may be queued for the link's thread.
    explicit PeerCommandQueue(std::size_t capacity);
    ~PeerCommandQueue();
    PeerCommandQueue(const PeerCommandQueue &) = delete;
    PeerCommandQueue &operator=(const PeerCommandQueue &) = delete;

    /// Event descriptor; readable while commands may be queued.
    int event() const { return event_; }

    void push(PeerCallCommand call);
    void push(PeerReplyCommand reply);
    void wake() const;
    void clearWake() const;

    std::optional<PeerCommand> pop();

    /// Takes the completion callbacks of calls that were rejected because the queue was full.
    std::vector<ports::PeerLink::CallDone> takeRejected();

private:
    base::Ring<PeerCommand> ring_;
    const int event_;
    absl::Mutex mutex_;
    std::vector<ports::PeerLink::CallDone> rejected_ ABSL_GUARDED_BY(mutex_);
    std::vector<PeerCommand> overflowReplies_ ABSL_GUARDED_BY(mutex_);
};

/// Reply to one received call; may be sent once. If it is destroyed without that, the link is
/// notified.
class PendingPeerReply
{
public:
    PendingPeerReply(std::shared_ptr<PeerCommandQueue> commands, PeerConnectionId connection,
                     std::uint64_t callId);
    ~PendingPeerReply();
    PendingPeerReply(const PendingPeerReply &) = delete;
    PendingPeerReply &operator=(const PendingPeerReply &) = delete;

    void send(std::string bytes);

private:
    const std::shared_ptr<PeerCommandQueue> commands_;
    const PeerConnectionId connection_;
    const std::uint64_t callId_;
    std::atomic<bool> sent_ { false };
};

} // namespace zinniadoor::adapters::detail
