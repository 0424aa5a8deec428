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

/// Identifies one part of a prompt, whatever parts are before it.
using PartKey = std::uint64_t;

/// Keys of all parts except the last, which belongs to one request alone; without duplicates.
/// Identical on all instances.
std::vector<PartKey> sharedPartKeys(const std::vector<PromptSegment> &segments);

/// Crash of an endpoint while it worked on a request with this part, as exchanged between peers.
struct PartCrash
{
    PartKey part = 0;
    std::uint64_t request = 0; ///< Digest of the request.
    base::EndpointId endpoint;
    absl::Duration age; ///< Time since the crash; an age, as peers share no clock.

    template <typename Archive>
    void save(Archive &archive) const
    {
        archive(part, request, endpoint, absl::ToInt64Milliseconds(age));
    }
    template <typename Archive>
    void load(Archive &archive)
    {
        std::int64_t milliseconds = 0;
        archive(part, request, endpoint, milliseconds);
        age = absl::Milliseconds(milliseconds);
    }
};

/// A request with this part was answered to its end.
struct PartSuccess
{
    PartKey part = 0;
    absl::Duration age; ///< Time since the end of the answer.

    template <typename Archive>
    void save(Archive &archive) const
    {
        archive(part, absl::ToInt64Milliseconds(age));
    }
    template <typename Archive>
    void load(Archive &archive)
    {
        std::int64_t milliseconds = 0;
        archive(part, milliseconds);
        age = absl::Milliseconds(milliseconds);
    }
};

/// What instances tell each other about parts.
struct PartReports
{
    std::vector<PartCrash> crashes;
    std::vector<PartSuccess> successes;

    bool empty() const { return crashes.empty() && successes.empty(); }

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(crashes, successes);
    }
};

struct PartCrashOptions
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
class PartCrashList
{
public:
    explicit PartCrashList(const PartCrashOptions &options);

    /// The endpoint crashed while it worked on this request. Returns what to tell the peers
    /// immediately.
    PartReports noteCrash(const std::vector<PartKey> &parts, std::uint64_t request,
                          const base::EndpointId &endpoint, absl::Time now);

    /// A request with these parts was answered to its end. Returns what to tell the peers.
    PartReports noteSuccess(const std::vector<PartKey> &parts, absl::Time now);

    /// Returns what to tell the peers: successes of the reported parts that were answered here.
    PartReports merge(const PartReports &reports, absl::Time now);

    /// The first of these parts that is refused.
    std::optional<PartKey> refusedPart(const std::vector<PartKey> &parts, absl::Time now) const;

    /// Counted crashes, at most `limit`, of refused parts first, then newest first; and the last
    /// successes of these parts. For peers that have just started.
    PartReports entries(absl::Time now, std::size_t limit) const;

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
        std::list<PartKey>::iterator position; ///< In `answeredOrder_`.
    };
    bool isTrusted(PartKey part, absl::Time crash) const;
    bool wasAnswered(PartKey part, absl::Time now) const;
    bool isRefused(PartKey part, const Crashes &crashes, absl::Time now) const;
    Crashes unexplained(Crashes crashes, absl::Time now) const;
    bool isConclusive(const Crashes &crashes, std::uint32_t count, absl::Time now) const;
    void add(PartKey part, const Crash &crash, absl::Time now);
    Answered &noteAnswered(PartKey part, absl::Time at);
    void evictOne(absl::Time now);

    PartCrashOptions options_;
    absl::flat_hash_map<PartKey, Crashes> crashes_;
    absl::flat_hash_map<PartKey, Answered> answered_;
    std::list<PartKey> answeredOrder_; ///< Last answered last.
};

} // namespace zinniadoor::serving
