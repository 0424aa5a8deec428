#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/time/time.h"

#include "zinniadoor/daemon/settings.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::daemon;

std::vector<std::string> splitAt(const std::string &text, char separator)
{
    return absl::StrSplit(text, separator);
}

std::string readFile(const std::string &path)
{
    const std::ifstream in(std::string(ZINNIADOOR_ROOT) + "/" + path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

/// A row of a settings table in docs/CONFIGURATION.md.
struct DocumentedSetting
{
    std::string key;
    std::string type;
    std::string low;
    std::string high;
    std::string defaultValue;
};

std::vector<DocumentedSetting> documentedSettings()
{
    std::vector<DocumentedSetting> rows;
    for (const std::string &line : splitAt(readFile("docs/CONFIGURATION.md"), '\n')) {
        if (!absl::StartsWith(line, "| `"))
            continue;
        std::vector<std::string> cells;
        for (const std::string &cell : splitAt(line, '|'))
            cells.emplace_back(absl::StripAsciiWhitespace(cell));
        const std::vector<std::string> range = absl::StrSplit(cells.at(4), " to ");
        rows.push_back({ cells.at(1).substr(1, cells.at(1).size() - 2), cells.at(2), range.front(),
                         range.back(), cells.at(5) });
    }
    return rows;
}

/// Last components of the keys that a source file reads with a YAML reader.
std::set<std::string> keysReadIn(const std::string &path)
{
    const std::string source = readFile(path);
    const std::regex read(
        R"re((?:string|integer|number|boolean|duration|strings|mappings|mapping|readName|readAddress)(?:Or)?\((?:\w+,\s*)?\s*"(\w+)")re");
    std::set<std::string> keys;
    for (auto match = std::sregex_iterator(source.begin(), source.end(), read);
         match != std::sregex_iterator(); ++match)
        keys.insert((*match)[1]);
    return keys;
}

bool isDocumented(const std::string &key, const std::vector<DocumentedSetting> &rows)
{
    for (const DocumentedSetting &row : rows) {
        for (const std::string &part : splitAt(row.key, '.')) {
            if (part == key || part == key + "[]")
                return true;
        }
    }
    return false;
}

struct PageFixture
{
    const std::string validSettings = "instance: {id: entry-0, data_centre: accra-1}\n"
                                      "listen: {callers: '127.0.0.1:0', peers: '127.0.0.1:0', "
                                      "admin: '127.0.0.1:0'}\n"
                                      "platform: {url: 'http://127.0.0.1:9'}\n";
    const std::vector<DocumentedSetting> rows = documentedSettings();

    /// Whether the parser reports `value` as outside the range of `key`.
    bool isOutside(const std::string &key, const std::string &value) const
    {
        const std::vector<std::string> parts = absl::StrSplit(key, '.');
        const base::Outcome<Settings> settings = parseSettings(
            absl::StrCat(validSettings, parts[0], ": {", parts[1], ": ", value, "}\n"), "s.yaml");
        if (settings)
            return false;
        for (const std::string &fault : splitAt(settings.lastReason().text, '\n')) {
            if (fault.find(absl::StrCat(key, ": ")) != std::string::npos
                && fault.find("outside") != std::string::npos)
                return true;
        }
        return false;
    }

    /// Rows of `limits` and `control`, all of which have a range and a default.
    std::vector<DocumentedSetting> settingsWithRange() const
    {
        std::vector<DocumentedSetting> found;
        for (const DocumentedSetting &row : rows) {
            if (absl::StartsWith(row.key, "limits.") || absl::StartsWith(row.key, "control."))
                found.push_back(row);
        }
        return found;
    }
};

std::string offsetFrom(const DocumentedSetting &row, const std::string &limit, int offset)
{
    if (row.type == "integer")
        return absl::StrCat(std::stoll(limit) + offset);
    absl::Duration duration;
    BOOST_REQUIRE(absl::ParseDuration(limit, &duration));
    return absl::StrCat(absl::ToInt64Milliseconds(duration) + offset, "ms");
}

/// Numeric value of a setting; durations in milliseconds.
double valueOf(const std::string &text)
{
    absl::Duration duration;
    if (absl::ParseDuration(text, &duration) && text.find_first_not_of("0123456789") != text.npos)
        return absl::ToDoubleMilliseconds(duration);
    return std::stod(text);
}

std::map<std::string, double> defaultsOf(const Settings &settings)
{
    const LimitSettings &limits = settings.limits;
    const ControlSettings &control = settings.control;
    const auto ms = [](absl::Duration duration) { return absl::ToDoubleMilliseconds(duration); };
    const auto number = [](auto value) { return static_cast<double>(value); };
    return {
        { "limits.max_body_bytes", number(limits.maxBodyBytes) },
        { "limits.max_header_bytes", number(limits.maxHeaderBytes) },
        { "limits.connections", number(limits.connections) },
        { "limits.active_requests", number(limits.activeRequests) },
        { "limits.pending_bytes_per_stream", number(limits.pendingBytesPerStream) },
        { "limits.idle_timeout", ms(limits.idleTimeout) },
        { "limits.request_timeout", ms(limits.requestTimeout) },
        { "limits.default_deadline", ms(limits.defaultDeadline) },
        { "limits.stream_silence", ms(limits.streamSilence) },
        { "limits.drain_timeout", ms(limits.drainTimeout) },
        { "control.heartbeat", ms(control.heartbeat) },
        { "control.lease", ms(control.lease) },
        { "control.lease_margin", ms(control.leaseMargin) },
        { "control.peer_heartbeat", ms(control.peerHeartbeat) },
        { "control.peer_silence", ms(control.peerSilence) },
        { "control.vouch", ms(control.attestationTime) },
        { "control.vouch_limit", ms(control.attestationLimit) },
        { "control.isolation", ms(control.isolation) },
        { "control.appends_per_second", number(control.appendsPerSecond) },
        { "control.snapshot_every_records", number(control.snapshotEveryRecords) },
    };
}

BOOST_FIXTURE_TEST_SUITE(ConfigurationPageTest, PageFixture)

BOOST_AUTO_TEST_CASE(configurationPage_everyKeyReadByCode_isListed)
{
    for (const char *source :
         { "src/zinniadoor/daemon/settings.cpp", "src/zinniadoor/control/bundle_yaml.cpp" }) {
        const std::set<std::string> keys = keysReadIn(source);
        BOOST_TEST(keys.size() > 15u);
        for (const std::string &key : keys)
            BOOST_TEST(isDocumented(key, rows), key << " of " << source << " is not on the page");
    }
}

BOOST_AUTO_TEST_CASE(configurationPage_ranges_matchCode)
{
    for (const DocumentedSetting &row : settingsWithRange()) {
        BOOST_TEST(!isOutside(row.key, row.low), row.key << " at " << row.low);
        BOOST_TEST(!isOutside(row.key, row.high), row.key << " at " << row.high);
        BOOST_TEST(isOutside(row.key, offsetFrom(row, row.low, -1)),
                   row.key << " below " << row.low);
        BOOST_TEST(isOutside(row.key, offsetFrom(row, row.high, 1)),
                   row.key << " above " << row.high);
    }
}

BOOST_AUTO_TEST_CASE(configurationPage_defaults_matchCode)
{
    const base::Outcome<Settings> settings = parseSettings(validSettings, "s.yaml");
    BOOST_REQUIRE(settings.hasValue());
    const std::map<std::string, double> defaults = defaultsOf(*settings);
    BOOST_TEST(settingsWithRange().size() == defaults.size());
    for (const DocumentedSetting &row : settingsWithRange()) {
        const auto found = defaults.find(row.key);
        BOOST_REQUIRE_MESSAGE(found != defaults.end(), row.key << " is not a setting");
        BOOST_TEST(found->second == valueOf(row.defaultValue), row.key);
    }
}

BOOST_AUTO_TEST_CASE(operationsPage_everyMetric_isListed)
{
    const std::string source = readFile("src/zinniadoor/daemon/metrics.cpp");
    const std::string page = readFile("docs/OPERATIONS.md");
    const std::regex metric(R"re("(zinniadoor_\w+)")re");
    std::size_t found = 0;
    for (auto match = std::sregex_iterator(source.begin(), source.end(), metric);
         match != std::sregex_iterator(); ++match, ++found) {
        const std::string name = (*match)[1];
        BOOST_TEST(page.find("`" + name + "`") != std::string::npos, name);
    }
    BOOST_TEST(found > 10u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
