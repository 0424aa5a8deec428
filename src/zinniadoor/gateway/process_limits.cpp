#include "zinniadoor/gateway/process_limits.hpp"

#include <algorithm>
#include <fstream>
#include <string>

#include <sys/resource.h>

namespace zinniadoor::gateway {

namespace {

constexpr std::size_t KiB = 1024;
constexpr std::size_t MiB = 1024 * KiB;

/// Parts of the memory. The other half is the process's own: 20 MB, and 20 to 40 MB for hundreds of
/// organisations and endpoints, which leaves 112 MB no more than these.
constexpr double BodiesShare = 0.3;
constexpr double AnswersShare = 0.2;

/// Part of the answers' memory above which only the longest of each endpoint is read.
constexpr double AnswersPauseShare = 0.6;

/// More is of no use to callers within the limits.
constexpr std::size_t MaxBodiesBytes = 512 * MiB;

/// Part of the memory for heads that have not ended, and what each may take: the buffer of one read
/// and the parsed fields. Connections are bounded so that their heads fit.
constexpr double HeadsShare = 0.15;
constexpr std::size_t HeadBytes = 48 * KiB;
constexpr std::size_t MinConnections = 128;

/// Part of the descriptors, and the least number, kept for calls to endpoints, the store and files.
constexpr double OwnDescriptorShare = 0.4;
constexpr std::size_t MinOwnDescriptors = 64;

std::size_t softLimit(__rlimit_resource resource)
{
    rlimit limit {};
    if (getrlimit(resource, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return 0;
    return limit.rlim_cur;
}

std::size_t machineMemory()
{
    std::ifstream in("/proc/meminfo");
    for (std::string name; in >> name;) {
        std::size_t kilobytes = 0;
        if (name == "MemTotal:" && in >> kilobytes)
            return kilobytes * KiB;
        in.ignore(256, '\n');
    }
    return 0;
}

std::size_t shareOf(std::size_t bytes, double share)
{
    return static_cast<std::size_t>(static_cast<double>(bytes) * share);
}

} // namespace

ProcessLimits readProcessLimits()
{
    const std::size_t addressSpace = softLimit(RLIMIT_AS);
    return { addressSpace > 0 ? addressSpace : machineMemory(), softLimit(RLIMIT_NOFILE) };
}

ProcessShares shareOut(const ProcessLimits &limits)
{
    ProcessShares shares;
    if (limits.memoryBytes > 0) {
        shares.bodies.total = std::min(shareOf(limits.memoryBytes, BodiesShare), MaxBodiesBytes);
        shares.answers.limit
            = std::min(shareOf(limits.memoryBytes, AnswersShare), shares.answers.limit);
        shares.answers.pauseAbove = shareOf(shares.answers.limit, AnswersPauseShare);
    }
    if (limits.descriptors > 0) {
        const std::size_t own
            = std::max(shareOf(limits.descriptors, OwnDescriptorShare), MinOwnDescriptors);
        shares.connections = limits.descriptors > own ? limits.descriptors - own : 1;
    }
    if (limits.memoryBytes > 0) {
        const std::size_t heads
            = std::max(shareOf(limits.memoryBytes, HeadsShare) / HeadBytes, MinConnections);
        shares.connections = shares.connections == 0 ? heads : std::min(shares.connections, heads);
    }
    return shares;
}

} // namespace zinniadoor::gateway
