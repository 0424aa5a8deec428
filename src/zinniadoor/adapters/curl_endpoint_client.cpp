#include "zinniadoor/adapters/curl_endpoint_client.hpp"

#include <algorithm>
#include <atomic>
#include <thread>
#include <unordered_map>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"

#include "zinniadoor/adapters/sizes.hpp"
#include "zinniadoor/base/clock.hpp"
#include "zinniadoor/base/ring.hpp"

#include "curl_handle.hpp"

namespace zinniadoor::adapters {

namespace {

using ports::EndpointCallEnd;
using ports::EndpointCallId;

constexpr int PollTimeoutMilliseconds = 100;
constexpr absl::Duration SilenceCheckInterval = absl::Milliseconds(100);
constexpr std::size_t MaxHeaderBytes = 256 * KibiByte;
constexpr int FirstFinalStatus = 200;

/// A running call. Apart from the two flags, only the I/O thread accesses it.
struct Call
{
    EndpointCallId id = 0;
    ports::EndpointRequest request;
    std::shared_ptr<ports::EndpointCallObserver> observer;
    std::atomic<bool> resumeRequested { false };
    std::atomic<bool> cancelRequested { false };

    const base::Clock *clock = nullptr;
    detail::CurlHandle easy;
    detail::CurlHeaders requestHeaders;
    detail::Attempt attempt;
    bool paused = false;
    bool headersComplete = false;
    int status = 0;
    std::vector<ports::HttpHeader> headers;
    std::size_t headerBytes = 0;
    absl::Time lastByteAt;
    curl_off_t bytesSent = 0;
};

void parseStatusLine(Call &call, const std::string &line)
{
    call.headers.clear();
    call.status = 0;
    const std::size_t space = line.find(' ');
    if (space != std::string::npos)
        static_cast<void>(absl::SimpleAtoi(line.substr(space + 1, 3), &call.status));
}

void parseHeaderLine(Call &call, const std::string &line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos)
        return;
    const std::string value = line.substr(colon + 1);
    call.headers.push_back(
        { line.substr(0, colon), std::string(absl::StripAsciiWhitespace(value)) });
}

std::size_t onHeaderBytes(char *data, std::size_t, std::size_t size, void *cls)
{
    auto &call = *static_cast<Call *>(cls);
    call.lastByteAt = call.clock->now();
    if (call.headersComplete)
        return size; // trailers are ignored
    call.headerBytes += size;
    if (call.headerBytes > MaxHeaderBytes)
        return 0;
    const std::string line(absl::StripTrailingAsciiWhitespace(absl::string_view(data, size)));
    if (line.compare(0, 5, "HTTP/") == 0) {
        parseStatusLine(call, line);
    } else if (!line.empty()) {
        parseHeaderLine(call, line);
    } else if (call.status >= FirstFinalStatus) {
        call.headersComplete = true;
        call.observer->onHeaders(call.status, call.headers);
    }
    return size;
}

std::size_t onBodyBytes(char *data, std::size_t, std::size_t size, void *cls)
{
    auto &call = *static_cast<Call *>(cls);
    call.lastByteAt = call.clock->now();
    if (call.observer->onData(std::string_view(data, size)))
        return size;
    call.paused = true;
    return CURL_WRITEFUNC_PAUSE;
}

base::ReasonCode reasonCodeOf(CURLcode result)
{
    return result == CURLE_OPERATION_TIMEDOUT ? base::ReasonCode::Timeout
                                              : base::ReasonCode::Unavailable;
}

class CurlEndpointClient : public ports::EndpointClient
{
public:
    explicit CurlEndpointClient(const CurlClientOptions &options)
        : options_(options)
        , commands_(2 * options.maxCalls)
    {
        detail::initializeCurl();
        multi_ = curl_multi_init();
        curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, options.pooledConnections);
        thread_ = std::thread([this] { run(); });
    }

    ~CurlEndpointClient() override
    {
        stopping_ = true;
        curl_multi_wakeup(multi_);
        thread_.join();
        curl_multi_cleanup(multi_);
    }

