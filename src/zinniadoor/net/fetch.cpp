#include "zinniadoor/net/fetch.hpp"

#include <algorithm>
#include <chrono>

#include <boost/asio/steady_timer.hpp>

#include "absl/strings/str_cat.h"

namespace zinniadoor::net {

namespace {

using base::Reason;
using base::ReasonCode;

/// Timers have whole milliseconds.
constexpr absl::Duration MinTimerWait = absl::Milliseconds(1);

class Fetch : public CallHandler, public Call, public std::enable_shared_from_this<Fetch>
{
public:
    Fetch(boost::asio::io_context &context, HttpClient &client, CallTarget target,
          FetchCallback done)
        : timer_(context)
        , client_(client)
        , target_(std::move(target))
        , done_(std::move(done))
    { }

    void start(Request request, FetchOptions fetchOptions)
    {
        auto self = shared_from_this();
        maxBodyBytes_ = fetchOptions.maxBodyBytes;
        keepsCutResponse_ = fetchOptions.keepsCutResponse;
        wantsRest_ = std::move(fetchOptions.wantsRest);
        limit_ = TransferLimit(fetchOptions.timeout, fetchOptions.pace);
        armTimer(fetchOptions.timeout);
        CallOptions options;
        options.connectTimeout = fetchOptions.connectTimeout.value_or(fetchOptions.timeout);
        options.newConnection = fetchOptions.newConnection;
        options.mayWrite = std::move(fetchOptions.mayWrite);
        options.matchesCall = std::move(fetchOptions.matchesCall);
        call_ = client_.start(target_, std::move(request), std::move(options), self);
        if (!done_)
            call_.reset();
    }

    void cancel() override
    {
        done_ = nullptr;
        end();
    }

    void setPaused(bool paused) override
    {
        if (call_)
            call_->setPaused(paused);
    }

    void onHead(const ResponseHead &head) override { response_.head = head; }

    void onBody(std::string bytes) override
    {
        response_.body.append(bytes);
        limit_.noteBytes(bytes.size(), sinceStart());
        if (response_.body.size() > maxBodyBytes_) {
            keepsCutResponse_ = false; // A repetition would be too long as well.
            fail(ReasonCode::OutcomeUnknown, "the response is too long");
        } else if (wantsRest_ && !wantsRest_(response_)) {
            response_.wasDeclined = true;
            finish(std::move(response_));
        }
    }

    void onEnd() override
    {
        call_.reset();
        finish(std::move(response_));
    }

    void onFailure(const CallFailure &failure) override
    {
        call_.reset();
        closeIdle();
        const ReasonCode code
            = failure.sendStarted ? ReasonCode::OutcomeUnknown : ReasonCode::Unavailable;
        fail(code, absl::StrCat(nameOf(failure.error), ": ", failure.text));
    }

private:
    absl::Duration sinceStart() const
    {
        return absl::FromChrono(std::chrono::steady_clock::now() - startedAt_);
    }

    /// `time`: until the call has taken too long, if nothing arrives.
    void armTimer(absl::Duration time)
    {
        auto self = shared_from_this();
        timer_.expires_after(absl::ToChronoMilliseconds(time));
        timer_.async_wait([self](boost::system::error_code error) {
            if (!error)
                self->checkLimit();
        });
    }

    void checkLimit()
    {
        const absl::Duration left = limit_.limit() - sinceStart();
        if (left > absl::ZeroDuration())
            armTimer(std::max(left, MinTimerWait));
        else
            onTimeout();
    }

    void onTimeout()
    {
        closeIdle();
        fail(ReasonCode::OutcomeUnknown, "response timeout");
    }

    void fail(ReasonCode code, std::string text)
    {
        Reason reason { code, std::move(text), response_.body.size() };
        if (keepsCutResponse_ && !response_.body.empty()) {
            response_.cut = std::move(reason);
            finish(std::move(response_));
        } else {
            finish(std::move(reason));
        }
    }

    // What has broken one connection may have broken all; a repeated call must not find out one
    // connection at a time.
    void closeIdle() { client_.closeIdle(target_); }

    void finish(base::Outcome<FullResponse> outcome)
    {
        const FetchCallback done = std::move(done_);
        done_ = nullptr;
        end();
        if (done)
            done(std::move(outcome));
    }

    void end()
    {
        timer_.cancel();
        if (const auto call = std::move(call_))
            call->cancel();
        call_.reset();
    }

    boost::asio::steady_timer timer_;
    HttpClient &client_;
    CallTarget target_;
    FetchCallback done_;
    std::shared_ptr<Call> call_;
    FullResponse response_;
    std::size_t maxBodyBytes_ = 0;
    bool keepsCutResponse_ = false;
    std::function<bool(const FullResponse &)> wantsRest_;
    TransferLimit limit_ { absl::ZeroDuration(), std::nullopt };
    std::chrono::steady_clock::time_point startedAt_ = std::chrono::steady_clock::now();
};

} // namespace

std::shared_ptr<Call> fetch(boost::asio::io_context &context, HttpClient &client,
                            const CallTarget &target, Request request, FetchOptions options,
                            FetchCallback done)
{
    auto fetch = std::make_shared<Fetch>(context, client, target, std::move(done));
    fetch->start(std::move(request), std::move(options));
    return fetch;
}

std::shared_ptr<Call> fetch(boost::asio::io_context &context, HttpClient &client,
                            const CallTarget &target, Request request, absl::Duration timeout,
                            FetchCallback done)
{
    FetchOptions options;
    options.timeout = timeout;
    return fetch(context, client, target, std::move(request), std::move(options), std::move(done));
}

} // namespace zinniadoor::net
