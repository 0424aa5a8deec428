#pragma once

#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include "zinniadoor/serving/placement.hpp"

namespace zinniadoor::gateway {

/// Learns how fast services' endpoints work from calls that met no other work. For one thread.
class SpeedEstimate
{
public:
    /// An engine read `tokens` apart in `time`, after `waiting` tokens of others.
    void noteRead(const std::string &service, std::uint64_t tokens, std::uint64_t waiting,
                  absl::Duration time);

    /// A writing engine read `tokens` itself; its first token came after `time`.
    void noteInPlace(const std::string &service, std::uint64_t tokens, absl::Duration time);

    /// An answer was written in this time, from its first token to its end.
    void noteWriting(const std::string &service, absl::Duration time);

    /// An answer whose prompt was read elsewhere began after this time at a writing engine.
    void noteFirstStep(const std::string &service, absl::Duration time);

    /// A plain service's endpoint answered in `time`.
    void noteAnswer(const std::string &service, absl::Duration time);

    serving::EngineTimings engine(const std::string &service) const;

    /// Usual time of a plain service's answer; zero if none was seen.
    absl::Duration answerTime(const std::string &service) const;

private:
    struct RunningMean
    {
        void note(absl::Duration sample, absl::Duration &mean);
        std::uint32_t samples = 0;
    };
    struct Engines
    {
        serving::EngineTimings speeds;
        std::uint32_t readSamples = 0;
        RunningMean readOverhead;
        RunningMean firstStep;
        RunningMean inPlaceOverhead;
        RunningMean writing;
    };
    absl::flat_hash_map<std::string, Engines> engines_;
    absl::flat_hash_map<std::string, absl::Duration> answers_;
};

} // namespace zinniadoor::gateway
