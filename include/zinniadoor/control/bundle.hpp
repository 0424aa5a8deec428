#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/base/outcome.hpp"

namespace zinniadoor::control {

/// A caller's key as stored: never the secret, only a salted BLAKE2b digest of it (hex).
/// A caller's key reads "zd_<key id>_<secret>".
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
    double ratePerSecond = 0; ///< Requests a second over all instances together.
    double burst = 0; ///< Requests at once over all instances together.
    double weight = 1; ///< Share of engine tokens under contention, relative to the others.
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
    bool reclaimable = false; ///< The platform may take it back on a few seconds' notice.
    bool checksFencing = false; ///< Refuses an order with an old fencing number.
    double pricePerHour = 0;
    std::uint32_t slots = 16; ///< Streams run at once.
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
    double prefillTokensPerSecond = 8000; ///< Of one engine, the whole batch together.
    double decodeTokensPerSecond = 800; ///< Of one engine, the whole batch together.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, version, prefillTokensPerSecond, decodeTokensPerSecond);
    }
};

/// Requests under a path prefix that go to plain services.
struct Route
{
    base::RouteId id;
    std::string prefix; ///< Begins with '/'; the longest matching prefix counts.
    std::vector<base::EndpointId> endpoints;
    bool idempotent = true; ///< False: runs at most once, an Idempotency-Key is required.
    bool open = false; ///< True: no key needed.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, prefix, endpoints, idempotent, open);
    }
};

/// Service-level objective: `target` of the requests of a route get their first byte in time.
struct Objective
{
    std::string route; ///< "chat", "completions" or a route id.
    std::uint32_t firstByteMilliseconds = 1100;
    double target = 0.95; ///< 0 to 1.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(route, firstByteMilliseconds, target);
    }
};

/// An operator whose signature counts.
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

/// One version of the configuration. The YAML text is what is signed.
struct Bundle
{
    std::uint64_t version = 0;
    std::string predecessor; ///< Digest of the version before it (hex); empty for the first.
    std::uint32_t requiredSignatures = 1;
    std::uint32_t usageWindowSeconds = 60;
    std::uint32_t shareSlots = 8; ///< Parts into which each organisation's rate is split.
    std::uint32_t actionRetentionSeconds = 86400; ///< How long idempotency keys are remembered.
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

/// Reads and checks a bundle's YAML; a failed outcome names every fault with line and key.
base::Outcome<Bundle> parseBundle(const std::string &yaml, const std::string &file);

/// BLAKE2b digest (hex) of a bundle's YAML text.
std::string bundleDigest(const std::string &yaml);

/// Digest under which a secret is stored (hex).
std::string keyDigest(const std::string &salt, const std::string &secret);

/// The parts of a caller's key "zd_<key id>_<secret>".
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

/// How many distinct operators of `operators` signed `text`.
std::size_t countValidSignatures(const std::string &text, const std::vector<Signature> &signatures,
                                 const std::vector<Operator> &operators);

} // namespace zinniadoor::control
