#pragma once

#include <string>

#include "zinniadoor/ctl/burn_report.hpp"

namespace zinniadoor::ctl {

/// Renders a self-contained HTML page: rows sorted by the highest burn rate, one bar per window.
std::string renderBurnPage(const BurnReport &report);

} // namespace zinniadoor::ctl
