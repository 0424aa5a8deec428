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
#include "zinniadoor/serving/cold_endpoints.hpp"

namespace zinniadoor::gateway {

/// Whether a request that may already have been executed can be retried.
enum class Repeatability : std::uint8_t {
    Idempotent, ///< May be executed more than once.
    AtMostOnce, ///< Must not be executed again.
    Resumable, ///< A stream that another endpoint can resume after its last event.
};

/// Lower-case name for logs.
const char *nameOf(Repeatability repeatability);

struct WeightedService
{
    std::string service;
    std::uint32_t weight = 1;
};

/// Routing rule for one host and path prefix.
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    Repeatability repeatability = Repeatability::AtMostOnce;
    bool streaming = false;
    bool carriesPrompt = false;
    bool isPublic = false; ///< No API key required.
    absl::Duration timeout; ///< Until the end of the answer.
    absl::Duration objective; ///< Latency objective for the first byte.
    absl::Duration targetEventGap; ///< Expected longest time between events of a stream.
    int priority = 0; ///< 0 is the most urgent.
    std::uint32_t maxEndpoints = 1; ///< Limit of endpoints that may execute one request.
    std::vector<WeightedService> services;
    std::vector<std::string> allowedRegions; ///< Of the endpoints; empty: all.
};

enum class QuotaUnit : std::uint8_t { Requests, Tokens };

/// Whether requests need a key of an organisation. Public routes never ask for one.
enum class KeyPolicy : std::uint8_t {
    Required, ///< Also while no organisation, or no key, is left.
    NotRequired, ///< The operators do not manage organisations.
};

/// Lower-case name for logs.
const char *nameOf(KeyPolicy policy);

struct Organisation
{
    base::OrganisationId id;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< Overrides the priority of the route.
    QuotaUnit unit = QuotaUnit::Requests;
    std::uint32_t defaultRequestTokens = 1; ///< Charged when a request has no token count.
    double ratePerSecond = 0; ///< In `unit`; 0 disables the limit.
    double burst = 0;
    std::vector<std::string> allowedRegions; ///< Of the endpoints; empty: all.
};

/// Properties shared by all engines of a service.
struct EngineTraits
{
    std::uint32_t slots = 1;
    std::uint64_t kvTokens = 0; ///< KV cache capacity in tokens.
    double copyTokensPerMs = 0; ///< KV cache transfer rate between engines; 0 if unknown.
    absl::Duration handleLifetime; ///< How long a prefill engine keeps a prompt for transfer.
    absl::Duration stageChangeTime;
};

/// Bounds and prices for scaling a service.
struct ScalingTraits
{
    std::uint32_t minPerDataCentre = 0;
    std::uint32_t maxPerDataCentre = 0;
    absl::Duration startTime;
    absl::flat_hash_map<std::string, double> pricePerSecond; ///< By data centre.
};

struct Service
{
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< To one endpoint, over all instances.
    serving::ColdTraits cold;
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

/// One version of the operators' configuration. Immutable.
class Configuration
{
public:
    struct Parts
    {
        std::uint64_t version = 0;
        std::vector<Route> routes;
        std::vector<Service> services;
        KeyPolicy keyPolicy = KeyPolicy::Required;
        std::vector<Organisation> organisations;
        CallerLimits limits;
    };
    explicit Configuration(Parts parts);

    std::uint64_t version() const { return parts_.version; }
    const Parts &parts() const { return parts_; }

    /// Longest-prefix match of `path` on `host`; null if no route matches.
    const Route *findRoute(absl::string_view host, absl::string_view path) const;
    /// Null if no organisation has the key; no organisation has an empty one.
    const Organisation *findByKey(absl::string_view key) const;
    const Service *findService(absl::string_view name) const;

private:
    Parts parts_;
    absl::flat_hash_map<std::string, std::vector<const Route *>> routesOf_; ///< By host.
    absl::flat_hash_map<std::string, const Organisation *> organisationOf_; ///< By key.
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

} // namespace zinniadoor::gateway
