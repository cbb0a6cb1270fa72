#include "CommandLine.h"

#include "Version.h"

#include <getopt.h>

#include <filesystem>
#include <iostream>

namespace jayhold {

namespace {

constexpr int helpCode = 1'000;
constexpr int versionCode = 1'001;

auto longOptions(std::span<const CommandOption> options) -> std::vector<option>
{
    std::vector<option> result;
    for (std::size_t index = 0; index < options.size(); ++index)
        result.push_back({ options[index].name.c_str(), required_argument, nullptr, static_cast<int>(index) });
    result.push_back({ "help", no_argument, nullptr, helpCode });
    result.push_back({ "version", no_argument, nullptr, versionCode });
    result.push_back({ nullptr, 0, nullptr, 0 });
    return result;
}

auto printHelp(std::string_view program, std::string_view purpose, std::span<const CommandOption> options) -> void
{
    std::cout << program << " - " << purpose << "\n\nusage: " << program << " [options]\n\n";
    for (const auto& item : options)
        std::cout << "  --" << item.name << ' ' << item.valueName << "\n        " << item.help << '\n';
    std::cout << "  --help\n  --version\n";
}

}

auto parseCommandLine(std::span<char*> arguments, std::string_view purpose, std::span<const CommandOption> options) -> std::optional<ExitCode>
{
    const auto program = std::filesystem::path(arguments.front()).filename().string();
    const auto table = longOptions(options);
    const auto count = static_cast<int>(arguments.size());
    optind = 1;
    for (auto code = 0; (code = getopt_long(count, arguments.data(), "", table.data(), nullptr)) != -1;) {
        if (code == helpCode) {
            printHelp(program, purpose, options);
            return ExitCode::Success;
        }
        if (code == versionCode) {
            std::cout << program << ' ' << version() << '\n';
            return ExitCode::Success;
        }
        if (code == '?')
            return ExitCode::Usage;
        const auto& item = options[static_cast<std::size_t>(code)];
        if (!item.apply(optarg)) {
            std::cerr << program << ": --" << item.name << ": " << optarg << " is not a valid " << item.valueName << '\n';
            return ExitCode::Usage;
        }
    }
    if (optind < count) {
        std::cerr << program << ": unexpected argument " << arguments[static_cast<std::size_t>(optind)] << '\n';
        return ExitCode::Usage;
    }
    return std::nullopt;
}

}
