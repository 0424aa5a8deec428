#include "zinniadoor/serving/role_plan.hpp"

#include <algorithm>
#include <array>
#include <cmath>

#include "role_rules.hpp"
#include "zinniadoor/serving/demand_forecast.hpp"

namespace zinniadoor::serving {

namespace {

using control::Role;
using detail::RoleCounts;

class StaticRolePlanner : public RolePlanner
{
public:
    std::vector<RoleOrder> plan(const RoleInputs & /*inputs*/, absl::Time /*now*/) override
    {
        return {};
    }
};

double utilisationOf(double demand, int engines, double engineRate)
{
    return demand / (std::max(engines, 1) * engineRate);
}

class ThresholdRolePlanner : public RolePlanner
{
public:
    explicit ThresholdRolePlanner(const RolePlanOptions &options)
        : options_(options)
        , changes_(options)
        , prefill_(options.thresholdSmoothing)
        , decode_(options.thresholdSmoothing)
    { }

    std::vector<RoleOrder> plan(const RoleInputs &inputs, absl::Time now) override
    {
        const RoleCounts counts = detail::countRoles(inputs.engines);
        const double prefill = utilisationOf(smoothed(prefill_, inputs.prefillDemand, now),
                                             counts.prefill, inputs.enginePrefillRate);
        const double decode = utilisationOf(smoothed(decode_, inputs.decodeDemand, now),
                                            counts.decode, inputs.engineDecodeRate);
        if (prefill > options_.highUtilisation && decode < options_.lowUtilisation
            && counts.decode > 1)
            return changes_.choose(inputs, Role::Decode, Role::Prefill, 1, now);
        if (decode > options_.highUtilisation && prefill < options_.lowUtilisation
            && counts.prefill > 1)
            return changes_.choose(inputs, Role::Prefill, Role::Decode, 1, now);
        return {};
    }

private:
    double smoothed(DemandForecast &forecast, double demand, absl::Time now) const
    {
        if (options_.thresholdSmoothing == absl::ZeroDuration())
            return demand;
        forecast.add(demand, now);
        return forecast.at(absl::ZeroDuration());
    }

    RolePlanOptions options_;
    detail::RoleChanges changes_;
    DemandForecast prefill_;
    DemandForecast decode_;
};

/// Demand per role, in engines.
struct EngineDemand
{
    double prefill = 0;
    double decode = 0;
};

class ForecastRolePlanner : public RolePlanner
{
public:
    explicit ForecastRolePlanner(const RolePlanOptions &options)
        : options_(options)
        , changes_(options)
        , prefill_(options.smoothing)
        , decode_(options.smoothing)
    { }

    std::vector<RoleOrder> plan(const RoleInputs &inputs, absl::Time now) override
    {
        prefill_.add(inputs.prefillDemand, now);
        decode_.add(inputs.decodeDemand, now);
        // Waits for changes in progress: their effect is not visible yet and their engines will
        // return.
        for (const PlannedEngine &engine : inputs.engines) {
            if (engine.isChanging)
                return {};
        }
        const RoleCounts counts = detail::countRoles(inputs.engines);
        const int engines = counts.prefill + counts.decode;
        if (engines < 2)
            return {};
        const auto demands = possibleDemands(inputs);
        const int best = bestPrefill(counts, demands);
        if (best == counts.prefill)
            return {};
        if (best > counts.prefill) {
            return changes_.choose(inputs, Role::Decode, Role::Prefill, best - counts.prefill, now);
        }
        return changes_.choose(inputs, Role::Prefill, Role::Decode, counts.prefill - best, now);
    }

private:
    // The forecast, and its error applied in both directions.
    std::array<EngineDemand, 3> possibleDemands(const RoleInputs &inputs) const
    {
        const double prefill = prefill_.at(options_.lookahead) / inputs.enginePrefillRate;
        const double decode = decode_.at(options_.lookahead) / inputs.engineDecodeRate;
        const double prefillError = prefill_.error() / inputs.enginePrefillRate;
        const double decodeError = decode_.error() / inputs.engineDecodeRate;
        return { { { prefill, decode },
                   { prefill + prefillError, std::max(0.0, decode - decodeError) },
                   { std::max(0.0, prefill - prefillError), decode + decodeError } } };
    }

    // Share of the demand that a split can serve; each request needs both prefill and decode.
    double served(int prefill, int decode, const EngineDemand &demand) const
    {
        const double byPrefill
            = prefill * options_.targetUtilisation / std::max(demand.prefill, 1e-9);
        const double byDecode = decode * options_.targetUtilisation / std::max(demand.decode, 1e-9);
        return std::min({ 1.0, byPrefill, byDecode });
    }

    double expectedServed(int prefill, int decode, const std::array<EngineDemand, 3> &demands) const
    {
        double sum = 0;
        for (const EngineDemand &demand : demands)
            sum += served(prefill, decode, demand) * (demand.prefill + demand.decode);
        return sum / static_cast<double>(demands.size());
    }

    // The split with the largest gain net of its weighted cost; the current one if none is
    // positive, so that noise causes no changes.
    int bestPrefill(const RoleCounts &counts, const std::array<EngineDemand, 3> &demands) const
    {
        const int engines = counts.prefill + counts.decode;
        const double now = expectedServed(counts.prefill, counts.decode, demands);
        const double horizon = absl::ToDoubleSeconds(options_.horizon);
        const double costOfOne = absl::ToDoubleSeconds(options_.changeTime);
        int best = counts.prefill;
        double bestNet = 0;
        for (int prefill = 1; prefill < engines; ++prefill) {
            const double gain
                = (expectedServed(prefill, engines - prefill, demands) - now) * horizon;
            const double cost
                = std::abs(prefill - counts.prefill) * costOfOne * options_.minGainToCost;
            if (gain - cost > bestNet + 1e-9) {
                bestNet = gain - cost;
                best = prefill;
            }
        }
        return best;
    }

    RolePlanOptions options_;
    detail::RoleChanges changes_;
    DemandForecast prefill_;
    DemandForecast decode_;
};

} // namespace

std::unique_ptr<RolePlanner> staticRolePlanner()
{
    return std::make_unique<StaticRolePlanner>();
}

std::unique_ptr<RolePlanner> thresholdRolePlanner(const RolePlanOptions &options)
{
    return std::make_unique<ThresholdRolePlanner>(options);
}

std::unique_ptr<RolePlanner> forecastRolePlanner(const RolePlanOptions &options)
{
    return std::make_unique<ForecastRolePlanner>(options);
}

} // namespace zinniadoor::serving
