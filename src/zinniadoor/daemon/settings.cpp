#include "zinniadoor/daemon/settings.hpp"

#include <arpa/inet.h>

#include <fstream>
#include <sstream>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include "zinniadoor/base/yaml_reader.hpp"

namespace zinniadoor::daemon {

namespace {

using base::YamlReader;

constexpr std::int64_t KiB = 1024;
constexpr std::int64_t MiB = 1024 * KiB;

bool isIpAddress(const std::string &ip)
{
    unsigned char buffer[sizeof(in6_addr)];
    return inet_pton(AF_INET, ip.c_str(), buffer) == 1
        || inet_pton(AF_INET6, ip.c_str(), buffer) == 1;
}

ListenAddress readAddress(YamlReader &reader, const char *key)
{
    const std::string text = reader.string(key);
    if (text.empty())
        return {};
    const base::Outcome<ListenAddress> address = parseAddress(text);
    if (!address) {
        reader.fault(key, address.lastReason().text);
        return {};
    }
    return *address;
}

std::string readName(YamlReader &reader, const char *key)
{
    std::string name = reader.string(key);
    const bool isValid
        = name.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                 "0123456789-_.")
        == std::string::npos;
    if (!isValid)
        reader.fault(key, "may hold only letters, digits, '-', '_' and '.'");
    return name;
}

std::vector<PeerSetting> readPeers(YamlReader &root, const base::InstanceId &self)
{
    std::vector<PeerSetting> peers;
    for (YamlReader &item : root.mappings("peers")) {
        PeerSetting peer;
        peer.id = base::InstanceId(readName(item, "id"));
        peer.dataCentre = base::DataCentreId(readName(item, "data_centre"));
        const ListenAddress address = readAddress(item, "address");
        peer.address = absl::StrCat(address.ip, ":", address.port);
        item.finish();
        if (peer.id != self)
            peers.push_back(peer);
    }
    return peers;
}

PlatformSettings readPlatform(YamlReader reader)
{
    PlatformSettings platform;
    platform.url = reader.string("url");
    if (!platform.url.empty() && !absl::StartsWith(platform.url, "http://"))
        reader.fault("url", "does not begin with http://");
    platform.timeout
        = reader.durationOr("timeout", absl::Milliseconds(50), absl::Minutes(1), absl::Seconds(2));
    reader.finish();
    return platform;
}

LimitSettings readLimits(YamlReader reader)
{
    LimitSettings limits;
    limits.maxBodyBytes = reader.integerOr("max_body_bytes", KiB, 64 * MiB, MiB);
    limits.maxHeaderBytes = reader.integerOr("max_header_bytes", KiB, MiB, 32 * KiB);
    limits.connections = reader.integerOr("connections", 8, 60000, 4000);
    limits.activeRequests = reader.integerOr("active_requests", 1, 60000, 2000);
    limits.pendingBytesPerStream
        = reader.integerOr("pending_bytes_per_stream", KiB, 16 * MiB, 64 * KiB);
    limits.idleTimeout
        = reader.durationOr("idle_timeout", absl::Seconds(1), absl::Hours(1), absl::Minutes(1));
    limits.requestTimeout = reader.durationOr("request_timeout", absl::Seconds(1),
                                              absl::Minutes(10), absl::Seconds(20));
    limits.defaultDeadline = reader.durationOr("default_deadline", absl::Milliseconds(100),
                                               absl::Hours(1), absl::Seconds(30));
    limits.streamSilence = reader.durationOr("stream_silence", absl::Milliseconds(100),
                                             absl::Minutes(10), absl::Milliseconds(2500));
    limits.drainTimeout
        = reader.durationOr("drain_timeout", absl::Seconds(1), absl::Hours(1), absl::Minutes(2));
    reader.finish();
    return limits;
}

ControlSettings readControl(YamlReader reader)
{
    ControlSettings control;
    control.heartbeat = reader.durationOr("heartbeat", absl::Milliseconds(20), absl::Minutes(1),
                                          absl::Seconds(1));
    control.lease
        = reader.durationOr("lease", absl::Milliseconds(200), absl::Minutes(10), absl::Seconds(6));
    control.leaseMargin = reader.durationOr("lease_margin", absl::Milliseconds(10),
                                            absl::Minutes(1), absl::Seconds(1));
    control.peerHeartbeat = reader.durationOr("peer_heartbeat", absl::Milliseconds(20),
                                              absl::Minutes(1), absl::Milliseconds(500));
    control.peerSilence = reader.durationOr("peer_silence", absl::Milliseconds(100),
                                            absl::Minutes(10), absl::Seconds(3));
    control.attestationTime
        = reader.durationOr("vouch", absl::Milliseconds(200), absl::Minutes(10), absl::Seconds(6));
    control.attestationLimit
        = reader.durationOr("vouch_limit", absl::Seconds(1), absl::Hours(72), absl::Hours(6));
    control.isolation
        = reader.durationOr("isolation", absl::Seconds(1), absl::Hours(1), absl::Seconds(8));
    control.appendsPerSecond = reader.integerOr("appends_per_second", 1, 100000, 300);
    control.snapshotEveryRecords = reader.integerOr("snapshot_every_records", 10, 10000000, 5000);
    if (control.leaseMargin * 2 >= control.lease)
        reader.fault("lease_margin", "is not below half of the lease");
    if (control.heartbeat * 2 > control.lease - control.leaseMargin)
        reader.fault("heartbeat", "leaves no room for one lost heartbeat within the lease");
    reader.finish();
    return control;
}

RoleSettings readRoles(YamlReader reader)
{
    RoleSettings roles;
    roles.changeTime = reader.durationOr("change_time", absl::Milliseconds(10), absl::Minutes(10),
                                         absl::Seconds(5));
    roles.dwell
        = reader.durationOr("dwell", absl::Milliseconds(100), absl::Hours(1), absl::Seconds(30));
    roles.horizon
        = reader.durationOr("horizon", absl::Seconds(1), absl::Hours(1), absl::Seconds(30));
    reader.finish();
    return roles;
}

base::LogOptions readLog(YamlReader reader, const base::InstanceId &instance)
{
    base::LogOptions options;
    options.instance = instance.str();
    const std::string level = reader.stringOr("level", "info");
    if (level == "debug")
        options.level = base::EventLevel::Debug;
    else if (level == "warning")
        options.level = base::EventLevel::Warning;
    else if (level == "error")
        options.level = base::EventLevel::Error;
    else if (level != "info")
        reader.fault("level", "is not debug, info, warning or error");
    const std::string format = reader.stringOr("format", "keyvalue");
    if (format == "json")
        options.format = base::LogFormat::Json;
    else if (format != "keyvalue")
        reader.fault("format", "is not keyvalue or json");
    reader.finish();
    return options;
}

} // namespace

