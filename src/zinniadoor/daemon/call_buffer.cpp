#include "zinniadoor/daemon/call_buffer.hpp"

#include <utility>

namespace zinniadoor::daemon {

CallBuffer::CallBuffer(std::uint64_t call, std::size_t capacity, CoreRing &core)
    : call_(call)
    , capacity_(capacity)
    , core_(core)
{ }

void CallBuffer::onHeaders(int status, const std::vector<ports::HttpHeader> &headers)
{
    const absl::MutexLock lock(&mutex_);
    update_.head = ResponseHead { status, headers };
    notifyLocked();
}

bool CallBuffer::onData(std::string_view bytes)
{
    const absl::MutexLock lock(&mutex_);
    // An empty buffer accepts a piece that exceeds the capacity; otherwise the call would stall.
    if (!update_.bytes.empty() && update_.bytes.size() + bytes.size() > capacity_) {
        update_.paused = true;
        return false;
    }
    update_.bytes.append(bytes);
    notifyLocked();
    return true;
}

void CallBuffer::onEnd(const ports::EndpointCallEnd &end)
{
    const absl::MutexLock lock(&mutex_);
    update_.end = end;
    notifyLocked();
}

CallUpdate CallBuffer::take()
{
    const absl::MutexLock lock(&mutex_);
    notified_ = false;
    notificationMissed_ = false;
    return std::exchange(update_, CallUpdate {});
}

bool CallBuffer::hasMissedNotification() const
{
    const absl::MutexLock lock(&mutex_);
    return notificationMissed_;
}

void CallBuffer::notifyLocked()
{
    if (notified_)
        return;
    notified_ = core_.tryPush(EndpointCallUpdated { call_ });
    notificationMissed_ = !notified_;
}

} // namespace zinniadoor::daemon
