#include "zinniadoor/serving/spill.hpp"

#include <algorithm>
#include <cmath>

#include "stable_digest.hpp"

namespace zinniadoor::serving {

namespace {

/// Requests stop leaving when the gain is below this share of its price. The gap to the price keeps
/// the share constant while the effect of a step is not yet visible.
constexpr double ReturnShare = 0.5;

/// Falling more slowly than it rises, the share stays near the shortage instead of crossing it by a
/// whole step each time.
constexpr double FallPerRise = 0.5;

/// Requests return faster where the other data centres are worse than the own one.
constexpr double ReturnPerRise = 2;

/// Larger gains come from single estimates, for example of an engine whose slots are all taken.
constexpr double MaxGainMs = 500;

constexpr double Range = 18446744073709551616.0;

/// Deterministic pseudo-random number in [0, 1].
double uniform(std::uint64_t digest)
{
    return static_cast<double>(detail::mixBits(digest)) / Range;
}

} // namespace

Spill::Spill(const SpillOptions &options, const base::InstanceId &instance)
    : options_(options)
    , offset_(options.interval * uniform(detail::mixedDigest(instance.str())))
{ }

SpillDecision Spill::decide(const SpillFacts &facts, absl::Time now)
{
    SpillDecision decision;
    if (!options_.isEnabled)
        return decision;
    const bool inTime = facts.objective > absl::ZeroDuration()
        && facts.home < options_.objectiveShare * facts.objective;
    const double gainMs = inTime
        ? 0
        : std::clamp(absl::ToDoubleMilliseconds(facts.home - facts.elsewhere), -MaxGainMs,
                     MaxGainMs);
    constexpr double BytesPerMegabyte = 1e6;
    const double priceMs = absl::ToDoubleMilliseconds(options_.minGain)
        + absl::ToDoubleMilliseconds(options_.pricePerMegabyte) * static_cast<double>(facts.bytes)
            / BytesPerMegabyte;
    State &state = services_[facts.service];
    noteGain(state, gainMs, priceMs, now);
    const double before = state.share;
    takeStep(state, now);
    decision.hasChanged = state.share != before;
    decision.change = { before, state.share, absl::Milliseconds(state.gainMs - state.priceMs) };
    // The share follows the smoothed gain; the estimates of one moment would turn all instances at
    // once, and only rule out what is clearly worse elsewhere. Costly requests leave less often.
    const double mayLeave = state.share * std::min(1.0, state.priceMs / priceMs);
    decision.leaves
        = uniform(facts.request) < mayLeave && facts.elsewhere < facts.home + options_.minGain;
    return decision;
}

double Spill::share(const std::string &service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? 0 : found->second.share;
}

void Spill::noteHeard(const base::DataCentreId &dataCentre, absl::Time now)
{
    heardAt_[dataCentre] = now;
}

bool Spill::isKnown(const base::DataCentreId &dataCentre, absl::Time now) const
{
    const auto found = heardAt_.find(dataCentre);
    return found != heardAt_.end() && now - found->second <= options_.maxSilence;
}

void Spill::noteGain(State &state, double gainMs, double priceMs, absl::Time now) const
{
    const double kept = std::exp(-absl::FDivDuration(
        std::max(now - state.notedAt, absl::ZeroDuration()), options_.smoothing));
    // One request is not evidence of a lasting shortage, even after a pause.
    constexpr double MaxSampleWeight = 0.5;
    const double weight = std::min(1 - kept, MaxSampleWeight);
    state.gainMs += weight * (gainMs - state.gainMs);
    state.priceMs += weight * (priceMs - state.priceMs);
    state.notedAt = now;
}

void Spill::takeStep(State &state, absl::Time now) const
{
    if (now < state.nextStep)
        return;
    // Steps that were due while no request came are taken downwards.
    const double missed = state.nextStep == absl::InfinitePast()
        ? 0
        : std::floor(absl::FDivDuration(now - state.nextStep, options_.interval));
    state.share = std::max(0.0, state.share - missed * options_.step);
    state.nextStep = stepAfter(now);
    // Where the gain already changes towards its bounds, a further step would cross them.
    constexpr double SteadyBand = 0.1;
    const double change = state.gainMs - state.gainAtStepMs;
    const double band = SteadyBand * std::max(state.priceMs, std::abs(state.gainAtStepMs) * 0.5);
    const bool falling = change < -band;
    const bool rising = change > band;
    const bool isWorse = state.gainMs < -ReturnShare * state.priceMs;
    if (state.gainMs > state.priceMs && state.priceMs > 0 && !falling)
        state.share = std::min(options_.maxShare, state.share + options_.step);
    else if (isWorse)
        state.share = std::max(0.0, state.share - ReturnPerRise * options_.step);
    else if (state.gainMs < state.priceMs * ReturnShare && !rising)
        state.share = std::max(0.0, state.share - FallPerRise * options_.step);
    state.gainAtStepMs = state.gainMs;
    constexpr double Rounding = 1e-9;
    if (state.share < Rounding)
        state.share = 0;
}

absl::Time Spill::stepAfter(absl::Time now) const
{
    const absl::Duration since = now - absl::UnixEpoch() - offset_;
    return absl::UnixEpoch() + offset_ + absl::Floor(since, options_.interval) + options_.interval;
}

} // namespace zinniadoor::serving
