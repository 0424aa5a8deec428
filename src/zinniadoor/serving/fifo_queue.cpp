#include <deque>

#include "queue_rules.hpp"
#include "zinniadoor/serving/admission_queue.hpp"
#include "zinniadoor/serving/drain_rate.hpp"

namespace zinniadoor::serving {

namespace {

class FifoQueue : public AdmissionQueue
{
public:
    explicit FifoQueue(const QueueOptions &options)
        : options_(options)
        , rate_(options.rateWindow)
    { }

    std::optional<Refusal> push(const RequestFacts &request, absl::Time now) override
    {
        const auto ahead = static_cast<double>(tokens_);
        if (queue_.size() >= options_.maxUrgent + options_.maxDeferable) {
            const auto cost = static_cast<double>(tokenCost(request));
            return detail::queueFull("the queue is full", rate_.timeFor(cost, now));
        }
        if (auto refusal = detail::checkDeadline(request, options_, rate_.timeFor(ahead, now), now))
            return refusal;
        queue_.push_back({ request, now });
        tokens_ += tokenCost(request);
        rate_.setBusy(true, now);
        return std::nullopt;
    }

    std::optional<RequestFacts> pop(absl::Time now, const CanStart &canStart) override
    {
        if (queue_.empty() || !canStart(queue_.front().request))
            return std::nullopt;
        RequestFacts request = std::move(queue_.front().request);
        queue_.pop_front();
        tokens_ -= tokenCost(request);
        rate_.add(tokenCost(request), now);
        rate_.setBusy(!queue_.empty(), now);
        return request;
    }

    std::vector<ExpiredRequest> expire(absl::Time now) override
    {
        std::vector<ExpiredRequest> expired;
        std::deque<detail::QueuedRequest> kept;
        const absl::Duration drainTime = rate_.timeFor(static_cast<double>(tokens_), now);
        for (detail::QueuedRequest &queued : queue_) {
            auto refusal = detail::checkQueued(queued, options_, drainTime, now);
            if (!refusal) {
                kept.push_back(std::move(queued));
                continue;
            }
            tokens_ -= tokenCost(queued.request);
            expired.push_back({ std::move(queued.request), std::move(*refusal) });
        }
        queue_ = std::move(kept);
        rate_.setBusy(!queue_.empty(), now);
        return expired;
    }

    bool remove(const base::RequestId &id, absl::Time now) override
    {
        for (auto entry = queue_.begin(); entry != queue_.end(); ++entry) {
            if (entry->request.id != id)
                continue;
            tokens_ -= tokenCost(entry->request);
            queue_.erase(entry);
            rate_.setBusy(!queue_.empty(), now);
            return true;
        }
        return false;
    }

    void setWeight(const base::OrganisationId & /*organisation*/, double /*weight*/) override { }

    std::size_t size() const override { return queue_.size(); }

    std::size_t size(Urgency urgency) const override
    {
        std::size_t count = 0;
        for (const detail::QueuedRequest &queued : queue_)
            count += queued.request.urgency == urgency ? 1 : 0;
        return count;
    }

    std::optional<double> drainRate(absl::Time now) const override
    {
        return rate_.tokensPerSecond(now);
    }

private:
    QueueOptions options_;
    std::deque<detail::QueuedRequest> queue_;
    std::uint64_t tokens_ = 0;
    DrainRate rate_;
};

} // namespace

std::unique_ptr<AdmissionQueue> fifoQueue(const QueueOptions &options)
{
    return std::make_unique<FifoQueue>(options);
}

} // namespace zinniadoor::serving
