// The daemon that runs on every entry instance; a thin wrapper over the library.
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
  --settings FILE    the settings; "-" reads standard input. On the platform the environment names
                     the file where the option is left out
  --check            only check the settings
  --help             show this text
  --version          show the version

SIGHUP reads the settings again and reports whether they are valid. SIGTERM or SIGINT begins a graceful shutdown; a second one ends the process at once.
Exit codes: 0 success, 1 failure or shutdown that cut requests off, 2 faulty usage or settings.
)";

constexpr std::string_view nativeDeployment = "native";
constexpr std::string_view platformDeployment = "platform";

struct Options {
    std::string settings;
    bool isPlatform = false;
    bool isCheck = false;
    /// Set where the program has nothing more to do.
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
        const auto choice = getopt_long(argumentCount, arguments, "", longOptions, nullptr);
        if (choice == -1)
            break;
        if (choice == 's') {
            options.settings = optarg;
        } else if (choice == 'd' && (optarg == nativeDeployment || optarg == platformDeployment)) {
            options.isPlatform = optarg == platformDeployment;
        } else if (choice == 'd') {
            std::cerr << "jayhold-entry: unknown deployment " << optarg << '\n';
            options.exit = ExitCode::Usage;
            return options;
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
    if (options.isPlatform && options.settings.empty())
        options.settings = platform::settingsPath().value_or("");
    if (options.settings.empty() || optind < argumentCount) {
        std::cerr << usage;
        options.exit = ExitCode::Usage;
    }
    return options;
}

/// @return the settings, or nothing after a message about the first fault.
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
            std::cerr << "jayhold-entry: the settings can't be read\n";
            return std::nullopt;
        });
}

/// Takes the signals of the process from its construction on; they wait until they are read. A signal
/// that comes before would end the process, so it is constructed before anything else.
struct Signals {
    boost::asio::io_context context;
    boost::asio::signal_set watched { context, SIGTERM, SIGINT, SIGHUP };
};

/// Runs a daemon until it has drained after a signal.
/// @param isValid reads the settings again and says whether they are valid.
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
            // Addresses and identity are fixed for the life of the process.
            daemon.log().record(LogLevel::Info, "settings_reread", { { "valid", isValid() } });
            return;
        }
        // Without orderly destruction, because the second signal asks for the fastest end.
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
    // The line with the addresses is printed at every log level.
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

/// Checks the settings and runs the daemon, unless only the check was asked for.
template <typename Settings>
auto checkAndRun(const Options& options, leaf::result<Settings> (*parse)(std::string_view), ExitCode (*run)(const Settings&, const std::string&, Signals&), Signals& signals) -> ExitCode
{
    auto settings = loadSettings(options.settings, parse);
    if (!settings)
        return ExitCode::Usage;
    if (options.isCheck) {
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
