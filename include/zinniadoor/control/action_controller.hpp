#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/control/action_table.hpp"
#include "zinniadoor/control/frame_age_tracker.hpp"
#include "zinniadoor/control/records.hpp"
#include "zinniadoor/control/state.hpp"

namespace zinniadoor::control {

struct ActionTimeouts
{
    absl::Duration claimTimeout
        = absl::Seconds(3); ///< A claim confirmed later is released, not run.
    absl::Duration ownerTimeout
        = absl::Seconds(20); ///< An owner without a frame for longer is lost.
};

enum class ActionVerdict {
    Claiming, ///< The claim is being appended to the log; poll it after the next read.
    Run, ///< This process owns the action and calls the service now, exactly once.
    Recorded, ///< Completed earlier; the outcome is recorded.
    InProgress, ///< The owner is running it; the caller may retry later.
    Unknown, ///< The owner was lost; the action may have run and will not run again.
    BodyDiffers, ///< The key was used with a different body.
    KeyDateOutOfRange, ///< The key's date is older than the retention, or in the future.
    NotRun, ///< Not run, and will not be for this call; the caller may retry.
};

const char *nameOf(ActionVerdict verdict);

struct ActionCall
{
    ActionKey key;
    std::string bodyDigest;
};

struct ActionDecision
{
    ActionVerdict verdict = ActionVerdict::NotRun;
    std::optional<Record> record; ///< To append.
    std::uint64_t claim = 0; ///< Claiming: the claim's number.
};

/// The service's response, as far as it is recorded.
struct ServiceResponse
{
    std::uint16_t status = 0;
    std::string contentType;
    std::string body;
};

/// Timestamp of a UUIDv7 in milliseconds since 1970; nullopt for any other key.
std::optional<std::int64_t> uuidV7Milliseconds(const std::string &key);

/// Runs each action at most once: appends a claim to the log, and permits the call only after the
/// log has accepted that claim. Performs no I/O.
class ActionController
{
public:
    ActionController(Process self, ActionTimeouts times);

    /// Starts an action for a caller. `logAvailable`: whether the log was recently read to its end.
    ActionDecision claimAction(const State &state, const FrameAgeTracker &watch,
                               const ActionCall &call, bool logAvailable, absl::Time now,
                               absl::Time wallTime);

    /// Polls a claim after Claiming. Returns Run at most once for each claim.
    ActionDecision pollClaim(const State &state, const FrameAgeTracker &watch,
                             const ActionCall &call, std::uint64_t claim, absl::Time now);

    /// Call for each frame of this process that was read from the log.
    void onOwnFrame(const Frame &frame, const ApplyResult &result);

    /// Drops a claim that the frame writer had no room for and that was therefore never appended.
    void dropClaim(const ActionKey &key) { claims_.erase(key); }

    /// The caller disconnected after Claiming.
    void abandon(const ActionKey &key, std::uint64_t claim);

    /// Returns the outcome to append; respond to the caller once it is in the log.
    Record finishAction(const ActionKey &key, const ServiceResponse &response) const;

    /// Returns the record for a call of which no byte reached the service.
    Record releaseAction(const ActionKey &key) const;

    /// Returns the record for an interrupted call, which the service may have run.
    Record recordUnknownOutcome(const ActionKey &key) const;

    /// Releases claims that were accepted after their callers had left. Call after every read.
    std::vector<Record> releaseAbandonedClaims(const State &state);

private:
    struct Claim
    {
        std::uint64_t number = 0;
        absl::Time claimedAt;
        bool abandoned = false;
    };

    ActionDecision verdictFor(const State &state, const FrameAgeTracker &watch,
                              const ActionCall &call, const Action &action, absl::Time now) const;
    bool isOwn(const Action &action, std::uint64_t claim) const;
    bool isOwnerLost(const State &state, const FrameAgeTracker &watch, const Process &owner,
                     absl::Time now) const;

    Process self_;
    ActionTimeouts times_;
    std::uint64_t lastClaim_ = 0;
    /// Claims being appended, at most one per key. A claim is kept until its own record has been
    /// read from the log, since the log may accept it until then.
    std::map<ActionKey, Claim> claims_;
};

} // namespace zinniadoor::control
