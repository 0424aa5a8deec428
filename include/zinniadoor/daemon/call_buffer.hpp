#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"

#include "zinniadoor/daemon/core_messages.hpp"
#include "zinniadoor/ports/endpoint_client.hpp"

namespace zinniadoor::daemon {

/// Status and headers of an endpoint's response.
struct ResponseHead
{
    int status = 0;
    std::vector<ports::HttpHeader> headers;
};

/// What was received on a call since the previous update.
struct CallUpdate
{
    std::optional<ResponseHead> head;
    std::string bytes;
    std::optional<ports::EndpointCallEnd> end;
    bool paused = false; ///< The connection is paused until `EndpointClient::resume`.
};

/// Bounded buffer for the response of one call, filled on the I/O thread and emptied on the core
/// thread. Thread-safe.
class CallBuffer : public ports::EndpointCallObserver
{
public:
    /// `capacity`: bytes buffered before the endpoint's connection is paused. The buffer notifies
    /// `core` when it has received something.
    CallBuffer(std::uint64_t call, std::size_t capacity, CoreRing &core);

    void onHeaders(int status, const std::vector<ports::HttpHeader> &headers) override;
    bool onData(std::string_view bytes) override;
    void onEnd(const ports::EndpointCallEnd &end) override;

    /// Removes and returns everything received.
    CallUpdate take();

    /// Whether content is waiting that the core was not notified of, because its ring was full.
    bool hasMissedNotification() const;

private:
    void notifyLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    const std::uint64_t call_;
    const std::size_t capacity_;
    CoreRing &core_;
    mutable absl::Mutex mutex_;
    CallUpdate update_ ABSL_GUARDED_BY(mutex_);
    bool notified_ ABSL_GUARDED_BY(mutex_) = false;
    bool notificationMissed_ ABSL_GUARDED_BY(mutex_) = false;
};

} // namespace zinniadoor::daemon
