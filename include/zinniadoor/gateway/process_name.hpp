#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include <cereal/types/string.hpp>

#include "absl/time/time.h"

namespace zinniadoor::gateway {

/// Identifies a process of an instance; each restart has a larger incarnation.
struct ProcessName
{
    std::string instance;
    std::uint64_t incarnation = 0;

    friend bool operator==(const ProcessName &a, const ProcessName &b)
    {
        return a.instance == b.instance && a.incarnation == b.incarnation;
    }
    friend bool operator<(const ProcessName &a, const ProcessName &b)
    {
        return std::tie(a.instance, a.incarnation) < std::tie(b.instance, b.incarnation);
    }
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(instance, incarnation);
    }
};

/// Start time of this process.
struct ProcessStart
{
    std::uint64_t incarnation = 0; ///< Wall time in microseconds; clocks of instances differ.
    absl::Time at = absl::InfinitePast(); ///< By the local clock.

    /// Whether a process with incarnation `other` started after this one, so that all its activity
    /// falls into this process's lifetime. Only relevant, and so only true, shortly after the
    /// start: it covers instances that are started together, whose wall clocks may differ by the
    /// tolerance.
    bool precedes(std::uint64_t other, absl::Time now) const
    {
        constexpr std::uint64_t ClockToleranceUs = 2'000'000;
        constexpr absl::Duration StartupPhase = absl::Seconds(3);
        return now - at < StartupPhase && other + ClockToleranceUs >= incarnation;
    }
};

} // namespace zinniadoor::gateway
