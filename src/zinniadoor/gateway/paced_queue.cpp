#include "zinniadoor/gateway/paced_queue.hpp"

#include "zinniadoor/base/codec.hpp"

namespace zinniadoor::gateway {

void PacedQueue::push(const std::vector<std::string> &addresses, const LogPart &part,
                      absl::Time now)
{
    std::deque<Entry> &entries = part.log == LogName::Configuration ? configuration_ : others_;
    const auto shared = std::make_shared<const LogPart>(part);
    const std::size_t bytes = base::encode(part).size();
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
