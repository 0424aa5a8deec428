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
    std::optional<std::string> bytes; ///< Nothing when the handler gave the call up.
};

using PeerCommand = std::variant<PeerCallCommand, PeerReplyCommand>;

/// The way from any thread to the link's thread. Outlives the link while a reply is open.
class PeerInbox
{
public:
    /// `capacity`: calls that wait to be taken over.
    explicit PeerInbox(std::size_t capacity);
    ~PeerInbox();
    PeerInbox(const PeerInbox &) = delete;
    PeerInbox &operator=(const PeerInbox &) = delete;

    /// Readable while there may be something to take.
    int event() const { return event_; }

    void push(PeerCallCommand call);
    void push(PeerReplyCommand reply);
    void wake() const;
    void clearWake() const;

    std::optional<PeerCommand> pop();

    /// Ends of calls for which there was no room.
    std::vector<ports::PeerLink::CallDone> takeRefused();

private:
    base::Ring<PeerCommand> ring_;
    const int event_;
    absl::Mutex mutex_;
    std::vector<ports::PeerLink::CallDone> refused_ ABSL_GUARDED_BY(mutex_);
    std::vector<PeerCommand> lateReplies_ ABSL_GUARDED_BY(mutex_);
};

/// The handler's right to answer one call once. Giving it up unused is told to the link.
class PeerReplyTicket
{
public:
    PeerReplyTicket(std::shared_ptr<PeerInbox> inbox, PeerConnectionId connection,
                    std::uint64_t callId);
    ~PeerReplyTicket();
    PeerReplyTicket(const PeerReplyTicket &) = delete;
    PeerReplyTicket &operator=(const PeerReplyTicket &) = delete;

    void answer(std::string bytes);

private:
    const std::shared_ptr<PeerInbox> inbox_;
    const PeerConnectionId connection_;
    const std::uint64_t callId_;
    std::atomic<bool> answered_ { false };
};

} // namespace zinniadoor::adapters::detail
