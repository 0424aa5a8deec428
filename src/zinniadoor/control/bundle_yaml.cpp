#include <set>

#include <sodium.h>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

#include "zinniadoor/base/yaml_reader.hpp"
#include "zinniadoor/control/bundle.hpp"

#include "digests.hpp"

namespace zinniadoor::control {

namespace {

constexpr double MaxRatePerSecond = 1e6;
constexpr double MaxBurst = 1e6;
constexpr double MinWeight = 0.001;
constexpr double MaxWeight = 1000;
constexpr double MaxTokensPerSecond = 1e9;
constexpr double MaxPricePerHour = 1e6;
constexpr std::int64_t MaxSlots = 65536;
constexpr std::int64_t MaxShareSlots = 1024;
constexpr std::int64_t MaxFirstByteMilliseconds = 3'600'000;
constexpr std::int64_t MaxPort = 65535;
constexpr std::size_t MaxIdBytes = 128;
constexpr std::size_t MaxBundleBytes = 64'000'000;
const std::string EnginePrefix = "/v1";

/// The ids of one list, to detect duplicates and to resolve references.
class IdSet
{
public:
    bool contains(const std::string &id) const { return ids_.count(id) != 0; }

    /// Reads key "id" of `item`; reports a malformed or duplicate id as a fault.
    std::string read(base::YamlReader &item)
    {
        std::string id = item.string("id");
        if (!isWellFormed(id))
            item.fault("id", "is not 1 to 128 letters, digits, '.', '-' or '/'");
        else if (!ids_.insert(id).second)
            item.fault("id", absl::StrCat("'", id, "' stands twice"));
        return id;
    }

private:
    static bool isWellFormed(const std::string &id)
    {
        if (id.empty() || id.size() > MaxIdBytes)
            return false;
        for (const char c : id) {
            if (!absl::ascii_isalnum(static_cast<unsigned char>(c)) && c != '.' && c != '-'
                && c != '/')
                return false;
        }
        return true;
    }

    std::set<std::string> ids_;
};

bool isAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return false;
    const std::string port = text.substr(colon + 1);
    if (port.empty() || port.size() > 5)
        return false;
    std::int64_t value = 0;
    for (const char c : port) {
        if (!absl::ascii_isdigit(static_cast<unsigned char>(c)))
            return false;
        value = value * 10 + (c - '0');
    }
    return value >= 1 && value <= MaxPort;
}

std::uint32_t wholeSeconds(absl::Duration duration)
{
    return static_cast<std::uint32_t>(absl::ToInt64Seconds(duration));
}

/// Reads the lists of a bundle in order, since later ones refer to earlier ones.
class BundleReader
{
public:
    explicit BundleReader(base::YamlReader &root)
        : root_(root)
    { }

    Bundle read()
    {
        readHeader();
        readOperators();
        readOrganisations();
        readModels();
        readEndpoints();
        readRoutes();
        readObjectives();
        root_.finish();
        return std::move(bundle_);
    }

private:
    void readHeader()
    {
        bundle_.version
            = static_cast<std::uint64_t>(root_.integer("version", 1, std::int64_t(1) << 53));
        bundle_.predecessor = root_.stringOr("predecessor", "");
        if (!bundle_.predecessor.empty()
            && !detail::fromHex(bundle_.predecessor, crypto_generichash_BYTES))
            root_.fault("predecessor", "is not a digest of 64 hex digits");
        if (bundle_.predecessor.empty() != (bundle_.version == 1))
            root_.fault("predecessor", "must be absent in version 1 and there in all others");
        bundle_.requiredSignatures
            = static_cast<std::uint32_t>(root_.integerOr("signatures_needed", 1, 100, 1));
        bundle_.usageWindowSeconds = wholeSeconds(
            root_.durationOr("usage_window", absl::Seconds(1), absl::Hours(24), absl::Minutes(1)));
        bundle_.shareSlots
            = static_cast<std::uint32_t>(root_.integerOr("share_slots", 1, MaxShareSlots, 8));
        bundle_.actionRetentionSeconds = wholeSeconds(root_.durationOr(
            "action_retention", absl::Seconds(1), absl::Hours(24 * 90), absl::Hours(24)));
    }

