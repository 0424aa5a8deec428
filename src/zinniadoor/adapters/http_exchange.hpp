#pragma once

#include <optional>
#include <string>
#include <vector>

#include <microhttpd.h>

#include "absl/synchronization/mutex.h"

#include "zinniadoor/ports/caller_server.hpp"

#include "byte_queue.hpp"
#include "http_answer.hpp"

namespace zinniadoor::adapters::detail {

/// What the server's thread does next for an exchange.
enum class ReadStep { Bytes, Wait, EndWhole, EndCut };

struct ReadResult
{
    ReadStep step = ReadStep::Wait;
    std::size_t bytes = 0;
    bool report = false; ///< The handler has to hear of progress.
};

struct AnswerResult
{
    std::optional<HttpAnswer> answer;
    bool abandoned = false; ///< There will be no answer; give up the connection.
    bool report = false; ///< The handler has to hear of progress.
};

/// One request and its answer between the core's threads and the server's thread.
class HttpExchange : public ports::CallerExchange
{
public:
    HttpExchange(ports::CallerRequest request, std::size_t maxPendingBytes);

    const ports::CallerRequest &request() const override { return request_; }
    void respond(int status, std::vector<ports::HttpHeader> headers, std::string body) override;
    void beginStream(int status, std::vector<ports::HttpHeader> headers) override;
    void write(std::string_view bytes) override;
    void endStream(bool whole) override;
    std::size_t pendingBytes() const override;
    bool callerDisconnected() const override;

    // The rest is for the server only.

    /// The answer, once the core has begun it; suspends `connection` where it has not.
    AnswerResult takeAnswerOrSuspend(MHD_Connection *connection);

    /// Next bytes of a streamed answer; suspends `connection` where there are none.
    ReadResult readOrSuspend(MHD_Connection *connection, char *buffer, std::size_t capacity);

    /// The caller has shut down its sending side or reset the connection.
    void noteCallerLeft();

    /// The connection is done with this exchange.
    void finish(bool whole);

    /// Ends the exchange because the server closes.
    void abandon();

private:
    void resumeLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void suspendLocked(MHD_Connection *connection) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    const ports::CallerRequest request_;
    const std::size_t maxPendingBytes_;

    mutable absl::Mutex mutex_;
    HttpAnswer answer_ ABSL_GUARDED_BY(mutex_);
    bool answerReady_ ABSL_GUARDED_BY(mutex_) = false;
    bool answerTaken_ ABSL_GUARDED_BY(mutex_) = false;
    ByteQueue pending_ ABSL_GUARDED_BY(mutex_);
    std::size_t wholeBodyBytes_ ABSL_GUARDED_BY(mutex_) = 0;
    std::size_t takenSinceReport_ ABSL_GUARDED_BY(mutex_) = 0;
    std::size_t peakSinceReport_ ABSL_GUARDED_BY(mutex_) = 0; ///< Of the pending bytes.
    bool ended_ ABSL_GUARDED_BY(mutex_) = false;
    bool endedWhole_ ABSL_GUARDED_BY(mutex_) = false;
    bool callerGone_ ABSL_GUARDED_BY(mutex_) = false;
    bool reportDue_ ABSL_GUARDED_BY(mutex_) = false;
    bool abandoned_ ABSL_GUARDED_BY(mutex_) = false;
    bool finished_ ABSL_GUARDED_BY(mutex_) = false;
    MHD_Connection *suspended_ ABSL_GUARDED_BY(mutex_) = nullptr;
};

} // namespace zinniadoor::adapters::detail
