#pragma once

#include <string>
#include <vector>

namespace zinniadoor::ctl {

struct BundleChange
{
    std::string kind; ///< added, removed or changed
    std::string where; ///< Path of the value, such as "organisations/feathercraft/burst".
    std::string before; ///< Old value; empty if added.
    std::string after; ///< New value; empty if removed.
};

/// Compares two validated bundles value by value. List entries are matched by id or
/// route, or else by index.
std::vector<BundleChange> diffBundles(const std::string &beforeYaml, const std::string &afterYaml);

} // namespace zinniadoor::ctl
