#include "cluster.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <sodium.h>

#include "absl/strings/str_cat.h"

#include "zinniadoor/control/configuration_chain.hpp"

namespace zinniadoor::e2e {

namespace {

using Json = nlohmann::json;

/// A port that is free for both TCP and UDP. The kernel does not reuse it for a while.
std::uint16_t freePort()
{
    for (;;) {
        const int tcp = socket(AF_INET, SOCK_STREAM, 0);
        const int udp = socket(AF_INET, SOCK_DGRAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        auto *generic = reinterpret_cast<sockaddr *>(&address);
        bool isFree = bind(tcp, generic, size) == 0 && getsockname(tcp, generic, &size) == 0;
        isFree = isFree && bind(udp, generic, size) == 0;
        close(tcp);
        close(udp);
        if (isFree)
            return ntohs(address.sin_port);
    }
}

std::string organisationLine(TestOrganisation &organisation)
{
    const std::string salt = "00112233445566778899aabbccddeeff";
    organisation.keyId = absl::StrCat("key", organisation.id);
    const std::string secret = absl::StrCat("secret", organisation.id);
    organisation.key = absl::StrCat("zd_", organisation.keyId, "_", secret);
    return absl::StrCat("  - {id: ", organisation.id,
                        ", rate_per_second: ", organisation.ratePerSecond,
                        ", burst: ", organisation.burst, ", keys: [{id: ", organisation.keyId,
                        ", salt: ", salt, ", digest: ", control::keyDigest(salt, secret), "}]}\n");
}

} // namespace

Cluster::Cluster(const Options &options)
    : options_(options)
    , fleet_(options.fleet)
    , operatorKey_(control::generateKeyPair())
    , organisations_(options.organisations)
{
    for (TestOrganisation &organisation : organisations_)
        organisationLines_ += organisationLine(organisation);
    publish();
    for (std::size_t i = 0; i < options_.daemons; ++i)
        peerPorts_.push_back(freePort());
    for (std::size_t i = 0; i < options_.daemons; ++i)
        daemons_.push_back(fleet_.startDaemon(settingsOf(i)));
}

std::string Cluster::settingsOf(std::size_t index) const
{
    std::string yaml = absl::StrCat(
        "instance: {id: entry-", index, ", data_centre: dc-", index % 3,
        "}\nlisten: {callers: \"127.0.0.1:0\", peers: \"127.0.0.1:", peerPorts_[index],
        "\", admin: \"127.0.0.1:0\"}\n", "platform: {url: \"",
        const_cast<Fleet &>(fleet_).platform().url(), "\"}\npeers:\n");
    for (std::size_t i = 0; i < peerPorts_.size(); ++i)
        absl::StrAppend(&yaml, "  - {id: entry-", i, ", data_centre: dc-", i % 3,
                        ", address: \"127.0.0.1:", peerPorts_[i], "\"}\n");
    return yaml + options_.extraSettings;
}

void Cluster::restartDaemon(std::size_t index)
{
    daemons_[index].process.reset();
    daemons_[index] = fleet_.startDaemon(settingsOf(index));
}

std::string Cluster::bundleText() const
{
    std::string text = absl::StrCat(
        "version: ", version_, "\npredecessor: \"", lastDigest_,
        "\"\nsignatures_needed: 1\nusage_window: ", options_.usageWindowSeconds,
        "s\noperators:\n  - {id: ", OperatorId, ", public_key: ", operatorKey_.publicKey,
        "}\norganisations:\n", organisationLines_,
        "models:\n  - {id: parrot, version: \"1\"}\nendpoints:\n");
    auto &fleet = const_cast<Fleet &>(fleet_);
    for (std::size_t i = 0; i < fleet.engineCount(); ++i)
        absl::StrAppend(&text, "  - {id: engine-", i, ", kind: engine, data_centre: dc-", i % 3,
                        ", address: \"", fleet.engine(i).address(), "\", models: [parrot]",
                        options_.endpointOptions, "}\n");
    for (std::size_t i = 0; i < fleet.serviceCount(); ++i)
        absl::StrAppend(&text, "  - {id: service-", i, ", kind: service, data_centre: dc-", i % 3,
                        ", address: \"", fleet.service(i).address(), "\"}\n");
    return text + options_.extraBundle;
}

std::uint64_t Cluster::publish(const std::function<std::string(std::string)> &edit)
{
    ++version_;
    lastText_ = edit ? edit(bundleText()) : bundleText();
    lastDigest_ = control::bundleDigest(lastText_);
    control::BundlePublished record;
    record.yaml = lastText_;
    record.signatures.push_back(*control::signText(lastText_, OperatorId, operatorKey_.secretKey));
    append(record);
    return version_;
}

void Cluster::republishStale()
{
    const std::string stale = lastText_ + "# from another operator\n";
    control::BundlePublished record;
    record.yaml = stale;
    record.signatures.push_back(*control::signText(stale, OperatorId, operatorKey_.secretKey));
    append(record);
}

void Cluster::withdrawKey(std::size_t organisation)
{
    control::KeyWithdrawn record;
    record.key = base::KeyId(organisations_.at(organisation).keyId);
    record.text = control::withdrawalText(record.key, lastDigest_);
    record.signatures.push_back(
        *control::signText(record.text, OperatorId, operatorKey_.secretKey));
    append(record);
}

bool Cluster::append(const control::Record &record)
{
    control::Frame frame;
    frame.writer = base::InstanceId(absl::StrCat("tool/", ++lastFrame_));
    frame.incarnation = 1;
    frame.sequence = 1;
    frame.records.push_back(record);
    const HttpResponse response
        = post(fleet_.platform().url("/log/records"), control::encodeFrame(frame));
    return response.status == 200;
}

bool Cluster::waitForStatus(std::size_t daemon, const std::string &key, const std::string &value)
{
    return waitUntil([&] {
        const HttpResponse response = get(daemons_.at(daemon).adminUrl("/status"));
        const Json status = Json::parse(response.body, nullptr, false);
        return status.is_object() && status.contains(key) && status[key].dump() == value;
    });
}

bool Cluster::waitUntilReady()
{
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        if (!waitForStatus(i, "bundle_version", absl::StrCat(version_)))
            return false;
        if (!waitForStatus(i, "ready", "true"))
            return false;
    }
    return true;
}

HttpRequest Cluster::chat(std::size_t daemon, std::size_t organisation, const std::string &prompt,
                          int maxTokens, bool stream) const
{
    const Json body = { { "model", "parrot" },
                        { "stream", stream },
                        { "max_tokens", maxTokens },
                        { "messages", { { { "role", "user" }, { "content", prompt } } } } };
    HttpRequest request;
    request.method = "POST";
    request.url = daemons_.at(daemon).callersUrl("/v1/chat/completions");
    request.headers
        = { absl::StrCat("Authorization: Bearer ", organisations_.at(organisation).key) };
    request.body = body.dump();
    return request;
}

std::string Cluster::textOf(const HttpResponse &response)
{
    const Json json = Json::parse(response.body, nullptr, false);
    if (json.is_object() && !json.contains("choices"))
        return response.body; // An error body, which equals no expected text.
    if (json.is_object())
        return json["choices"][0]["message"]["content"].get<std::string>();
    std::string text;
    for (const std::string &data : sseData(response.body)) {
        const Json event = Json::parse(data, nullptr, false);
        if (!event.is_object() || !event.contains("choices"))
            continue;
        const Json &delta = event["choices"][0]["delta"];
        if (delta.contains("content"))
            text += delta["content"].get<std::string>();
    }
    return text;
}

} // namespace zinniadoor::e2e
