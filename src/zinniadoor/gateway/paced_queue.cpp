#include "zinniadoor/gateway/paced_queue.hpp"

#include <algorithm>

#include "zinniadoor/base/codec.hpp"

namespace zinniadoor::gateway {

std::size_t PacedQueue::capacityFor(std::size_t receivers) const
{
    const std::size_t left = MaxBytes - std::min(MaxBytes, bytes_);
    return left / std::max<std::size_t>(receivers, 1);
}

void PacedQueue::push(const std::vector<std::string> &addresses, const LogPart &part,
                      absl::Time now)
{
    std::deque<Entry> &entries = part.log == LogName::Configuration ? configuration_ : others_;
    LogPart sent = part;
    std::size_t bytes = base::encode(sent).size();
    if (!sent.records.empty() && bytes > capacityFor(addresses.size())) {
        sent.includesRecords = false;
        sent.records.clear();
        bytes = base::encode(sent).size();
    }
    const auto shared = std::make_shared<const LogPart>(std::move(sent));
    for (const std::string &address : addresses)
        entries.push_back({ address, shared, bytes, now });
    bytes_ += bytes * addresses.size();
}

std::optional<PacedQueue::Datagram> PacedQueue::pop(absl::Time now)
{
    std::deque<Entry> &entries = configuration_.empty() ? others_ : configuration_;
    if (entries.empty())
        return std::nullopt;
    const Entry entry = std::move(entries.front());
    entries.pop_front();
    bytes_ -= entry.bytes;
    const absl::Duration waited = now - entry.queuedAt;
    LogPart part = *entry.part;
    part.ageMs += static_cast<std::uint32_t>(absl::ToInt64Milliseconds(waited));
    return Datagram { entry.address, base::encode(part), part.log, waited };
}

} // namespace zinniadoor::gateway
