#include <algorithm>
#include <array>

#include "absl/strings/str_format.h"

#include "results.hpp"

namespace zinniadoor::bench {

namespace {

constexpr double Width = 860;
constexpr double Height = 360;
constexpr double Left = 60;
constexpr double Right = 180;
constexpr double Top = 40;
constexpr double Bottom = 50;
constexpr absl::Duration Step = absl::Seconds(5);

constexpr std::array<const char *, 6> Colours { "#1f5fa8", "#c2410c", "#4d7c0f",
                                                "#7e22ce", "#0f766e", "#57534e" };

std::vector<double> goodPerSecond(const Scenario &scenario, const RunResult &run)
{
    const auto steps = static_cast<std::size_t>(scenario.length / Step);
    std::vector<double> good(std::max<std::size_t>(steps, 1));
    for (const RequestRecord &record : run.records) {
        if (record.outcome != RequestOutcome::Good)
            continue;
        const auto step = static_cast<std::size_t>(record.at / Step);
        if (step < good.size())
            good[step] += 1 / absl::ToDoubleSeconds(Step);
    }
    return good;
}

std::string axes(const Scenario &scenario, double highest)
{
    std::string svg;
    constexpr int Ticks = 5;
    for (int i = 0; i <= Ticks; ++i) {
        const double part = static_cast<double>(i) / Ticks;
        const double y = Height - Bottom - part * (Height - Top - Bottom);
        const double x = Left + part * (Width - Left - Right);
        absl::StrAppendFormat(&svg,
                              "<line x1='%.0f' y1='%.1f' x2='%.0f' y2='%.1f' stroke='#ddd'/>"
                              "<text x='%.0f' y='%.1f' text-anchor='end'>%.0f</text>\n",
                              Left, y, Width - Right, y, Left - 8, y + 4, part * highest);
        absl::StrAppendFormat(&svg, "<text x='%.1f' y='%.0f' text-anchor='middle'>%.0f</text>\n", x,
                              Height - Bottom + 18, part * absl::ToDoubleSeconds(scenario.length));
    }
    absl::StrAppendFormat(&svg, "<text x='%.0f' y='%.0f'>seconds (intended arrival)</text>\n", Left,
                          Height - 10);
    return svg;
}

std::string line(const std::vector<double> &values, double highest, std::size_t number,
                 const std::string &name)
{
    const char *colour = Colours.at(number % Colours.size());
    std::string points;
    for (std::size_t i = 0; i < values.size(); ++i) {
        const double part = (static_cast<double>(i) + 0.5) / static_cast<double>(values.size());
        const double x = Left + part * (Width - Left - Right);
        const double y = Height - Bottom - values[i] / highest * (Height - Top - Bottom);
        absl::StrAppendFormat(&points, "%.1f,%.1f ", x, y);
    }
    const double y = Top + 18 * static_cast<double>(number);
    return absl::StrFormat("<polyline points='%s' fill='none' stroke='%s' stroke-width='1.8'/>"
                           "<text x='%.0f' y='%.0f' fill='%s'>%s</text>\n",
                           points, colour, Width - Right + 12, y + 4, colour, name);
}

} // namespace

std::string svgOf(const Scenario &scenario, const std::vector<RunResult> &runs)
{
    std::vector<std::vector<double>> series;
    double highest = 1;
    for (const RunResult &run : runs) {
        series.push_back(goodPerSecond(scenario, run));
        for (const double value : series.back())
            highest = std::max(highest, value);
    }
    std::string svg = absl::StrFormat(
        "<svg xmlns='http://www.w3.org/2000/svg' width='%.0f' height='%.0f' "
        "font-family='sans-serif' font-size='12'>\n<rect width='100%%' height='100%%' "
        "fill='white'/>\n<text x='%.0f' y='22' font-size='14'>%s: good answers a second</text>\n",
        Width, Height, Left, scenario.name);
    svg += axes(scenario, highest);
    for (std::size_t i = 0; i < runs.size(); ++i)
        svg += line(series[i], highest, i, runs[i].variant);
    return svg + "</svg>\n";
}

} // namespace zinniadoor::bench