base::Outcome<ListenAddress> parseAddress(const std::string &text)
{
    const base::Reason invalid { base::ReasonCode::InvalidArgument, "is not an IP:port" };
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return invalid;
    ListenAddress address;
    address.ip = text.substr(0, colon);
    if (address.ip.size() > 2 && address.ip.front() == '[' && address.ip.back() == ']')
        address.ip = address.ip.substr(1, address.ip.size() - 2);
    if (!isIpAddress(address.ip))
        return invalid;
    if (!absl::SimpleAtoi(text.substr(colon + 1), &address.port))
        return invalid;
    if (address.port < 0 || address.port > 65535)
        return invalid;
    return address;
}

base::Outcome<Settings> parseSettings(const std::string &yaml, const std::string &file)
{
    base::YamlFaults faults(file);
    std::optional<YamlReader> root = base::parseYaml(yaml, faults);
    Settings settings;
    if (root) {
        YamlReader instance = root->mapping("instance");
        settings.instance = base::InstanceId(readName(instance, "id"));
        settings.dataCentre = base::DataCentreId(readName(instance, "data_centre"));
        instance.finish();
        YamlReader listen = root->mapping("listen");
        settings.callers = readAddress(listen, "callers");
        settings.peers = readAddress(listen, "peers");
        settings.admin = readAddress(listen, "admin");
        listen.finish();
        settings.configuredPeers = readPeers(*root, settings.instance);
        settings.platform = readPlatform(root->mapping("platform"));
        settings.limits = readLimits(root->mapping("limits", false));
        settings.control = readControl(root->mapping("control", false));
        settings.roles = readRoles(root->mapping("roles", false));
        settings.log = readLog(root->mapping("log", false), settings.instance);
        root->finish();
    }
    if (!faults.empty())
        return base::Reason { base::ReasonCode::InvalidArgument, faults.text() };
    return settings;
}

base::Outcome<Settings> loadSettings(const std::string &file)
{
    std::ifstream in(file);
    if (!in)
        return base::Reason { base::ReasonCode::NotFound, absl::StrCat(file, ": cannot be read") };
    std::ostringstream text;
    text << in.rdbuf();
    return parseSettings(text.str(), file);
}

} // namespace zinniadoor::daemon
