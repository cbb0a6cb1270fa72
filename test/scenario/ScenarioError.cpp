#include "ScenarioError.h"

namespace jayhold {

auto describe(const std::string& file, const ScenarioError& error) -> std::string
{
    auto location = file;
    if (error.line > 0)
        location += ":" + std::to_string(error.line);
    if (error.column > 0)
        location += ":" + std::to_string(error.column);
    return location + ": " + error.message;
}

}
