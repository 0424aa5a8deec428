#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <vector>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/serving/prompt_segment.hpp"
#include "zinniadoor/serving/trial_turns.hpp"

namespace zinniadoor::serving {

/// Identifies what requests that crash endpoints have in common: the whole body, or one part of the
/// prompt, whatever parts are before it. Identical on all instances.
using SuspectKey = std::uint64_t;

/// Keys of all parts except the last, which belongs to one request alone; without duplicates.
std::vector<SuspectKey> sharedPartKeys(const std::vector<PromptSegment> &segments);

/// Crash of an endpoint while it worked on a request with this key, as exchanged between peers.
struct SuspectCrash
{
    SuspectKey key = 0;
    std::uint64_t request = 0; ///< Tells requests with this key apart; 0 if unknown.
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

/// An event that has no other properties than its key.
struct SuspectEvent
{
    SuspectKey key = 0;
    absl::Duration age; ///< Time since the event.

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

/// A request with this key was answered to its end.
using SuspectAnswer = SuspectEvent;

/// A request was sent although its key is refused.
using SuspectTrial = SuspectEvent;

/// What instances tell each other.
struct CrashReports
{
    std::vector<SuspectCrash> crashes;
    std::vector<SuspectAnswer> successes;
    std::vector<SuspectTrial> trials {}; ///< Not archived: only keys of bodies have any.

    bool empty() const { return crashes.empty() && successes.empty() && trials.empty(); }

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(crashes, successes);
    }
};

/// The defaults are those of parts of prompts.
struct CrashEvidenceOptions
{
    /// Options of whole bodies. All requests with the key are the same one, and each crash that it
    /// causes is one too many, so that fewer crashes suffice; in return a refusal that was wrong
    /// ends early, by a trial.
    static CrashEvidenceOptions ofBodies();

    std::uint32_t crashesToRefuse = 3; ///< Crashes after which a key is refused.

    /// The same, of a key that was answered within `retention` before. Crashes around those of a
    /// refused key that has not been answered don't count against it.
    std::uint32_t crashesToRefuseAnswered = 6;
    std::uint32_t requestsToRefuse = 2; ///< Number of different requests among these crashes.
    absl::Duration retention = absl::Minutes(10);

    /// A crash does not count against a key that was answered at most this time before.
    absl::Duration trust = absl::Seconds(5);

    /// Reports about one endpoint within this time count as one crash: all instances detect a crash
    /// within it, and no endpoint restarts faster.
    absl::Duration duplicateWindow = absl::Seconds(3);

    /// Crashes of several endpoints within this time count as one: an outage ends them together.
    absl::Duration outageWindow = absl::Milliseconds(300);

    /// Reports that are closer to `retention` are ignored, so that instances don't keep a crash
    /// alive by reporting it to each other.
    absl::Duration reportMargin = absl::Seconds(30);

    /// Time after a crash report during which successes of its key are announced, and the minimum
    /// time between these announcements.
    absl::Duration announceTime = absl::Seconds(10);
    absl::Duration announceInterval = absl::Milliseconds(500);

    /// Time from the last crash or trial of a refused key to its next trial; each crash beyond
    /// those that refuse it multiplies the time. At `retention` there are no trials.
    absl::Duration firstRest = retention;
    int restGrowth = 10;
    std::size_t capacity = 10000; ///< Maximum number of suspected keys, and of answered keys.
};

/// Tells requests that crash endpoints from those that were in flight on endpoints that crashed for
/// another reason, or that lost an answer: a request that crashes endpoints crashes each one that
/// begins to run it, so that an answer clears its keys. Not thread-safe.
class CrashEvidence
{
public:
    explicit CrashEvidence(const CrashEvidenceOptions &options);

    /// The endpoint crashed while it worked on this request. Returns what to tell the peers
    /// immediately.
    CrashReports noteCrash(const std::vector<SuspectKey> &keys, std::uint64_t request,
                           const base::EndpointId &endpoint, absl::Time now);

    /// A request with these keys was answered to its end. Returns what to tell the peers.
    CrashReports noteSuccess(const std::vector<SuspectKey> &keys, absl::Time now);

    struct Merged
    {
        CrashReports reply; ///< Answers here to requests that were reported.
        CrashReports news; ///< Of the reports, those that were not known.
    };
    Merged merge(const CrashReports &reports, absl::Time now);

    bool isRefused(SuspectKey key, absl::Time now) const;

    /// Whether any crash counts against the key.
    bool isSuspected(SuspectKey key, absl::Time now) const;

    /// The first of these keys that is refused.
    std::optional<SuspectKey> refusedKey(const std::vector<SuspectKey> &keys, absl::Time now) const;

    /// Whether this instance may send one request with a refused key. One that was refused wrongly
    /// could not be answered any more otherwise.
    bool mayTry(SuspectKey key, absl::Time now) const;

    /// This instance sends a request with a refused key. Returns what to tell the peers
    /// immediately; all wait for the next trial.
    CrashReports noteTrial(SuspectKey key, absl::Time now);

    /// See `TrialTurns::setInstances`.
    void setInstances(const std::string &self, std::vector<std::string> instances);

    /// Endpoints whose crashes count against the key.
    std::vector<base::EndpointId> crashedEndpoints(SuspectKey key) const;

    /// Counted crashes, at most `limit`, of refused keys first, then newest first; and the last
    /// successes and trials of these keys. For peers that have just started.
    CrashReports entries(absl::Time now, std::size_t limit) const;

    void expire(absl::Time now);

    /// Number of suspected keys.
    std::size_t size() const { return suspects_.size(); }

private:
    struct Crash
    {
        std::uint64_t request = 0;
        base::EndpointId endpoint;
        absl::Time at;
        std::vector<std::uint64_t> sameCrash; ///< Other requests on the endpoint.
    };
    using Crashes = std::vector<Crash>; ///< In order of time.
    struct Suspect
    {
        Crashes crashes;

        /// Kept here too, as `answered_` may forget it before the crashes are forgotten.
        absl::Time answeredAt = absl::InfinitePast();
        absl::Time triedAt = absl::InfinitePast();
    };
    struct Answered
    {
        absl::Time at = absl::InfinitePast(); ///< End of the last answer.
        absl::Time reportedAt = absl::InfinitePast(); ///< Last report of a crash.
        absl::Time announcedAt = absl::InfinitePast();
        std::list<SuspectKey>::iterator position; ///< In `answeredOrder_`.
    };
    bool isTrusted(absl::Time answer, absl::Time crash) const;
    bool wasAnswered(const Suspect &suspect) const;
    bool isRefused(const Suspect &suspect, absl::Time now) const;
    Crashes unexplained(Crashes crashes, absl::Time now) const;
    bool isConclusive(const Crashes &crashes, std::uint32_t count, absl::Time now) const;
    absl::Duration restOf(const Suspect &suspect, absl::Time now) const;
    absl::Time lastAnswer(SuspectKey key) const;
    /// Returns whether the crash was not known.
    bool add(SuspectKey key, const Crash &crash, absl::Time now);
    void noteAnswered(SuspectKey key, absl::Time at, absl::Time now);
    Answered &remember(SuspectKey key, absl::Time at);
    void evictOne(absl::Time now);

    CrashEvidenceOptions options_;
    TrialTurns turns_;
    absl::flat_hash_map<SuspectKey, Suspect> suspects_;
    absl::flat_hash_map<SuspectKey, Answered> answered_;
    std::list<SuspectKey> answeredOrder_; ///< Last answered last.
};

} // namespace zinniadoor::serving
