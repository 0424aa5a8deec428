#pragma once

#include <map>
#include <string>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include "zinniadoor/base/clock.hpp"
#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/control/bundle.hpp"
#include "zinniadoor/serving/burn.hpp"

namespace zinniadoor::daemon {

/// Counts this instance's requests against the service-level objectives of the bundle, since the
/// start of the process. Routes without an objective are not counted. Thread-safe.
class BurnRecorder
{
public:
    explicit BurnRecorder(const base::Clock &clock);

    void setConfiguration(const control::Bundle &bundle);

    /// Counts a complete answer; good if its first byte arrived within the objective.
    void countAnswer(const base::OrganisationId &organisation, const std::string &route,
                     absl::Duration firstByte);

    /// Counts a refused or failed request as bad. Caller errors are not counted.
    void countFailure(const base::OrganisationId &organisation, const std::string &route,
                      base::ReasonCode code);

    /// Objectives and counts as JSON, for GET /burn.
    std::string json() const;

private:
    void count(const base::OrganisationId &organisation, const std::string &route, bool isGood)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    const base::Clock &clock_;
    mutable absl::Mutex mutex_;
    std::uint64_t bundleVersion_ ABSL_GUARDED_BY(mutex_) = 0;
    std::map<std::string, control::Objective> objectives_ ABSL_GUARDED_BY(mutex_);
    serving::BurnCounter counter_ ABSL_GUARDED_BY(mutex_);
};

/// Whether requests refused with this code count as caller errors.
bool isCallerError(base::ReasonCode code);

} // namespace zinniadoor::daemon
