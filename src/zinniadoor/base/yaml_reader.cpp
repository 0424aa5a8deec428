#include "zinniadoor/base/yaml_reader.hpp"

#include <set>

#include <yaml-cpp/yaml.h>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace zinniadoor::base {

YamlFaults::YamlFaults(std::string file)
    : file_(std::move(file))
{ }

void YamlFaults::add(int line, const std::string &key, const std::string &what)
{
    faults_.push_back(absl::StrCat(file_, ":", line, ": ", key, ": ", what));
}

std::string YamlFaults::text() const
{
    return absl::StrJoin(faults_, "\n");
}

struct YamlReader::Impl
{
    YAML::Node node;
    std::string path;
    YamlFaults &faults;
    mutable std::set<std::string> readKeys;

    std::string fullKey(const std::string &key) const
    {
        return path.empty() ? key : absl::StrCat(path, ".", key);
    }

    static int lineOf(const YAML::Node &node)
    {
        return node.IsDefined() && node.Mark().line >= 0 ? node.Mark().line + 1 : 0;
    }

    YAML::Node find(const char *key) const
    {
        readKeys.insert(key);
        if (!node.IsDefined() || !node.IsMap())
            return YAML::Node(YAML::NodeType::Undefined);
        const YAML::Node &constNode = node;
        return constNode[key];
    }

    void fault(const YAML::Node &at, const char *key, const std::string &what) const
    {
        const int line = lineOf(at);
        faults.add(line != 0 ? line : lineOf(node), fullKey(key), what);
    }

    // A template that is filled in from fields that a deployment lacks leaves values empty.
    static bool isAbsent(const YAML::Node &value) { return !value.IsDefined() || value.IsNull(); }

    // An empty value has no position of its own, so its key's line is reported.
    void faultAbsent(const char *key) const
    {
        if (node.IsDefined() && node.IsMap()) {
            for (const auto &pair : node) {
                if (pair.first.IsScalar() && pair.first.Scalar() == key) {
                    fault(pair.first, key, "is empty");
                    return;
                }
            }
        }
        fault(node, key, "is missing");
    }

    template <typename T>
    std::optional<T> scalar(const char *key, bool required, const char *typeName) const
    {
        const YAML::Node value = find(key);
        if (isAbsent(value)) {
            if (required)
                faultAbsent(key);
            return std::nullopt;
        }
        T result {};
        if (!value.IsScalar() || !YAML::convert<T>::decode(value, result)) {
            fault(value, key, absl::StrCat("is not ", typeName));
            return std::nullopt;
        }
        return result;
    }

    template <typename T>
    T inRange(const char *key, std::optional<T> value, T low, T high, T fallback) const
    {
        if (!value)
            return fallback;
        if (!(*value >= low && *value <= high)) {
            fault(find(key), key, absl::StrCat("is ", *value, ", outside ", low, " to ", high));
            return fallback;
        }
        return *value;
    }

    absl::Duration duration(const char *key, bool required, absl::Duration low, absl::Duration high,
                            absl::Duration fallback) const
    {
        const std::optional<std::string> text
            = scalar<std::string>(key, required, "a duration such as 250ms");
        if (!text)
            return fallback;
        absl::Duration value;
        if (!absl::ParseDuration(*text, &value)) {
            fault(find(key), key, "is not a duration such as 250ms");
            return fallback;
        }
        if (value < low || value > high) {
            fault(find(key), key,
                  absl::StrCat("is ", absl::FormatDuration(value), ", outside ",
                               absl::FormatDuration(low), " to ", absl::FormatDuration(high)));
            return fallback;
        }
        return value;
    }

    std::vector<std::string> strings(const char *key, bool required) const
    {
        std::vector<std::string> result;
        const YAML::Node value = find(key);
        if (isAbsent(value)) {
            if (required)
                faultAbsent(key);
            return result;
        }
        if (!value.IsSequence()) {
            fault(value, key, "is not a list");
            return result;
        }
        for (const YAML::Node &item : value) {
            if (item.IsScalar())
                result.push_back(item.Scalar());
            else
                fault(item, key, "has an item that is not a plain value");
        }
        return result;
    }
};

YamlReader::YamlReader(const YAML::Node &node, std::string path, YamlFaults &faults)
    : impl_(new Impl { node, std::move(path), faults, {} })
{ }

YamlReader::~YamlReader() = default;
YamlReader::YamlReader(YamlReader &&) noexcept = default;

bool YamlReader::has(const char *key) const
{
    return !Impl::isAbsent(impl_->find(key));
}

