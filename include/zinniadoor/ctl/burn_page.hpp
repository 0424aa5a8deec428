#pragma once

#include <string>

#include "zinniadoor/ctl/burn_report.hpp"

namespace zinniadoor::ctl {

/// One HTML page that needs no other file: the worst burn first, a bar for each window.
std::string renderBurnPage(const BurnReport &report);

} // namespace zinniadoor::ctl
