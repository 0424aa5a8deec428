#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"

namespace zinniadoor::serving {

struct PlainChoiceOptions
{
    /// Decay time of a measured answer time. Endpoints are slow for 0.6 s at a time.
    absl::Duration decay = absl::Milliseconds(350);

    /// Weight of the service's usual answer time, relative to a new measurement.
    double usualWeight = 0.3;

    /// Assumed usual answer time until one has been measured.
    absl::Duration initialAnswerTime = absl::Milliseconds(20);

    /// Largest random cost, as a share of the usual answer time.
    double jitter = 0.3;

    /// Cost of an endpoint in another data centre, as a share of the usual answer time.
    double otherDataCentreCost = 0.05;

    /// Age that the load of peers has when it is received: leaders collect it four times a second.
    absl::Duration reportDelay = absl::Milliseconds(100);
};

/// An endpoint that may be chosen, with what is known of its load.
struct PlainCandidate
{
    base::EndpointId id;
    std::uint32_t slots = 1;
    std::uint32_t ownRequests = 0; ///< Outstanding calls of this instance.
    std::uint32_t peerRequests = 0; ///< Outstanding calls that peers reported.
    absl::Duration peerAge; ///< Time since these reports were received.
    bool isElsewhere = false; ///< In another data centre.
    bool isLastResort = false; ///< Ejected, suspected or paused.
    bool wasTried = false; ///< By the same request; used after all others.
};

struct PlainPick
{
    std::size_t index = 0; ///< Of the candidate.
    absl::Duration expected; ///< Expected answer time.
    double queueFactor = 1; ///< Expected answer time relative to that of an idle endpoint.
};

/// Chooses among few endpoints that hundreds of instances share, whose speeds differ from moment to
/// moment, and whose reported load is old. Compares the expected answer times of two endpoints
/// drawn by the request's hash, so that instances with the same view do not all choose the same
/// endpoint. Not thread-safe.
class PlainChoice
{
public:
    explicit PlainChoice(const PlainChoiceOptions &options = {});

    /// `usual`: mean answer time of the service; zero if unknown. Nothing without candidates.
    std::optional<PlainPick> choose(const std::vector<PlainCandidate> &candidates,
                                    const std::string &request, absl::Duration usual,
                                    absl::Time now) const;

    /// Answer time of the endpoint without a queue, from recent answers and from calls that are
    /// still open.
    absl::Duration answerTime(const base::EndpointId &endpoint, absl::Duration usual,
                              absl::Time now) const;

    /// A call begins; returns its number. `queueFactor`: that of the choice.
    std::uint64_t noteStart(const base::EndpointId &endpoint, double queueFactor, absl::Time now);

    /// A call was answered.
    void noteAnswer(std::uint64_t call, absl::Time now);

    /// A call ended without an answer. Its duration counts if it was longer than the endpoint's
    /// measured answer time. Ignores calls that have ended.
    void noteAbandoned(std::uint64_t call, absl::Time now);

    /// Drops the state of all endpoints but these.
    void setEndpoints(const std::vector<base::EndpointId> &endpoints);

private:
    struct OpenCall
    {
        base::EndpointId endpoint;
        absl::Time startedAt;
        double queueFactor = 1;
    };
    struct Speed
    {
        double weight = 0; ///< Sum of the weights of all samples, as of `updatedAt`.
        double weightedMs = 0;
        absl::Time updatedAt = absl::InfinitePast();
    };
    absl::Duration usualOrInitial(absl::Duration usual) const;
    double decayOf(absl::Duration age) const;
    bool isDueForTrial(const PlainCandidate &candidate, absl::Time now) const;
    std::optional<OpenCall> takeOpenCall(std::uint64_t call);
    void addSample(const OpenCall &call, absl::Time now);

    PlainChoiceOptions options_;
    absl::flat_hash_map<std::uint64_t, OpenCall> open_;
    absl::flat_hash_map<base::EndpointId, Speed> speeds_;
    std::uint64_t lastCall_ = 0;
};

} // namespace zinniadoor::serving
