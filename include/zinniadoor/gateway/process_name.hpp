#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include <cereal/types/string.hpp>

#include "absl/time/time.h"

namespace zinniadoor::gateway {

/// A process of an instance; later processes of the same name have larger incarnations.
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

/// When this process was started.
struct ProcessStart
{
    std::uint64_t incarnation = 0; ///< A time of day in microseconds; clocks of instances differ.
    absl::Time at = absl::InfinitePast(); ///< By the clock of this process.

    /// Whether all that a process with this incarnation has done was done since this one's start,
    /// as far as that can matter: only a young process, started with others, has to ask.
    bool covers(std::uint64_t other, absl::Time now) const
    {
        constexpr std::uint64_t About = 2'000'000;
        constexpr absl::Duration Young = absl::Seconds(3);
        return now - at < Young && other + About >= incarnation;
    }
};

} // namespace zinniadoor::gateway
