#pragma once

#include <string>
#include <vector>

#include "zinniadoor/ctl/arguments.hpp"

namespace zinniadoor::ctl {

enum class OutputFormat { Table, Json };

/// One table cell. Numbers and booleans are written without quotes in JSON.
struct Cell
{
    Cell(const char *value)
        : text(value)
    { }
    Cell(std::string value)
        : text(std::move(value))
    { }
    Cell(bool value)
        : text(value ? "true" : "false")
        , unquoted(true)
    { }
    Cell(double value);
    Cell(std::uint64_t value)
        : text(std::to_string(value))
        , unquoted(true)
    { }

    std::string text;
    bool unquoted = false;
};

struct Table
{
    std::vector<std::string> columns; ///< Also the keys of JSON objects.
    std::vector<std::vector<Cell>> rows;
};

/// Renders aligned columns or a JSON array of objects.
std::string render(const Table &table, OutputFormat format);

/// Renders one row as a single-line JSON object.
std::string renderJsonRow(const Table &table, const std::vector<Cell> &row);

/// The option "--output table|json".
class OutputArgument
{
public:
    explicit OutputArgument(Arguments &arguments);

    OutputFormat format();

private:
    std::vector<std::string> allowed_ { "table", "json" };
    TCLAP::ValuesConstraint<std::string> constraint_;
    TCLAP::ValueArg<std::string> argument_;
};

} // namespace zinniadoor::ctl
