#include "zinniadoor/serving/burn.hpp"

#include <algorithm>

namespace zinniadoor::serving {

namespace {

constexpr std::array<BurnWindow, BurnWindowCount> Windows { {
    { "5m", absl::Minutes(5), absl::Seconds(10) },
    { "1h", absl::Hours(1), absl::Minutes(1) },
    { "6h", absl::Hours(6), absl::Minutes(5) },
    { "3d", absl::Hours(72), absl::Hours(1) },
} };

std::size_t bucketCount(const BurnWindow &window)
{
    return static_cast<std::size_t>(window.length / window.bucket);
}

std::int64_t bucketNumber(const BurnWindow &window, absl::Time at)
{
    return absl::ToUnixSeconds(at) / absl::ToInt64Seconds(window.bucket);
}

} // namespace

GoodTotal &GoodTotal::operator+=(const GoodTotal &other)
{
    good += other.good;
    total += other.total;
    return *this;
}

double burnRate(const GoodTotal &counts, double target)
{
    if (counts.total == 0)
        return 0;
    const double bad = 1 - static_cast<double>(counts.good) / static_cast<double>(counts.total);
    // An objective of 100% has no error budget: any bad request would be an infinite burn rate.
    constexpr double SmallestBudget = 1e-9;
    return bad / std::max(1 - target, SmallestBudget);
}

const std::array<BurnWindow, BurnWindowCount> &burnWindows()
{
    return Windows;
}

BurnCounter::BurnCounter(std::size_t maxPairs)
    : maxPairs_(maxPairs)
{ }

void BurnCounter::add(const base::OrganisationId &organisation, const std::string &route,
                      bool isGood, absl::Time now)
{
    add(organisation, route, GoodTotal { isGood ? 1U : 0U, 1 }, now);
}

void BurnCounter::add(const base::OrganisationId &organisation, const std::string &route,
                      const GoodTotal &counts, absl::Time at)
{
    Pair pair { organisation, route };
    if (pairs_.size() >= maxPairs_ && pairs_.find(pair) == pairs_.end())
        pair = { base::OrganisationId("other"), "other" };
    Rings &rings = pairs_[pair];
    for (std::size_t i = 0; i < BurnWindowCount; ++i) {
        std::vector<Bucket> &ring = rings[i];
        ring.resize(bucketCount(Windows[i]));
        const std::int64_t number = bucketNumber(Windows[i], at);
        Bucket &bucket = ring[static_cast<std::size_t>(number) % ring.size()];
        if (bucket.number > number)
            continue;
        if (bucket.number < number)
            bucket = { number, {} };
        bucket.counts += counts;
    }
}

std::vector<BurnRow> BurnCounter::rows(absl::Time now) const
{
    std::vector<BurnRow> rows;
    for (const auto &[pair, rings] : pairs_) {
        BurnRow row;
        row.organisation = pair.first;
        row.route = pair.second;
        for (std::size_t i = 0; i < BurnWindowCount; ++i) {
            const std::int64_t newest = bucketNumber(Windows[i], now);
            const auto oldest = newest - static_cast<std::int64_t>(bucketCount(Windows[i])) + 1;
            for (const Bucket &bucket : rings[i]) {
                if (bucket.number >= oldest && bucket.number <= newest)
                    row.windows[i] += bucket.counts;
            }
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

std::vector<BurnRow> sumRows(const std::vector<std::vector<BurnRow>> &sources)
{
    std::map<std::pair<base::OrganisationId, std::string>, BurnRow> sums;
    for (const auto &rows : sources) {
        for (const BurnRow &row : rows) {
            BurnRow &sum = sums[{ row.organisation, row.route }];
            sum.organisation = row.organisation;
            sum.route = row.route;
            for (std::size_t i = 0; i < BurnWindowCount; ++i)
                sum.windows[i] += row.windows[i];
        }
    }
    std::vector<BurnRow> all;
    all.reserve(sums.size());
    for (auto &[pair, row] : sums)
        all.push_back(std::move(row));
    return all;
}

} // namespace zinniadoor::serving
