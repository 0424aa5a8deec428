#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"

namespace zinniadoor::gateway {

/// What may be done with a request that may have run.
enum class Repeatability : std::uint8_t {
    Idempotent, ///< May run again.
    AtMostOnce, ///< Must not run again.
    Resumable, ///< A stream that may go on elsewhere after its last event.
};

/// Lower-case name, for logs.
const char *nameOf(Repeatability repeatability);

struct WeightedService
{
    std::string service;
    std::uint32_t weight = 1;
};

/// Where requests of one host and path prefix go, and how.
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    Repeatability repeatability = Repeatability::AtMostOnce;
    bool streaming = false;
    bool carriesPrompt = false;
    bool isPublic = false; ///< Needs no key.
    absl::Duration timeout; ///< Longest time to the end of the answer.
    absl::Duration objective; ///< Time to the first byte that earns full credit.
    absl::Duration longestGap; ///< Between events of a stream.
    int priority = 0; ///< 0 is the most urgent.
    std::uint32_t maxEndpoints = 1; ///< That may run one request.
    std::vector<WeightedService> services;
};

enum class QuotaUnit : std::uint8_t { Requests, Tokens };

struct Organisation
{
    base::OrganisationId id;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< Goes before the route's.
    QuotaUnit unit = QuotaUnit::Requests;
    std::uint32_t plainRequestTokens = 1; ///< Charged for a request without a token count.
    double ratePerSecond = 0; ///< In `unit`; 0: no limit.
    double burst = 0;
};

/// What a service's engines have in common.
struct EngineTraits
{
    std::uint32_t slots = 1;
    std::uint64_t kvTokens = 0; ///< Memory for prompts and answers.
    double copyTokensPerMs = 0; ///< Of memory from one engine to another; 0: not known.
    absl::Duration handleTime; ///< How long a read prompt is held for another engine.
    absl::Duration stageChangeTime;
};

/// Bounds and prices of ordering endpoints.
struct ScalingTraits
{
    std::uint32_t minPerDataCentre = 0;
    std::uint32_t maxPerDataCentre = 0;
    absl::Duration startTime;
    absl::flat_hash_map<std::string, double> priceOf; ///< By data centre, for a second.
};

struct Service
{
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< Of all callers to one endpoint.
    std::optional<EngineTraits> engine;
    std::optional<ScalingTraits> scaling;
};

struct CallerLimits
{
    std::size_t maxHeadBytes = std::size_t { 16 } * 1024;
    std::size_t maxBodyBytes = std::size_t { 1024 } * 1024;
    absl::Duration requestTimeout = absl::Seconds(3);
    absl::Duration idleTimeout = absl::Seconds(15);
};

/// One version of what operators decided. Never changed once built.
class Configuration
{
public:
    struct Parts
    {
        std::uint64_t version = 0;
        std::vector<Route> routes;
        std::vector<Service> services;
        std::vector<Organisation> organisations;
        CallerLimits limits;
    };
    explicit Configuration(Parts parts);

    std::uint64_t version() const { return parts_.version; }
    const Parts &parts() const { return parts_; }

    /// The route with the longest prefix of `path` on `host`; null if there is none.
    const Route *findRoute(absl::string_view host, absl::string_view path) const;
    const Organisation *findByKey(absl::string_view key) const;
    const Service *findService(absl::string_view name) const;

private:
    Parts parts_;
    absl::flat_hash_map<std::string, std::vector<const Route *>> routesOf_; ///< By host.
    absl::flat_hash_map<std::string, const Organisation *> organisationOf_; ///< By key.
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

} // namespace zinniadoor::gateway