std::vector<std::string> YamlReader::keys() const
{
    std::vector<std::string> keys;
    if (!impl_->node.IsDefined() || !impl_->node.IsMap())
        return keys;
    for (const auto &pair : impl_->node) {
        if (pair.first.IsScalar())
            keys.push_back(pair.first.Scalar());
    }
    return keys;
}

std::string YamlReader::string(const char *key)
{
    return impl_->scalar<std::string>(key, true, "a string").value_or("");
}

std::int64_t YamlReader::integer(const char *key, std::int64_t low, std::int64_t high)
{
    const auto value = impl_->scalar<std::int64_t>(key, true, "a whole number");
    return impl_->inRange<std::int64_t>(key, value, low, high, low);
}

double YamlReader::number(const char *key, double low, double high)
{
    const auto value = impl_->scalar<double>(key, true, "a number");
    return impl_->inRange<double>(key, value, low, high, low);
}

bool YamlReader::boolean(const char *key)
{
    return impl_->scalar<bool>(key, true, "true or false").value_or(false);
}

absl::Duration YamlReader::duration(const char *key, absl::Duration low, absl::Duration high)
{
    return impl_->duration(key, true, low, high, low);
}

std::vector<std::string> YamlReader::strings(const char *key)
{
    return impl_->strings(key, true);
}

std::string YamlReader::stringOr(const char *key, const std::string &fallback)
{
    return impl_->scalar<std::string>(key, false, "a string").value_or(fallback);
}

std::int64_t YamlReader::integerOr(const char *key, std::int64_t low, std::int64_t high,
                                   std::int64_t fallback)
{
    const auto value = impl_->scalar<std::int64_t>(key, false, "a whole number");
    return impl_->inRange<std::int64_t>(key, value, low, high, fallback);
}

double YamlReader::numberOr(const char *key, double low, double high, double fallback)
{
    const auto value = impl_->scalar<double>(key, false, "a number");
    return impl_->inRange<double>(key, value, low, high, fallback);
}

bool YamlReader::booleanOr(const char *key, bool fallback)
{
    return impl_->scalar<bool>(key, false, "true or false").value_or(fallback);
}

absl::Duration YamlReader::durationOr(const char *key, absl::Duration low, absl::Duration high,
                                      absl::Duration fallback)
{
    return impl_->duration(key, false, low, high, fallback);
}

std::vector<std::string> YamlReader::stringsOr(const char *key)
{
    return impl_->strings(key, false);
}

YamlReader YamlReader::mapping(const char *key, bool required)
{
    const YAML::Node value = impl_->find(key);
    const bool absent = Impl::isAbsent(value);
    if (absent && required)
        impl_->faultAbsent(key);
    if (!absent && !value.IsMap())
        impl_->fault(value, key, "is not a mapping");
    return YamlReader(value, impl_->fullKey(key), impl_->faults);
}

std::vector<YamlReader> YamlReader::mappings(const char *key)
{
    std::vector<YamlReader> result;
    const YAML::Node value = impl_->find(key);
    if (Impl::isAbsent(value))
        return result;
    if (!value.IsSequence()) {
        impl_->fault(value, key, "is not a list");
        return result;
    }
    int index = 0;
    for (const YAML::Node &item : value) {
        const std::string path = absl::StrCat(impl_->fullKey(key), "[", index, "]");
        if (item.IsMap())
            result.emplace_back(item, path, impl_->faults);
        else
            impl_->fault(item, key, "has an item that is not a mapping");
        ++index;
    }
    return result;
}

void YamlReader::fault(const char *key, const std::string &what)
{
    impl_->fault(impl_->find(key), key, what);
}

void YamlReader::finish()
{
    if (!impl_->node.IsDefined() || !impl_->node.IsMap())
        return;
    std::set<std::string> seen;
    for (const auto &pair : impl_->node) {
        const std::string key = pair.first.IsScalar() ? pair.first.Scalar() : "?";
        if (impl_->readKeys.count(key) == 0)
            impl_->fault(pair.first, key.c_str(), "is not a known key");
        else if (!seen.insert(key).second)
            impl_->fault(pair.first, key.c_str(), "stands twice");
    }
}

std::optional<YamlReader> parseYaml(const std::string &text, YamlFaults &faults)
{
    try {
        const YAML::Node root = YAML::Load(text);
        if (root.IsMap())
            return YamlReader(root, "", faults);
        faults.add(1, "document", "is not a mapping");
    } catch (const YAML::Exception &error) {
        faults.add(error.mark.line + 1, "document", error.msg);
    }
    return std::nullopt;
}

} // namespace zinniadoor::base
