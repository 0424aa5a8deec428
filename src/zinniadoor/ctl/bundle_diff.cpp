#include "zinniadoor/ctl/bundle_diff.hpp"

#include <map>

#include <yaml-cpp/yaml.h>

#include "absl/strings/str_cat.h"

namespace zinniadoor::ctl {

namespace {

using Leaves = std::map<std::string, std::string>;

std::string idOf(const YAML::Node &item, std::size_t index)
{
    if (item.IsMap()) {
        for (const char *key : { "id", "route" }) {
            if (item[key])
                return item[key].Scalar();
        }
    }
    return absl::StrCat(index);
}

/// Collects every scalar under its path. Recursion depth is bounded because validated bundles are
/// not nested deeply.
void collect(const YAML::Node &node, const std::string &path, Leaves &leaves)
{
    const std::string prefix = path.empty() ? "" : path + "/";
    if (node.IsMap()) {
        for (const auto &entry : node)
            collect(entry.second, prefix + entry.first.Scalar(), leaves);
    } else if (node.IsSequence()) {
        std::size_t index = 0;
        for (const YAML::Node &item : node)
            collect(item, prefix + idOf(item, index++), leaves);
    } else {
        leaves[path] = node.IsScalar() ? node.Scalar() : "";
    }
}

Leaves leavesOf(const std::string &yaml)
{
    Leaves leaves;
    collect(YAML::Load(yaml), "", leaves);
    return leaves;
}

} // namespace

std::vector<BundleChange> diffBundles(const std::string &beforeYaml, const std::string &afterYaml)
{
    const Leaves before = leavesOf(beforeYaml);
    const Leaves after = leavesOf(afterYaml);
    std::vector<BundleChange> changes;
    for (const auto &[path, value] : before) {
        const auto found = after.find(path);
        if (found == after.end())
            changes.push_back({ "removed", path, value, "" });
        else if (found->second != value)
            changes.push_back({ "changed", path, value, found->second });
    }
    for (const auto &[path, value] : after) {
        if (before.count(path) == 0)
            changes.push_back({ "added", path, "", value });
    }
    return changes;
}

} // namespace zinniadoor::ctl
