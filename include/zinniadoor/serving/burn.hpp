#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"

namespace zinniadoor::serving {

/// Number of requests that met the objective, and of all requests that count towards it.
struct GoodTotal
{
    std::uint64_t good = 0;
    std::uint64_t total = 0;

    GoodTotal &operator+=(const GoodTotal &other);

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(good, total);
    }
};

/// Rate at which an error budget is consumed: 1 exhausts it exactly at the end of the objective's
/// period. `target` is the required share of good requests. Returns 0 without requests.
double burnRate(const GoodTotal &counts, double target);

/// Time window over which the burn rate is reported.
struct BurnWindow
{
    const char *name;
    absl::Duration length;
    absl::Duration bucket; ///< Resolution; a divisor of `length`.
};

constexpr std::size_t BurnWindowCount = 4;

/// 5 minutes, 1 hour, 6 hours, 3 days.
const std::array<BurnWindow, BurnWindowCount> &burnWindows();

/// Request counts of one organisation on one route, per window.
struct BurnRow
{
    base::OrganisationId organisation;
    std::string route;
    std::array<GoodTotal, BurnWindowCount> windows;
};

/// Counts good and total requests per organisation and route in ring buffers of buckets, with a
/// fixed amount of memory per pair. Not thread-safe.
class BurnCounter
{
public:
    /// `maxPairs` limits the tracked (organisation, route) pairs; further pairs are counted as
    /// organisation "other", route "other".
    explicit BurnCounter(std::size_t maxPairs = 20000);

    /// `now` is wall-clock time, so that rows of several instances can be summed.
    void add(const base::OrganisationId &organisation, const std::string &route, bool isGood,
             absl::Time now);

    /// Adds counts to the buckets that cover `at`.
    void add(const base::OrganisationId &organisation, const std::string &route,
             const GoodTotal &counts, absl::Time at);

    std::vector<BurnRow> rows(absl::Time now) const;

private:
    struct Bucket
    {
        std::int64_t number = -1; ///< Bucket lengths since the Unix epoch; -1 if unused.
        GoodTotal counts;
    };
    using Pair = std::pair<base::OrganisationId, std::string>;
    using Rings = std::array<std::vector<Bucket>, BurnWindowCount>;

    std::size_t maxPairs_;
    std::map<Pair, Rings> pairs_;
};

/// Sums the rows of several instances by organisation and route.
std::vector<BurnRow> sumRows(const std::vector<std::vector<BurnRow>> &sources);

} // namespace zinniadoor::serving
