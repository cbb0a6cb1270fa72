// The daemon that runs on every entry instance; a thin wrapper over the library.
#include <jayhold/Base.h>
#include <jayhold/Entry.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <csignal>
#include <getopt.h>
#include <iostream>
#include <optional>

using namespace jayhold;
namespace leaf = boost::leaf;

namespace {

constexpr std::string_view usage = R"(usage: jayhold-entry --settings FILE [--check]

Runs an entry instance: answers callers and routes their requests to backend servers.

  --settings FILE  settings as JSON; "-" reads standard input
  --check          only check the settings
  --help           show this text
  --version        show the version

SIGTERM or SIGINT begins a graceful shutdown; a second one ends the process at once.
Exit codes: 0 success, 1 failure or shutdown that cut requests off, 2 faulty usage or settings.
)";

struct Options {
    std::string settings;
    bool isCheck = false;
    /// Set where the program has nothing more to do.
    std::optional<ExitCode> exit;
};

auto parseOptions(int argumentCount, char** arguments) -> Options
{
    static const option longOptions[] = {
        { "settings", required_argument, nullptr, 's' },
        { "check", no_argument, nullptr, 'c' },
        { "help", no_argument, nullptr, 'h' },
        { "version", no_argument, nullptr, 'v' },
        { nullptr, 0, nullptr, 0 },
    };
    Options options;
    while (true) {
        const auto choice = getopt_long(argumentCount, arguments, "", longOptions, nullptr);
        if (choice == -1)
            break;
        if (choice == 's') {
            options.settings = optarg;
        } else if (choice == 'c') {
            options.isCheck = true;
        } else if (choice == 'h') {
            std::cout << usage;
            options.exit = ExitCode::Success;
            return options;
        } else if (choice == 'v') {
            std::cout << "jayhold-entry " << version() << '\n';
            options.exit = ExitCode::Success;
            return options;
        } else {
            options.exit = ExitCode::Usage;
            return options;
        }
    }
    if (options.settings.empty() || optind < argumentCount) {
        std::cerr << usage;
        options.exit = ExitCode::Usage;
    }
    return options;
}

auto loadSettings(const std::string& path) -> std::optional<EntrySettings>
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<EntrySettings>> {
            BOOST_LEAF_AUTO(text, readFile(path));
            BOOST_LEAF_AUTO(settings, parseEntrySettings(text));
            return std::optional(std::move(settings));
        },
        [](const ConfigError& error) -> std::optional<EntrySettings> {
            std::cerr << "jayhold-entry: " << describe(error) << '\n';
            return std::nullopt;
        },
        [](const FileError& error) -> std::optional<EntrySettings> {
            std::cerr << "jayhold-entry: " << describe(error) << '\n';
            return std::nullopt;
        },
        []() -> std::optional<EntrySettings> {
            std::cerr << "jayhold-entry: the settings can't be read\n";
            return std::nullopt;
        });
}

auto run(EntrySettings settings) -> ExitCode
{
    boost::asio::io_context signals;
    boost::asio::signal_set watched(signals, SIGTERM, SIGINT);
    const auto level = settings.logLevel;
    // The line with the addresses is printed at every log level.
    configureLogging(std::min(level, LogLevel::Info));
    EntryDaemon daemon(std::move(settings));
    configureLogging(level);
    auto exit = ExitCode::Failed;
    daemon.onDrained([&](bool isComplete) {
        boost::asio::post(signals, [&, isComplete] {
            exit = isComplete ? ExitCode::Success : ExitCode::Failed;
            signals.stop();
        });
    });
    auto isDraining = false;
    std::function<void(const boost::system::error_code&, int)> onSignal = [&](const boost::system::error_code& code, int) {
        if (code)
            return;
        // Without orderly destruction, because the second signal asks for the fastest end.
        if (isDraining)
            std::_Exit(static_cast<int>(ExitCode::Failed));
        isDraining = true;
        watched.async_wait(onSignal);
        daemon.startDraining();
    };
    watched.async_wait(onSignal);
    signals.run();
    return exit;
}

}

auto main(int argumentCount, char** arguments) -> int
{
    const auto options = parseOptions(argumentCount, arguments);
    if (options.exit)
        return static_cast<int>(*options.exit);
    auto settings = loadSettings(options.settings);
    if (!settings)
        return static_cast<int>(ExitCode::Usage);
    if (options.isCheck) {
        std::cout << "the settings are valid\n";
        return static_cast<int>(ExitCode::Success);
    }
    try {
        return static_cast<int>(run(std::move(*settings)));
    } catch (const std::exception& error) {
        std::cerr << "jayhold-entry: " << error.what() << '\n';
        return static_cast<int>(ExitCode::Failed);
    }
}
