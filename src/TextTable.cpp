#include "TextTable.h"

#include <algorithm>

namespace jayhold {

namespace {

auto updateWidths(std::vector<std::size_t>& widths, const std::vector<std::string>& row) -> void
{
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t column = 0; column < row.size(); ++column)
        widths[column] = std::max(widths[column], row[column].size());
}

auto appendRow(std::string& text, const std::vector<std::size_t>& widths, const std::vector<std::string>& row) -> void
{
    for (std::size_t column = 0; column < row.size(); ++column) {
        text += row[column];
        if (column + 1 < row.size())
            text.append(widths[column] - row[column].size() + 2, ' ');
    }
    text += '\n';
}

}

auto format(const TextTable& table) -> std::string
{
    std::vector<std::size_t> widths;
    updateWidths(widths, table.header);
    for (const auto& row : table.rows)
        updateWidths(widths, row);
    std::string text;
    appendRow(text, widths, table.header);
    for (const auto& row : table.rows)
        appendRow(text, widths, row);
    return text;
}

}
