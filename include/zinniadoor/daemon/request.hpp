#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "absl/time/time.h"

#include "zinniadoor/base/clock.hpp"
#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/daemon/authenticator.hpp"
#include "zinniadoor/daemon/burn_recorder.hpp"
#include "zinniadoor/daemon/call_table.hpp"
#include "zinniadoor/daemon/error_response.hpp"
#include "zinniadoor/daemon/metrics.hpp"
#include "zinniadoor/daemon/settings.hpp"
#include "zinniadoor/ports/caller_server.hpp"
#include "zinniadoor/serving/crash_list.hpp"
#include "zinniadoor/serving/endpoint_table.hpp"
#include "zinniadoor/serving/outlier_ejection.hpp"
#include "zinniadoor/serving/retry_policy.hpp"
#include "zinniadoor/serving/router.hpp"

namespace zinniadoor::daemon {

/// Tokens consumed by one request.
struct TokenUsage
{
    base::OrganisationId organisation;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
};

/// Records usage such that it survives a failure of this instance.
class UsageSink
{
public:
    virtual ~UsageSink() = default;

    /// Counts `used` once. `settled` is called on the core thread as soon as the count is stored by
    /// another instance or in the log, or after a timeout.
    virtual void count(const TokenUsage &used, std::function<void()> settled) = 0;
};

/// Dependencies that all requests of an instance share. Used on the core thread.
struct RequestServices
{
    const base::Clock &clock;
    const Settings &settings;
    CallTable &calls;
    Metrics &metrics;
    BurnRecorder &burn;
    serving::EndpointTable &endpoints;
    serving::Router &router;
    serving::RetryPolicy &retries;
    serving::OutlierEjection &ejection;
    serving::CrashList &crashes;
    UsageSink &usage;
    std::mt19937_64 &random;
};

/// A caller's request, from its arrival to the end of the response. Used on the core thread.
class Request
{
public:
    Request(RequestServices &services, std::shared_ptr<ports::CallerExchange> exchange,
            base::RequestId id, Caller caller);
    virtual ~Request() = default;
    Request(const Request &) = delete;
    Request &operator=(const Request &) = delete;

    const base::RequestId &id() const { return id_; }
    const Caller &caller() const { return caller_; }
    const std::shared_ptr<ports::CallerExchange> &exchange() const { return exchange_; }
    absl::Time arrivedAt() const { return arrivedAt_; }

    /// Whether the response is complete or abandoned, so that the request can be destroyed.
    bool isDone() const { return done_; }

    /// The caller has received bytes, so that more can be written.
    virtual void onCallerProgress() = 0;

    /// The caller has disconnected: stops the work.
    virtual void onCallerDisconnected() = 0;

    /// Stops the work and aborts the response, for instance because the key was withdrawn.
    virtual void abort(const base::Reason &reason) = 0;

    /// Frames of the control log were applied.
    virtual void onApplied() { }

    /// Called every few milliseconds.
    virtual void onTick(absl::Time now) = 0;

    /// A probe of a suspected endpoint has finished.
    virtual void onProbed(const base::EndpointId &endpoint, bool alive) = 0;

protected:
    RequestServices &services() { return services_; }
    void markDone() { done_ = true; }

    /// Sets the route name for objectives: "chat", "completions" or a route id.
    void setRouteName(std::string name) { routeName_ = std::move(name); }

    /// Counts a complete answer, or a failure with `code`, against the route's objective.
    void countCompleted(absl::Time firstByteAt);
    void countFailure(base::ReasonCode code);

    /// Sends an error response and ends the request.
    void refuse(const ErrorResponse &response);

private:
    RequestServices &services_;
    std::shared_ptr<ports::CallerExchange> exchange_;
    base::RequestId id_;
    Caller caller_;
    absl::Time arrivedAt_;
    std::string routeName_;
    bool done_ = false;
};

} // namespace zinniadoor::daemon
