#include "zinniadoor/ctl/burn_report.hpp"

#include <nlohmann/json.hpp>

#include "absl/strings/str_format.h"

namespace zinniadoor::ctl {

namespace {

using Json = nlohmann::json;

serving::BurnRow readRow(const Json &json)
{
    serving::BurnRow row;
    row.organisation = base::OrganisationId(json.at("organisation").get<std::string>());
    row.route = json.at("route").get<std::string>();
    for (std::size_t i = 0; i < serving::BurnWindowCount; ++i) {
        const Json &window = json.at("windows").at(serving::burnWindows()[i].name);
        row.windows[i].good = window.at("good").get<std::uint64_t>();
        row.windows[i].total = window.at("total").get<std::uint64_t>();
    }
    return row;
}

control::Objective readObjective(const Json &json)
{
    control::Objective objective;
    objective.route = json.at("route").get<std::string>();
    objective.firstByteMilliseconds = json.at("first_byte_ms").get<std::uint32_t>();
    objective.target = json.at("target").get<double>();
    return objective;
}

} // namespace

base::Outcome<BurnReport> parseBurn(const std::string &json)
{
    try {
        const Json document = Json::parse(json);
        BurnReport report;
        report.bundleVersion = document.at("bundle_version").get<std::uint64_t>();
        for (const Json &objective : document.at("objectives"))
            report.objectives.push_back(readObjective(objective));
        for (const Json &row : document.at("rows"))
            report.rows.push_back(readRow(row));
        return report;
    } catch (const Json::exception &) {
        return base::Reason { base::ReasonCode::Internal,
                              "the response is not a valid burn report" };
    }
}

BurnReport sumReports(const std::vector<BurnReport> &reports)
{
    BurnReport sum;
    sum.instances = reports.size();
    std::vector<std::vector<serving::BurnRow>> rows;
    for (const BurnReport &report : reports) {
        rows.push_back(report.rows);
        if (report.bundleVersion < sum.bundleVersion)
            continue;
        sum.bundleVersion = report.bundleVersion;
        sum.objectives = report.objectives;
    }
    sum.rows = serving::sumRows(rows);
    return sum;
}

double targetOf(const BurnReport &report, const std::string &route)
{
    for (const control::Objective &objective : report.objectives) {
        if (objective.route == route)
            return objective.target;
    }
    return 0;
}

Table burnTable(const BurnReport &report)
{
    Table table {
        { "organisation", "route", "window", "good", "total", "good_share", "target", "burn" }, {}
    };
    for (const serving::BurnRow &row : report.rows) {
        const double target = targetOf(report, row.route);
        for (std::size_t i = 0; i < serving::BurnWindowCount; ++i) {
            const serving::GoodTotal &counts = row.windows[i];
            if (counts.total == 0)
                continue;
            const double share
                = static_cast<double>(counts.good) / static_cast<double>(counts.total);
            Cell shareCell(absl::StrFormat("%.4f", share));
            shareCell.unquoted = true;
            Cell burnCell(absl::StrFormat("%.2f", serving::burnRate(counts, target)));
            burnCell.unquoted = true;
            table.rows.push_back({ row.organisation.str(), row.route,
                                   serving::burnWindows()[i].name, counts.good, counts.total,
                                   shareCell, target, burnCell });
        }
    }
    return table;
}

} // namespace zinniadoor::ctl
