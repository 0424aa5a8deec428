#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"

#include "scenario.hpp"

namespace zinniadoor::bench {

enum class RequestEnd : std::uint8_t {
    Open, ///< Waiting or running when the run ended.
    Good,
    Late,
    Refused,
    Failed,
};

/// What became of one arrival. Times count from its intended arrival.
struct RequestRecord
{
    std::size_t requestClass = 0;
    absl::Duration at; ///< Intended arrival since the start of the run.
    RequestEnd end = RequestEnd::Open;
    std::optional<absl::Duration> firstToken;
    absl::Duration whole; ///< Meaningful for Good and Late.
    std::uint32_t tokens = 0;
};

/// Everything that one variant's run gave.
struct RunResult
{
    std::string variant;
    std::vector<RequestRecord> records;
    std::uint64_t firstCalls = 0;
    std::uint64_t retries = 0;
    std::uint64_t faultCalls = 0; ///< First calls while endpoints failed.
    std::uint64_t faultRetries = 0;
    std::uint64_t moves = 0; ///< Streams moved off leaving engines.
    std::uint64_t roleChanges = 0;
    std::vector<double> peakToMean; ///< In-flight over equal engines, sampled.
    std::uint64_t tokensOnReclaimable = 0; ///< Before a zone was lost.
    std::uint64_t tokens = 0; ///< Output; before a zone was lost.
    double spend = 0; ///< Price of the engines over the run.
};

/// Requests of one class, or of all, in a run.
struct Summary
{
    std::string name;
    std::uint64_t offered = 0;
    std::uint64_t good = 0;
    std::uint64_t goodTokens = 0; ///< Output tokens of good answers.
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t open = 0;
    double firstTokenP50 = 0; ///< Seconds, of all requests that got one.
    double firstTokenP95 = 0;
    double firstTokenP99 = 0;
};

/// Nearest-rank percentile, `share` from 0 to 1; 0 without values.
double percentile(std::vector<double> values, double share);

/// The whole first, then each class. Requests of the warm-up don't count.
std::vector<Summary> summarise(const Scenario &scenario, const RunResult &run);

std::string tableOf(const Scenario &scenario, const std::vector<RunResult> &runs);
std::string csvOf(const Scenario &scenario, const std::vector<RunResult> &runs);
std::string jsonOf(const Scenario &scenario, const std::vector<RunResult> &runs);

/// Good answers a second over time, one line per variant.
std::string svgOf(const Scenario &scenario, const std::vector<RunResult> &runs);

} // namespace zinniadoor::bench
