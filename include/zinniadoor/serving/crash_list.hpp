#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/serving/crash_evidence.hpp"

namespace zinniadoor::serving {

/// Crash of an endpoint while a request body was in flight on it, as exchanged between peers.
struct CrashEntry
{
    std::string bodyDigest;
    base::EndpointId endpoint;
    absl::Duration age; ///< Time since the crash; an age, as peers share no clock.

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

enum class CrashVerdict : std::uint8_t {
    Clear,
    Suspect, ///< In flight during a crash: run one copy at a time.
    Refused,
};

/// Tracks request bodies in flight, and those that were in flight on endpoints that crashed, for
/// callers that learn of a crash by endpoint. Not thread-safe.
class CrashList
{
public:
    explicit CrashList(const CrashEvidenceOptions &options);

    /// Records that this instance sent a body to an endpoint.
    void begin(const std::string &bodyDigest, const base::EndpointId &endpoint);

    /// Records that the endpoint accepted the body.
    void noteAccepted(const std::string &bodyDigest, const base::EndpointId &endpoint);

    /// Records the end of the call; `accepted` if `noteAccepted` was called for it.
    void end(const std::string &bodyDigest, const base::EndpointId &endpoint, bool accepted);

    /// Records a crash against each body that the endpoint had accepted. Returns the entries to
    /// send to peers immediately.
    std::vector<CrashEntry> endpointCrashed(const base::EndpointId &endpoint, absl::Time now);

    /// An endpoint answered the body to the end.
    void noteAnswered(const std::string &bodyDigest, absl::Time now);

    /// Adds entries of peers.
    void merge(const std::vector<CrashEntry> &entries, absl::Time now);

    /// Adds what peers tell of answers and trials.
    void merge(const CrashReports &reports, absl::Time now);

    /// Answers and trials to tell the peers of, since the last call.
    CrashReports takeReports() { return std::exchange(reports_, {}); }

    CrashVerdict verdict(const std::string &bodyDigest, absl::Time now) const;

    /// See `CrashEvidence`.
    bool mayTry(const std::string &bodyDigest, absl::Time now) const;
    void noteTrial(const std::string &bodyDigest, absl::Time now);
    void setInstances(const std::string &self, std::vector<std::string> instances);

    /// Reason for refusing a body; lists the endpoints that crashed.
    base::Reason reason(const std::string &bodyDigest) const;

    /// Number of calls with this body that this instance has in flight.
    std::uint32_t copiesInFlight(const std::string &bodyDigest) const;

    void expire(absl::Time now) { evidence_.expire(now); }
    std::size_t size() const { return evidence_.size(); }

private:
    struct Copies
    {
        std::uint32_t sent = 0;
        std::uint32_t accepted = 0; ///< At most `sent`.
    };

    void report(const CrashReports &reports);

    CrashEvidence evidence_;
    CrashReports reports_; ///< Of answers and trials.
    absl::flat_hash_map<base::EndpointId, absl::flat_hash_map<std::string, Copies>> inFlight_;
};

} // namespace zinniadoor::serving
