#include "peer_inbox.hpp"

#include <utility>

#include <sys/eventfd.h>
#include <unistd.h>

namespace zinniadoor::adapters::detail {

PeerInbox::PeerInbox(std::size_t capacity)
    : ring_(capacity)
    , event_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{ }

PeerInbox::~PeerInbox()
{
    close(event_);
}

void PeerInbox::push(PeerCallCommand call)
{
    PeerCommand command = std::move(call);
    if (!ring_.tryPush(std::move(command))) {
        // A refused item is left untouched.
        const absl::MutexLock lock(&mutex_);
        // NOLINTNEXTLINE(bugprone-use-after-move)
        refused_.push_back(std::move(std::get<PeerCallCommand>(command).done));
    }
    wake();
}

// Replies are bounded by the calls that were taken, so those that find the ring full may wait
// beside it; losing one would leave its connection's count of open calls wrong.
void PeerInbox::push(PeerReplyCommand reply)
{
    PeerCommand command = std::move(reply);
    if (!ring_.tryPush(std::move(command))) {
        const absl::MutexLock lock(&mutex_);
        // NOLINTNEXTLINE(bugprone-use-after-move)
        lateReplies_.push_back(std::move(command));
    }
    wake();
}

void PeerInbox::wake() const
{
    const std::uint64_t one = 1;
    static_cast<void>(write(event_, &one, sizeof(one)));
}

void PeerInbox::clearWake() const
{
    std::uint64_t count = 0;
    static_cast<void>(read(event_, &count, sizeof(count)));
}

std::optional<PeerCommand> PeerInbox::pop()
{
    if (auto command = ring_.tryPop())
        return command;
    const absl::MutexLock lock(&mutex_);
    if (lateReplies_.empty())
        return std::nullopt;
    PeerCommand command = std::move(lateReplies_.back());
    lateReplies_.pop_back();
    return command;
}

std::vector<ports::PeerLink::CallDone> PeerInbox::takeRefused()
{
    const absl::MutexLock lock(&mutex_);
    return std::exchange(refused_, {});
}

PeerReplyTicket::PeerReplyTicket(std::shared_ptr<PeerInbox> inbox, PeerConnectionId connection,
                                 std::uint64_t callId)
    : inbox_(std::move(inbox))
    , connection_(connection)
    , callId_(callId)
{ }

PeerReplyTicket::~PeerReplyTicket()
{
    if (!answered_)
        inbox_->push(PeerReplyCommand { connection_, callId_, std::nullopt });
}

void PeerReplyTicket::answer(std::string bytes)
{
    if (!answered_.exchange(true))
        inbox_->push(PeerReplyCommand { connection_, callId_, std::move(bytes) });
}

} // namespace zinniadoor::adapters::detail
