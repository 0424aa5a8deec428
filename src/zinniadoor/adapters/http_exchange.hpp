#pragma once

#include <optional>
#include <string>
#include <vector>

#include <microhttpd.h>

#include "absl/synchronization/mutex.h"

#include "zinniadoor/ports/caller_server.hpp"

#include "byte_queue.hpp"
#include "http_response.hpp"

namespace zinniadoor::adapters::detail {

/// Next step of the server's thread for a streamed response.
enum class ReadStep { Bytes, Wait, EndComplete, EndTruncated };

struct ReadResult
{
    ReadStep step = ReadStep::Wait;
    std::size_t bytes = 0;
    bool progressDue = false; ///< `CallerHandler::onProgress` is to be called.
};

struct ResponseResult
{
    std::optional<HttpResponse> response;
    bool abandoned = false; ///< There will be no response; close the connection.
    bool progressDue = false; ///< `CallerHandler::onProgress` is to be called.
};

/// One request and its response, shared between the core's threads and the server's thread.
class HttpExchange : public ports::CallerExchange
{
public:
    HttpExchange(ports::CallerRequest request, std::size_t maxPendingBytes);

    const ports::CallerRequest &request() const override { return request_; }
    void respond(int status, std::vector<ports::HttpHeader> headers, std::string body) override;
    void beginStream(int status, std::vector<ports::HttpHeader> headers) override;
    void write(std::string_view bytes) override;
    void endStream(bool complete) override;
    std::size_t pendingBytes() const override;
    bool callerDisconnected() const override;

    // For the server only:

    /// Returns the response if the core has started it; otherwise suspends `connection`.
    ResponseResult takeResponseOrSuspend(MHD_Connection *connection);

    /// Copies the next bytes of a streamed response; suspends `connection` if there are none.
    ReadResult readOrSuspend(MHD_Connection *connection, char *buffer, std::size_t capacity);

    /// To be called when the caller has closed its sending side or reset the connection.
    void markCallerGone();

    /// Ends the exchange; `complete` if the whole response was sent.
    void finish(bool complete);

    /// Ends the exchange because the server is shutting down.
    void abandon();

private:
    void resumeLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void suspendLocked(MHD_Connection *connection) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    const ports::CallerRequest request_;
    const std::size_t maxPendingBytes_;

    mutable absl::Mutex mutex_;
    HttpResponse response_ ABSL_GUARDED_BY(mutex_);
    bool responseReady_ ABSL_GUARDED_BY(mutex_) = false;
    bool responseTaken_ ABSL_GUARDED_BY(mutex_) = false;
    ByteQueue pending_ ABSL_GUARDED_BY(mutex_);
    std::size_t bodyBytes_ ABSL_GUARDED_BY(mutex_) = 0;
    std::size_t consumedSinceProgress_ ABSL_GUARDED_BY(mutex_) = 0;
    std::size_t peakSinceProgress_ ABSL_GUARDED_BY(mutex_) = 0; ///< Highest `pending_.size()`.
    bool streamEnded_ ABSL_GUARDED_BY(mutex_) = false;
    bool streamComplete_ ABSL_GUARDED_BY(mutex_) = false;
    bool callerGone_ ABSL_GUARDED_BY(mutex_) = false;
    bool progressDue_ ABSL_GUARDED_BY(mutex_) = false;
    bool abandoned_ ABSL_GUARDED_BY(mutex_) = false;
    bool finished_ ABSL_GUARDED_BY(mutex_) = false;
    MHD_Connection *suspended_ ABSL_GUARDED_BY(mutex_) = nullptr;
};

} // namespace zinniadoor::adapters::detail
