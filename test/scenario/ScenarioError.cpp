#include "ScenarioError.h"

namespace jayhold {

auto describe(const std::string& file, const ScenarioError& error) -> std::string
{
    auto place = file;
    if (error.line > 0)
        place += ":" + std::to_string(error.line);
    if (error.column > 0)
        place += ":" + std::to_string(error.column);
    return place + ": " + error.message;
}

}
