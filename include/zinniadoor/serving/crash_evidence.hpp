#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <vector>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/serving/prompt_segment.hpp"

namespace zinniadoor::serving {

/// Identifies what a request may share with others that crash endpoints: one part of its prompt,
/// whatever parts are before it.
using SuspectKey = std::uint64_t;

/// Keys of all parts except the last, which belongs to one request alone; without duplicates.
/// Identical on all instances.
std::vector<SuspectKey> sharedPartKeys(const std::vector<PromptSegment> &segments);

/// Crash of an endpoint while it worked on a request with this part, as exchanged between peers.
struct SuspectCrash
{
    SuspectKey key = 0;
    std::uint64_t request = 0; ///< Digest of the request.
    base::EndpointId endpoint;
    absl::Duration age; ///< Time since the crash; an age, as peers share no clock.

    template <typename Archive>
    void save(Archive &archive) const
    {
        archive(key, request, endpoint, absl::ToInt64Milliseconds(age));
    }
    template <typename Archive>
    void load(Archive &archive)
    {
        std::int64_t milliseconds = 0;
        archive(key, request, endpoint, milliseconds);
        age = absl::Milliseconds(milliseconds);
    }
};

/// A request with this part was answered to its end.
struct SuspectAnswer
{
    SuspectKey key = 0;
    absl::Duration age; ///< Time since the end of the answer.

    template <typename Archive>
    void save(Archive &archive) const
    {
        archive(key, absl::ToInt64Milliseconds(age));
    }
    template <typename Archive>
    void load(Archive &archive)
    {
        std::int64_t milliseconds = 0;
        archive(key, milliseconds);
        age = absl::Milliseconds(milliseconds);
    }
};

/// What instances tell each other about parts.
struct CrashReports
{
    std::vector<SuspectCrash> crashes;
    std::vector<SuspectAnswer> successes;

    bool empty() const { return crashes.empty() && successes.empty(); }

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(crashes, successes);
    }
};

struct CrashEvidenceOptions
{
    std::uint32_t crashesToRefuse = 3; ///< Crashes after which a part is refused.

    /// The same, of a part that has been answered within `retention`. Crashes around those of a
    /// refused part that has not been answered don't count against it.
    std::uint32_t crashesToRefuseAnswered = 6;
    std::uint32_t requestsToRefuse = 2; ///< Number of different requests among these crashes.
    absl::Duration retention = absl::Minutes(10);

    /// A crash does not count against a part that was answered at most this time before.
    absl::Duration trust = absl::Seconds(5);

    /// Reports about one endpoint within this time count as one crash.
    absl::Duration duplicateWindow = absl::Seconds(3);

    /// Crashes of several endpoints within this time count as one: an outage ends them together.
    absl::Duration outageWindow = absl::Milliseconds(300);

    /// Reports that are closer to `retention` are ignored, so that instances don't keep a crash
    /// alive by reporting it to each other.
    absl::Duration reportMargin = absl::Seconds(30);

    /// Time after a crash report during which successes of its part are announced, and the minimum
    /// time between these announcements.
    absl::Duration announceTime = absl::Seconds(10);
    absl::Duration announceInterval = absl::Milliseconds(500);
    std::size_t capacity = 10000; ///< Maximum number of suspected parts, and of answered parts.
};

/// Tracks parts of requests that were in flight on endpoints that crashed, in order to refuse
/// requests with a part that crashes each endpoint. Not thread-safe.
class CrashEvidence
{
public:
    explicit CrashEvidence(const CrashEvidenceOptions &options);

    /// The endpoint crashed while it worked on this request. Returns what to tell the peers
    /// immediately.
    CrashReports noteCrash(const std::vector<SuspectKey> &parts, std::uint64_t request,
                           const base::EndpointId &endpoint, absl::Time now);

    /// A request with these parts was answered to its end. Returns what to tell the peers.
    CrashReports noteSuccess(const std::vector<SuspectKey> &parts, absl::Time now);

    /// Returns what to tell the peers: successes of the reported parts that were answered here.
    CrashReports merge(const CrashReports &reports, absl::Time now);

    /// The first of these parts that is refused.
    std::optional<SuspectKey> refusedKey(const std::vector<SuspectKey> &parts,
                                         absl::Time now) const;

    /// Counted crashes, at most `limit`, of refused parts first, then newest first; and the last
    /// successes of these parts. For peers that have just started.
    CrashReports entries(absl::Time now, std::size_t limit) const;

    void expire(absl::Time now);

    /// Number of suspected parts.
    std::size_t size() const { return crashes_.size(); }

private:
    struct Crash
    {
        std::uint64_t request = 0;
        base::EndpointId endpoint;
        absl::Time at;
    };
    using Crashes = std::vector<Crash>; ///< In order of time.
    struct Answered
    {
        absl::Time at = absl::InfinitePast(); ///< End of the last answer.
        absl::Time reportedAt = absl::InfinitePast(); ///< Last report of a crash.
        absl::Time announcedAt = absl::InfinitePast();
        std::list<SuspectKey>::iterator position; ///< In `answeredOrder_`.
    };
    bool isTrusted(SuspectKey key, absl::Time crash) const;
    bool wasAnswered(SuspectKey key, absl::Time now) const;
    bool isRefused(SuspectKey key, const Crashes &crashes, absl::Time now) const;
    Crashes unexplained(Crashes crashes, absl::Time now) const;
    bool isConclusive(const Crashes &crashes, std::uint32_t count, absl::Time now) const;
    void add(SuspectKey key, const Crash &crash, absl::Time now);
    Answered &noteAnswered(SuspectKey key, absl::Time at);
    void evictOne(absl::Time now);

    CrashEvidenceOptions options_;
    absl::flat_hash_map<SuspectKey, Crashes> crashes_;
    absl::flat_hash_map<SuspectKey, Answered> answered_;
    std::list<SuspectKey> answeredOrder_; ///< Last answered last.
};

} // namespace zinniadoor::serving
