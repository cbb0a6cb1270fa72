#include "CommandLine.h"
#include "Engine.h"
#include "StandinMain.h"

#include <iostream>

namespace {

using namespace jayhold;
using namespace jayhold::standin;

auto optionsOf(EngineSettings& settings) -> std::vector<CommandOption>
{
    return {
        endpointOption("listen", "address to listen on; port 0 takes a free one", settings.listen),
        textOption("id", "identifier in load reports", settings.id),
        textOption("model", "model that the engine runs", settings.model),
        textOption("role", "prefill or decode", settings.role),
        numberOption("seats", "requests that run at once", settings.slots),
        numberOption("memory-pieces", "memory in pieces", settings.memoryBlocks),
        numberOption("piece-tokens", "tokens whose KV cache one piece holds", settings.memoryBlockTokens),
        numberOption("prefill-tokens-per-second", "speed of prefill", settings.prefillTokensPerSecond),
        numberOption("token-gap-us", "time between tokens of a stream that runs alone", settings.tokenGapMicroseconds),
        numberOption("kv-bytes-per-token", "KV cache of one prompt token", settings.kvBytesPerToken),
        numberOption("link-bytes-per-second", "rate of KV transfers out of the engine", settings.linkBytesPerSecond),
        numberOption("kv-transfer-cap-bytes", "maximum bytes that one transfer actually sends", settings.kvTransferCapBytes),
        numberOption("keep-ms", "how long a prefill result is kept, under 1000", settings.resultTtlMilliseconds),
        numberOption("load-lag-ms", "age of load reports", settings.loadLagMilliseconds),
        numberOption("cache-event-lag-ms", "age at which cache events are published", settings.cacheEventLagMilliseconds),
        numberOption("cache-blocks", "blocks that the prefix cache holds", settings.cacheBlocks),
        booleanOption("checks-fencing", "whether orders with a stale fencing number are rejected", settings.checksFencing),
    };
}

auto isValid(const EngineSettings& settings) -> bool
{
    const auto hasRole = settings.role == "prefill" || settings.role == "decode";
    return hasRole && settings.resultTtlMilliseconds < 1'000 && settings.memoryBlockTokens > 0;
}

}

auto main(int argc, char** argv) -> int
{
    EngineSettings settings;
    const auto options = optionsOf(settings);
    const std::span arguments(argv, static_cast<std::size_t>(argc));
    if (const auto code = parseCommandLine(arguments, "stand-in for a model engine", options))
        return static_cast<int>(*code);
    if (!isValid(settings)) {
        std::cerr << "standin-engine: --role must be prefill or decode, --keep-ms under 1000 and --piece-tokens over 0\n";
        return static_cast<int>(ExitCode::Usage);
    }
    blockStopSignals();
    IoThreads threads(1);
    const Engine engine(threads, settings);
    printListening(engine.endpoint(), "id=" + settings.id);
    waitForStop();
    threads.stop();
    return static_cast<int>(ExitCode::Success);
}
