#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/serving/request_facts.hpp"

namespace zinniadoor::serving {

/// Rejection of a request: the reason and the earliest useful time to retry.
struct Refusal
{
    base::Reason reason;
    absl::Duration retryAfter;
};

/// A queued request that was dropped before it was dispatched.
struct ExpiredRequest
{
    RequestFacts request;
    Refusal refusal;
};

struct QueueOptions
{
    std::size_t maxUrgent = 2048; ///< Queued requests over all organisations.
    std::size_t maxDeferable = 8192;
    std::size_t maxUrgentPerOrganisation = 512;
    std::size_t maxDeferablePerOrganisation = 4096;

    /// Applies to requests without a deadline as well.
    absl::Duration maxUrgentWait = absl::Seconds(30);
    absl::Duration maxDeferableWait = absl::Minutes(10);

    /// Dispatch overhead on top of `serviceTime`.
    absl::Duration startMargin = absl::Milliseconds(150);

    /// Share of dispatched tokens while urgent requests are queued too.
    double deferableShare = 0.05;
    absl::Duration rateWindow = absl::Seconds(10); ///< Averaging window of the drain rate.
};

/// Returns whether a request can be dispatched now.
using CanStart = std::function<bool(const RequestFacts &)>;

/// Queue of requests waiting for an endpoint. Not thread-safe.
class AdmissionQueue
{
public:
    virtual ~AdmissionQueue() = default;

    /// Enqueues the request. Returns a refusal if a queue is full or the deadline cannot be met.
    virtual std::optional<Refusal> push(const RequestFacts &request, absl::Time now) = 0;

    /// Removes and returns the next request for which `canStart` holds.
    virtual std::optional<RequestFacts> pop(absl::Time now, const CanStart &canStart) = 0;

    /// Removes and returns requests that can no longer meet their deadline or exceeded the maximum
    /// queueing time.
    virtual std::vector<ExpiredRequest> expire(absl::Time now) = 0;

    /// Removes a request whose client disconnected. Returns false if it is not queued.
    virtual bool remove(const base::RequestId &id, absl::Time now) = 0;

    /// Sets the fair-share weight of an organisation; the default is 1.
    virtual void setWeight(const base::OrganisationId &organisation, double weight) = 0;

    virtual std::size_t size() const = 0;
    virtual std::size_t size(Urgency urgency) const = 0;

    /// Tokens dispatched per second while the queue is non-empty; empty before the first dispatch.
    virtual std::optional<double> drainRate(absl::Time now) const = 0;
};

/// A single first-in, first-out queue for all requests.
std::unique_ptr<AdmissionQueue> fifoQueue(const QueueOptions &options);

/// Serves urgent before deferable requests; within a class, deficit round robin between
/// organisations by weighted tokens. A model without capacity does not block other models.
std::unique_ptr<AdmissionQueue> fairQueue(const QueueOptions &options);

} // namespace zinniadoor::serving
