#include "zinniadoor/ctl/confirmation.hpp"

namespace zinniadoor::ctl {

std::vector<UnconfirmedInstance> unconfirmedInstances(const control::State &state,
                                                      base::Offset offset, std::uint64_t version)
{
    std::vector<UnconfirmedInstance> missing;
    for (const control::Process &process : state.instances().running()) {
        const control::ProcessInfo *info = state.instances().find(process);
        const bool silent = info->lastFrame <= offset;
        if (silent || info->bundleVersion < version)
            missing.push_back({ process.instance, info->bundleVersion, silent });
    }
    return missing;
}

} // namespace zinniadoor::ctl
