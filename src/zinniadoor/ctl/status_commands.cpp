#include "status_commands.hpp"

#include <iostream>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

#include "zinniadoor/ctl/admin_client.hpp"
#include "zinniadoor/ctl/arguments.hpp"
#include "zinniadoor/ctl/burn_page.hpp"
#include "zinniadoor/ctl/burn_report.hpp"
#include "zinniadoor/ctl/files.hpp"
#include "zinniadoor/ctl/output.hpp"

#include "log_command.hpp"

namespace zinniadoor::ctl {

namespace {

using Json = nlohmann::json;

/// Exit code of a query: Ok if all instances responded, Partial if some did, Failed if none did.
ExitCode exitCodeFor(std::size_t responded, std::size_t queried)
{
    if (responded == queried)
        return ExitCode::Ok;
    return responded == 0 ? ExitCode::Failed : ExitCode::Partial;
}

class StatusCommand : public Command
{
public:
    std::string name() const override { return "status"; }
    std::string brief() const override { return "show the status of instances"; }

    ExitCode run(const std::vector<std::string> &arguments) override
    {
        Arguments parser(name(), brief());
        TCLAP::MultiArg<std::string> admins("a", "admin", "admin address of an instance", true,
                                            "URL", parser.line());
        OutputArgument output(parser);
        if (const std::optional<ExitCode> ended = parser.parse(arguments))
            return *ended;
        Table table { { "admin", "ready", "version", "log_offset", "log_current", "share_slots",
                        "requests", "reason" },
                      {} };
        std::size_t responded = 0;
        for (const std::string &admin : admins.getValue()) {
            base::Outcome<std::vector<Cell>> row = query(admin);
            if (row)
                ++responded;
            table.rows.push_back(row ? *row : unreachable(admin, row.lastReason()));
        }
        std::cout << render(table, output.format());
        return exitCodeFor(responded, admins.getValue().size());
    }

private:
    static std::vector<Cell> unreachable(const std::string &admin, const base::Reason &reason)
    {
        return { admin, false, "", "", "", "", "", reason.text };
    }

    static base::Outcome<std::vector<Cell>> query(const std::string &admin)
    {
        const base::Outcome<std::string> body = getAdmin(admin, "/status");
        if (!body)
            return body.lastReason();
        const Json status = Json::parse(*body, nullptr, false);
        try {
            return std::vector<Cell> {
                admin,
                status.at("ready").get<bool>(),
                status.at("bundle_version").get<std::uint64_t>(),
                status.at("log_offset").get<std::uint64_t>(),
                status.at("log_current").get<bool>(),
                status.at("share_slots").get<std::uint64_t>(),
                status.at("requests").get<std::uint64_t>(),
                status.at("reason").get<std::string>(),
            };
        } catch (const Json::exception &) {
            return base::Reason { base::ReasonCode::Internal,
                                  absl::StrCat(admin, ": the response is not a valid status") };
        }
    }
};

class BurnCommand : public Command
{
public:
    std::string name() const override { return "burn"; }
    std::string brief() const override { return "show the burn rate of error budgets"; }

    ExitCode run(const std::vector<std::string> &arguments) override
    {
        Arguments parser(name(), brief());
        TCLAP::MultiArg<std::string> admins("a", "admin", "admin address of an instance", true,
                                            "URL", parser.line());
        TCLAP::ValueArg<std::string> html("", "html", "also write an HTML page to this file", false,
                                          "", "FILE", parser.line());
        OutputArgument output(parser);
        if (const std::optional<ExitCode> ended = parser.parse(arguments))
            return *ended;
        std::vector<BurnReport> reports;
        std::vector<std::string> missing;
        for (const std::string &admin : admins.getValue()) {
            const base::Outcome<BurnReport> report = query(admin);
            if (report)
                reports.push_back(*report);
            else
                missing.push_back(report.lastReason().text);
        }
        for (const std::string &reason : missing)
            std::cerr << "not counted: " << reason << "\n";
        BurnReport sum = sumReports(reports);
        sum.missing = missing;
        if (html.isSet()) {
            const base::Status written = writeFile(html.getValue(), renderBurnPage(sum));
            if (!written) {
                std::cerr << written.lastReason().text << "\n";
                return ExitCode::Failed;
            }
        }
        if (html.getValue() != "-")
            std::cout << render(burnTable(sum), output.format());
        return exitCodeFor(reports.size(), admins.getValue().size());
    }

private:
    static base::Outcome<BurnReport> query(const std::string &admin)
    {
        const base::Outcome<std::string> body = getAdmin(admin, "/burn");
        if (!body)
            return body.lastReason();
        base::Outcome<BurnReport> report = parseBurn(*body);
        if (!report)
            return base::Reason { report.lastReason().code,
                                  absl::StrCat(admin, ": ", report.lastReason().text) };
        return report;
    }
};

} // namespace

std::vector<std::unique_ptr<Command>> statusCommands()
{
    std::vector<std::unique_ptr<Command>> commands;
    commands.push_back(std::make_unique<StatusCommand>());
    commands.push_back(std::make_unique<BurnCommand>());
    commands.push_back(logTailCommand());
    return commands;
}

} // namespace zinniadoor::ctl