    void readOperators()
    {
        IdSet ids;
        std::set<std::string> publicKeys;
        for (base::YamlReader &item : root_.mappings("operators")) {
            Operator entry;
            entry.id = ids.read(item);
            entry.publicKey = absl::AsciiStrToLower(item.string("public_key"));
            if (!detail::fromHex(entry.publicKey, crypto_sign_PUBLICKEYBYTES))
                item.fault("public_key", "is not an Ed25519 key of 64 hex digits");
            else if (!publicKeys.insert(entry.publicKey).second)
                item.fault("public_key", "belongs to two operators");
            item.finish();
            bundle_.operators.push_back(std::move(entry));
        }
        if (bundle_.operators.size() < bundle_.requiredSignatures)
            root_.fault("signatures_needed", "is more than there are operators");
    }

    void readOrganisations()
    {
        IdSet ids;
        IdSet keyIds;
        for (base::YamlReader &item : root_.mappings("organisations")) {
            Organisation entry;
            entry.id = base::OrganisationId(ids.read(item));
            entry.ratePerSecond = item.number("rate_per_second", 0, MaxRatePerSecond);
            entry.burst = item.number("burst", 0, MaxBurst);
            entry.weight = item.numberOr("weight", MinWeight, MaxWeight, 1);
            for (base::YamlReader &key : item.mappings("keys"))
                entry.keys.push_back(readKey(key, keyIds));
            item.finish();
            bundle_.organisations.push_back(std::move(entry));
        }
    }

    static KeyRecord readKey(base::YamlReader &item, IdSet &ids)
    {
        KeyRecord key;
        key.id = base::KeyId(ids.read(item));
        key.salt = item.string("salt");
        key.digest = absl::AsciiStrToLower(item.string("digest"));
        if (key.salt.empty())
            item.fault("salt", "is empty");
        if (!detail::fromHex(key.digest, crypto_generichash_BYTES))
            item.fault("digest", "is not a digest of 64 hex digits");
        item.finish();
        return key;
    }

    void readModels()
    {
        for (base::YamlReader &item : root_.mappings("models")) {
            Model entry;
            entry.id = base::ModelId(modelIds_.read(item));
            entry.version = item.stringOr("version", "");
            entry.prefillTokensPerSecond = item.numberOr(
                "prefill_tokens_per_second", 1, MaxTokensPerSecond, entry.prefillTokensPerSecond);
            entry.decodeTokensPerSecond = item.numberOr(
                "decode_tokens_per_second", 1, MaxTokensPerSecond, entry.decodeTokensPerSecond);
            item.finish();
            bundle_.models.push_back(std::move(entry));
        }
    }

    void readEndpoints()
    {
        std::set<std::string> addresses;
        for (base::YamlReader &item : root_.mappings("endpoints")) {
            Endpoint entry = readEndpoint(item);
            if (!isAddress(entry.address))
                item.fault("address", "is not IP:port");
            else if (!addresses.insert(entry.address).second)
                item.fault("address", "belongs to two endpoints");
            for (const base::ModelId &model : entry.models) {
                if (!modelIds_.contains(model.str()))
                    item.fault("models", absl::StrCat("names no known model '", model.str(), "'"));
            }
            item.finish();
            if (entry.kind == EndpointKind::Service)
                serviceIds_.insert(entry.id.str());
            bundle_.endpoints.push_back(std::move(entry));
        }
    }

    Endpoint readEndpoint(base::YamlReader &item)
    {
        Endpoint entry;
        entry.id = base::EndpointId(endpointIds_.read(item));
        if (const auto kind = endpointKindFrom(item.string("kind")))
            entry.kind = *kind;
        else
            item.fault("kind", kind.lastReason().text);
        entry.dataCentre = base::DataCentreId(item.string("data_centre"));
        entry.address = item.string("address");
        if (const auto role = roleFrom(item.stringOr("role", nameOf(Role::Mixed))))
            entry.role = *role;
        else
            item.fault("role", role.lastReason().text);
        entry.reclaimable = item.booleanOr("reclaimable", false);
        entry.checksFencing = item.booleanOr("checks_fencing", false);
        entry.pricePerHour = item.numberOr("price_per_hour", 0, MaxPricePerHour, 0);
        entry.slots = static_cast<std::uint32_t>(item.integerOr("slots", 1, MaxSlots, entry.slots));
        for (std::string &model : item.stringsOr("models"))
            entry.models.emplace_back(std::move(model));
        return entry;
    }

