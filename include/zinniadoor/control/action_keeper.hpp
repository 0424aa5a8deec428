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

struct ActionTimes
{
    absl::Duration claimWait = absl::Seconds(3); ///< A claim seen later is given back, not run.
    absl::Duration ownerSilence = absl::Seconds(20); ///< After which an owner counts as lost.
};

enum class ActionAnswer {
    Claiming, ///< The claim is on its way to the log; ask again after the next read.
    Run, ///< This process owns the action: call the service now, once.
    Recorded, ///< Done before; the outcome is recorded.
    InProgress, ///< Its owner is at it; the caller may ask again later.
    Unknown, ///< Its owner was lost; it may have run and never will again.
    BodyDiffers, ///< The key stands for another body.
    KeyDateOutOfRange, ///< The key's date is older than what is remembered, or in the future.
    NotRun, ///< Not run, and this call never will be; the caller may try again.
};

const char *nameOf(ActionAnswer answer);

struct ActionCall
{
    ActionKey key;
    std::string bodyDigest;
};

struct ActionDecision
{
    ActionAnswer answer = ActionAnswer::NotRun;
    std::optional<Record> record; ///< To append.
    std::uint64_t claim = 0; ///< With Claiming: names the claim.
};

/// What the service answered.
struct ServiceAnswer
{
    std::uint16_t status = 0;
    std::string contentType;
    std::string body;
};

/// Calendar time of a UUIDv7 in milliseconds since 1970; none for any other key.
std::optional<std::int64_t> uuidV7Milliseconds(const std::string &key);

/// Sees that an action runs at most once: claims it in the log and hands it to its caller only
/// when the claim counts.
class ActionKeeper
{
public:
    ActionKeeper(Process self, ActionTimes times);

    /// A caller asks for an action. `logAvailable`: whether the log was read to its end lately.
    ActionDecision claimAction(const State &state, const FrameAgeTracker &watch, const ActionCall &call,
                               bool logAvailable, absl::Time now, absl::Time wallTime);

    /// Asks again after Claiming. Gives Run at most once for a claim.
    ActionDecision runAction(const State &state, const FrameAgeTracker &watch, const ActionCall &call,
                             std::uint64_t claim, absl::Time now);

    /// A frame of this process was read in the log.
    void onOwnFrame(const Frame &frame, const ApplyResult &result);

    /// The frame writer had no room for the claim, which therefore never went out.
    void dropClaim(const ActionKey &key) { claims_.erase(key); }

    /// The caller no longer waits after Claiming.
    void abandon(const ActionKey &key, std::uint64_t claim);

    /// The outcome to append; answer the caller once it is in the log.
    Record finishAction(const ActionKey &key, const ServiceAnswer &answer) const;

    /// No byte of the call reached the service.
    Record giveBackAction(const ActionKey &key) const;

    /// The call broke off: the service may have run it.
    Record loseAction(const ActionKey &key) const;

    /// Gives back claims that counted after their callers had left. Call after every read.
    std::vector<Record> giveBackAbandoned(const State &state);

private:
    struct Claim
    {
        std::uint64_t number = 0;
        absl::Time claimedAt;
        bool abandoned = false;
    };

    ActionDecision answerFor(const State &state, const FrameAgeTracker &watch, const ActionCall &call,
                             const Action &action, absl::Time now) const;
    bool isOwn(const Action &action, std::uint64_t claim) const;
    bool isOwnerLost(const State &state, const FrameAgeTracker &watch, const Process &owner,
                     absl::Time now) const;

    Process self_;
    ActionTimes times_;
    std::uint64_t lastClaim_ = 0;
    /// On their way to the log, one for a key. A claim stays here until its own record was read
    /// in the log: as long as that may still land, it may still count.
    std::map<ActionKey, Claim> claims_;
};

} // namespace zinniadoor::control
