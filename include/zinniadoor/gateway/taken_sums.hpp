#pragma once

#include <map>
#include <string>

#include "zinniadoor/gateway/process_name.hpp"
#include "zinniadoor/gateway/quota.hpp"

namespace zinniadoor::gateway {

/// Adds up what several sources have taken of the quotas, from their cumulative counts. What a
/// source had taken before it was first heard is not counted, so that the sum of a leader grows
/// by what is taken and never jumps when sources come and go. For one thread.
class TakenSums
{
public:
    /// Sources whose counts `start` covers count from zero.
    explicit TakenSums(const ProcessStart &start);

    /// Counts told by a source. Late ones must have been dropped before.
    void note(const ProcessName &source, const TakenCounts &counts, CountsTold told,
              absl::Time now);

    /// Sum of all sources since they were first heard.
    const TakenCounts &total() const { return total_; }

    /// What one source has contributed to the total; 0 if nothing.
    double contribution(const std::string &instance, const std::string &organisation) const;

private:
    struct Source
    {
        std::uint64_t incarnation = 0;
        bool isCounted = false; ///< It has told its counts in full.
        TakenCounts told;
        TakenCounts contributed;
    };

    ProcessStart start_;
    std::map<std::string, Source> sources_; ///< By instance.
    TakenCounts total_;
};

} // namespace zinniadoor::gateway
