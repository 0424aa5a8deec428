#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/base/outcome.hpp"

namespace YAML {
class Node;
}

namespace zinniadoor::base {

/// Collects all faults of one YAML document, each with file, line and key.
class YamlFaults
{
public:
    explicit YamlFaults(std::string file);

    /// `line` is 1-based; 0 if unknown.
    void add(int line, const std::string &key, const std::string &what);

    bool empty() const { return faults_.empty(); }

    /// All faults, one per line: "FILE:LINE: KEY: WHAT".
    std::string text() const;

private:
    std::string file_;
    std::vector<std::string> faults_;
};

/// Reads one YAML mapping key by key and reports keys that are missing, of the wrong type, out of
/// range or unknown. Keys that were not read before `finish` is called are reported as unknown.
class YamlReader
{
public:
    /// `path`: dotted path of this mapping, empty at the root.
    YamlReader(const YAML::Node &node, std::string path, YamlFaults &faults);
    ~YamlReader();
    YamlReader(YamlReader &&) noexcept;
    YamlReader(const YamlReader &) = delete;
    YamlReader &operator=(const YamlReader &) = delete;

    bool has(const char *key) const;

    /// All keys of this mapping, in order.
    std::vector<std::string> keys() const;

    /// Required keys. A missing key or an empty value is a fault; the result is then `low`, or
    /// empty or false for types without a range.
    std::string string(const char *key);
    std::int64_t integer(const char *key, std::int64_t low, std::int64_t high);
    double number(const char *key, double low, double high);
    bool boolean(const char *key);
    absl::Duration duration(const char *key, absl::Duration low, absl::Duration high);
    std::vector<std::string> strings(const char *key);

    /// Optional keys. The result is `fallback`, or an empty list, if the key is absent or its value
    /// is empty.
    std::string stringOr(const char *key, const std::string &fallback);
    std::int64_t integerOr(const char *key, std::int64_t low, std::int64_t high,
                           std::int64_t fallback);
    double numberOr(const char *key, double low, double high, double fallback);
    bool booleanOr(const char *key, bool fallback);
    absl::Duration durationOr(const char *key, absl::Duration low, absl::Duration high,
                              absl::Duration fallback);
    std::vector<std::string> stringsOr(const char *key);

    /// A nested mapping. If absent, the result is an empty reader, and a fault if `required`.
    YamlReader mapping(const char *key, bool required = true);

    /// The mappings of a list; empty if the key is absent.
    std::vector<YamlReader> mappings(const char *key);

    /// Adds a fault for `key` of this mapping.
    void fault(const char *key, const std::string &what);

    /// Reports duplicate keys and all keys that were not read.
    void finish();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Parses `text` and returns its root mapping; adds a fault and returns nothing if it has none.
std::optional<YamlReader> parseYaml(const std::string &text, YamlFaults &faults);

} // namespace zinniadoor::base
