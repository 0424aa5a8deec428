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

/// The head of an endpoint's answer.
struct ResponseHead
{
    int status = 0;
    std::vector<ports::HttpHeader> headers;
};

/// What a call brought since the last look.
struct CallNews
{
    std::optional<ResponseHead> head;
    std::string bytes;
    std::optional<ports::EndpointCallEnd> end;
    bool paused = false; ///< The client waits for `EndpointClient::resume`.
};

/// Holds a bounded part of one call's answer between the I/O thread and the core thread.
class CallBuffer : public ports::EndpointCallObserver
{
public:
    /// `capacity`: bytes held before the endpoint's connection is paused.
    CallBuffer(std::uint64_t call, std::size_t capacity, CoreRing &core);

    void onHeaders(int status, const std::vector<ports::HttpHeader> &headers) override;
    bool onData(std::string_view bytes) override;
    void onEnd(const ports::EndpointCallEnd &end) override;

    /// Takes all that came.
    CallNews take();

    /// True if something waits whose notice found the core's ring full.
    bool noticeMissed() const;

private:
    void notifyLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    const std::uint64_t call_;
    const std::size_t capacity_;
    CoreRing &core_;
    mutable absl::Mutex mutex_;
    CallNews news_ ABSL_GUARDED_BY(mutex_);
    bool noticed_ ABSL_GUARDED_BY(mutex_) = false;
    bool missed_ ABSL_GUARDED_BY(mutex_) = false;
};

} // namespace zinniadoor::daemon
