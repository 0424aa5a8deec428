#include <fstream>
#include <map>
#include <regex>
#include <sstream>
#include <string>

#include <boost/test/unit_test.hpp>

#include "fleet.hpp"

namespace {

using namespace zinniadoor::e2e;

using Fields = std::map<std::string, std::string>;

struct SettingsTemplateFixture
{
    SettingsTemplateFixture()
    {
        std::ifstream in(SETTINGS_TEMPLATE);
        std::ostringstream whole;
        whole << in.rdbuf();
        text = whole.str();
    }

    /// Fills the template in as the platform does: a section is kept if its field has a value, and
    /// a field without a value leaves nothing.
    std::string filled(const Fields &fields) const
    {
        std::string result = text;
        const std::regex table("\\{\\{#Zones\\}\\}\\n?([^]*?)\\{\\{/Zones\\}\\}\\n?");
        if (std::smatch found; std::regex_search(result, found, table)) {
            std::string rows;
            for (const auto &[dataCentre, region] : zones) {
                const std::string row
                    = std::regex_replace(found[1].str(), std::regex("\\{\\{@\\}\\}"), dataCentre);
                rows += std::regex_replace(row, std::regex("\\{\\{\\.\\}\\}"), region);
            }
            result = found.prefix().str() + rows + found.suffix().str();
        }
        const std::regex section("\\{\\{#([A-Za-z0-9.]+)\\}\\}\\n?([^]*?)\\{\\{/\\1\\}\\}\\n?");
        for (std::smatch found; std::regex_search(result, found, section);) {
            const std::string kept = fields.count(found[1]) != 0 ? found[2].str() : "";
            result = found.prefix().str() + kept + found.suffix().str();
        }
        const std::regex field("\\{\\{([A-Za-z0-9.]+)\\}\\}");
        for (std::smatch found; std::regex_search(result, found, field);) {
            const auto value = fields.find(found[1]);
            result = found.prefix().str() + (value == fields.end() ? "" : value->second)
                + found.suffix().str();
        }
        return result;
    }

    int checkExitCode(const std::string &yaml) const
    {
        Process::Options options;
        options.program = daemonProgram();
        options.arguments
            = { "--gateway", "--config", writeTemporaryFile("filled.yaml", yaml), "--check" };
        Process process(options);
        const std::optional<ExitStatus> status = process.wait();
        return status && status->code ? *status->code : -1;
    }

    std::string text;
    Fields zones { { "dc", "east" }, { "far.away", "west" } };
    const Fields all { { "NodeName", "a" },
                       { "Zone", "dc" },
                       { "Ip", "127.0.0.1" },
                       { "Listen.Frontend", "127.0.0.1:8001" },
                       { "Listen.Ready", "127.0.0.1:8002" },
                       { "InternalPorts.0", "8003" },
                       { "InternalPorts.1", "8004" },
                       { "Platform.Address", "127.0.0.1:8005" },
                       { "Cloud.Address", "127.0.0.1:8006" },
                       { "Bounds.UsageWindowS", "5" },
                       { "Bounds.UsageLateS", "10" } };
    const Fields optional { { "Bounds.ConfigApplyMs", "2000" },   { "Bounds.DrainMs", "2000" },
                            { "Bounds.LeaseMs", "3000" },         { "Bounds.GraceS", "8" },
                            { "Bounds.RetryBudgetRatio", "0.2" }, { "Bounds.BudgetSlack", "56" },
                            { "Bounds.BudgetWindowS", "10" },     { "Bounds.QuotaSlack", "190000" },
                            { "Limits.MemoryMb", "112" },         { "Bounds.ColdOverage", "1.5" },
                            { "Bounds.ColdSlack", "5" } };
};

BOOST_FIXTURE_TEST_SUITE(SettingsTemplateTest, SettingsTemplateFixture)

// Guards against instances that do not start where a deployment names no quota or another bound.
BOOST_AUTO_TEST_CASE(check_templateWithoutOneOptionalBound_exitsWith0)
{
    Fields complete = all;
    complete.insert(optional.begin(), optional.end());
    BOOST_TEST(checkExitCode(filled(complete)) == 0);
    for (const auto &bound : optional) {
        BOOST_TEST_CONTEXT(bound.first << " is missing")
        {
            Fields fields = complete;
            fields.erase(bound.first);
            BOOST_TEST(checkExitCode(filled(fields)) == 0);
        }
    }
    BOOST_TEST(checkExitCode(filled(all)) == 0);
    zones.clear();
    BOOST_TEST(checkExitCode(filled(all)) == 0);
}

BOOST_AUTO_TEST_CASE(check_templateWithoutRequiredField_exitsWith2)
{
    for (const auto &field : all) {
        BOOST_TEST_CONTEXT(field.first << " is missing")
        {
            Fields fields = all;
            fields.erase(field.first);
            BOOST_TEST(checkExitCode(filled(fields)) == 2);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
