#pragma once

#include <string>
#include <vector>

namespace zinniadoor::ctl {

struct BundleChange
{
    std::string kind; ///< added, removed or changed
    std::string where; ///< Such as "organisations/feathercraft/burst".
    std::string before; ///< Empty for added.
    std::string after; ///< Empty for removed.
};

/// What differs between two checked bundles, entry by entry.
std::vector<BundleChange> diffBundles(const std::string &beforeYaml, const std::string &afterYaml);

} // namespace zinniadoor::ctl
