#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/base/outcome.hpp"

namespace zinniadoor::control {

/// An API key as stored: a salted BLAKE2b digest (hex) of the secret, never the secret itself.
/// Callers present a key as "zd_<key id>_<secret>".
struct KeyRecord
{
    base::KeyId id;
    std::string salt;
    std::string digest;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, salt, digest);
    }
};

struct Organisation
{
    base::OrganisationId id;
    double ratePerSecond = 0; ///< Requests per second, summed over all instances.
    double burst = 0; ///< Burst size in requests, summed over all instances.
    double weight = 1; ///< Relative share of engine tokens under contention.
    std::vector<KeyRecord> keys;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, ratePerSecond, burst, weight, keys);
    }
};

enum class EndpointKind : std::uint8_t { Engine, Service };
enum class Role : std::uint8_t { Mixed, Prefill, Decode };

const char *nameOf(EndpointKind kind);
const char *nameOf(Role role);
base::Outcome<EndpointKind> endpointKindFrom(const std::string &name);
base::Outcome<Role> roleFrom(const std::string &name);

struct Endpoint
{
    base::EndpointId id;
    EndpointKind kind = EndpointKind::Engine;
    base::DataCentreId dataCentre;
    std::string address; ///< IP:port
    Role role = Role::Mixed;
    bool reclaimable = false; ///< The platform may reclaim it at a few seconds' notice.
    bool checksFencing = false; ///< Rejects orders with an outdated fencing number.
    double pricePerHour = 0;
    std::uint32_t slots = 16; ///< Maximum number of concurrent streams.
    std::vector<base::ModelId> models;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, kind, dataCentre, address, role, reclaimable, checksFencing, pricePerHour,
                slots, models);
    }
};

struct Model
{
    base::ModelId id;
    std::string version;
    double prefillTokensPerSecond = 8000; ///< Per engine, for the whole batch.
    double decodeTokensPerSecond = 800; ///< Per engine, for the whole batch.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, version, prefillTokensPerSecond, decodeTokensPerSecond);
    }
};

/// Sends the requests under a path prefix to plain services.
struct Route
{
    base::RouteId id;
    std::string prefix; ///< Starts with '/'; the longest matching prefix wins.
    std::vector<base::EndpointId> endpoints;
    bool idempotent = true; ///< If false, requests run at most once and need an Idempotency-Key.
    bool open = false; ///< If true, no API key is required.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, prefix, endpoints, idempotent, open);
    }
};

/// Service-level objective: the fraction of a route's requests that must receive their first byte
/// within the time limit.
struct Objective
{
    std::string route; ///< "chat", "completions" or a route id.
    std::uint32_t firstByteMilliseconds = 1100;
    double target = 0.95; ///< Fraction, 0 to 1.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(route, firstByteMilliseconds, target);
    }
};

/// An operator who may sign bundles and key withdrawals.
struct Operator
{
    std::string id;
    std::string publicKey; ///< Ed25519, hex.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, publicKey);
    }
};

/// One version of the configuration. Signatures cover its YAML text.
struct Bundle
{
    std::uint64_t version = 0;
    std::string predecessor; ///< Digest (hex) of the preceding version; empty for the first.
    std::uint32_t requiredSignatures = 1;
    std::uint32_t usageWindowSeconds = 60;
    std::uint32_t shareSlots = 8; ///< Number of parts each organisation's rate is split into.
    std::uint32_t actionRetentionSeconds = 86400; ///< Retention period of idempotency keys.
    std::vector<Operator> operators;
    std::vector<Organisation> organisations;
    std::vector<Model> models;
    std::vector<Endpoint> endpoints;
    std::vector<Route> routes;
    std::vector<Objective> objectives;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(version, predecessor, requiredSignatures, usageWindowSeconds, shareSlots,
                actionRetentionSeconds, operators, organisations, models, endpoints, routes,
                objectives);
    }
};

/// Parses and validates a bundle's YAML. On failure the reason lists every fault with its line and
/// key.
base::Outcome<Bundle> parseBundle(const std::string &yaml, const std::string &file);

/// Returns the BLAKE2b digest (hex) of a bundle's YAML text.
std::string bundleDigest(const std::string &yaml);

/// Returns the digest (hex) stored in place of a key's secret.
std::string keyDigest(const std::string &salt, const std::string &secret);

/// An API key as presented by a caller, "zd_<key id>_<secret>".
struct CallerKey
{
    base::KeyId id;
    std::string secret;
};

base::Outcome<CallerKey> parseCallerKey(const std::string &text);

struct Signature
{
    std::string operatorId;
    std::string bytes; ///< Ed25519 signature, hex.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(operatorId, bytes);
    }
};

struct KeyPair
{
    std::string publicKey; ///< Hex.
    std::string secretKey; ///< Hex.
};

KeyPair generateKeyPair();
base::Outcome<Signature> signText(const std::string &text, const std::string &operatorId,
                                  const std::string &secretKey);

/// Returns the number of distinct operators with a valid signature of `text`. Operators are
/// distinguished by public key.
std::size_t countValidSignatures(const std::string &text, const std::vector<Signature> &signatures,
                                 const std::vector<Operator> &operators);

} // namespace zinniadoor::control
