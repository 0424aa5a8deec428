#pragma once

#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include "zinniadoor/serving/placement.hpp"

namespace zinniadoor::gateway {

/// Estimates the speed of services' engines from calls that were not delayed by other requests.
/// Not thread-safe.
class SpeedEstimate
{
public:
    /// A prefill engine processed `tokens` in `time`, after `waiting` tokens queued before them.
    void notePrefill(const std::string &service, std::uint64_t tokens, std::uint64_t waiting,
                     absl::Duration time);

    /// A decode engine prefilled `tokens` locally; its first token came after `time`.
    void noteLocalPrefill(const std::string &service, std::uint64_t tokens, absl::Duration time);

    /// An answer was generated in this time, from its first token to its end.
    void noteDecode(const std::string &service, absl::Duration time);

    /// After a remote prefill, the first token of a decode engine came after this time.
    void noteFirstStep(const std::string &service, absl::Duration time);

    /// Returns to the initial estimate.
    void forget(const std::string &service);

    serving::EngineTimings engine(const std::string &service) const;

private:
    struct RunningMean
    {
        void note(absl::Duration sample, absl::Duration &mean);
        std::uint32_t samples = 0;
    };
    struct Engines
    {
        serving::EngineTimings speeds;
        std::uint32_t prefillSamples = 0;
        RunningMean prefillOverhead;
        RunningMean firstStep;
        RunningMean localPrefillOverhead;
        RunningMean decode;
    };
    absl::flat_hash_map<std::string, Engines> engines_;
};

} // namespace zinniadoor::gateway