    base::Outcome<EndpointCallId>
    start(ports::EndpointRequest request,
          std::shared_ptr<ports::EndpointCallObserver> observer) override;
    void resume(EndpointCallId id) override { postCommand(id, &Call::resumeRequested); }
    void cancel(EndpointCallId id) override { postCommand(id, &Call::cancelRequested); }

private:
    using Calls = std::unordered_map<EndpointCallId, std::shared_ptr<Call>>;

    void postCommand(EndpointCallId id, std::atomic<bool> Call::*flag);
    std::shared_ptr<Call> find(EndpointCallId id);

    void run();
    void processCommands();
    void process(const std::shared_ptr<Call> &call);
    void startTransfer(Call &call);
    void collectCompleted();
    void checkSilenceTimeouts();
    void endAllCalls();
    void end(Call &call, bool complete, const base::Reason &reason);

    const CurlClientOptions options_;
    const std::unique_ptr<base::Clock> clock_ = base::systemClock();
    CURLM *multi_ = nullptr;
    std::thread thread_;
    std::atomic<bool> stopping_ { false };
    base::Ring<EndpointCallId> commands_;
    std::atomic<bool> scanAll_ { false }; ///< The ring was full; process all calls.
    absl::Time nextSilenceCheck_;

    absl::Mutex mutex_;
    Calls calls_ ABSL_GUARDED_BY(mutex_);
    EndpointCallId lastId_ ABSL_GUARDED_BY(mutex_) = 0;
};

base::Outcome<EndpointCallId>
CurlEndpointClient::start(ports::EndpointRequest request,
                          std::shared_ptr<ports::EndpointCallObserver> observer)
{
    if (!detail::validHeaders(request.headers))
        return base::Reason { base::ReasonCode::InvalidArgument, "malformed header" };
    auto call = std::make_shared<Call>();
    call->request = std::move(request);
    call->observer = std::move(observer);
    call->clock = clock_.get();
    EndpointCallId id = 0;
    {
        const absl::MutexLock lock(&mutex_);
        if (stopping_ || calls_.size() >= options_.maxCalls)
            return base::Reason { base::ReasonCode::Overloaded, "too many calls to endpoints" };
        id = ++lastId_;
        call->id = id;
        calls_.emplace(id, std::move(call));
    }
    if (!commands_.tryPush(EndpointCallId(id)))
        scanAll_ = true;
    curl_multi_wakeup(multi_);
    return id;
}

void CurlEndpointClient::postCommand(EndpointCallId id, std::atomic<bool> Call::*flag)
{
    const std::shared_ptr<Call> call = find(id);
    if (call == nullptr || ((*call).*flag).exchange(true))
        return;
    if (!commands_.tryPush(EndpointCallId(id)))
        scanAll_ = true;
    curl_multi_wakeup(multi_);
}

std::shared_ptr<Call> CurlEndpointClient::find(EndpointCallId id)
{
    const absl::MutexLock lock(&mutex_);
    const auto found = calls_.find(id);
    return found == calls_.end() ? nullptr : found->second;
}

void CurlEndpointClient::run()
{
    while (!stopping_) {
        processCommands();
        int running = 0;
        curl_multi_perform(multi_, &running);
        collectCompleted();
        checkSilenceTimeouts();
        curl_multi_poll(multi_, nullptr, 0, PollTimeoutMilliseconds, nullptr);
    }
    endAllCalls();
}

void CurlEndpointClient::processCommands()
{
    while (const auto id = commands_.tryPop()) {
        if (const std::shared_ptr<Call> call = find(*id))
            process(call);
    }
    if (!scanAll_.exchange(false))
        return;
    Calls all;
    {
        const absl::MutexLock lock(&mutex_);
        all = calls_;
    }
    for (const auto &entry : all)
        process(entry.second);
}

void CurlEndpointClient::process(const std::shared_ptr<Call> &call)
{
    if (call->cancelRequested) {
        end(*call, false, { base::ReasonCode::Unavailable, "cancelled" });
        return;
    }
    if (call->easy == nullptr)
        startTransfer(*call);
    if (!call->resumeRequested.exchange(false) || !call->paused)
        return;
    call->paused = false;
    call->lastByteAt = clock_->now();
    curl_easy_pause(call->easy.get(), CURLPAUSE_CONT);
}

