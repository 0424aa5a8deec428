#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include <cereal/types/string.hpp>

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

/// Whether a process was started about when another one was, or later. Incarnations are times of
/// day in microseconds; clocks of instances differ.
inline bool startedWithOrAfter(std::uint64_t incarnation, std::uint64_t other)
{
    constexpr std::uint64_t About = 2'000'000;
    return incarnation + About >= other;
}

} // namespace zinniadoor::gateway
