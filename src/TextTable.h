#pragma once

/// Text tables with aligned columns, for command-line programs.

#include <string>
#include <vector>

namespace jayhold {

struct TextTable {
    std::vector<std::string> header;
    std::vector<std::vector<std::string>> rows;
};

/// @return the table as text with two spaces between columns and a final newline.
auto format(const TextTable& table) -> std::string;

}
