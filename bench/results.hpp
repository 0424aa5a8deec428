#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"

#include "scenario.hpp"

namespace zinniadoor::bench {

enum class RequestOutcome : std::uint8_t {
    Open, ///< Queued or running when the run ended.
    Good, ///< Completed within the deadline.
    Late, ///< Completed after the deadline.
    Refused, ///< Rejected, or expired in a queue.
    Failed, ///< Failed and not retried again.
};

/// Outcome of one request. Latencies are measured from its intended arrival.
struct RequestRecord
{
    std::size_t requestClass = 0;
    absl::Duration at; ///< Intended arrival, from the start of the run.
    RequestOutcome outcome = RequestOutcome::Open;
    std::optional<absl::Duration> firstToken;
    absl::Duration responseTime; ///< Valid for Good and Late.
    std::uint32_t tokens = 0;
};

/// Measurements of one variant's run.
struct RunResult
{
    std::string variant;
    std::vector<RequestRecord> records;
    std::uint64_t firstCalls = 0;
    std::uint64_t retries = 0;
    std::uint64_t faultCalls = 0; ///< First calls while endpoints were failing.
    std::uint64_t faultRetries = 0;
    std::uint64_t streamsMoved = 0; ///< Streams migrated off leaving engines.
    std::uint64_t roleChanges = 0;
    std::vector<double> peakToMean; ///< Samples of the highest number of requests in flight per
                                    ///< engine, divided by the mean.
    std::uint64_t tokensOnReclaimable = 0; ///< Part of `tokens` generated on reclaimable engines.
    std::uint64_t tokens = 0; ///< Output tokens generated before the first reclaim.
    double spend = 0; ///< Price of all engines over the run.
};

/// Summary of the requests of one class, or of all, in a run.
struct Summary
{
    std::string name;
    std::uint64_t offered = 0;
    std::uint64_t good = 0;
    std::uint64_t goodTokens = 0; ///< Output tokens of good requests.
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t open = 0;
    double firstTokenP50
        = 0; ///< Time to first token in seconds, over all requests that received one.
    double firstTokenP95 = 0;
    double firstTokenP99 = 0;
};

/// Nearest-rank percentile; `share` is between 0 and 1. Returns 0 if there are no values.
double percentile(std::vector<double> values, double share);

/// Summary of all requests, followed by one for each class. Excludes requests of the warm-up.
std::vector<Summary> summarise(const Scenario &scenario, const RunResult &run);

/// Markdown tables.
std::string tableOf(const Scenario &scenario, const std::vector<RunResult> &runs);
std::string csvOf(const Scenario &scenario, const std::vector<RunResult> &runs);
std::string jsonOf(const Scenario &scenario, const std::vector<RunResult> &runs);

/// SVG chart of good requests per second over time, with one line for each variant.
std::string svgOf(const Scenario &scenario, const std::vector<RunResult> &runs);

} // namespace zinniadoor::bench