void CurlEndpointClient::startTransfer(Call &call)
{
    const ports::EndpointRequest &request = call.request;
    call.easy = detail::createHttpHandle();
    call.requestHeaders = detail::headerList(request.headers);
    call.lastByteAt = call.clock->now();
    CURL *easy = call.easy.get();
    curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
    detail::setRequest(easy, request.method, request.body);
    detail::forbidRetry(easy, &call.attempt);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call.requestHeaders.get());
    curl_easy_setopt(easy, CURLOPT_HTTP_CONTENT_DECODING, 0L);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(absl::ToInt64Milliseconds(request.connectTimeout)));
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(absl::ToInt64Milliseconds(request.totalTimeout)));
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
                     static_cast<long>(absl::ToInt64Seconds(options_.idleConnectionTimeout)));
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, request.freshConnection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, request.freshConnection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &onHeaderBytes);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &call);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &onBodyBytes);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &call);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &call);
    curl_multi_add_handle(multi_, easy);
}

void CurlEndpointClient::collectCompleted()
{
    int remaining = 0;
    while (const CURLMsg *message = curl_multi_info_read(multi_, &remaining)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        const CURLcode result = message->data.result;
        char *cls = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &cls);
        auto &call = *reinterpret_cast<Call *>(cls);
        if (result != CURLE_OK)
            end(call, false, { reasonCodeOf(result), curl_easy_strerror(result) });
        else if (!call.headersComplete) // libcurl takes a close within the head for its end.
            end(call, false, { base::ReasonCode::Unavailable, detail::CutHeadText });
        else
            end(call, true, {});
    }
}

void CurlEndpointClient::checkSilenceTimeouts()
{
    const absl::Time now = clock_->now();
    if (now < nextSilenceCheck_)
        return;
    nextSilenceCheck_ = now + SilenceCheckInterval;
    std::vector<std::shared_ptr<Call>> silent;
    {
        const absl::MutexLock lock(&mutex_);
        for (const auto &entry : calls_) {
            const Call &call = *entry.second;
            const bool monitored = call.easy != nullptr && !call.paused;
            if (monitored && now - call.lastByteAt > call.request.silenceTimeout)
                silent.push_back(entry.second);
        }
    }
    for (const std::shared_ptr<Call> &call : silent) {
        curl_off_t sent = 0;
        curl_easy_getinfo(call->easy.get(), CURLINFO_SIZE_UPLOAD_T, &sent);
        if (sent > call->bytesSent) {
            call->bytesSent = sent;
            call->lastByteAt = now;
            continue;
        }
        end(*call, false, { base::ReasonCode::Timeout, "the endpoint went silent" });
    }
}

void CurlEndpointClient::endAllCalls()
{
    Calls all;
    {
        const absl::MutexLock lock(&mutex_);
        all = calls_;
    }
    for (const auto &entry : all)
        end(*entry.second, false, { base::ReasonCode::Unavailable, "the client closes" });
}

// Removing a handle during its transfer makes libcurl close the connection.
void CurlEndpointClient::end(Call &call, bool complete, const base::Reason &reason)
{
    std::shared_ptr<Call> ended;
    {
        const absl::MutexLock lock(&mutex_);
        const auto found = calls_.find(call.id);
        ended = std::move(found->second);
        calls_.erase(found);
    }
    if (call.easy != nullptr)
        curl_multi_remove_handle(multi_, call.easy.get());
    EndpointCallEnd result;
    result.complete = complete;
    result.mayHaveRun = call.attempt.started;
    result.reason = reason;
    call.observer->onEnd(result);
}

} // namespace

std::unique_ptr<ports::EndpointClient> curlEndpointClient(const CurlClientOptions &options)
{
    return std::make_unique<CurlEndpointClient>(options);
}

} // namespace zinniadoor::adapters
