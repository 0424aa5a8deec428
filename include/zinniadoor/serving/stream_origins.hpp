#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace zinniadoor::serving {

struct StreamOriginsOptions
{
    absl::Duration memory = absl::Seconds(60); ///< Longer than callers wait for a whole stream.
    std::size_t maxStreams = 40000;
};

/// Remembers which software version of its service began a stream. Addresses services of which
/// several versions serve at once: what two of them write does not fit together, so that a stream
/// goes on only at the version that began it. Not thread-safe.
class StreamOrigins
{
public:
    explicit StreamOrigins(const StreamOriginsOptions &options = {})
        : options_(options)
    { }

    /// The first version that is noted for a stream holds.
    void note(std::uint64_t stream, const std::string &version, absl::Time now);

    std::optional<std::string> find(std::uint64_t stream, absl::Time now) const;

    std::size_t size() const { return origins_.size(); }

private:
    void discard(absl::Time now);

    struct Origin
    {
        std::string version;
        absl::Time notedAt;
    };

    StreamOriginsOptions options_;
    absl::flat_hash_map<std::uint64_t, Origin> origins_;
    std::deque<std::pair<absl::Time, std::uint64_t>> byAge_;
};

struct ServiceVersionsOptions
{
    /// Streams that began longer ago have ended.
    absl::Duration longestStream = absl::Seconds(15);

    /// How long an endpoint that is no longer listed may serve on. Instances that have not heard of
    /// its removal begin streams there.
    absl::Duration serviceAfterRemoval = absl::Seconds(40);
};

/// Follows which software versions of each service may have served. Not thread-safe.
class ServiceVersions
{
public:
    explicit ServiceVersions(const ServiceVersionsOptions &options = {})
        : options_(options)
    { }

    /// An endpoint of the service, or another version of one, is listed from now on.
    void noteListed(const std::string &service, const std::string &version, absl::Time now);

    /// It no longer is.
    void noteUnlisted(const std::string &service, const std::string &version, absl::Time now);

    /// Endpoints may have been listed and removed unnoticed until now.
    void noteGap(absl::Time now);

    /// The only version that can have begun a stream which still goes on, if no other endpoints are
    /// listed than those noted; nothing if there may be several, or if the service has not been
    /// followed for long enough.
    std::optional<std::string> onlyVersion(const std::string &service, absl::Time now) const;

private:
    struct Listing
    {
        std::size_t endpoints = 0;
        absl::Time goneAt; ///< If there are none.
    };
    struct Service
    {
        absl::Time since; ///< Followed without a gap.
        absl::flat_hash_map<std::string, Listing> versions;
    };

    ServiceVersionsOptions options_;
    absl::flat_hash_map<std::string, Service> services_;
};

} // namespace zinniadoor::serving
