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

/// Collects every fault of one YAML document, each with file, line and key.
class YamlFaults
{
public:
    explicit YamlFaults(std::string file);

    /// `line` counts from 1; 0 where there is none.
    void add(int line, const std::string &key, const std::string &what);

    bool empty() const { return faults_.empty(); }

    /// All faults, a line each: "FILE:LINE: KEY: WHAT".
    std::string text() const;

private:
    std::string file_;
    std::vector<std::string> faults_;
};

/// Reads one YAML mapping key by key and reports what is missing, ill-typed, out of range or
/// unknown. A key is known once it has been asked for; call `finish` to report the others.
class YamlReader
{
public:
    /// `path`: dotted key of this mapping, empty at the root.
    YamlReader(const YAML::Node &node, std::string path, YamlFaults &faults);
    ~YamlReader();
    YamlReader(YamlReader &&) noexcept;
    YamlReader(const YamlReader &) = delete;
    YamlReader &operator=(const YamlReader &) = delete;

    bool has(const char *key) const;

    /// Required keys: an absent one is a fault and gives the type's zero value.
    std::string string(const char *key);
    std::int64_t integer(const char *key, std::int64_t low, std::int64_t high);
    double number(const char *key, double low, double high);
    bool boolean(const char *key);
    absl::Duration duration(const char *key, absl::Duration low, absl::Duration high);
    std::vector<std::string> strings(const char *key);

    /// Optional keys: an absent one gives `fallback`.
    std::string stringOr(const char *key, const std::string &fallback);
    std::int64_t integerOr(const char *key, std::int64_t low, std::int64_t high,
                           std::int64_t fallback);
    double numberOr(const char *key, double low, double high, double fallback);
    bool booleanOr(const char *key, bool fallback);
    absl::Duration durationOr(const char *key, absl::Duration low, absl::Duration high,
                              absl::Duration fallback);
    std::vector<std::string> stringsOr(const char *key);

    /// A nested mapping; an empty reader (with a fault if `required`) where it is absent.
    YamlReader mapping(const char *key, bool required = true);

    /// The mappings of a list; empty where the key is absent.
    std::vector<YamlReader> mappings(const char *key);

    /// Reports a fault at `key` of this mapping.
    void fault(const char *key, const std::string &what);

    /// Reports every key that was never asked for.
    void finish();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Parses `text` and returns its root mapping, or nothing with a fault noted.
std::optional<YamlReader> parseYaml(const std::string &text, YamlFaults &faults);

} // namespace zinniadoor::base
