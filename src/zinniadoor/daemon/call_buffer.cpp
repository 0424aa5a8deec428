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
    news_.head = ResponseHead { status, headers };
    notifyLocked();
}

bool CallBuffer::onData(std::string_view bytes)
{
    const absl::MutexLock lock(&mutex_);
    // A piece larger than the whole capacity still has to fit once the buffer is empty.
    if (!news_.bytes.empty() && news_.bytes.size() + bytes.size() > capacity_) {
        news_.paused = true;
        return false;
    }
    news_.bytes.append(bytes);
    notifyLocked();
    return true;
}

void CallBuffer::onEnd(const ports::EndpointCallEnd &end)
{
    const absl::MutexLock lock(&mutex_);
    news_.end = end;
    notifyLocked();
}

CallNews CallBuffer::take()
{
    const absl::MutexLock lock(&mutex_);
    noticed_ = false;
    missed_ = false;
    return std::exchange(news_, CallNews {});
}

bool CallBuffer::noticeMissed() const
{
    const absl::MutexLock lock(&mutex_);
    return missed_;
}

void CallBuffer::notifyLocked()
{
    if (noticed_)
        return;
    noticed_ = core_.tryPush(EndpointCallUpdated { call_ });
    missed_ = !noticed_;
}

} // namespace zinniadoor::daemon
