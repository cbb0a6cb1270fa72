// The command-line tool for operators.
#include "CtlCommands.h"

#include <iostream>

using namespace jayhold;

auto main(int argc, char** argv) -> int
{
    const auto commandLine = parseCtlCommandLine({ argv, static_cast<std::size_t>(argc) });
    if (const auto* information = std::get_if<CtlInformation>(&commandLine)) {
        std::cout << information->text;
        return static_cast<int>(ExitCode::Success);
    }
    if (const auto* error = std::get_if<CtlUsageError>(&commandLine)) {
        std::cerr << error->text;
        return static_cast<int>(ExitCode::Usage);
    }
    const auto code = runCtlCommand(std::get<CtlOptions>(commandLine), { std::cout, std::cerr });
    return static_cast<int>(code);
}
