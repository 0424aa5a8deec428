#include "peer_command_queue.hpp"

#include <utility>

#include <sys/eventfd.h>
#include <unistd.h>

namespace zinniadoor::adapters::detail {

PeerCommandQueue::PeerCommandQueue(std::size_t capacity)
    : ring_(capacity)
    , event_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{ }

PeerCommandQueue::~PeerCommandQueue()
{
    close(event_);
}

void PeerCommandQueue::push(PeerCallCommand call)
{
    PeerCommand command = std::move(call);
    if (!ring_.tryPush(std::move(command))) {
        // A failed push leaves the command intact.
        const absl::MutexLock lock(&mutex_);
        // NOLINTNEXTLINE(bugprone-use-after-move)
        rejected_.push_back(std::move(std::get<PeerCallCommand>(command).done));
    }
    wake();
}

// The number of replies is bounded by the calls that were accepted, so an overflow list is safe.
// A lost reply would leave its connection's count of open calls wrong.
void PeerCommandQueue::push(PeerReplyCommand reply)
{
    PeerCommand command = std::move(reply);
    if (!ring_.tryPush(std::move(command))) {
        const absl::MutexLock lock(&mutex_);
        // NOLINTNEXTLINE(bugprone-use-after-move)
        overflowReplies_.push_back(std::move(command));
    }
    wake();
}

void PeerCommandQueue::wake() const
{
    const std::uint64_t one = 1;
    static_cast<void>(write(event_, &one, sizeof(one)));
}

void PeerCommandQueue::clearWake() const
{
    std::uint64_t count = 0;
    static_cast<void>(read(event_, &count, sizeof(count)));
}

std::optional<PeerCommand> PeerCommandQueue::pop()
{
    if (auto command = ring_.tryPop())
        return command;
    const absl::MutexLock lock(&mutex_);
    if (overflowReplies_.empty())
        return std::nullopt;
    PeerCommand command = std::move(overflowReplies_.back());
    overflowReplies_.pop_back();
    return command;
}

std::vector<ports::PeerLink::CallDone> PeerCommandQueue::takeRejected()
{
    const absl::MutexLock lock(&mutex_);
    return std::exchange(rejected_, {});
}

PendingPeerReply::PendingPeerReply(std::shared_ptr<PeerCommandQueue> commands,
                                   PeerConnectionId connection, std::uint64_t callId)
    : commands_(std::move(commands))
    , connection_(connection)
    , callId_(callId)
{ }

PendingPeerReply::~PendingPeerReply()
{
    if (!sent_)
        commands_->push(PeerReplyCommand { connection_, callId_, std::nullopt });
}

void PendingPeerReply::send(std::string bytes)
{
    if (!sent_.exchange(true))
        commands_->push(PeerReplyCommand { connection_, callId_, std::move(bytes) });
}

} // namespace zinniadoor::adapters::detail
