#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"

namespace zinniadoor::serving {

/// Tells whether this instance has lost its links to the endpoints. Addresses instances that take
/// the loss of their own links for failures of the endpoints: a connection that fails says nothing
/// of the endpoint until a new connection to another one has been made. Only connections count, so
/// that silence of an endpoint shows nothing. Not thread-safe.
class Reachability
{
public:
    static constexpr std::size_t ProbesPerRound = 4;
    static constexpr absl::Duration ProbeTimeout = absl::Milliseconds(300);
    static constexpr absl::Duration RoundInterval = absl::Milliseconds(500);

    /// How long a new connection shows that the links are sound.
    static constexpr absl::Duration ProofTime = absl::Milliseconds(100);

    bool isCutOff() const { return isCutOff_; }

    /// Whether a connection was made just now.
    bool isProven(absl::Time now) const { return !isCutOff_ && now - connectedAt_ < ProofTime; }

    /// Whether endpoints should be probed now. If so, `noteRound` follows.
    bool takeRound();

    /// Result of a round of probes. `mayChange`: with a failure, this instance is cut off. Returns
    /// whether it is cut off now, or no longer.
    bool noteRound(std::size_t tried, std::size_t connected, bool mayChange, absl::Time now);

private:
    bool isCutOff_ = false;
    bool isProbing_ = false;
    absl::Time connectedAt_ = absl::InfinitePast();
};

struct ProbeCandidate
{
    base::EndpointId id;
    std::string service;
    base::DataCentreId dataCentre;
};

/// Endpoints to be probed: of as many services and data centres as possible, other than those in
/// `failed` unless there are no others. `seed` varies the choice from round to round.
std::vector<base::EndpointId> chooseProbes(const std::vector<ProbeCandidate> &candidates,
                                           const absl::flat_hash_set<base::EndpointId> &failed,
                                           std::uint64_t seed);

} // namespace zinniadoor::serving
