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
    if (answerReady_ || finished_)
        return;
    wholeBodyBytes_ = body.size();
    answer_ = { status, std::move(headers), std::move(body), false };
    answerReady_ = true;
    resumeLocked();
}

void HttpExchange::beginStream(int status, std::vector<ports::HttpHeader> headers)
{
    const absl::MutexLock lock(&mutex_);
    if (answerReady_ || finished_)
        return;
    answer_ = { status, std::move(headers), "", true };
    answerReady_ = true;
    resumeLocked();
}

void HttpExchange::write(std::string_view bytes)
{
    const absl::MutexLock lock(&mutex_);
    if (finished_ || ended_ || bytes.empty())
        return;
    pending_.append(bytes);
    peakSinceReport_ = std::max(peakSinceReport_, pending_.size());
    // The source ignores the back-pressure: better one cut stream than all of the memory.
    if (pending_.size() > maxPendingBytes_) {
        pending_.clear();
        ended_ = true;
        endedWhole_ = false;
    }
    resumeLocked();
}

void HttpExchange::endStream(bool whole)
{
    const absl::MutexLock lock(&mutex_);
    if (finished_ || ended_)
        return;
    ended_ = true;
    endedWhole_ = whole;
    resumeLocked();
}

std::size_t HttpExchange::pendingBytes() const
{
    const absl::MutexLock lock(&mutex_);
    return pending_.size() + wholeBodyBytes_;
}

bool HttpExchange::callerDisconnected() const
{
    const absl::MutexLock lock(&mutex_);
    return callerGone_;
}

AnswerResult HttpExchange::takeAnswerOrSuspend(MHD_Connection *connection)
{
    const absl::MutexLock lock(&mutex_);
    AnswerResult result;
    result.report = std::exchange(reportDue_, false);
    if (answerReady_ && !answerTaken_) {
        answerTaken_ = true;
        result.answer = std::move(answer_);
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
    result.report = std::exchange(reportDue_, false);
    const std::size_t waiting = pending_.size();
    if (abandoned_) {
        result.step = ReadStep::EndCut;
    } else if (waiting > 0) {
        result.step = ReadStep::Bytes;
        result.bytes = std::min(waiting, capacity);
        std::memcpy(buffer, pending_.view().data(), result.bytes);
        pending_.take(result.bytes);
        takenSinceReport_ += result.bytes;
    } else if (ended_) {
        result.step = endedWhole_ ? ReadStep::EndWhole : ReadStep::EndCut;
    } else {
        suspendLocked(connection);
    }
    const bool drained = pending_.empty() && peakSinceReport_ >= ProgressPeakBytes;
    if (drained || takenSinceReport_ >= ProgressStepBytes) {
        takenSinceReport_ = 0;
        peakSinceReport_ = pending_.size();
        result.report = true;
    }
    return result;
}

void HttpExchange::noteCallerLeft()
{
    const absl::MutexLock lock(&mutex_);
    if (callerGone_ || finished_)
        return;
    callerGone_ = true;
    reportDue_ = true;
    resumeLocked();
}

void HttpExchange::finish(bool whole)
{
    const absl::MutexLock lock(&mutex_);
    suspended_ = nullptr;
    finished_ = true;
    pending_.clear();
    wholeBodyBytes_ = 0;
    if (!whole)
        callerGone_ = true;
}

void HttpExchange::abandon()
{
    const absl::MutexLock lock(&mutex_);
    abandoned_ = true;
    resumeLocked();
}

// MHD_resume_connection may be called only for a suspended connection that still exists:
// `suspended_` is set exactly between the suspension and the first resumption or the end.
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
