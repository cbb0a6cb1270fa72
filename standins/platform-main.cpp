#include "CommandLine.h"
#include "Platform.h"
#include "StandinMain.h"

auto main(int argc, char** argv) -> int
{
    using namespace jayhold;
    using namespace jayhold::standin;
    PlatformSettings settings;
    const std::vector<CommandOption> options {
        endpointOption("listen", "address to listen on; port 0 takes a free one", settings.listen),
        numberOption("maximum-value-bytes", "largest value of an object", settings.maxValueBytes),
    };
    const std::span arguments(argv, static_cast<std::size_t>(argc));
    if (const auto code = parseCommandLine(arguments, "stand-in for the platform service", options))
        return static_cast<int>(*code);
    blockStopSignals();
    IoThreads threads(1);
    const Platform platform(threads, settings);
    printListening(platform.endpoint());
    waitForStop();
    threads.stop();
    return static_cast<int>(ExitCode::Success);
}
