#include "CommandLine.h"
#include "StandinMain.h"
#include "StandinService.h"

auto main(int argc, char** argv) -> int
{
    using namespace jayhold;
    using namespace jayhold::standin;
    ServiceSettings settings;
    const std::vector<CommandOption> options {
        endpointOption("listen", "address to listen on; port 0 takes a free one", settings.listen),
        textOption("id", "identifier in the listening line", settings.id),
    };
    const std::span arguments(argv, static_cast<std::size_t>(argc));
    if (const auto code = parseCommandLine(arguments, "stand-in for a plain service", options))
        return static_cast<int>(*code);
    blockStopSignals();
    IoThreads threads(1);
    const StandinService service(threads, settings);
    printListening(service.endpoint(), "id=" + settings.id);
    waitForStop();
    threads.stop();
    return static_cast<int>(ExitCode::Success);
}
