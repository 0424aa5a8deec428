#include <algorithm>

#include "class_queue.hpp"
#include "zinniadoor/serving/admission_queue.hpp"
#include "zinniadoor/serving/drain_rate.hpp"

namespace zinniadoor::serving {

namespace {

/// Maximum tokens of credit that deferable requests accumulate while they cannot start.
constexpr double MaxDeferableCredit = 65536;

class FairQueue : public AdmissionQueue
{
public:
    explicit FairQueue(const QueueOptions &options)
        : options_(options)
        , rate_(options.rateWindow)
    { }

    std::optional<Refusal> push(const RequestFacts &request, absl::Time now) override
    {
        if (urgent_.contains(request.id) || deferable_.contains(request.id)) {
            return Refusal { { base::ReasonCode::Conflict, "the request is waiting already" },
                             absl::ZeroDuration() };
        }
        if (auto refusal = checkAdmission(request, now))
            return refusal;
        queueOf(request.urgency).push(request, now);
        rate_.setBusy(true, now);
        return std::nullopt;
    }

    std::optional<RequestFacts> pop(absl::Time now, const CanStart &canStart) override
    {
        auto request = popDeferableShare(canStart);
        if (!request)
            request = popUrgent(canStart);
        if (!request)
            request = popDeferable(canStart);
        if (!request)
            return std::nullopt;
        rate_.add(tokenCost(*request), now);
        rate_.setBusy(size() > 0, now);
        return request;
    }

    std::vector<ExpiredRequest> expire(absl::Time now) override
    {
        const auto urgentTokens = static_cast<double>(urgent_.tokens());
        const auto allTokens = urgentTokens + static_cast<double>(deferable_.tokens());
        auto expired = urgent_.expire(options_, rate_.timeFor(urgentTokens, now), now);
        auto deferable = deferable_.expire(options_, rate_.timeFor(allTokens, now), now);
        std::move(deferable.begin(), deferable.end(), std::back_inserter(expired));
        rate_.setBusy(size() > 0, now);
        return expired;
    }

    bool remove(const base::RequestId &id, absl::Time now) override
    {
        const bool removed = urgent_.remove(id) || deferable_.remove(id);
        rate_.setBusy(size() > 0, now);
        return removed;
    }

    void setWeight(const base::OrganisationId &organisation, double weight) override
    {
        urgent_.setWeight(organisation, weight);
        deferable_.setWeight(organisation, weight);
    }

    std::size_t size() const override { return urgent_.size() + deferable_.size(); }

    std::size_t size(Urgency urgency) const override
    {
        return urgency == Urgency::Urgent ? urgent_.size() : deferable_.size();
    }

    std::optional<double> drainRate(absl::Time now) const override
    {
        return rate_.tokensPerSecond(now);
    }

private:
    detail::ClassQueue &queueOf(Urgency urgency)
    {
        return urgency == Urgency::Urgent ? urgent_ : deferable_;
    }

    // A started request is queued ahead of its model's other requests; only its deadline rejects
    // it.
    std::optional<Refusal> checkAdmission(const RequestFacts &request, absl::Time now)
    {
        if (request.hasStarted)
            return detail::checkDeadline(request, options_, absl::ZeroDuration(), now);
        if (auto refusal = checkRoom(request, now))
            return refusal;
        return detail::checkDeadline(request, options_, estimatedWait(request, now), now);
    }

    std::optional<Refusal> checkRoom(const RequestFacts &request, absl::Time now)
    {
        const bool isUrgent = request.urgency == Urgency::Urgent;
        const detail::ClassQueue &queue = queueOf(request.urgency);
        const double share = queue.shareOf(request.organisation);
        const auto untilRoom = rate_.timeFor(static_cast<double>(tokenCost(request)) / share, now);
        if (queue.size() >= (isUrgent ? options_.maxUrgent : options_.maxDeferable))
            return detail::queueFull("the queue is full", untilRoom);
        const std::size_t limit
            = isUrgent ? options_.maxUrgentPerOrganisation : options_.maxDeferablePerOrganisation;
        if (queue.sizeOf(request.organisation) >= limit)
            return detail::queueFull("the organisation has too many waiting", untilRoom);
        return std::nullopt;
    }

    absl::Duration estimatedWait(const RequestFacts &request, absl::Time now)
    {
        const double ahead
            = queueOf(request.urgency).tokensAhead(request.organisation, tokenCost(request));
        if (request.urgency == Urgency::Urgent)
            return rate_.timeFor(ahead, now);
        const auto urgentAhead = static_cast<double>(urgent_.tokens());
        const auto afterUrgent = rate_.timeFor(urgentAhead + ahead, now);
        const auto byShare = rate_.timeFor(ahead / options_.deferableShare, now);
        return std::min(afterUrgent, byShare);
    }

    std::optional<RequestFacts> popDeferableShare(const CanStart &canStart)
    {
        if (deferable_.size() == 0 || urgent_.size() == 0 || deferableCredit_ <= 0)
            return std::nullopt;
        detail::BlockedModels blocked;
        auto request = deferable_.pop(
            [&](const RequestFacts &head) {
                const auto cost = static_cast<double>(tokenCost(head));
                return std::min(cost, MaxDeferableCredit) <= deferableCredit_ && canStart(head);
            },
            blocked);
        if (request)
            deferableCredit_ -= static_cast<double>(tokenCost(*request));
        return request;
    }

    std::optional<RequestFacts> popUrgent(const CanStart &canStart)
    {
        detail::BlockedModels blocked;
        auto request = urgent_.pop(canStart, blocked);
        if (request && deferable_.size() > 0) {
            const double share = options_.deferableShare / (1 - options_.deferableShare);
            deferableCredit_ += share * static_cast<double>(tokenCost(*request));
            deferableCredit_ = std::min(deferableCredit_, MaxDeferableCredit);
        }
        return request;
    }

    // Capacity too small for a queued urgent request is reserved for it; otherwise a smaller
    // deferable request of the same model would take it first.
    std::optional<RequestFacts> popDeferable(const CanStart &canStart)
    {
        detail::BlockedModels blocked;
        return deferable_.pop(
            [&](const RequestFacts &head) {
                return !urgent_.hasQueued(head.model) && canStart(head);
            },
            blocked);
    }

    QueueOptions options_;
    detail::ClassQueue urgent_;
    detail::ClassQueue deferable_;
    double deferableCredit_ = 0;
    DrainRate rate_;
};

} // namespace

std::unique_ptr<AdmissionQueue> fairQueue(const QueueOptions &options)
{
    return std::make_unique<FairQueue>(options);
}

} // namespace zinniadoor::serving
