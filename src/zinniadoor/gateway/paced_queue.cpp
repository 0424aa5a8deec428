#include "zinniadoor/gateway/paced_queue.hpp"

#include "zinniadoor/base/codec.hpp"

namespace zinniadoor::gateway {

void PacedQueue::push(const std::vector<std::string> &addresses, const LogPart &part,
                      absl::Time now)
{
    std::deque<Entry> &entries = part.log == LogName::Configuration ? configuration_ : others_;
    const auto bytes = std::make_shared<const std::string>(base::encode(part));
    for (const std::string &address : addresses) {
        entries.push_back({ address, bytes, part.log, now });
        bytes_ += bytes->size();
    }
}

std::optional<PacedQueue::Datagram> PacedQueue::pop(absl::Time now)
{
    std::deque<Entry> &entries = configuration_.empty() ? others_ : configuration_;
    if (entries.empty())
        return std::nullopt;
    const Entry entry = std::move(entries.front());
    entries.pop_front();
    bytes_ -= entry.bytes->size();
    return Datagram { entry.address, entry.bytes, entry.log, now - entry.queuedAt };
}

} // namespace zinniadoor::gateway
