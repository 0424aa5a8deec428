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

/// Requests that met the objective, and all that count for it.
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

/// Speed at which an error budget is used: 1 uses it up exactly in the objective's period.
/// `target`: share that has to be good. Zero without requests.
double burnRate(const GoodTotal &counts, double target);

/// A window over which burn is reported.
struct BurnWindow
{
    const char *name;
    absl::Duration length;
    absl::Duration bucket; ///< Resolution; divides the length.
};

constexpr std::size_t BurnWindowCount = 4;

/// 5 minutes, 1 hour, 6 hours, 3 days.
const std::array<BurnWindow, BurnWindowCount> &burnWindows();

/// Burn of one organisation on one route.
struct BurnRow
{
    base::OrganisationId organisation;
    std::string route;
    std::array<GoodTotal, BurnWindowCount> windows;
};

/// Counts good and total requests per organisation and route in rings of buckets: memory per
/// pair is fixed. For one thread.
class BurnCounter
{
public:
    /// `maxPairs`: (organisation, route) pairs kept; further ones are counted under the
    /// organisation "other".
    explicit BurnCounter(std::size_t maxPairs = 20000);

    /// `now` is calendar time, so that rows of several instances can be added up.
    void add(const base::OrganisationId &organisation, const std::string &route, bool isGood,
             absl::Time now);

    /// Adds counts of another source to the buckets of `at`.
    void add(const base::OrganisationId &organisation, const std::string &route,
             const GoodTotal &counts, absl::Time at);

    std::vector<BurnRow> rows(absl::Time now) const;

private:
    struct Bucket
    {
        std::int64_t number = -1; ///< Since 1970, in bucket lengths.
        GoodTotal counts;
    };
    using Pair = std::pair<base::OrganisationId, std::string>;
    using Rings = std::array<std::vector<Bucket>, BurnWindowCount>;

    std::size_t maxPairs_;
    std::map<Pair, Rings> pairs_;
};

/// Sums rows of the same organisation and route, as heard from several instances.
std::vector<BurnRow> sumRows(const std::vector<std::vector<BurnRow>> &sources);

} // namespace zinniadoor::serving
