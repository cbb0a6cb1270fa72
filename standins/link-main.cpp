#include "CommandLine.h"
#include "Link.h"
#include "LoopMonitor.h"
#include "StandinMain.h"

#include <iostream>

auto main(int argc, char** argv) -> int
{
    using namespace jayhold;
    using namespace jayhold::standin;
    LinkSettings settings;
    const std::vector<CommandOption> options {
        endpointOption("listen", "address to accept connections on", settings.listen),
        endpointOption("target", "address to relay them to (required)", settings.target),
        endpointOption("admin-listen", "address of the faults interface", settings.adminListen),
    };
    const std::span arguments(argv, static_cast<std::size_t>(argc));
    if (const auto code = parseCommandLine(arguments, "TCP relay that cuts, stalls and slows connections", options))
        return static_cast<int>(*code);
    if (settings.target.port == 0) {
        std::cerr << "standin-link: --target is required\n";
        return static_cast<int>(ExitCode::Usage);
    }
    blockStopSignals();
    IoThreads threads(1);
    const Link link(threads, settings);
    const LoopMonitor loopMonitor(threads, printStall);
    printListening(link.endpoint(), "admin=" + toString(link.adminEndpoint()));
    waitForStop();
    threads.stop();
    return static_cast<int>(ExitCode::Success);
}
