#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "absl/time/time.h"

#include "zinniadoor/base/clock.hpp"
#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/daemon/answers.hpp"
#include "zinniadoor/daemon/authenticator.hpp"
#include "zinniadoor/daemon/burn_recorder.hpp"
#include "zinniadoor/daemon/call_table.hpp"
#include "zinniadoor/daemon/metrics.hpp"
#include "zinniadoor/daemon/settings.hpp"
#include "zinniadoor/ports/caller_server.hpp"
#include "zinniadoor/serving/crash_list.hpp"
#include "zinniadoor/serving/endpoint_table.hpp"
#include "zinniadoor/serving/outlier_ejection.hpp"
#include "zinniadoor/serving/retry_policy.hpp"
#include "zinniadoor/serving/router.hpp"

namespace zinniadoor::daemon {

/// What one request used.
struct UsedTokens
{
    base::OrganisationId organisation;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
};

/// Counts usage so that it survives this instance.
class UsageSink
{
public:
    virtual ~UsageSink() = default;

    /// Counts once; `settled` is called on the core thread when another instance or the log
    /// holds the count, or when that has taken too long.
    virtual void count(const UsedTokens &used, std::function<void()> settled) = 0;
};

/// What all requests of one instance share. For the core thread.
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

/// One caller's request from its arrival to the end of its answer. For the core thread.
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

    /// The answer is complete or given up; the request can be forgotten.
    bool isDone() const { return done_; }

    /// The caller took bytes.
    virtual void onCallerProgress() = 0;

    /// The caller has left: stops the work.
    virtual void onCallerGone() = 0;

    /// Stops the work and cuts the answer, for instance because the key was withdrawn.
    virtual void cut(const base::Reason &reason) = 0;

    /// Some frames of the log were applied.
    virtual void onApplied() { }

    /// Called every few milliseconds.
    virtual void onTick(absl::Time now) = 0;

    /// The endpoint of a call has been found to be dead or alive after a doubt.
    virtual void onProbed(const base::EndpointId &endpoint, bool alive) = 0;

protected:
    RequestServices &services() { return services_; }
    void markDone() { done_ = true; }

    /// "chat", "completions" or a route id.
    void setRouteName(std::string name) { routeName_ = std::move(name); }

    /// Counts the whole answer, or that it failed for `code`, against the route's objective.
    void countInTime(absl::Time firstByteAt);
    void countFault(base::ReasonCode code);

    /// Answers with an error and ends the request.
    void refuse(const ErrorAnswer &answer);

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
