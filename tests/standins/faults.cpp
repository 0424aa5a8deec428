#include "faults.hpp"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

namespace zinniadoor::standins {
namespace {

struct KindName
{
    FaultKind kind;
    const char *name;
};

constexpr std::array<KindName, 11> KindNames { {
    { FaultKind::Refuse, "refuse" },
    { FaultKind::Delay, "delay" },
    { FaultKind::DropAnswer, "drop_answer" },
    { FaultKind::Silent, "silent" },
    { FaultKind::Vanish, "vanish" },
    { FaultKind::Mute, "mute" },
    { FaultKind::Truncate, "truncate" },
    { FaultKind::Cross, "cross" },
    { FaultKind::Gap, "gap" },
    { FaultKind::Double, "double" },
    { FaultKind::Stall, "stall" },
} };

std::optional<FaultKind> kindOf(const std::string &name)
{
    for (const KindName &entry : KindNames) {
        if (name == entry.name)
            return entry.kind;
    }
    return std::nullopt;
}

bool matches(const Fault &fault, const Request &request)
{
    return request.path.rfind(fault.path, 0) == 0
        && (fault.method.empty() || fault.method == request.method)
        && (fault.contains.empty() || request.body.find(fault.contains) != std::string::npos);
}

nlohmann::json describe(const Fault &fault)
{
    nlohmann::json out { { "path", fault.path }, { "kind", nameOf(fault.kind) } };
    if (fault.count)
        out["count"] = *fault.count;
    if (fault.skip > 0)
        out["skip"] = fault.skip;
    return out;
}

} // namespace

const char *nameOf(FaultKind kind)
{
    for (const KindName &entry : KindNames) {
        if (kind == entry.kind)
            return entry.name;
    }
    return "unknown";
}

std::string FaultList::set(const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (json.is_object())
        return add(json);
    if (!json.is_array())
        return "expected an object or a list of objects";
    for (const auto &value : json) {
        std::string error = value.is_object() ? add(value) : "expected an object";
        if (!error.empty())
            return error;
    }
    return {};
}

std::string FaultList::add(const nlohmann::json &value)
{
    const std::lock_guard lock(mutex_);
    if (value.value("clear", false)) {
        faults_.clear();
        lastMutedConnection_ = 0;
        return {};
    }
    const std::optional<FaultKind> kind = kindOf(value.value("kind", std::string()));
    if (!kind)
        return "unknown kind of fault";
    if (*kind == FaultKind::Mute) {
        lastMutedConnection_ = lastConnection_;
        return {};
    }
    Fault fault;
    fault.kind = *kind;
    fault.path = value.value("path", std::string("/"));
    fault.method = value.value("method", std::string());
    fault.contains = value.value("contains", std::string());
    fault.delayMs = value.value("ms", std::int64_t { 0 });
    fault.status = value.value("status", fault.status);
    fault.skip = value.value("skip", std::int64_t { 0 });
    fault.afterEffect = value.value("after_effect", false);
    fault.clean = value.value("clean", false);
    if (value.contains("count"))
        fault.count = value["count"].get<std::int64_t>();
    if (value.contains("after_tokens"))
        fault.afterTokens = value["after_tokens"].get<std::int64_t>();
    faults_.push_back(fault);
    return {};
}

std::optional<Fault> FaultList::consumeMatching(const Request &request)
{
    const std::lock_guard lock(mutex_);
    for (auto it = faults_.begin(); it != faults_.end(); ++it) {
        if (!matches(*it, request))
            continue;
        if (it->skip > 0) {
            --it->skip;
            continue;
        }
        if (!it->count)
            return *it;
        const Fault fault = *it;
        if (--*it->count <= 0)
            faults_.erase(it);
        return fault;
    }
    return std::nullopt;
}

bool FaultList::isMuted(std::uint64_t connection) const
{
    const std::lock_guard lock(mutex_);
    return connection <= lastMutedConnection_;
}

void FaultList::recordConnection(std::uint64_t connection)
{
    const std::lock_guard lock(mutex_);
    lastConnection_ = std::max(lastConnection_, connection);
}

nlohmann::json FaultList::toJson() const
{
    const std::lock_guard lock(mutex_);
    nlohmann::json out = nlohmann::json::array();
    for (const Fault &fault : faults_)
        out.push_back(describe(fault));
    if (lastMutedConnection_ > 0)
        out.push_back(
            { { "kind", nameOf(FaultKind::Mute) }, { "connections", lastMutedConnection_ } });
    return out;
}

} // namespace zinniadoor::standins
