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

std::string contentOf(const std::string &path)
{
    const std::ifstream in(std::string(ZINNIADOOR_ROOT) + "/" + path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

/// One row of a table of the page.
struct Documented
{
    std::string key;
    std::string type;
    std::string low;
    std::string high;
    std::string byDefault;
};

std::vector<Documented> documented()
{
    std::vector<Documented> rows;
    for (const std::string &line : splitAt(contentOf("docs/CONFIGURATION.md"), '\n')) {
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

/// Last parts of the keys that a source file asks a YAML reader for.
std::set<std::string> keysReadIn(const std::string &path)
{
    const std::string source = contentOf(path);
    const std::regex read(
        R"re((?:string|integer|number|boolean|duration|strings|mappings|mapping|readName|readAddress)(?:Or)?\((?:\w+,\s*)?\s*"(\w+)")re");
    std::set<std::string> keys;
    for (auto match = std::sregex_iterator(source.begin(), source.end(), read);
         match != std::sregex_iterator(); ++match)
        keys.insert((*match)[1]);
    return keys;
}

bool isDocumented(const std::string &key, const std::vector<Documented> &rows)
{
    for (const Documented &row : rows) {
        for (const std::string &part : splitAt(row.key, '.')) {
            if (part == key || part == key + "[]")
                return true;
        }
    }
    return false;
}

struct PageFixture
{
    const std::string good = "instance: {id: entry-0, data_centre: accra-1}\n"
                             "listen: {callers: '127.0.0.1:0', peers: '127.0.0.1:0', "
                             "admin: '127.0.0.1:0'}\n"
                             "platform: {url: 'http://127.0.0.1:9'}\n";
    const std::vector<Documented> rows = documented();

    /// Whether the parser finds that `value` lies outside the range of `key`.
    bool isOutside(const std::string &key, const std::string &value) const
    {
        const std::vector<std::string> parts = absl::StrSplit(key, '.');
        const base::Outcome<Settings> settings = parseSettings(
            absl::StrCat(good, parts[0], ": {", parts[1], ": ", value, "}\n"), "s.yaml");
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
    std::vector<Documented> ranged() const
    {
        std::vector<Documented> found;
        for (const Documented &row : rows) {
            if (absl::StartsWith(row.key, "limits.") || absl::StartsWith(row.key, "control."))
                found.push_back(row);
        }
        return found;
    }
};

std::string beyond(const Documented &row, const std::string &edge, int by)
{
    if (row.type == "integer")
        return absl::StrCat(std::stoll(edge) + by);
    absl::Duration duration;
    BOOST_REQUIRE(absl::ParseDuration(edge, &duration));
    return absl::StrCat(absl::ToInt64Milliseconds(duration) + by, "ms");
}

/// A number of a setting: durations in milliseconds.
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
        { "control.vouch", ms(control.vouch) },
        { "control.vouch_limit", ms(control.vouchLimit) },
        { "control.isolation", ms(control.isolation) },
        { "control.appends_per_second", number(control.appendsPerSecond) },
        { "control.snapshot_every_records", number(control.snapshotEveryRecords) },
    };
}

BOOST_FIXTURE_TEST_SUITE(ConfigurationPageTest, PageFixture)

BOOST_AUTO_TEST_CASE(page_everyKeyThatTheCodeReads_standsThere)
{
    for (const char *source :
         { "src/zinniadoor/daemon/settings.cpp", "src/zinniadoor/control/bundle_yaml.cpp" }) {
        const std::set<std::string> keys = keysReadIn(source);
        BOOST_TEST(keys.size() > 15u);
        for (const std::string &key : keys)
            BOOST_TEST(isDocumented(key, rows), key << " of " << source << " is not on the page");
    }
}

BOOST_AUTO_TEST_CASE(page_ranges_areThoseOfTheCode)
{
    for (const Documented &row : ranged()) {
        BOOST_TEST(!isOutside(row.key, row.low), row.key << " at " << row.low);
        BOOST_TEST(!isOutside(row.key, row.high), row.key << " at " << row.high);
        BOOST_TEST(isOutside(row.key, beyond(row, row.low, -1)), row.key << " below " << row.low);
        BOOST_TEST(isOutside(row.key, beyond(row, row.high, 1)), row.key << " above " << row.high);
    }
}

BOOST_AUTO_TEST_CASE(page_defaults_areThoseOfTheCode)
{
    const base::Outcome<Settings> settings = parseSettings(good, "s.yaml");
    BOOST_REQUIRE(settings.hasValue());
    const std::map<std::string, double> defaults = defaultsOf(*settings);
    BOOST_TEST(ranged().size() == defaults.size());
    for (const Documented &row : ranged()) {
        const auto found = defaults.find(row.key);
        BOOST_REQUIRE_MESSAGE(found != defaults.end(), row.key << " is not a setting");
        BOOST_TEST(found->second == valueOf(row.byDefault), row.key);
    }
}

BOOST_AUTO_TEST_CASE(operationsPage_everyMetric_standsThere)
{
    const std::string source = contentOf("src/zinniadoor/daemon/metrics.cpp");
    const std::string page = contentOf("docs/OPERATIONS.md");
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
