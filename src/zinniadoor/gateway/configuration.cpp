#include "zinniadoor/gateway/configuration.hpp"

#include "absl/strings/match.h"

namespace zinniadoor::gateway {

const char *nameOf(Repeatability repeatability)
{
    switch (repeatability) {
    case Repeatability::Idempotent:
        return "idempotent";
    case Repeatability::AtMostOnce:
        return "at_most_once";
    case Repeatability::Resumable:
        return "resumable";
    }
    return "unknown";
}

const char *nameOf(KeyPolicy policy)
{
    switch (policy) {
    case KeyPolicy::Required:
        return "required";
    case KeyPolicy::NotRequired:
        return "not_required";
    }
    return "unknown";
}

Configuration::Configuration(Parts parts)
    : parts_(std::move(parts))
{
    for (const Route &route : parts_.routes)
        routesOf_[route.host].push_back(&route);
    for (const Organisation &organisation : parts_.organisations) {
        for (const std::string &key : organisation.keys) {
            if (!key.empty())
                organisationOf_[key] = &organisation;
        }
    }
}

const Route *Configuration::findRoute(absl::string_view host, absl::string_view path) const
{
    const auto found = routesOf_.find(host);
    if (found == routesOf_.end())
        return nullptr;
    const Route *best = nullptr;
    for (const Route *route : found->second) {
        const bool matches = absl::StartsWith(path, route->pathPrefix);
        if (matches && (!best || route->pathPrefix.size() > best->pathPrefix.size()))
            best = route;
    }
    return best;
}

const Organisation *Configuration::findByKey(absl::string_view key) const
{
    const auto found = organisationOf_.find(key);
    return found == organisationOf_.end() ? nullptr : found->second;
}

const Service *Configuration::findService(absl::string_view name) const
{
    for (const Service &service : parts_.services) {
        if (service.name == name)
            return &service;
    }
    return nullptr;
}

} // namespace zinniadoor::gateway
