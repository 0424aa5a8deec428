#pragma once

#include <string>
#include <vector>

#include "zinniadoor/ctl/arguments.hpp"

namespace zinniadoor::ctl {

enum class OutputFormat { Table, Json };

/// One value of a table; JSON writes numbers and booleans without quotes.
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
        , bare(true)
    { }
    Cell(double value);
    Cell(std::uint64_t value)
        : text(std::to_string(value))
        , bare(true)
    { }

    std::string text;
    bool bare = false;
};

struct Table
{
    std::vector<std::string> columns; ///< Also the keys in JSON.
    std::vector<std::vector<Cell>> rows;
};

/// Aligned columns, or a JSON list of objects.
std::string render(const Table &table, OutputFormat format);

/// One row as a JSON object on one line.
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
