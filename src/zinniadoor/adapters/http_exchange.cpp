#include "http_exchange.hpp"

#include <algorithm>
#include <cstring>
#include <utility>

#include "zinniadoor/adapters/http_server.hpp"

namespace zinniadoor::adapters::detail {

HttpExchange::HttpExchange(ports::CallerRequest request, std::size_t maxPendingBytes)
    : request_(std::move(request))
    , maxPendingBytes_(maxPendingBytes)
{ }

void HttpExchange::respond(int status, std::vector<ports::HttpHeader> headers, std::string body)
{
    const absl::MutexLock lock(&mutex_);
    if (responseReady_ || finished_)
        return;
    bodyBytes_ = body.size();
    response_ = { status, std::move(headers), std::move(body), false };
    responseReady_ = true;
    resumeLocked();
}

void HttpExchange::beginStream(int status, std::vector<ports::HttpHeader> headers)
{
    const absl::MutexLock lock(&mutex_);
    if (responseReady_ || finished_)
        return;
    response_ = { status, std::move(headers), "", true };
    responseReady_ = true;
    resumeLocked();
}

void HttpExchange::write(std::string_view bytes)
{
    const absl::MutexLock lock(&mutex_);
    if (finished_ || streamEnded_ || bytes.empty())
        return;
    pending_.append(bytes);
    peakSinceProgress_ = std::max(peakSinceProgress_, pending_.size());
    // The source ignores back-pressure; the stream is truncated to bound memory.
    if (pending_.size() > maxPendingBytes_) {
        pending_.clear();
        streamEnded_ = true;
        streamComplete_ = false;
    }
    resumeLocked();
}

void HttpExchange::endStream(bool complete)
{
    const absl::MutexLock lock(&mutex_);
    if (finished_ || streamEnded_)
        return;
    streamEnded_ = true;
    streamComplete_ = complete;
    resumeLocked();
}

std::size_t HttpExchange::pendingBytes() const
{
    const absl::MutexLock lock(&mutex_);
    return pending_.size() + bodyBytes_;
}

bool HttpExchange::callerDisconnected() const
{
    const absl::MutexLock lock(&mutex_);
    return callerGone_;
}

ResponseResult HttpExchange::takeResponseOrSuspend(MHD_Connection *connection)
{
    const absl::MutexLock lock(&mutex_);
    ResponseResult result;
    result.progressDue = std::exchange(progressDue_, false);
    if (responseReady_ && !responseTaken_) {
        responseTaken_ = true;
        result.response = std::move(response_);
    } else if (abandoned_) {
        result.abandoned = true;
    } else {
        suspendLocked(connection);
    }
    return result;
}

ReadResult HttpExchange::readOrSuspend(MHD_Connection *connection, char *buffer,
                                       std::size_t capacity)
{
    const absl::MutexLock lock(&mutex_);
    ReadResult result;
    result.progressDue = std::exchange(progressDue_, false);
    const std::size_t available = pending_.size();
    if (abandoned_) {
        result.step = ReadStep::EndTruncated;
    } else if (available > 0) {
        result.step = ReadStep::Bytes;
        result.bytes = std::min(available, capacity);
        std::memcpy(buffer, pending_.view().data(), result.bytes);
        pending_.consume(result.bytes);
        consumedSinceProgress_ += result.bytes;
    } else if (streamEnded_) {
        result.step = streamComplete_ ? ReadStep::EndComplete : ReadStep::EndTruncated;
    } else {
        suspendLocked(connection);
    }
    const bool drained = pending_.empty() && peakSinceProgress_ >= MinDrainProgressBytes;
    if (drained || consumedSinceProgress_ >= ProgressIntervalBytes) {
        consumedSinceProgress_ = 0;
        peakSinceProgress_ = pending_.size();
        result.progressDue = true;
    }
    return result;
}

void HttpExchange::markCallerGone()
{
    const absl::MutexLock lock(&mutex_);
    if (callerGone_ || finished_)
        return;
    callerGone_ = true;
    progressDue_ = true;
    resumeLocked();
}

void HttpExchange::finish(bool complete)
{
    const absl::MutexLock lock(&mutex_);
    suspended_ = nullptr;
    finished_ = true;
    pending_.clear();
    bodyBytes_ = 0;
    if (!complete)
        callerGone_ = true;
}

void HttpExchange::abandon()
{
    const absl::MutexLock lock(&mutex_);
    abandoned_ = true;
    resumeLocked();
}

// MHD_resume_connection requires a suspended connection that still exists. `suspended_` is set
// from the suspension until the connection is resumed or the exchange finishes.
void HttpExchange::resumeLocked()
{
    if (suspended_ == nullptr)
        return;
    MHD_resume_connection(std::exchange(suspended_, nullptr));
}

void HttpExchange::suspendLocked(MHD_Connection *connection)
{
    MHD_suspend_connection(connection);
    suspended_ = connection;
}

} // namespace zinniadoor::adapters::detail
