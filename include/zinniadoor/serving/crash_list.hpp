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

/// A crash of an endpoint with a request's body in flight, as told between peers.
struct CrashEntry
{
    std::string bodyDigest;
    base::EndpointId endpoint;
    absl::Duration age; ///< Since the crash; peers share no clock.

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
    std::uint32_t crashesToRefuse = 2; ///< Crashes of endpoints that ran the body.
    absl::Duration retention = absl::Minutes(30);

    /// Reports of one endpoint this close tell of one crash: instances notice it within that
    /// time, and no endpoint is back sooner.
    absl::Duration duplicateWindow = absl::Seconds(3);
    std::size_t capacity = 10000; ///< Bodies remembered at most.
};

enum class CrashVerdict : std::uint8_t {
    Clear,
    Suspect, ///< Was in flight on one crash: run one copy at a time.
    Refused,
};

/// Bodies that were in flight on endpoints that crashed. For one thread.
class CrashList
{
public:
    explicit CrashList(const CrashListOptions &options);

    /// A body is sent to an endpoint by this instance, is known to have been taken there, and ends
    /// there; `taken` as told before.
    void begin(const std::string &bodyDigest, const base::EndpointId &endpoint);
    void noteAccepted(const std::string &bodyDigest, const base::EndpointId &endpoint);
    void end(const std::string &bodyDigest, const base::EndpointId &endpoint, bool taken);

    /// An endpoint crashed; the bodies that it had taken are blamed. Returns what to tell peers at
    /// once.
    std::vector<CrashEntry> endpointCrashed(const base::EndpointId &endpoint, absl::Time now);

    void merge(const std::vector<CrashEntry> &entries, absl::Time now);

    CrashVerdict verdict(const std::string &bodyDigest, absl::Time now) const;

    /// The last reason of a refused body, naming the endpoints.
    base::Reason reason(const std::string &bodyDigest) const;

    /// Copies of a body that this instance has in flight.
    std::uint32_t copiesInFlight(const std::string &bodyDigest) const;

    /// Entries not older than `memory`, newest first, at most `limit`; for gossip.
    std::vector<CrashEntry> entries(absl::Time now, std::size_t limit) const;

    void expire(absl::Time now);
    std::size_t size() const { return crashes_.size(); }

private:
    struct Crash
    {
        base::EndpointId endpoint;
        absl::Time at;
    };
    struct Copies
    {
        std::uint32_t sent = 0;
        std::uint32_t taken = 0; ///< Of those sent.
    };
    void add(const std::string &bodyDigest, const Crash &crash);
    void makeRoom();

    CrashListOptions options_;
    absl::flat_hash_map<std::string, std::vector<Crash>> crashes_;
    absl::flat_hash_map<base::EndpointId, absl::flat_hash_map<std::string, Copies>> inFlight_;
};

} // namespace zinniadoor::serving
