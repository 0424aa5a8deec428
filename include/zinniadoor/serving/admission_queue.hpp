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

/// Why a request is not served now, and when it is worth asking again.
struct Refusal
{
    base::Reason reason;
    absl::Duration retryAfter;
};

/// A request that waited in vain; it has not run.
struct ExpiredRequest
{
    RequestFacts request;
    Refusal refusal;
};

struct QueueOptions
{
    std::size_t maxUrgent = 2048; ///< Requests waiting, all organisations together.
    std::size_t maxDeferable = 8192;
    std::size_t maxUrgentPerOrganisation = 512;
    std::size_t maxDeferablePerOrganisation = 4096;
    absl::Duration maxUrgentWait = absl::Seconds(30); ///< Also without a deadline.
    absl::Duration maxDeferableWait = absl::Minutes(10);
    absl::Duration startMargin = absl::Milliseconds(150); ///< For starting, beyond serviceTime.
    double deferableShare = 0.05; ///< Of tokens, while urgent requests wait as well.
    absl::Duration rateWindow = absl::Seconds(10); ///< Over which the drain rate is averaged.
};

/// Tells whether a request could start now.
using CanStart = std::function<bool(const RequestFacts &)>;

/// Requests that wait for an endpoint. For one thread.
class AdmissionQueue
{
public:
    virtual ~AdmissionQueue() = default;

    /// Takes the request, or says why not: a queue is full, or the deadline cannot be met.
    virtual std::optional<Refusal> push(const RequestFacts &request, absl::Time now) = 0;

    /// Next request for which `canStart` holds.
    virtual std::optional<RequestFacts> pop(absl::Time now, const CanStart &canStart) = 0;

    /// Removes and returns what can no longer meet its deadline or has waited too long.
    virtual std::vector<ExpiredRequest> expire(absl::Time now) = 0;

    /// Removes a request whose caller left; false when it is not waiting.
    virtual bool remove(const base::RequestId &id) = 0;

    /// Weight of an organisation relative to the others; 1 where none was set.
    virtual void setWeight(const base::OrganisationId &organisation, double weight) = 0;

    virtual std::size_t size() const = 0;
    virtual std::size_t size(Urgency urgency) const = 0;

    /// Estimated tokens started per second while requests wait; nothing before any was started.
    virtual std::optional<double> drainRate(absl::Time now) const = 0;
};

/// One line for all requests, in order of arrival.
std::unique_ptr<AdmissionQueue> fifoQueue(const QueueOptions &options);

/// Urgent before deferable; within a class, deficit round robin between organisations by
/// weighted tokens. A blocked model does not hold up the others.
std::unique_ptr<AdmissionQueue> fairQueue(const QueueOptions &options);

} // namespace zinniadoor::serving
