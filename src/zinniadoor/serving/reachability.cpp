#include "zinniadoor/serving/reachability.hpp"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "absl/strings/str_cat.h"

#include "stable_digest.hpp"

namespace zinniadoor::serving {

bool Reachability::takeRound()
{
    return !std::exchange(isProbing_, true);
}

bool Reachability::noteRound(std::size_t tried, std::size_t connected, bool mayChange,
                             absl::Time now)
{
    isProbing_ = false;
    if (connected > 0) {
        connectedAt_ = now;
        return std::exchange(isCutOff_, false);
    }
    if (tried == 0 || isCutOff_ || !mayChange)
        return false;
    isCutOff_ = true;
    return true;
}

std::vector<base::EndpointId> chooseProbes(const std::vector<ProbeCandidate> &candidates,
                                           const absl::flat_hash_set<base::EndpointId> &failed,
                                           std::uint64_t seed)
{
    // In the order of: not failed, first of its service and data centre, and digest.
    using Key = std::tuple<bool, std::size_t, std::uint64_t>;
    std::vector<std::pair<Key, const ProbeCandidate *>> order;
    for (const ProbeCandidate &candidate : candidates) {
        const std::uint64_t digest
            = detail::mixedDigest(absl::StrCat(seed, "/", candidate.id.str()));
        order.push_back({ Key { failed.contains(candidate.id), 0, digest }, &candidate });
    }
    std::sort(order.begin(), order.end());
    std::map<std::pair<std::string, std::string>, std::size_t> found;
    for (auto &[key, candidate] : order)
        std::get<1>(key) = found[{ candidate->service, candidate->dataCentre.str() }]++;
    std::sort(order.begin(), order.end());
    std::vector<base::EndpointId> probes;
    for (const auto &[key, candidate] : order) {
        if (probes.size() < Reachability::ProbesPerRound)
            probes.push_back(candidate->id);
    }
    return probes;
}

} // namespace zinniadoor::serving
