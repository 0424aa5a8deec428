#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <vector>

#include "absl/time/time.h"

namespace zinniadoor::gateway {

struct ReportQueueOptions
{
    int copies = 3; ///< Number of messages that include a report, as messages get lost.

    /// A report that was sent is not queued again within this time. Instances that forward the
    /// copies of a report don't multiply them.
    absl::Duration repeatTime = absl::Milliseconds(900);
    std::size_t capacity = 256;
};

/// Reports that wait to be included in messages to peers; those that were sent least often go
/// first. `Report` has an `age`, to which the time in the queue is added. Not thread-safe.
template <typename Report>
class ReportQueue
{
public:
    /// Whether two reports tell the same.
    using IsSame = std::function<bool(const Report &, const Report &)>;

    explicit ReportQueue(IsSame isSame, const ReportQueueOptions &options = {})
        : isSame_(std::move(isSame))
        , options_(options)
    { }

    void push(const std::vector<Report> &reports, absl::Time now)
    {
        push(reports, options_.copies, now);
    }

    /// Each report is included in `copies` messages, at most the number set by the options.
    void push(const std::vector<Report> &reports, int copies, absl::Time now)
    {
        removeDone(now);
        for (const Report &report : reports) {
            const bool isQueued = std::any_of(items_.begin(), items_.end(), [&](const Item &item) {
                return isSame_(item.report, report);
            });
            if (isQueued)
                continue;
            if (items_.size() >= options_.capacity)
                removeMostSent();
            items_.push_back({ report, now, options_.copies - std::min(copies, options_.copies) });
        }
    }

    /// Also sends those again that were sent a short time ago.
    void pushAgain(const std::vector<Report> &reports, absl::Time now)
    {
        for (Item &item : items_) {
            const bool isRepeated
                = std::any_of(reports.begin(), reports.end(),
                              [&](const Report &report) { return isSame_(item.report, report); });
            item.sent = isRepeated ? 0 : item.sent;
        }
        push(reports, now);
    }

    /// At most `limit` reports for the next message.
    std::vector<Report> take(std::size_t limit, absl::Time now)
    {
        removeDone(now);
        std::stable_sort(items_.begin(), items_.end(),
                         [](const Item &a, const Item &b) { return a.sent < b.sent; });
        std::vector<Report> taken;
        for (Item &item : items_) {
            if (taken.size() >= limit || item.sent >= options_.copies)
                break;
            ++item.sent;
            taken.push_back(item.report);
            taken.back().age
                = std::max(item.report.age, absl::ZeroDuration()) + (now - item.queuedAt);
        }
        return taken;
    }

private:
    struct Item
    {
        Report report;
        absl::Time queuedAt;
        int sent = 0; ///< Number of copies sent.
    };

    void removeDone(absl::Time now)
    {
        const auto isDone = [&](const Item &item) {
            return item.sent >= options_.copies && now - item.queuedAt >= options_.repeatTime;
        };
        items_.erase(std::remove_if(items_.begin(), items_.end(), isDone), items_.end());
    }

    /// The oldest of those that were sent most often.
    void removeMostSent()
    {
        const auto victim
            = std::max_element(items_.begin(), items_.end(), [](const Item &a, const Item &b) {
                  return a.sent != b.sent ? a.sent < b.sent : a.queuedAt > b.queuedAt;
              });
        if (victim != items_.end())
            items_.erase(victim);
    }

    IsSame isSame_;
    ReportQueueOptions options_;
    std::vector<Item> items_;
};

} // namespace zinniadoor::gateway
