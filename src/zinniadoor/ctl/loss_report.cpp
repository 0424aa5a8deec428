#include "zinniadoor/ctl/loss_report.hpp"

#include <optional>

#include <nlohmann/json.hpp>

#include "absl/strings/numbers.h"

namespace zinniadoor::ctl {

namespace {

using Json = nlohmann::json;

std::string textAt(const Json &line, const char *key)
{
    const auto found = line.find(key);
    return found != line.end() && found->is_string() ? found->get<std::string>() : "";
}

/// Reads a number that the log line holds as a string; none if missing or not a number.
std::optional<std::uint64_t> millisecondsAt(const Json &line, const char *key)
{
    std::uint64_t value = 0;
    if (!absl::SimpleAtoi(textAt(line, key), &value))
        return std::nullopt;
    return value;
}

SlowestPhase slowestPhase(const Json &line, std::uint64_t first)
{
    const auto begin = millisecondsAt(line, "begin_ms");
    if (!begin || *begin > first)
        return SlowestPhase::Unattributed;
    const std::uint64_t read = millisecondsAt(line, "read_ms").value_or(0);
    const std::uint64_t calls = *begin + read;
    const std::uint64_t before = calls < first ? first - calls : 0;
    if (before >= read && before >= *begin)
        return SlowestPhase::Instance;
    return read >= *begin ? SlowestPhase::RemotePrefill : SlowestPhase::FirstEvent;
}

} // namespace

const char *nameOf(SlowestPhase phase)
{
    switch (phase) {
    case SlowestPhase::Instance:
        return "instance";
    case SlowestPhase::RemotePrefill:
        return "prompt_read";
    case SlowestPhase::FirstEvent:
        return "beginning";
    case SlowestPhase::Unattributed:
        return "unsplit";
    }
    return "unknown";
}

bool LossReport::add(const std::string &line)
{
    const std::size_t brace = line.find('{');
    if (brace == std::string::npos || line.find("\"request_ended\"", brace) == std::string::npos)
        return false;
    const Json json = Json::parse(line.begin() + static_cast<std::ptrdiff_t>(brace), line.end(),
                                  nullptr, false);
    if (!json.is_object() || textAt(json, "name") != "request_ended")
        return false;
    Cause cause { textAt(json, "outcome"), textAt(json, "reason") };
    const std::uint64_t total = millisecondsAt(json, "total_ms").value_or(0);
    const auto objective = millisecondsAt(json, "objective_ms");
    const std::uint64_t first = millisecondsAt(json, "first_ms").value_or(total);
    if (cause.first == "served" && objective.value_or(0) > 0) {
        const bool late = first > *objective;
        cause = { late ? "late" : "in_time", late ? nameOf(slowestPhase(json, first)) : "" };
    }
    Count &count = routes_[textAt(json, "route")][cause];
    ++count.requests;
    count.totalMs += total;
    return true;
}

Table LossReport::table() const
{
    Table table { { "route", "outcome", "cause", "requests", "share", "mean_ms" }, {} };
    for (const auto &[route, causes] : routes_) {
        std::uint64_t all = 0;
        for (const auto &[cause, count] : causes)
            all += count.requests;
        for (const auto &[cause, count] : causes) {
            const double share = static_cast<double>(count.requests) / static_cast<double>(all);
            table.rows.push_back({ route, cause.first, cause.second, count.requests, share,
                                   count.totalMs / count.requests });
        }
    }
    return table;
}

} // namespace zinniadoor::ctl
