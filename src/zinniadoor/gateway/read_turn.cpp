#include "zinniadoor/gateway/read_turn.hpp"

#include <algorithm>
#include <cmath>

#include "turn_order.hpp"

namespace zinniadoor::gateway {

namespace {

/// Time between the turns of the first two instances, as a fraction of the notice. Turns come ever
/// closer together, so that the last of 64 instances waits six times as long, half of the notice.
constexpr double StepShare = 0.08;

/// Positions of instances that know no neighbours are spread over this many steps: they have asked
/// nobody yet, and the list of instances, which is short, comes first.
constexpr double UnknownSteps = 10;

/// Other instances' reads are waited for until these fractions of the notice have passed, for the
/// first and the last in the order of turns.
constexpr double MinTrustShare = 0.5;
constexpr double MaxTrustShare = 1;

/// The delay after failed reads, as a fraction of the notice, doubles up to a limit. All may fail
/// at the same moment, as when the store stops responding, so the spread is added from the first
/// on. The fewer instances there are to find out that the store is back, the sooner each tries
/// again.
constexpr double RetryShare = 0.05;
constexpr double RetrySpread = 0.4;
constexpr int MaxDoublings = 2;
constexpr double ManyNeighbours = 16;

} // namespace

ReadTurn::ReadTurn(const ReadTurnOptions &options)
    : options_(options)
{ }

absl::Duration ReadTurn::step() const
{
    return options_.notice * StepShare;
}

void ReadTurn::begin(absl::Time now)
{
    begunAt_ = now;
    trustUntil_ = absl::InfinitePast();
}

void ReadTurn::setNeighbours(const std::vector<std::uint64_t> &ranks, absl::Time now)
{
    // Nobody could be asked before, so that the turns of most would be over already.
    if (!position_)
        begunAt_ = now;
    neighbours_ = ranks.size();
    position_ = static_cast<std::size_t>(
        std::count_if(ranks.begin(), ranks.end(),
                      [this](std::uint64_t rank) { return rank < options_.ownRank; }));
}

void ReadTurn::noteReading(absl::Time now)
{
    // Those that wait for the same read take turns if it ends without success, or not at all.
    const double order = detail::orderOf(options_.ownRank);
    const double share = MinTrustShare + (MaxTrustShare - MinTrustShare) * order;
    trustUntil_ = std::min(now + step() * (1 + order), begunAt_ + options_.notice * share);
}

void ReadTurn::noteFailure(absl::Time now)
{
    // While they are not known, there may be any number of them.
    const double scale = position_
        ? std::min(1.0, std::log2(2 + static_cast<double>(neighbours_)) / std::log2(ManyNeighbours))
        : 1.0;
    const double order = detail::orderOf(options_.ownRank + static_cast<std::uint64_t>(failures_));
    retryAt_
        = now + options_.notice * scale * (RetryShare * (1 << failures_) + RetrySpread * order);
    failures_ = std::min(failures_ + 1, MaxDoublings);
}

absl::Time ReadTurn::due() const
{
    double steps = 0;
    if (position_)
        steps = std::log2(1 + static_cast<double>(*position_));
    else
        steps = UnknownSteps * detail::orderOf(options_.ownRank);
    return std::max({ begunAt_ + step() * steps, trustUntil_, retryAt_ });
}

} // namespace zinniadoor::gateway
