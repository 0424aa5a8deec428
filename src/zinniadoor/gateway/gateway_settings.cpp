#include "zinniadoor/gateway/gateway_settings.hpp"

#include <fstream>
#include <sstream>

#include "absl/strings/str_cat.h"

#include "zinniadoor/base/yaml_reader.hpp"
#include "zinniadoor/net/address.hpp"

namespace zinniadoor::gateway {

namespace {

using base::YamlReader;

/// Range of `memory.limit`.
constexpr std::int64_t MinMemoryMb = 16;
constexpr std::int64_t MaxMemoryMb = 1048576;
constexpr std::int64_t BytesPerMb = 1000000;

// The filled template quotes its texts, so a field that is missing leaves an empty one.
std::string readText(YamlReader &reader, const char *key)
{
    std::string text = reader.string(key);
    if (reader.has(key) && text.empty())
        reader.fault(key, "is empty");
    return text;
}

std::string readAddress(YamlReader &reader, const char *key)
{
    std::string text = readText(reader, key);
    const auto address = net::parseEndpoint(text);
    if (!text.empty() && !address)
        reader.fault(key, address.lastReason().text);
    return text;
}

void readSpill(YamlReader reader, serving::SpillOptions &spill)
{
    const std::string enabled = reader.stringOr("enabled", "false");
    if (enabled != "true" && enabled != "false")
        reader.fault("enabled", "is not true or false");
    spill.isEnabled = enabled == "true";
    spill.minGain = reader.durationOr("min_gain", absl::Milliseconds(1), absl::Minutes(1),
                                      serving::SpillOptions {}.minGain);
    spill.pricePerMegabyte
        = reader.durationOr("per_megabyte", absl::ZeroDuration(), absl::Minutes(1),
                            serving::SpillOptions {}.pricePerMegabyte);
    spill.maxShare = reader.numberOr("most_share", 0, 1, serving::SpillOptions {}.maxShare);
}

void readLog(YamlReader reader, GatewaySettings &settings)
{
    const std::string level = reader.stringOr("level", "info");
    const auto found = base::eventLevelNamed(level);
    if (!found)
        reader.fault("level", "is not debug, info, warning or error");
    settings.log.level = found.value_or(base::EventLevel::Info);
    settings.log.format = base::LogFormat::Json;
    settings.log.sink = base::LogSink::StandardOutput;
    settings.log.instance = settings.instance.str();
}

} // namespace

base::Outcome<GatewaySettings> parseGatewaySettings(const std::string &yaml,
                                                    const std::string &file)
{
    base::YamlFaults faults(file);
    GatewaySettings settings;
    if (std::optional<YamlReader> root = base::parseYaml(yaml, faults)) {
        YamlReader instance = root->mapping("instance");
        settings.instance = base::InstanceId(readText(instance, "id"));
        settings.dataCentre = base::DataCentreId(readText(instance, "data_centre"));
        YamlReader listen = root->mapping("listen");
        settings.callers = readAddress(listen, "callers");
        settings.readiness = readAddress(listen, "readiness");
        settings.peers = readAddress(listen, "peers");
        settings.metrics = readAddress(listen, "metrics");
        YamlReader store = root->mapping("store");
        settings.store = readAddress(store, "address");
        settings.configurationNotice = store.durationOr(
            "configuration_notice", absl::Milliseconds(100), absl::Minutes(1), absl::Seconds(2));
        settings.leavingNotice = store.durationOr("leaving_notice", absl::Milliseconds(100),
                                                  absl::Minutes(1), absl::Seconds(2));
        YamlReader duties = root->mapping("duties");
        settings.duties = readAddress(duties, "address");
        settings.lease = duties.durationOr("lease", absl::Milliseconds(200), absl::Minutes(10),
                                           absl::Seconds(3));
        settings.usageWindow = duties.duration("usage_window", absl::Seconds(1), absl::Hours(24));
        settings.usageDue = duties.duration("usage_due", absl::Seconds(1), absl::Hours(24));
        YamlReader stop = root->mapping("stop", false);
        settings.stopTime
            = stop.durationOr("time", absl::Seconds(1), absl::Hours(1), absl::Seconds(8));
        YamlReader retries = root->mapping("retries", false);
        settings.retryRatio = retries.numberOr("ratio", 0, 10, 0.1);
        settings.retrySlack = retries.numberOr("slack", 0, 1e9, 0);
        settings.retryWindow
            = retries.durationOr("window", absl::Seconds(1), absl::Hours(1), absl::Seconds(10));
        YamlReader failureReports = root->mapping("failure_reports", false);
        settings.failureReports = failureReports.booleanOr("enabled", settings.failureReports);
        YamlReader quota = root->mapping("quota", false);
        settings.quotaSlack = quota.numberOr("slack_tokens", 0, 1e12, 0);
        YamlReader memory = root->mapping("memory", false);
        settings.memoryBytes = static_cast<std::size_t>(
            memory.integerOr("limit", MinMemoryMb, MaxMemoryMb, 0) * BytesPerMb);
        YamlReader cold = root->mapping("cold", false);
        settings.cold.overage = cold.numberOr("overage", 0, 1000, settings.cold.overage);
        settings.cold.slack = cold.numberOr("slack", 0, 1e6, settings.cold.slack);
        YamlReader regions = root->mapping("regions", false);
        for (const std::string &dataCentre : regions.keys())
            settings.regions[base::DataCentreId(dataCentre)]
                = regions.stringOr(dataCentre.c_str(), "");
        YamlReader fleet = root->mapping("fleet", false);
        const serving::FleetPolicy usual;
        settings.fleet.regularShare = fleet.numberOr("regular_share", 0, 1, usual.regularShare);
        settings.fleet.reclaimableShare
            = fleet.numberOr("reclaimable_share", 0, 1, usual.reclaimableShare);
        settings.fleet.replacementShare
            = fleet.numberOr("stand_in_share", 0, 1, usual.replacementShare);
        YamlReader stages = root->mapping("stages", false);
        const serving::StagePolicy usualStages;
        settings.stages.minDecodeShare
            = stages.numberOr("least_writers", 0, 1, usualStages.minDecodeShare);
        settings.stages.minDecodeShareIfCold
            = stages.numberOr("least_writers", 0, 1, usualStages.minDecodeShareIfCold);
        settings.stages.maxDecodeShare
            = stages.numberOr("most_writers", 0, 1, usualStages.maxDecodeShare);
        settings.stages.decodeSlotsPerEngine
            = stages.numberOr("slots_per_engine", 0, 100000, usualStages.decodeSlotsPerEngine);
        settings.stages.minDecodeEnginesPerDataCentre = static_cast<std::uint32_t>(stages.integerOr(
            "writers_per_data_centre", 1, 10000, usualStages.minDecodeEnginesPerDataCentre));
        readSpill(root->mapping("spill", false), settings.spill);
        readLog(root->mapping("log", false), settings);
    }
    if (!faults.empty())
        return base::Reason { base::ReasonCode::InvalidArgument, faults.text() };
    return settings;
}

base::Outcome<GatewaySettings> loadGatewaySettings(const std::string &file)
{
    std::ifstream in(file);
    if (!in)
        return base::Reason { base::ReasonCode::NotFound, absl::StrCat(file, ": cannot be read") };
    std::ostringstream text;
    text << in.rdbuf();
    return parseGatewaySettings(text.str(), file);
}

} // namespace zinniadoor::gateway
