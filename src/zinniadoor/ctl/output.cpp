#include "zinniadoor/ctl/output.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace zinniadoor::ctl {

namespace {

constexpr std::size_t ColumnGap = 2;

std::string quoted(const std::string &text)
{
    using Json = nlohmann::json;
    return Json(text).dump(-1, ' ', false, Json::error_handler_t::replace);
}

void appendPaddedCell(std::string &line, const std::string &text, std::size_t width)
{
    line += text;
    line.append(width + ColumnGap - std::min(width, text.size()), ' ');
}

std::string trimTrailingBlanks(std::string line)
{
    line.erase(line.find_last_not_of(' ') + 1);
    return line + "\n";
}

std::string renderAligned(const Table &table)
{
    std::vector<std::size_t> widths;
    for (const std::string &column : table.columns)
        widths.push_back(column.size());
    for (const std::vector<Cell> &row : table.rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].text.size());
    }
    std::string head;
    for (std::size_t i = 0; i < table.columns.size(); ++i)
        appendPaddedCell(head, table.columns[i], widths[i]);
    std::string all = trimTrailingBlanks(head);
    for (const std::vector<Cell> &row : table.rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            appendPaddedCell(line, row[i].text, widths[i]);
        all += trimTrailingBlanks(line);
    }
    return all;
}

std::string renderJson(const Table &table)
{
    std::string all = "[";
    for (const std::vector<Cell> &row : table.rows)
        absl::StrAppend(&all, all.size() > 1 ? ",\n " : "", renderJsonRow(table, row));
    return all + "]\n";
}

} // namespace

Cell::Cell(double value)
    : text(absl::StrCat(value))
    , unquoted(true)
{ }

std::string renderJsonRow(const Table &table, const std::vector<Cell> &row)
{
    std::string object = "{";
    for (std::size_t i = 0; i < row.size(); ++i) {
        absl::StrAppend(&object, i > 0 ? ", " : "", quoted(table.columns[i]), ": ",
                        row[i].unquoted ? row[i].text : quoted(row[i].text));
    }
    return object + "}";
}

std::string render(const Table &table, OutputFormat format)
{
    return format == OutputFormat::Json ? renderJson(table) : renderAligned(table);
}

OutputArgument::OutputArgument(Arguments &arguments)
    : constraint_(allowed_)
    , argument_("", "output", "output format: table or json", false, "table", &constraint_,
                arguments.line())
{ }

OutputFormat OutputArgument::format()
{
    return argument_.getValue() == "json" ? OutputFormat::Json : OutputFormat::Table;
}

} // namespace zinniadoor::ctl
