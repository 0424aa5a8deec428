#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/base/outcome.hpp"

namespace zinniadoor::serving {

/// Crash of an endpoint while a request body was in flight on it, as exchanged between peers.
struct CrashEntry
{
    std::string bodyDigest;
    base::EndpointId endpoint;
    absl::Duration age; ///< Time since the crash; an age, as peers share no clock.

    /// Of the crash, given by the instance that observed it; 0 if unknown. Not in the archive.
    std::uint64_t id = 0;

    template <typename Archive>
    void save(Archive &archive) const
    {
        archive(bodyDigest, endpoint, absl::ToInt64Milliseconds(age));
    }
    template <typename Archive>
    void load(Archive &archive)
    {
        std::int64_t milliseconds = 0;
        archive(bodyDigest, endpoint, milliseconds);
        age = absl::Milliseconds(milliseconds);
    }
};

struct CrashListOptions
{
    std::uint32_t crashesToRefuse = 2; ///< Crashes after which a body is refused.
    absl::Duration retention = absl::Minutes(30);

    /// Reports about one endpoint within this time count as one crash: all instances detect a
    /// crash within it, and no endpoint restarts faster.
    absl::Duration duplicateWindow = absl::Seconds(3);

    /// Reports that are closer to `retention` are ignored, so that instances don't keep a crash
    /// alive by reporting it to each other.
    absl::Duration reportMargin = absl::Seconds(30);
    std::size_t capacity = 10000; ///< Maximum number of tracked bodies.
};

enum class CrashVerdict : std::uint8_t {
    Clear,
    Suspect, ///< In flight during a crash: run one copy at a time.
    Refused,
};

/// Tracks request bodies that were in flight on endpoints that crashed, in order to refuse bodies
/// that crash endpoints repeatedly. Not thread-safe.
class CrashList
{
public:
    explicit CrashList(const CrashListOptions &options);

    /// Records that this instance sent a body to an endpoint.
    void begin(const std::string &bodyDigest, const base::EndpointId &endpoint);

    /// Records that the endpoint accepted the body.
    void noteAccepted(const std::string &bodyDigest, const base::EndpointId &endpoint);

    /// Records the end of the call; `accepted` if `noteAccepted` was called for it.
    void end(const std::string &bodyDigest, const base::EndpointId &endpoint, bool accepted);

    /// Crashes that count if the endpoint proves to have crashed now: of each body that it had
    /// accepted, once each. `merge` records them.
    std::vector<CrashEntry> suspectedCrashes(const base::EndpointId &endpoint, absl::Time now);

    /// Records a crash against each body that the endpoint had accepted. Returns the entries to
    /// send to peers immediately.
    std::vector<CrashEntry> endpointCrashed(const base::EndpointId &endpoint, absl::Time now);

    /// Adds entries of peers; returns those that were not known.
    std::vector<CrashEntry> merge(const std::vector<CrashEntry> &entries, absl::Time now);

    CrashVerdict verdict(const std::string &bodyDigest, absl::Time now) const;

    /// Reason for refusing a body; lists the endpoints that crashed.
    base::Reason reason(const std::string &bodyDigest) const;

    /// Number of calls with this body that this instance has in flight.
    std::uint32_t copiesInFlight(const std::string &bodyDigest) const;

    /// Entries within `retention`, at most `limit`: of refused bodies first, then newest first.
    std::vector<CrashEntry> entries(absl::Time now, std::size_t limit) const;

    void expire(absl::Time now);
    std::size_t size() const { return crashes_.size(); }

private:
    struct Crash
    {
        base::EndpointId endpoint;
        absl::Time at;
        std::vector<std::uint64_t> ids; ///< Of the reports about it.
    };
    struct Copies
    {
        std::uint32_t sent = 0;
        std::uint32_t accepted = 0; ///< At most `sent`.
    };
    /// Returns whether the crash was not known.
    bool add(const CrashEntry &entry, absl::Time at);
    void evictOne();

    CrashListOptions options_;
    absl::flat_hash_map<std::string, std::vector<Crash>> crashes_;
    absl::flat_hash_map<base::EndpointId, absl::flat_hash_map<std::string, Copies>> inFlight_;
};

} // namespace zinniadoor::serving
