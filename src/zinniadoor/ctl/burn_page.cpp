#include "zinniadoor/ctl/burn_page.hpp"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_replace.h"

namespace zinniadoor::ctl {

namespace {

/// Burn rate of a full bar; higher rates are shown by the number only.
constexpr double MaxBarBurn = 10;
constexpr double BarWidth = 120; // pixels
constexpr double FastBurn = 2; ///< Shown in red.

constexpr const char *PageHead = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<meta name="viewport" content="width=device-width, initial-scale=1">
<style>
body { font: 15px/1.45 sans-serif; margin: 2em auto; max-width: 64em; padding: 0 1em; color: #222; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: left; padding: .4em .7em; border-bottom: 1px solid #ddd; vertical-align: top; }
td small { color: #555; display: block; }
.note { background: #fff3cd; padding: .6em .9em; }
</style></head><body>
<h1>Service-level burn</h1>
<p>The burn rate is the speed at which a route's error budget is consumed: at 1 the budget lasts
exactly the objective's period, at 2 half of it; 0 means that every request met the objective. A
request is good if its first byte arrived in time and its response was complete; rejected requests
count as bad unless the caller is at fault.</p>
)";

std::string escaped(const std::string &text)
{
    return absl::StrReplaceAll(
        text, { { "&", "&amp;" }, { "<", "&lt;" }, { ">", "&gt;" }, { "\"", "&quot;" } });
}

const char *colourOf(double burn)
{
    if (burn > FastBurn)
        return "#b3261e";
    return burn > 1 ? "#b26a00" : "#2e7d32";
}

double worstBurn(const serving::BurnRow &row, double target)
{
    double worst = 0;
    for (const serving::GoodTotal &counts : row.windows)
        worst = std::max(worst, serving::burnRate(counts, target));
    return worst;
}

std::string renderBar(const serving::GoodTotal &counts, double target)
{
    if (counts.total == 0)
        return "<td><small>no requests</small></td>";
    const double burn = serving::burnRate(counts, target);
    const double width = BarWidth * std::min(burn, MaxBarBurn) / MaxBarBurn;
    const double markerX = BarWidth / MaxBarBurn;
    return absl::StrFormat(
        "<td><strong>%.2f</strong><br>"
        "<svg width=\"%.0f\" height=\"12\" role=\"img\" aria-label=\"burn %.2f\">"
        "<rect width=\"%.0f\" height=\"12\" fill=\"#eee\"/>"
        "<rect width=\"%.1f\" height=\"12\" fill=\"%s\"/>"
        "<line x1=\"%.1f\" x2=\"%.1f\" y1=\"0\" y2=\"12\" stroke=\"#222\"/></svg>"
        "<small>%d of %d good</small></td>",
        burn, BarWidth, burn, BarWidth, width, colourOf(burn), markerX, markerX, counts.good,
        counts.total);
}

std::string renderRow(const BurnReport &report, const serving::BurnRow &row)
{
    const double target = targetOf(report, row.route);
    std::string html
        = absl::StrCat("<tr><td>", escaped(row.organisation.str()), "</td><td>", escaped(row.route),
                       "<small>target ", absl::StrFormat("%g%%", target * 100), "</small></td>");
    for (const serving::GoodTotal &counts : row.windows)
        absl::StrAppend(&html, renderBar(counts, target));
    return html + "</tr>\n";
}

std::string renderHeading(const BurnReport &report)
{
    std::string html
        = absl::StrCat("<p>Objectives of configuration version ", report.bundleVersion,
                       ". Instances included: ", report.instances,
                       ". The marker in a bar is at burn rate 1; bars end at ", MaxBarBurn,
                       ". Counters start with the instance, so requests before a restart are not "
                       "included.</p>\n");
    for (const std::string &reason : report.missing)
        absl::StrAppend(&html, "<p class=\"note\">Not counted: ", escaped(reason), "</p>\n");
    absl::StrAppend(&html, "<table><tr><th>Organisation</th><th>Route</th>");
    for (const serving::BurnWindow &window : serving::burnWindows())
        absl::StrAppend(&html, "<th>", window.name, "</th>");
    return html + "</tr>\n";
}

} // namespace

std::string renderBurnPage(const BurnReport &report)
{
    std::vector<serving::BurnRow> rows = report.rows;
    const auto isWorse = [&report](const serving::BurnRow &a, const serving::BurnRow &b) {
        return worstBurn(a, targetOf(report, a.route)) > worstBurn(b, targetOf(report, b.route));
    };
    std::stable_sort(rows.begin(), rows.end(), isWorse);
    std::string html = absl::StrCat(PageHead, renderHeading(report));
    for (const serving::BurnRow &row : rows)
        absl::StrAppend(&html, renderRow(report, row));
    if (rows.empty())
        absl::StrAppend(&html, "<tr><td colspan=\"6\">No requests yet.</td></tr>\n");
    return html + "</table></body></html>\n";
}

} // namespace zinniadoor::ctl
