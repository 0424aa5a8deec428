#include "zinniadoor/serving/stream_origins.hpp"

namespace zinniadoor::serving {

void StreamOrigins::note(std::uint64_t stream, const std::string &version, absl::Time now)
{
    discard(now);
    if (origins_.try_emplace(stream, Origin { version, now }).second)
        byAge_.emplace_back(now, stream);
}

std::optional<std::string> StreamOrigins::find(std::uint64_t stream, absl::Time now) const
{
    const auto found = origins_.find(stream);
    if (found == origins_.end() || now - found->second.notedAt > options_.memory)
        return std::nullopt;
    return found->second.version;
}

void StreamOrigins::discard(absl::Time now)
{
    while (
        !byAge_.empty()
        && (now - byAge_.front().first > options_.memory || byAge_.size() >= options_.maxStreams)) {
        origins_.erase(byAge_.front().second);
        byAge_.pop_front();
    }
}

void ServiceVersions::noteListed(const std::string &service, const std::string &version,
                                 absl::Time now)
{
    const auto [it, isNew] = services_.try_emplace(service);
    if (isNew)
        it->second.since = now;
    ++it->second.versions[version].endpoints;
}

void ServiceVersions::noteUnlisted(const std::string &service, const std::string &version,
                                   absl::Time now)
{
    Listing &listing = services_[service].versions[version];
    if (--listing.endpoints == 0)
        listing.goneAt = now;
}

void ServiceVersions::noteGap(absl::Time now)
{
    for (auto &[name, service] : services_)
        service.since = now;
}

std::optional<std::string> ServiceVersions::onlyVersion(const std::string &service,
                                                        absl::Time now) const
{
    const auto found = services_.find(service);
    if (found == services_.end() || now - found->second.since < options_.longestStream)
        return std::nullopt;
    std::optional<std::string> only;
    for (const auto &[version, listing] : found->second.versions) {
        if (listing.endpoints == 0
            && now - listing.goneAt > options_.serviceAfterRemoval + options_.longestStream)
            continue;
        if (only)
            return std::nullopt;
        only = version;
    }
    return only;
}

} // namespace zinniadoor::serving
