#pragma once

#include <string>
#include <vector>

#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/control/bundle.hpp"
#include "zinniadoor/ctl/output.hpp"
#include "zinniadoor/serving/burn.hpp"

namespace zinniadoor::ctl {

/// What instances counted against their objectives.
struct BurnReport
{
    std::uint64_t bundleVersion = 0; ///< From which the objectives are.
    std::vector<control::Objective> objectives;
    std::vector<serving::BurnRow> rows;
    std::size_t instances = 1; ///< How many are summed up here.
    std::vector<std::string> missing; ///< Why others are not.
};

/// Reads the answer of GET /burn.
base::Outcome<BurnReport> parseBurn(const std::string &json);

/// Adds up what instances counted; the objectives are those of the newest bundle.
BurnReport sumReports(const std::vector<BurnReport> &reports);

/// Target of a route; 0 for a route without an objective.
double targetOf(const BurnReport &report, const std::string &route);

/// One row for each organisation, route and window with requests.
Table burnTable(const BurnReport &report);

} // namespace zinniadoor::ctl