    void readRoutes()
    {
        std::set<std::string> prefixes;
        for (base::YamlReader &item : root_.mappings("routes")) {
            Route entry;
            entry.id = base::RouteId(routeIds_.read(item));
            entry.prefix = item.string("prefix");
            checkPrefix(item, entry.prefix, prefixes);
            for (std::string &endpoint : item.strings("endpoints"))
                entry.endpoints.emplace_back(std::move(endpoint));
            checkRouteEndpoints(item, entry);
            entry.idempotent = item.booleanOr("idempotent", true);
            entry.open = item.booleanOr("open", false);
            // An idempotency key belongs to an organisation, and an open route has no organisation.
            if (entry.open && !entry.idempotent)
                item.fault("open", "cannot go with idempotent: false");
            item.finish();
            bundle_.routes.push_back(std::move(entry));
        }
    }

    static void checkPrefix(base::YamlReader &item, const std::string &prefix,
                            std::set<std::string> &prefixes)
    {
        if (prefix.empty() || prefix.front() != '/')
            item.fault("prefix", "does not begin with '/'");
        else if (prefix == EnginePrefix || prefix.rfind(EnginePrefix + "/", 0) == 0)
            item.fault("prefix", "lies under /v1, which belongs to the engines");
        else if (!prefixes.insert(prefix).second)
            item.fault("prefix", "belongs to two routes");
    }

    void checkRouteEndpoints(base::YamlReader &item, const Route &route) const
    {
        if (route.endpoints.empty())
            item.fault("endpoints", "is empty");
        for (const base::EndpointId &endpoint : route.endpoints) {
            if (!endpointIds_.contains(endpoint.str()))
                item.fault("endpoints",
                           absl::StrCat("names no known endpoint '", endpoint.str(), "'"));
            else if (serviceIds_.count(endpoint.str()) == 0)
                item.fault("endpoints", absl::StrCat("'", endpoint.str(), "' is not a service"));
        }
    }

    void readObjectives()
    {
        std::set<std::string> routes;
        for (base::YamlReader &item : root_.mappings("objectives")) {
            Objective entry;
            entry.route = item.string("route");
            const bool exists = entry.route == "chat" || entry.route == "completions"
                || routeIds_.contains(entry.route);
            if (!exists)
                item.fault("route", "is neither chat, completions nor a route's id");
            else if (!routes.insert(entry.route).second)
                item.fault("route", "has two objectives");
            entry.firstByteMilliseconds = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(
                item.durationOr("first_byte", absl::Milliseconds(1),
                                absl::Milliseconds(MaxFirstByteMilliseconds),
                                absl::Milliseconds(entry.firstByteMilliseconds))));
            entry.target = item.numberOr("target", 0, 1, entry.target);
            item.finish();
            bundle_.objectives.push_back(std::move(entry));
        }
    }

    base::YamlReader &root_;
    Bundle bundle_;
    IdSet modelIds_;
    IdSet endpointIds_;
    IdSet routeIds_;
    std::set<std::string> serviceIds_;
};

} // namespace

base::Outcome<Bundle> parseBundle(const std::string &yaml, const std::string &file)
{
    if (yaml.size() > MaxBundleBytes)
        return base::Reason { base::ReasonCode::InvalidArgument, "the bundle is too large" };
    base::YamlFaults faults(file);
    std::optional<base::YamlReader> root = base::parseYaml(yaml, faults);
    if (!root)
        return base::Reason { base::ReasonCode::InvalidArgument, faults.text() };
    Bundle bundle = BundleReader(*root).read();
    if (!faults.empty())
        return base::Reason { base::ReasonCode::InvalidArgument, faults.text() };
    return bundle;
}

} // namespace zinniadoor::control
