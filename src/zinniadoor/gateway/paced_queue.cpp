#include "zinniadoor/gateway/paced_queue.hpp"

#include "zinniadoor/base/codec.hpp"

namespace zinniadoor::gateway {

void PacedQueue::push(const std::vector<std::string> &addresses, const LogPart &part,
                      absl::Time now)
{
    const auto bytes = std::make_shared<const std::string>(base::encode(part));
    for (const std::string &address : addresses) {
        entries_.push_back({ address, bytes, part.log, now });
        bytes_ += bytes->size();
    }
}

std::optional<PacedQueue::Datagram> PacedQueue::pop(absl::Time now)
{
    if (entries_.empty())
        return std::nullopt;
    const Entry entry = std::move(entries_.front());
    entries_.pop_front();
    bytes_ -= entry.bytes->size();
    return Datagram { entry.address, entry.bytes, entry.log, now - entry.queuedAt };
}

} // namespace zinniadoor::gateway
