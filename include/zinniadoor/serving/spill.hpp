#pragma once

#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"

namespace zinniadoor::serving {

struct SpillOptions
{
    bool isEnabled = false;

    /// Expected time that a caller must gain before requests leave the data centre.
    absl::Duration minGain = absl::Milliseconds(40);

    /// Price of bytes between data centres: further time that a caller must gain per megabyte.
    absl::Duration pricePerMegabyte = absl::Milliseconds(20);

    double maxShare = 1; ///< Of requests that may leave.
    double step = 0.05; ///< Of the share.

    /// Between two steps; longer than the age of load reports, so that a step shows its effect
    /// before the next one.
    absl::Duration interval = absl::Milliseconds(600);

    /// Smoothing of the measured gain.
    absl::Duration smoothing = absl::Milliseconds(500);

    /// Data centres of which nothing was heard for longer get nothing.
    absl::Duration maxSilence = absl::Seconds(1);

    /// A request that is expected within this share of its objective at home gains nothing.
    double objectiveShare = 0.4;
};

/// What one request would gain by leaving its data centre.
struct SpillFacts
{
    std::string service;
    std::uint64_t request = 0; ///< Hash of the request.
    absl::Duration home; ///< Expected time to the first byte in the own data centre.
    absl::Duration elsewhere; ///< The same in the best other one.
    absl::Duration objective; ///< Of the route; zero if there is none.
    std::uint64_t bytes = 0; ///< Between the data centres if the request leaves.
};

/// Change of the share of a service's requests that may leave the data centre.
struct SpillChange
{
    double from = 0;
    double to = 0;
    absl::Duration gain; ///< Smoothed, less the price of the bytes.
};

struct SpillDecision
{
    bool leaves = false;
    bool hasChanged = false;
    SpillChange change; ///< If `hasChanged`.
};

/// Decides which requests leave a data centre whose endpoints are too few, for hundreds of
/// instances that see the same load 0.1 to 0.5 s late. The share of requests that may leave rises
/// by steps while the smoothed gain exceeds the price, and falls by steps when the gain is below
/// half of it; in between it is kept. Not thread-safe.
class Spill
{
public:
    /// `instance` offsets the steps of this instance from those of others.
    Spill(const SpillOptions &options, const base::InstanceId &instance);

    const SpillOptions &options() const { return options_; }

    SpillDecision decide(const SpillFacts &facts, absl::Time now);

    double share(const std::string &service) const;

    /// An endpoint in this data centre answered, or is known to work.
    void noteHeard(const base::DataCentreId &dataCentre, absl::Time now);
    bool isKnown(const base::DataCentreId &dataCentre, absl::Time now) const;

private:
    struct State
    {
        double share = 0;
        double gainMs = 0; ///< Smoothed.
        double gainAtStepMs = 0; ///< At the last step.
        double priceMs = 0; ///< Smoothed.
        absl::Time notedAt = absl::InfinitePast();
        absl::Time nextStep = absl::InfinitePast();
    };
    void noteGain(State &state, double gainMs, double priceMs, absl::Time now) const;
    void takeStep(State &state, absl::Time now) const;
    absl::Time stepAfter(absl::Time now) const;

    SpillOptions options_;
    absl::Duration offset_;
    absl::flat_hash_map<std::string, State> services_;
    absl::flat_hash_map<base::DataCentreId, absl::Time> heardAt_;
};

} // namespace zinniadoor::serving
