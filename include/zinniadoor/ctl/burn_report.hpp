#pragma once

#include <string>
#include <vector>

#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/control/bundle.hpp"
#include "zinniadoor/ctl/output.hpp"
#include "zinniadoor/serving/burn.hpp"

namespace zinniadoor::ctl {

/// Requests that one or several instances counted against their service-level objectives.
struct BurnReport
{
    std::uint64_t bundleVersion = 0; ///< Bundle that defines the objectives.
    std::vector<control::Objective> objectives;
    std::vector<serving::BurnRow> rows;
    std::size_t instances = 1; ///< Number of instances included in the sums.
    std::vector<std::string> missing; ///< Reason for each instance that is not included.
};

/// Parses the response to GET /burn.
base::Outcome<BurnReport> parseBurn(const std::string &json);

/// Sums the counts of several instances; the objectives are taken from the newest bundle.
BurnReport sumReports(const std::vector<BurnReport> &reports);

/// Target of a route's objective as a fraction; 0 for a route without an objective.
double targetOf(const BurnReport &report, const std::string &route);

/// One row for each organisation, route and window that has requests.
Table burnTable(const BurnReport &report);

} // namespace zinniadoor::ctl
