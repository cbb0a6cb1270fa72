// The daemon of an entry instance: parses options, loads settings and handles signals for the library.
#include <jayhold/Base.h>
#include <jayhold/Entry.h>

#include <Platform.h>

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
       jayhold-entry --deployment platform [--settings FILE] [--check]

Runs an entry instance: answers callers and routes their requests to backend servers.

  --deployment NAME  "native" (default): settings as JSON, callers use jayhold's own interface;
                     "platform": settings in the platform's format, requests are forwarded unchanged
  --settings FILE    the settings; "-" reads standard input. On the platform, the environment names
                     the file if the option is omitted
  --check            only check the settings
  --help             show this text
  --version          show the version

SIGHUP reads the settings again and reports whether they are valid. SIGTERM or SIGINT begins a graceful shutdown; a second one ends the process at once.
Exit codes: 0 success, 1 failure or shutdown that interrupted requests, 2 invalid usage or settings.
)";

constexpr std::string_view nativeDeployment = "native";
constexpr std::string_view platformDeployment = "platform";

struct Options {
    std::string settings;
    bool isPlatform = false;
    bool checkOnly = false;
    /// Set if the program must exit after parsing the options.
    std::optional<ExitCode> exit;
};

auto parseOptions(int argumentCount, char** arguments) -> Options
{
    static const option longOptions[] = {
        { "deployment", required_argument, nullptr, 'd' },
        { "settings", required_argument, nullptr, 's' },
        { "check", no_argument, nullptr, 'c' },
        { "help", no_argument, nullptr, 'h' },
        { "version", no_argument, nullptr, 'v' },
        { nullptr, 0, nullptr, 0 },
    };
    Options options;
    while (true) {
        const auto optionCode = getopt_long(argumentCount, arguments, "", longOptions, nullptr);
        if (optionCode == -1)
            break;
        if (optionCode == 's') {
            options.settings = optarg;
        } else if (optionCode == 'd' && (optarg == nativeDeployment || optarg == platformDeployment)) {
            options.isPlatform = optarg == platformDeployment;
        } else if (optionCode == 'd') {
            std::cerr << "jayhold-entry: unknown deployment " << optarg << '\n';
            options.exit = ExitCode::Usage;
            return options;
        } else if (optionCode == 'c') {
            options.checkOnly = true;
        } else if (optionCode == 'h') {
            std::cout << usage;
            options.exit = ExitCode::Success;
            return options;
        } else if (optionCode == 'v') {
            std::cout << "jayhold-entry " << version() << '\n';
            options.exit = ExitCode::Success;
            return options;
        } else {
            options.exit = ExitCode::Usage;
            return options;
        }
    }
    if (options.isPlatform && options.settings.empty())
        options.settings = platform::settingsPath().value_or("");
    if (options.settings.empty() || optind < argumentCount) {
        std::cerr << usage;
        options.exit = ExitCode::Usage;
    }
    return options;
}

/// @return the settings, or nothing after a message about the first error.
template <typename Settings>
auto loadSettings(const std::string& path, leaf::result<Settings> (*parse)(std::string_view)) -> std::optional<Settings>
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<Settings>> {
            BOOST_LEAF_AUTO(text, readFile(path));
            BOOST_LEAF_AUTO(settings, parse(text));
            return std::optional(std::move(settings));
        },
        [](const ConfigError& error) -> std::optional<Settings> {
            std::cerr << "jayhold-entry: " << describe(error) << '\n';
            return std::nullopt;
        },
        [](const FileError& error) -> std::optional<Settings> {
            std::cerr << "jayhold-entry: " << describe(error) << '\n';
            return std::nullopt;
        },
        []() -> std::optional<Settings> {
            std::cerr << "jayhold-entry: can't read the settings\n";
            return std::nullopt;
        });
}

/// Catches the signals of the process and queues them until they are read. A signal before its
/// construction would end the process, so main() constructs it before it reads the settings.
struct Signals {
    boost::asio::io_context context;
    boost::asio::signal_set watched { context, SIGTERM, SIGINT, SIGHUP };
};

/// Runs a daemon until it has drained after a signal.
/// @param isValid reads the settings again and returns whether they are valid.
template <typename Daemon>
auto runUntilDrained(Daemon& daemon, Signals& signals, const std::function<bool()>& isValid) -> ExitCode
{
    auto exit = ExitCode::Failed;
    daemon.onDrained([&](bool isComplete) {
        boost::asio::post(signals.context, [&, isComplete] {
            exit = isComplete ? ExitCode::Success : ExitCode::Failed;
            signals.context.stop();
        });
    });
    auto isDraining = false;
    std::function<void(const boost::system::error_code&, int)> onSignal = [&](const boost::system::error_code& code, int signal) {
        if (code)
            return;
        signals.watched.async_wait(onSignal);
        if (signal == SIGHUP) {
            // New settings are only validated, because addresses and identity are fixed for the lifetime
            // of the process.
            daemon.log().record(LogLevel::Info, "settings_reread", { { "valid", isValid() } });
            return;
        }
        // Exits without running destructors, because a second signal requests an immediate exit.
        if (isDraining)
            std::_Exit(static_cast<int>(ExitCode::Failed));
        isDraining = true;
        daemon.startDraining();
    };
    signals.watched.async_wait(onSignal);
    signals.context.run();
    return exit;
}

auto runNative(const EntrySettings& settings, const std::string& path, Signals& signals) -> ExitCode
{
    const auto level = settings.logLevel;
    // The log line with the listen addresses is written at every configured log level.
    configureLogging(std::min(level, LogLevel::Info));
    EntryDaemon daemon(settings);
    configureLogging(level);
    return runUntilDrained(daemon, signals, [&] { return loadSettings(path, parseEntrySettings).has_value(); });
}

auto runOnPlatform(const platform::Settings& settings, const std::string& path, Signals& signals) -> ExitCode
{
    configureLogging(settings.entry.logLevel);
    RouterDaemon daemon(settings.entry, platform::makePlatformAdapter(settings));
    return runUntilDrained(daemon, signals, [&] { return loadSettings(path, platform::parseSettings).has_value(); });
}

/// Validates the settings and runs the daemon, unless only the check was requested.
template <typename Settings>
auto checkAndRun(const Options& options, leaf::result<Settings> (*parse)(std::string_view), ExitCode (*run)(const Settings&, const std::string&, Signals&), Signals& signals) -> ExitCode
{
    auto settings = loadSettings(options.settings, parse);
    if (!settings)
        return ExitCode::Usage;
    if (options.checkOnly) {
        std::cout << "the settings are valid\n";
        return ExitCode::Success;
    }
    return run(*settings, options.settings, signals);
}

}

auto main(int argumentCount, char** arguments) -> int
{
    const auto options = parseOptions(argumentCount, arguments);
    if (options.exit)
        return static_cast<int>(*options.exit);
    try {
        Signals signals;
        const auto exit = options.isPlatform
            ? checkAndRun<platform::Settings>(options, platform::parseSettings, runOnPlatform, signals)
            : checkAndRun<EntrySettings>(options, parseEntrySettings, runNative, signals);
        return static_cast<int>(exit);
    } catch (const std::exception& error) {
        std::cerr << "jayhold-entry: " << error.what() << '\n';
        return static_cast<int>(ExitCode::Failed);
    }
}
